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

// A surge shows its demand only while it grows, over about three seconds, and each instance arrives
// two seconds after it is requested. Recurring demand reaches a similar peak each time. So once a
// rise is confirmed, a pool gets at once as many instances as its last surge needed. A pool without
// an earlier surge gets its average load multiplied by the smallest growth of the other pools'
// surges, up to the smallest of their peaks.

const (
	// expectFor is how long the expected need counts after a rise is confirmed. If the demand has
	// not arrived by then, the rise was no such surge.
	expectFor = 3 * time.Second
	// baselineSpan is the time constant for averaging the load between surges.
	baselineSpan = 6 * time.Second
	// endPart is the fraction of its highest need below which a surge is finished.
	endPart = 0.4
	// surgeTimes is the minimum ratio of a pool's highest need to its baseline for a rise to count
	// as a surge.
	surgeTimes = 2.0
)

// surge tracks the surges of a pool. Needs are in instances.
type surge struct {
	baseline  float64   // average load between surges
	peak      float64   // highest need of the current surge, 0 for none
	last      float64   // highest need of the last surge, 0 before the first
	growth    float64   // last divided by the baseline before it
	began     time.Time // when the current rise was confirmed, zero for none
	updatedAt time.Time // time of the last update
}

// follow updates the surge with a pool's need, the load of the arriving jobs in instances, and
// whether a rise of the need is confirmed.
func (r *surge) follow(need, arrivals float64, rising bool, now time.Time) {
	step := now.Sub(r.updatedAt).Seconds()
	if r.updatedAt.IsZero() {
		step, r.baseline = 0, arrivals
	}
	r.updatedAt = now
	switch {
	case rising && r.began.IsZero():
		r.began, r.peak = now, need
	case r.began.IsZero():
		r.baseline += (arrivals - r.baseline) * (1 - math.Exp(-step/baselineSpan.Seconds()))
		return
	}
	r.peak = max(r.peak, need)
	if rising || need > endPart*r.peak || now.Sub(r.began) < expectFor {
		return
	}
	if r.peak > surgeTimes*max(r.baseline, 1) {
		r.last, r.growth = r.peak, r.peak/max(r.baseline, minBaseline)
	}
	r.began, r.peak = time.Time{}, 0
}

// minBaseline replaces a load between surges that is close to zero.
const minBaseline = 0.5

// expects returns the expected need of a pool, 0 for no expectation.
func (r *surge) expects(growth, limit float64, now time.Time) float64 {
	switch {
	case r.began.IsZero() || now.Sub(r.began) > expectFor:
		return 0
	case r.last > 0:
		return r.last
	}
	return min(max(r.baseline, minBaseline)*growth, limit)
}

// expect computes the expected need of the pools with a confirmed rise.
func (v *view) expect() {
	for name, p := range v.pools {
		p.expected = 0
		if p.surge.began.IsZero() {
			continue
		}
		growth, limit := v.minGrowth(name)
		if e := p.surge.expects(growth, limit, v.now); e > 0 {
			p.expected = int(math.Ceil(e + shareOf(p.report.Lasting, v.smallest())*spareShare))
		}
	}
}

// minGrowth returns the smallest growth of the other pools' surges and the smallest peak of them in
// instances, which limits the expected need.
func (v *view) minGrowth(pool string) (growth, limit float64) {
	for name, p := range v.pools {
		if name == pool || p.surge.last == 0 {
			continue
		}
		if growth == 0 || p.surge.growth < growth {
			growth = p.surge.growth
		}
		if limit == 0 || p.surge.last < limit {
			limit = p.surge.last
		}
	}
	return growth, limit
}

// surgeRecord is what the next holder is to know of a pool's surges: without it, the first surge after a
// change of the holder is served like the first one ever.
type surgeRecord struct {
	Last   float64 `cbor:"1,keyasint"` // highest need of the last surge, in instances
	Growth float64 `cbor:"2,keyasint"` // Last divided by the load before it
}

// restored returns the surges of a pool of which an earlier holder knew.
func (r surgeRecord) restored() surge { return surge{last: r.Last, growth: r.Growth} }

// persistSurges persists the surges that have ended since the last call.
func (m *Manager) persistSurges(ctx context.Context) error {
	var records []port.Record
	for _, name := range slices.Sorted(maps.Keys(m.view.pools)) {
		p := m.view.pools[name]
		r := surgeRecord{p.surge.last, p.surge.growth}
		if r == m.surges[name] {
			continue
		}
		value, err := codec.Marshal(r)
		if err != nil {
			return err
		}
		m.surges[name] = r
		records = append(records, port.Record{Key: keySurge + name, Value: value})
	}
	if len(records) == 0 {
		return nil
	}
	return m.append(ctx, records)
}
