// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package oslimit

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// Descriptors returns how many descriptors this process may have open, 0 if that is not known or unlimited.
func Descriptors() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur >= math.MaxInt32 {
		return 0
	}
	return int(l.Cur)
}

// MemoryMB returns the memory limit of this process in MB, by its address space and the runtime's limit, 0
// if there is none.
func MemoryMB() int64 {
	limit := debug.SetMemoryLimit(-1) // a negative limit changes nothing
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_AS, &l); err == nil && l.Cur < math.MaxInt64 {
		limit = min(limit, int64(l.Cur)) //nolint:gosec // compared above
	}
	if limit == math.MaxInt64 {
		return 0
	}
	return limit >> 20
}
