// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// What a pool has beyond its need idles until that has cost as much as its move away and back. While no
// work has arrived since the holder knows the pool, its need is not known: what stands there may be
// needed at the first call, and is kept for longer. Another pool that lacks instances gets them at once.

// DefaultMoveWorth is how long an idle instance is kept unless the settings say otherwise.
const DefaultMoveWorth = 3 * time.Second

const (
	// unknownTimes is how many times longer an instance is kept while its pool's demand is not known:
	// callers wait for an instance that has left, and a holder begins to know a pool far more rarely
	// than a pool's need falls.
	unknownTimes = 10
	// learnTime is how long a pool keeps its instances after its first arrivals: the time constant of the
	// average from which its need is computed.
	learnTime = 1500 * time.Millisecond
)

// kept is what a pool keeps beyond its need.
type kept struct {
	level   int       // instances that the pool keeps
	until   time.Time // when the pool lets go of what is beyond its need, zero before the first plan
	since   time.Time // of the first plan
	unknown bool      // no work has arrived yet, and the pool keeps its instances for that reason
	why     string    // the reason for the level
}

// The reasons for a level.
const (
	keptForNeed     = "need"            // the pool needs as many
	keptAfterPeak   = "peak"            // it needed as many shortly before
	keptFromBefore  = "first plan"      // it had as many when the holder began to know it
	keptForUnknown  = "unknown demand"  // it has as many, and no work has arrived yet
	keptForArrivals = "first arrivals"  // it had as many when work began to arrive
	keptForExpected = "expected demand" // a surge that has begun is expected to need as many
)

// follow updates what a pool with a number of instances keeps beyond its need, given whether work arrives
// and how long an idle instance is worth its move.
func (k *kept) follow(need, has int, arrives bool, worth time.Duration, now time.Time) {
	switch {
	case k.until.IsZero():
		k.level, k.since, k.until, k.why = has, now, now.Add(worth), keptFromBefore
		if !arrives {
			k.unknown, k.until, k.why = true, now.Add(unknownTimes*worth), keptForUnknown
		}
	case k.unknown && arrives:
		k.level, k.unknown, k.until, k.why = has, false, later(now.Add(learnTime), k.since.Add(worth)), keptForArrivals
	case k.unknown:
		k.level = max(k.level, has) // instances that have come up
	}
	if now.After(k.until) {
		k.level, k.unknown = need, false
	}
	if need >= k.level {
		k.level, k.why = need, keptForNeed
		if !k.unknown {
			k.until = now.Add(worth)
		}
		return
	}
	if k.why == keptForNeed {
		k.why = keptAfterPeak
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keep updates what each pool keeps.
func (v *view) keep() {
	worth := v.moveWorth
	if worth == 0 {
		worth = DefaultMoveWorth
	}
	for name, p := range v.pools {
		p.kept.follow(p.need, v.supply(name), p.report.ArrivalLoad != (job.Size{}), worth, v.now)
	}
}

// reason returns the reason for what a pool keeps.
func (p *poolState) reason() string {
	if p.expected > p.level {
		return keptForExpected
	}
	return p.why
}
