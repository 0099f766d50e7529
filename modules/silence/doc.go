// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package silence tells a connection that has fallen silent apart from a far end
// that is silent: an open connection may carry nothing any more, without a reset,
// while a fresh one to the same address works.
package silence
