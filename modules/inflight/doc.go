// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package inflight counts operations in progress, which may begin while another goroutine
// waits for their end.
package inflight
