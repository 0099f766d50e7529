// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package scheduler decides for one pool where tasks run and when: it holds the
// pool's jobs, runs and workers, takes what callers and workers say, and
// returns what must be kept and which orders to give. It does no input or
// output, reads no clock and starts no goroutine; its owner does that.
package scheduler
