// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cputime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOnlyWorkCounts guards against a measurement that counts the time in which a call waits, or none at all.
func TestOnlyWorkCounts(t *testing.T) {
	const least = 20 * time.Millisecond
	waited, err := Of(func() { time.Sleep(10 * least) })
	assert.NilError(t, err)
	assert.Assert(t, waited < least, "%s", waited)
	worked, err := Of(func() {
		began, err := ofThread()
		assert.NilError(t, err)
		for now := began; now-began < least; {
			now, err = ofThread()
			assert.NilError(t, err)
		}
	})
	assert.NilError(t, err)
	assert.Assert(t, worked >= least, "%s", worked)
}
