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

// plan folds the plan for the state as it is, and returns it.
func (y *yard) plan() pools.Plan {
	p := pools.MakePlan(y.s, writer, 1, y.now)
	for from := 0; from < len(p.Records); from += 400 {
		y.fold(p.Records[from:min(from+400, len(p.Records))]...)
	}
	return p
}

// moved counts the moves of a plan, by pools that they lead to.
func moved(p pools.Plan) int {
	n := 0
	for _, r := range p.Records {
		if r.Move != nil || r.Drain != nil && r.Drain.Purpose == record.ForMove {
			n++
		}
	}
	return n
}

// BenchmarkAssign measures a whole plan and one changed file, and compares
// moves with what the pools lack, which no plan can go below, and the spare
// beyond the budgets with the least that racks of four allow.
func BenchmarkAssign(b *testing.B) {
	for _, z := range []size{today, {500, 20, 10, 0, 0}, {1500, 62, 40, 0, 0}, design} {
		b.Run(z.String(), func(b *testing.B) {
			var full, change time.Duration
			moves, bound := 0, 0
			worst, sum, cases := 0.0, 0.0, 0
			for range b.N {
				y := newYard(z)
				begun := time.Now()
				p := y.plan()
				full += time.Since(begun)
				moves += moved(p)
				bound += z.pools * z.pool(0).Size
				random := rand.New(rand.NewPCG(1, 2))
				for n := range 20 {
					q := *z.pool(n % z.pools)
					q.Size += random.IntN(3)
					lack := q.Size - len(y.s.PoolInstances(q.Name))
					y.fold(record.Record{Apply: &record.Apply{Deployment: "bench", Base: y.s.Catalog.Version, Put: []manifest.Object{{Pool: &q}}}})
					begun := time.Now()
					p := y.plan()
					change += time.Since(begun)
					if lack > 0 {
						ratio := float64(moved(p)) / float64(lack)
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
