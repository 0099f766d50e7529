// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtimeusage

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUsageCountsCollectionsAndBytes guards against a metric that the runtime has renamed, which reads as 0.
func TestUsageCountsCollectionsAndBytes(t *testing.T) {
	const size = 1 << 20
	before := Read()
	kept := make([]byte, size)
	runtime.GC()
	runtime.KeepAlive(kept)
	u := Read().Minus(before)
	assert.Assert(t, u.Collections >= 1, "%+v", u)
	assert.Assert(t, u.Allocated >= size, "%+v", u)
}
