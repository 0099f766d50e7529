// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"math"
	"time"
)

// A rush shows what it will need only while it climbs, over some three seconds, and each
// instance comes two seconds after it is asked for. Demand that comes by turns climbs as high
// each time: once a rise is sure, a pool is given at once what its last rush needed, or where
// it has had none, what it needed before times as much as the rushes of the others have
// climbed.

const (
	// expectFor is for how long after a rise is sure as much is expected: what has not come
	// by then was no such rush.
	expectFor = 3 * time.Second
	// calmSpan is the span over which what comes between rushes is averaged.
	calmSpan = 6 * time.Second
	// overPart is under which part of its highest need a rush is over.
	overPart = 0.4
	// rushTimes is how many times what it needed before a pool must need at the highest for
	// that to count as a rush.
	rushTimes = 2.0
)

// rush is what is known of the rushes of a pool. Needs are in instances.
type rush struct {
	calm  float64   // that what came between rushes kept busy, averaged
	top   float64   // highest need of the rush under way, 0 for none
	last  float64   // highest need of the last rush, 0 before the first
	climb float64   // of that, in times of what came before
	began time.Time // when the rise under way was first sure, zero for none
	at    time.Time // when it was followed last
}

// follow takes what a pool needs, whether that surely rises, and what what comes keeps busy.
func (r *rush) follow(need, comes float64, rises bool, now time.Time) {
	step := now.Sub(r.at).Seconds()
	if r.at.IsZero() {
		step, r.calm = 0, comes
	}
	r.at = now
	switch {
	case rises && r.began.IsZero():
		r.began, r.top = now, need
	case r.began.IsZero():
		r.calm += (comes - r.calm) * (1 - math.Exp(-step/calmSpan.Seconds()))
		return
	}
	r.top = max(r.top, need)
	if rises || need > overPart*r.top || now.Sub(r.began) < expectFor {
		return
	}
	if r.top > rushTimes*max(r.calm, 1) {
		r.last, r.climb = r.top, r.top/max(r.calm, leastCalm)
	}
	r.began, r.top = time.Time{}, 0
}

// leastCalm stands for what comes between rushes where next to nothing does.
const leastCalm = 0.5

// expects returns what a pool is expected to need, 0 for no more than it does.
func (r *rush) expects(climb, highest float64, now time.Time) float64 {
	switch {
	case r.began.IsZero() || now.Sub(r.began) > expectFor:
		return 0
	case r.last > 0:
		return r.last
	}
	return min(max(r.calm, leastCalm)*climb, highest)
}

// expect works out what the pools whose need surely rises are expected to need.
func (v *view) expect() {
	for name, p := range v.pools {
		p.expected = 0
		if p.rush.began.IsZero() {
			continue
		}
		climb, highest := v.climbs(name)
		if e := p.rush.expects(climb, highest, v.now); e > 0 {
			p.expected = int(math.Ceil(e + shareOf(p.report.Lasting, v.usual())*spareShare))
		}
	}
}

// climbs returns how many times what came before the rushes of the other pools have needed,
// and how many instances, at the least.
func (v *view) climbs(pool string) (climb, highest float64) {
	for name, p := range v.pools {
		if name == pool || p.rush.last == 0 {
			continue
		}
		if climb == 0 || p.rush.climb < climb {
			climb = p.rush.climb
		}
		if highest == 0 || p.rush.last < highest {
			highest = p.rush.last
		}
	}
	return climb, highest
}
