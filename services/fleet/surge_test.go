// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
	"github.com/yardbridge/yardbridge/standin/world"
)

// surgeNeeds is the need of a pool in a surge, in instances, by the time since its beginning: demand
// rises to a hundred times the previous load, as it is learned from the arriving jobs.
var surgeNeeds = []struct {
	after time.Duration
	need  float64
	rises bool
}{
	{0, 3, false}, {200 * time.Millisecond, 28, true}, {600 * time.Millisecond, 70, true}, {1200 * time.Millisecond, 126, true},
	{1900 * time.Millisecond, 159, true}, {2100 * time.Millisecond, 195, true}, {2900 * time.Millisecond, 273, true}, {3400 * time.Millisecond, 303, false},
	{5 * time.Second, 300, false}, {8 * time.Second, 280, false}, {9 * time.Second, 60, false}, {10 * time.Second, 4, false}, {11 * time.Second, 3, false},
}

// calmPeriod simulates a period of little need.
func (r *surge) calmPeriod(now time.Time) time.Time {
	for range 100 {
		now = now.Add(120 * time.Millisecond)
		r.follow(3, 3, false, now)
	}
	return now
}

// surgeOnce simulates one surge and returns when it is finished.
func (r *surge) surgeOnce(now time.Time) time.Time {
	for _, c := range surgeNeeds {
		r.follow(c.need, min(c.need, 250), c.rises, now.Add(c.after))
	}
	return now.Add(surgeNeeds[len(surgeNeeds)-1].after)
}

// TestSecondSurgeIsExpected guards against a slow reaction to recurring demand: a pool whose surge
// needed 303 instances is expected to need as many 0.2 s after the next surge begins, and no longer
// 3 s later.
func TestSecondSurgeIsExpected(t *testing.T) {
	var r surge
	now := r.surgeOnce(r.calmPeriod(time.Unix(1000, 0)))
	assert.Equal(t, r.last, 303.0)
	now = r.calmPeriod(now)
	assert.Equal(t, r.expects(0, 0, now), 0.0)
	r.follow(28, 28, true, now)
	assert.Equal(t, r.expects(0, 0, now), 303.0)
	assert.Equal(t, r.expects(0, 0, now.Add(expectFor+time.Millisecond)), 0.0, "the expected need remains although the surge does not arrive")
}

// TestFirstSurgeIsExpectedLikeTheOthers guards against a slow reaction to a first surge: a pool
// without an earlier surge is expected to grow like the surges of the others, but not higher.
func TestFirstSurgeIsExpectedLikeTheOthers(t *testing.T) {
	v := &view{now: time.Unix(1000, 0), pools: map[string]*poolState{"a": {}, "b": {}, "c": {}}, counts: &counts{}}
	a, b := &v.pools["a"].surge, &v.pools["b"].surge
	now := a.surgeOnce(a.calmPeriod(v.now))
	b.calmPeriod(now)
	b.follow(20, 20, true, now)
	v.now = now
	v.expect()
	assert.Assert(t, v.pools["b"].expected > 250 && v.pools["b"].expected <= 303, "%d", v.pools["b"].expected)
	assert.Equal(t, v.pools["a"].expected, 0)
	assert.Equal(t, v.pools["c"].expected, 0)
}

// TestSmallRiseIsNoSurge guards against false surges: a need that doubles for a moment is not a
// surge.
func TestSmallRiseIsNoSurge(t *testing.T) {
	var r surge
	now := r.calmPeriod(time.Unix(1000, 0))
	r.follow(5, 5, true, now)
	r.follow(5, 4, false, now.Add(time.Second))
	r.follow(2, 2, false, now.Add(5*time.Second))
	assert.Equal(t, r.last, 0.0)
	assert.Assert(t, r.began.IsZero())
}

// TestNextHolderKnowsTheSurges guards against a surge that is served late after a change of the holder: a
// new one knew of no earlier surge, so that it followed the need as it grew.
func TestNextHolderKnowsTheSurges(t *testing.T) {
	w, size := world.New(1), job.Size{CPU: 1000, MemoryMB: 1000}
	rising := false
	claim := func(node string) *Manager {
		m := &Manager{
			Journal: &journal.Journal{Partition: port.Partition{Topic: "t"}, Store: w.Store(node), Logger: log.Nop()},
			Logger:  log.Nop(), Limits: Limits{HolderLease: time.Second},
			RequestReport: func(context.Context, string, scheduler.CordonRequest) (scheduler.Report, error) {
				return scheduler.Report{Running: size.Times(3), Rising: rising}, nil
			},
		}
		assert.NilError(t, m.Claim(t.Context(), node))
		m.requestReport(t.Context(), "p", scheduler.CordonRequest{})
		return m
	}
	m := claim("n1")
	s := &m.view.pools["p"].surge
	s.surgeOnce(s.calmPeriod(time.Unix(1000, 0)))
	assert.NilError(t, m.persistSurges(t.Context()))
	rising = true
	next := claim("n2")
	next.view.now, next.view.headroom = time.Unix(2000, 0), "off"
	next.view.instances = map[string]port.Instance{"i": {Name: "i", Pool: "off", Condition: port.Up, Capacity: size}}
	next.view.plan()
	assert.Assert(t, next.view.pools["p"].expected >= 303, "%d instances are expected", next.view.pools["p"].expected)
	assert.NilError(t, next.persistSurges(t.Context()))
}
