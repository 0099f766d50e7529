// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package owner runs one pool on the node that owns it: it keeps the pool's
// changes in the store, gives orders to workers and looks at them.
package owner
