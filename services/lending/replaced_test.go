// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lending

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/quota"
)

// succeed replaces the lender by one that knows its journal only, with the next epoch.
func (s *sim) succeed(t *testing.T) {
	t.Helper()
	next := Lender{Epoch: s.lender.Epoch + 1}
	for _, r := range s.journal {
		assert.NilError(t, next.Restore(r, s.now))
	}
	s.lender = next
}

// TestLateAllowancesOfAReplacedHolder guards against use above a limit: a holder has persisted a higher bound of a
// pool and is replaced before the allowances arrive there. The next holder has a report of the lower ones, lends the
// difference to another pool, and then the first holder's allowances arrive.
func TestLateAllowancesOfAReplacedHolder(t *testing.T) {
	const limit = 1000
	s := newSim(2, 1, limit)
	for range 3 {
		s.step(t)
	}
	a, b := s.pools["p0"], s.pools["p1"]
	a.waiting["c0"] = limit * 6 / 10
	a.begin()
	s.report()
	s.lost = func() bool { return true }
	s.round(t)
	late := s.lender.Query("p0")
	assert.Assert(t, late.Allowances != nil && late.Allowances.ByCustomer["c0"].CPU > a.set.For("c0", a.config.Customers[0].Limit).CPU)

	s.lost = func() bool { return false }
	s.succeed(t)
	a.waiting["c0"], b.waiting["c0"] = 0, limit
	for range 10 {
		s.step(t)
		b.begin()
	}
	assert.Assert(t, b.used["c0"] > limit/2, "uses %d", b.used["c0"])
	a.waiting["c0"] = limit
	a.report(late)
	a.begin()
	assert.Assert(t, s.using("c0") <= limit, "%d of %d", s.using("c0"), limit)
}

// lateQuery is a query that arrives after others.
type lateQuery struct {
	pool  string
	query quota.Query
}

// TestLimitHoldsWithLateMessages guards against use above a limit: messages of a holder arrive after it was replaced,
// while the pools change their owners.
func TestLimitHoldsWithLateMessages(t *testing.T) {
	t.Parallel()
	const histories, steps, customers, pools, limit = 150, 80, 3, 4, 1000
	for seed := range uint64(histories) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 2))
			s := newSim(pools, customers, limit)
			s.lost = func() bool { return r.IntN(3) == 0 }
			var late []lateQuery
			s.onLost = func(pool string, q quota.Query) { late = append(late, lateQuery{pool, q}) }
			for n := range steps {
				s.disturb(r, n)
				s.step(t)
				late = slices.DeleteFunc(late, func(q lateQuery) bool {
					if r.IntN(8) > 0 {
						return false
					}
					s.pools[q.pool].report(q.query)
					return true
				})
				s.beginAll(t, seed, n)
			}
		})
	}
}

// beginAll begins in each pool what its allowances cover, and checks that the limits hold.
func (s *sim) beginAll(t *testing.T, seed uint64, n int) {
	t.Helper()
	for _, name := range s.names() {
		p, before := s.pools[name], map[string]int{}
		for _, o := range s.config.Customers {
			before[o.Name] = s.using(o.Name)
		}
		p.begin()
		for _, o := range s.config.Customers {
			most := max(s.inForce(n), p.config.Customer(o.Name).Limit.CPU)
			now := s.using(o.Name)
			assert.Assert(t, now == before[o.Name] || now <= most, "seed %d, step %d: %s uses %d of %d", seed, n, o.Name, now, most)
		}
	}
}
