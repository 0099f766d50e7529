// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
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
	lastRush
	calm  float64   // that what came between rushes kept busy, averaged
	top   float64   // highest need of the rush under way, 0 for none
	began time.Time // when the rise under way was first sure, zero for none
	at    time.Time // when it was followed last
}

// lastRush is what is learned from a pool's last rush. It is kept in the journal, so that the next
// holder of the duty expects as much.
type lastRush struct {
	_     struct{} `cbor:",toarray"`
	Last  float64  // highest need, 0 before the first
	Climb float64  // of that, in times of what came before
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
		r.lastRush = lastRush{Last: r.top, Climb: r.top / max(r.calm, leastCalm)}
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
	case r.Last > 0:
		return r.Last
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
		if name == pool || p.rush.Last == 0 {
			continue
		}
		if climb == 0 || p.rush.Climb < climb {
			climb = p.rush.Climb
		}
		if highest == 0 || p.rush.Last < highest {
			highest = p.rush.Last
		}
	}
	return climb, highest
}

// keepRushes keeps what was learned from rushes that are over.
func (m *Manager) keepRushes(ctx context.Context) error {
	var records []port.Record
	for _, name := range slices.Sorted(maps.Keys(m.view.pools)) {
		l := m.view.pools[name].rush.lastRush
		if l == m.rushes[name] {
			continue
		}
		value, err := codec.Marshal(l)
		if err != nil {
			return err
		}
		records = append(records, port.Record{Key: keyRush + name, Value: value})
		m.rushes[name] = l
		m.Logger.Info().Str("event", "rush").Str("of", name).Float64("instances", l.Last).Float64("times", l.Climb).Str("outcome", "over").
			Msg("a pool's rush is over; the next one is expected to need as much")
	}
	if len(records) == 0 {
		return nil
	}
	return m.Journal.Append(ctx, records)
}
