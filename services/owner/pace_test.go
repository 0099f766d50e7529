// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/standin/world"
)

// TestLatenessOfTheNodeIsNoSlowStore guards against an owner without processor time that takes its own
// lateness for that of the store, places tasks ahead and lacks what that takes. Pattern: appends of 150 ms,
// while polls are on time, late by 50 ms, and on time again.
func TestLatenessOfTheNodeIsNoSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow, polls, pollGap = 150 * time.Millisecond, 200, 10 * time.Millisecond
		w := world.New(1)
		o := open(t, w)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = slow })
		assert.NilError(t, o.Journal.Append(t.Context(), nil))
		took := o.Journal.LastDuration()
		assert.Assert(t, took >= slow, "%s", took)
		for _, c := range []struct{ late, want time.Duration }{{0, took}, {50 * time.Millisecond, 0}, {0, took}} {
			for range polls {
				time.Sleep(pollGap)
				o.noteLateness(c.late)
			}
			assert.Assert(t, o.storeTime() <= c.want && o.storeTime() > c.want-10*time.Millisecond, "late by %s: %s", c.late, o.storeTime())
		}
	})
}

// TestLatenessThatRisesIsNoSlowStore guards against an owner whose measure of its own lateness lags behind: it takes an
// append for slow that waited behind the same work as one poll, and behind the many that have had their turn since.
func TestLatenessThatRisesIsNoSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow, late, since = 400 * time.Millisecond, 100 * time.Millisecond, 300
		w := world.New(1)
		o := open(t, w)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = slow - 4*time.Millisecond })
		o.noteLateness(0)
		o.noteLateness(late)
		assert.NilError(t, o.Journal.Append(t.Context(), nil))
		assert.Equal(t, o.storeTime(), time.Duration(0))
		for range since {
			o.noteLateness(0)
		}
		assert.Equal(t, o.storeTime(), time.Duration(0))
	})
}

// TestWaitForTheStoreIsNoLateness guards against a commit loop that counts as late because a plan was due while it
// waited for the store: with a slow store nothing would be placed ahead any more.
func TestWaitForTheStoreIsNoLateness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := open(t, world.New(1))
		assert.NilError(t, o.idle(t.Context(), o.Clock.Now().Add(-time.Second)))
		assert.Equal(t, o.lateness.Value(o.Clock.Now()), time.Duration(0))
	})
}

// TestBehindTellsOfTheLastSeconds guards against a line about an owner that is behind which tells of its work since it
// claimed the pool, or of none.
func TestBehindTellsOfTheLastSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := open(t, world.New(1))
		var lines bytes.Buffer
		o.Logger = zerolog.New(&lines)
		for n := range 10 {
			_, err := o.commit(t.Context())
			assert.NilError(t, err)
			time.Sleep(400 * time.Millisecond)
			lines.Reset()
			o.logBehind(pollWork, behindAfter, o.Clock.Now())
			var line struct {
				Over  float64
				Plans uint64
			}
			assert.NilError(t, json.Unmarshal(lines.Bytes(), &line))
			assert.Assert(t, line.Over <= 3*float64(workPeriod.Milliseconds()), "line %d: %s", n, &lines)
			assert.Assert(t, n == 0 || line.Over > 0, "line %d: %s", n, &lines)
		}
	})
}
