// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/standin/world"
)

// TestLatenessOfTheNodeIsNoSlowStore guards against an owner without processor time that takes its own
// lateness for that of the store, places tasks ahead and lacks what that takes. Pattern: appends of 150 ms,
// while polls are on time, late by 50 ms, and on time again.
func TestLatenessOfTheNodeIsNoSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow, polls = 150 * time.Millisecond, 200
		w := world.New(1)
		o := open(t, w)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = slow })
		assert.NilError(t, o.Journal.Append(t.Context(), nil))
		took := o.Journal.LastDuration()
		assert.Assert(t, took >= slow, "%s", took)
		for _, c := range []struct{ late, want time.Duration }{{0, took}, {50 * time.Millisecond, 0}, {0, took}} {
			for range polls {
				o.noteLateness(c.late)
			}
			assert.Assert(t, o.storeTime() <= c.want && o.storeTime() > c.want-10*time.Millisecond, "late by %s: %s", c.late, o.storeTime())
		}
	})
}
