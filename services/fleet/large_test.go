// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPlanOfALargeFleetIsQuick guards against plans whose time grows with the product of moves and
// instances: one for a surge that needs 1,000 of 6,000 instances took 0.7 s of a core.
func TestPlanOfALargeFleetIsQuick(t *testing.T) {
	v := largeFleetView(false, 1000)
	began := time.Now()
	list := v.plan()
	took := time.Since(began)
	assert.Assert(t, len(list) > 1000, "%d moves", len(list))
	assert.Assert(t, took < maxPlanTime, "%s", took)
}
