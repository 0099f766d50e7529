// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd

import (
	"runtime"
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"
)

// sink keeps an allocation on the heap.
var sink []byte

// TestHeapStaysBelowTheMemoryLimit guards against a node that is ended for its memory: the collector's pace must not
// outgrow the memory limit. Twenty times the limit is allocated beside 8 MiB in use, on a node with 64 MiB.
func TestHeapStaysBelowTheMemoryLimit(t *testing.T) {
	const nodeMB, inUseMB, block = 64, 8, 1 << 20
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}()
	limitMemory(nodeMB)
	inUse := make([]byte, inUseMB<<20)
	var peak uint64
	for range 20 * nodeMB {
		sink = make([]byte, block)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.Sys-m.HeapReleased)
	}
	runtime.KeepAlive(inUse)
	assert.Assert(t, peak <= nodeMB<<20, "%d bytes of %d", peak, nodeMB<<20)
}
