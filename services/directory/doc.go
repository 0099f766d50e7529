// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package directory tracks the nodes of yardbridge and which of them owns which pool. It is a keyed
// partition of the store that every node follows. The owners listed there are hints where to send
// requests first; the authoritative owner of a pool is decided by the epoch of its partition.
package directory
