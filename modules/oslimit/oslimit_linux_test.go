// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package oslimit

import (
	"runtime/debug"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestLimitsOfTheProcess guards against limits that are not those of the process: a node that is not told
// its limits registers with these.
func TestLimitsOfTheProcess(t *testing.T) {
	var before unix.Rlimit
	assert.NilError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &before))
	lower := unix.Rlimit{Cur: min(before.Cur, 1000), Max: before.Max}
	assert.NilError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &lower))
	defer func() { assert.NilError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &before)) }()
	assert.Equal(t, Descriptors(), int(lower.Cur)) //nolint:gosec // at most 1000
	memory := debug.SetMemoryLimit(300 << 20)
	defer debug.SetMemoryLimit(memory)
	assert.Equal(t, MemoryMB(), int64(300))
}
