// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package directory knows the nodes of yardbridge and which of them owns which
// pool. It lies under keys in the store, where every node follows it. What it
// says of owners is where to ask first; who owns a pool is decided by the epoch
// of the pool's partition.
package directory
