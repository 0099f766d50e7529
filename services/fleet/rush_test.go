// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// climb is what a pool needs in a rush, by the time since it began, in instances: demand that
// goes up to a hundred times of what came before, as it is learned from the jobs that come.
var climb = []struct {
	after time.Duration
	need  float64
	rises bool
}{
	{0, 3, false}, {200 * time.Millisecond, 28, true}, {600 * time.Millisecond, 70, true}, {1200 * time.Millisecond, 126, true},
	{1900 * time.Millisecond, 159, true}, {2100 * time.Millisecond, 195, true}, {2900 * time.Millisecond, 273, true}, {3400 * time.Millisecond, 303, false},
	{5 * time.Second, 300, false}, {8 * time.Second, 280, false}, {9 * time.Second, 60, false}, {10 * time.Second, 4, false}, {11 * time.Second, 3, false},
}

// calmDown lets a pool need little for a while.
func (r *rush) calmDown(now time.Time) time.Time {
	for range 100 {
		now = now.Add(120 * time.Millisecond)
		r.follow(3, 3, false, now)
	}
	return now
}

// rushOnce plays a rush and returns when it is over.
func (r *rush) rushOnce(now time.Time) time.Time {
	for _, c := range climb {
		r.follow(c.need, min(c.need, 250), c.rises, now.Add(c.after))
	}
	return now.Add(climb[len(climb)-1].after)
}

// TestSecondRushIsExpected: a pool whose rush has needed 303 instances is expected to need as
// many 0.2 s after the next one has begun, and not 3 s later.
func TestSecondRushIsExpected(t *testing.T) {
	var r rush
	now := r.rushOnce(r.calmDown(time.Unix(1000, 0)))
	assert.Equal(t, r.last, 303.0)
	now = r.calmDown(now)
	assert.Equal(t, r.expects(0, 0, now), 0.0)
	r.follow(28, 28, true, now)
	assert.Equal(t, r.expects(0, 0, now), 303.0)
	assert.Equal(t, r.expects(0, 0, now.Add(expectFor+time.Millisecond)), 0.0, "a rush that does not come is given back")
}

// TestFirstRushIsExpectedAsTheOthersWere: a pool that has had no rush is expected to climb as
// the rushes of the others have, but not higher.
func TestFirstRushIsExpectedAsTheOthersWere(t *testing.T) {
	v := &view{now: time.Unix(1000, 0), pools: map[string]*poolState{"a": {}, "b": {}, "c": {}}, tally: &tally{}}
	a, b := &v.pools["a"].rush, &v.pools["b"].rush
	now := a.rushOnce(a.calmDown(v.now))
	b.calmDown(now)
	b.follow(20, 20, true, now)
	v.now = now
	v.expect()
	assert.Assert(t, v.pools["b"].expected > 250 && v.pools["b"].expected <= 303, "%d", v.pools["b"].expected)
	assert.Equal(t, v.pools["a"].expected, 0)
	assert.Equal(t, v.pools["c"].expected, 0)
}

// TestSmallRiseIsNoRush: a need that doubles for a moment tells nothing of rushes.
func TestSmallRiseIsNoRush(t *testing.T) {
	var r rush
	now := r.calmDown(time.Unix(1000, 0))
	r.follow(5, 5, true, now)
	r.follow(5, 4, false, now.Add(time.Second))
	r.follow(2, 2, false, now.Add(5*time.Second))
	assert.Equal(t, r.last, 0.0)
	assert.Assert(t, r.began.IsZero())
}
