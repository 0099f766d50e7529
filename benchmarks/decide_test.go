// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package benchmarks

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/services/pools"
)

// plan folds the plan for the current state, and returns it.
func (y *stateBuilder) plan() pools.Plan {
	p := pools.MakePlan(y.s, writer, 1, y.now)
	for from := 0; from < len(p.Records); from += 400 {
		y.fold(p.Records[from:min(from+400, len(p.Records))]...)
	}
	return p
}

// countMoves counts the moves of a plan.
func countMoves(p pools.Plan) int {
	n := 0
	for _, r := range p.Records {
		if r.Move != nil || r.Drain != nil && r.Drain.Purpose == record.ForMove {
			n++
		}
	}
	return n
}

// BenchmarkAssign measures a full plan and the plan after one changed file, and compares the moves
// with the number of instances that the pools are short of, which no plan can go below.
func BenchmarkAssign(b *testing.B) {
	for _, z := range []size{currentSize, {500, 20, 10, 0, 0}, {1500, 62, 40, 0, 0}, designSize} {
		b.Run(z.String(), func(b *testing.B) {
			var full, change time.Duration
			moves, bound := 0, 0
			worst, sum, cases := 0.0, 0.0, 0
			for range b.N {
				y := newState(z)
				startedAt := time.Now()
				p := y.plan()
				full += time.Since(startedAt)
				moves += countMoves(p)
				bound += z.pools * z.pool(0).Size
				random := rand.New(rand.NewPCG(1, 2))
				for n := range 20 {
					q := *z.pool(n % z.pools)
					q.Size += random.IntN(3)
					missing := q.Size - len(y.s.PoolInstances(q.Name))
					y.fold(record.Record{Apply: &record.Apply{Deployment: "bench", Base: y.s.Catalog.Version, Put: []manifest.Object{{Pool: &q}}}})
					startedAt := time.Now()
					p := y.plan()
					change += time.Since(startedAt)
					if missing > 0 {
						ratio := float64(countMoves(p)) / float64(missing)
						worst, sum, cases = max(worst, ratio), sum+ratio, cases+1
					}
				}
			}
			n := float64(b.N)
			b.ReportMetric(full.Seconds()*1000/n, "full-ms")
			b.ReportMetric(change.Seconds()*1000/n/20, "change-ms")
			b.ReportMetric(float64(moves)/float64(bound), "moves-x-bound")
			b.ReportMetric(sum/float64(max(cases, 1)), "change-moves-x-bound")
			b.ReportMetric(worst, "change-worst")
		})
	}
}
