// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"math"
	"time"
)

// A surge shows its demand only while it climbs, over about three seconds, and each instance
// arrives two seconds after it is requested. Recurring demand climbs to a similar height each time.
// So once a rise is confirmed, a pool gets at once as many instances as its last surge needed. A
// pool without an earlier surge gets its previous need multiplied by the climb of the other pools'
// surges.

const (
	// expectFor is how long the expected need counts after a rise is confirmed. Without the demand
	// by then the rise was no such surge.
	expectFor = 3 * time.Second
	// calmSpan is the time constant for averaging the load between surges.
	calmSpan = 6 * time.Second
	// endPart is the fraction of its highest need below which a surge is finished.
	endPart = 0.4
	// surgeTimes is the minimum ratio of a pool's highest need to its previous need that counts as
	// a surge.
	surgeTimes = 2.0
)

// surge tracks the surges of a pool. Needs are in instances.
type surge struct {
	calm      float64   // average load between surges
	top       float64   // highest need of the current surge, 0 for none
	last      float64   // highest need of the last surge, 0 before the first
	climb     float64   // last divided by the need before it
	began     time.Time // when the current rise was confirmed, zero for none
	updatedAt time.Time // time of the last update
}

// follow updates the surge with a pool's need, its arrival rate in instances and whether its need
// rises for certain.
func (r *surge) follow(need, arrivals float64, rising bool, now time.Time) {
	step := now.Sub(r.updatedAt).Seconds()
	if r.updatedAt.IsZero() {
		step, r.calm = 0, arrivals
	}
	r.updatedAt = now
	switch {
	case rising && r.began.IsZero():
		r.began, r.top = now, need
	case r.began.IsZero():
		r.calm += (arrivals - r.calm) * (1 - math.Exp(-step/calmSpan.Seconds()))
		return
	}
	r.top = max(r.top, need)
	if rising || need > endPart*r.top || now.Sub(r.began) < expectFor {
		return
	}
	if r.top > surgeTimes*max(r.calm, 1) {
		r.last, r.climb = r.top, r.top/max(r.calm, minCalm)
	}
	r.began, r.top = time.Time{}, 0
}

// minCalm replaces a load between surges that is close to zero.
const minCalm = 0.5

// expects returns the expected need of a pool, 0 for no expectation.
func (r *surge) expects(climb, highest float64, now time.Time) float64 {
	switch {
	case r.began.IsZero() || now.Sub(r.began) > expectFor:
		return 0
	case r.last > 0:
		return r.last
	}
	return min(max(r.calm, minCalm)*climb, highest)
}

// expect computes the expected need of the pools with a confirmed rise.
func (v *view) expect() {
	for name, p := range v.pools {
		p.expected = 0
		if p.surge.began.IsZero() {
			continue
		}
		climb, highest := v.climbs(name)
		if e := p.surge.expects(climb, highest, v.now); e > 0 {
			p.expected = int(math.Ceil(e + shareOf(p.report.Lasting, v.smallest())*spareShare))
		}
	}
}

// climbs returns the smallest climb of the other pools' surges and their smallest number of
// instances.
func (v *view) climbs(pool string) (climb, highest float64) {
	for name, p := range v.pools {
		if name == pool || p.surge.last == 0 {
			continue
		}
		if climb == 0 || p.surge.climb < climb {
			climb = p.surge.climb
		}
		if highest == 0 || p.surge.last < highest {
			highest = p.surge.last
		}
	}
	return climb, highest
}
