// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package follow reads one keyed partition of the store and passes on its changes.
package follow
