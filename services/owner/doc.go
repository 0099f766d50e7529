// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package owner runs one pool on the node that owns it: it persists the pool's changes in the
// store, sends orders to the workers and polls them.
package owner
