// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package scheduler decides for one pool where tasks run and when: it keeps the pool's jobs, runs
// and workers, processes requests from callers and status from workers, and returns the changes to
// persist and the orders to send. It does no I/O, reads no clock and starts no goroutine; its owner
// does that.
package scheduler
