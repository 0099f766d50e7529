// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package silence distinguishes an unresponsive connection from an unresponsive peer: an
// open connection may pass nothing any more, without a reset, while a new one to the same
// address works.
package silence
