// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lending

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/services/port"
)

// pool is a pool's owner as the lender meets it: it keeps what it is allowed at once, and
// begins what that bears.
type pool struct {
	epoch   uint64
	set     quota.Allowances
	used    map[string]int // thousandths of a core
	waiting map[string]int
	config  *config.Config
	lowered map[string]uint64
}

func (p *pool) configure(c *config.Config) {
	for _, o := range c.Customers {
		var before job.Size
		if last := p.config.Customer(o.Name); last != nil {
			before = last.Limit
		}
		if quota.IsLowered(before, o.Limit) {
			p.lowered[o.Name] = c.Version
		}
	}
	p.config = c
}

// begin begins what its allowance bears of what waits.
func (p *pool) begin() {
	for _, o := range p.config.Customers {
		if p.lowered[o.Name] > p.set.Version {
			continue
		}
		room := p.set.For(o.Name, o.Limit).CPU - p.used[o.Name]
		n := max(min(room, p.waiting[o.Name]), 0)
		p.used[o.Name] += n
		p.waiting[o.Name] -= n
	}
}

func (p *pool) statement(q quota.Query) quota.Report {
	if q.Allowances != nil && p.set.OlderThan(*q.Allowances) {
		p.set = *q.Allowances
	}
	s := quota.Report{OwnerEpoch: p.epoch, ConfigVersion: p.config.Version, Allowances: p.set, Accounts: make(map[string]quota.Account)}
	if p.set.Epoch == q.Epoch {
		s.Allowances.ByCustomer = nil
	}
	for _, o := range p.config.Customers {
		a := quota.Account{Used: job.Size{CPU: p.used[o.Name]}, Demand: job.Size{CPU: p.used[o.Name] + p.waiting[o.Name]}, Paused: p.lowered[o.Name] > p.set.Version}
		if p.waiting[o.Name] > 0 {
			a.MinStart.CPU = 1
		}
		asked := false
		for _, name := range q.Accounts {
			asked = asked || name == o.Name
		}
		if asked || a.Paused || a.Demand.CPU*quota.ReportFactor > p.set.For(o.Name, o.Limit).CPU {
			s.Accounts[o.Name] = a
		}
	}
	return s
}

// stage is a lender with its journal, and pools.
type stage struct {
	lender  Lender
	journal map[string]port.Record
	pools   map[string]*pool
	config  *config.Config
	limits  []setLimit
	now     time.Time
	lost    func() bool // whether a message is
	calls   int
	bytes   int
	appends int
}

func newStage(pools, customers, limit int) *stage {
	s := &stage{journal: make(map[string]port.Record), pools: make(map[string]*pool), now: time.Unix(1000, 0), lost: func() bool { return false }}
	s.lender.Epoch = 1
	s.config = configOf(1, pools, customers, limit)
	s.limits = []setLimit{{limit, 0}}
	for _, p := range s.config.Pools {
		s.pools[p.Name] = &pool{epoch: 1, used: map[string]int{}, waiting: map[string]int{}, config: s.config, lowered: map[string]uint64{}}
	}
	return s
}

func configOf(version uint64, pools, customers, limit int) *config.Config {
	var list []config.Pool
	for i := range pools {
		list = append(list, config.Pool{Name: fmt.Sprint("p", i)})
	}
	var of []config.Customer
	for i := range customers {
		of = append(of, config.Customer{Name: fmt.Sprint("c", i), Limit: job.Size{CPU: limit}})
	}
	return config.New(version, nil, list, config.Limits{}).WithCustomers(of)
}

// names returns the names of the pools, in order: a history is the same each time it is played.
func (s *stage) names() []string { return slices.Sorted(maps.Keys(s.pools)) }

// report has all pools tell what they would with their reports.
func (s *stage) report() {
	for _, name := range s.names() {
		p := s.pools[name]
		if !s.lost() {
			s.lender.ApplyReport(name, p.statement(quota.Query{Epoch: s.lender.Epoch, Accounts: s.lender.WantedAccounts()}), s.now)
		}
	}
}

// turn makes one plan and tells the pools.
func (s *stage) turn(t *testing.T) {
	records, err := s.lender.Plan(s.config, s.now)
	assert.NilError(t, err)
	if len(records) > 0 {
		s.appends++
	}
	for _, r := range records {
		s.journal[r.Key] = r
		s.bytes += len(r.Value)
	}
	for _, name := range s.lender.DuePools() {
		s.calls++
		if s.lost() {
			continue
		}
		q := s.lender.Query(name)
		a := s.pools[name].statement(q)
		data, _ := json.Marshal([]any{q, a}) // what is sent can be encoded
		s.bytes += len(data)
		if !s.lost() {
			s.lender.ApplyReport(name, a, s.now)
		}
	}
}

// step is one period of the holder of the duty.
func (s *stage) step(t *testing.T) {
	s.report()
	for range 3 {
		s.turn(t)
	}
	s.now = s.now.Add(120 * time.Millisecond)
}

// using returns what all pools use of a customer's.
func (s *stage) using(customer string) int {
	sum := 0
	for _, p := range s.pools {
		sum += p.used[customer]
	}
	return sum
}

// TestCustomersFarBelowTheirLimitsCostNothing: 1,000 customers that use little in each of 124
// pools cost no call, no byte and no append once each pool has been told its part.
func TestCustomersFarBelowTheirLimitsCostNothing(t *testing.T) {
	s := newStage(124, 1000, 1_000_000)
	for range 3 {
		s.step(t)
	}
	for _, p := range s.pools {
		for i := range 1000 {
			p.used[fmt.Sprint("c", i)] = 2000 - i
		}
	}
	s.calls, s.bytes, s.appends = 0, 0, 0
	for range 20 {
		s.step(t)
	}
	assert.Equal(t, [3]int{s.calls, s.bytes, s.appends}, [3]int{})
}

// TestRoomPassesWithinOneStep: a pool that has used most of a limit and uses nothing any more
// holds it; another one that wants it has it within one step.
func TestRoomPassesWithinOneStep(t *testing.T) {
	s := newStage(4, 20, 1000)
	s.step(t)
	a, b := s.pools["p0"], s.pools["p1"]
	a.waiting["c0"] = 800
	for range 3 {
		s.step(t)
		a.begin()
	}
	assert.Equal(t, a.used["c0"], 800)
	a.used["c0"] = 0
	b.waiting["c0"] = 800
	s.step(t)
	b.begin()
	assert.Assert(t, b.used["c0"] >= 790, "%d", b.used["c0"])
}

// failedHistories are the seeds of histories of 20,000 that have failed: a limit was raised and
// lowered again within a step or two, and pools that went from the first to the third did not
// hold back what the holder had lent them by the second.
var failedHistories = []uint64{5940, 8437, 8563, 11166, 12226, 15157, 19514}

// TestLimitHoldsInHistories plays histories in which messages are lost, holders and owners
// are replaced, limits change and everybody wants more than there is: what all pools use never
// grows above the limit.
func TestLimitHoldsInHistories(t *testing.T) {
	const histories, steps, customers, pools, limit = 300, 80, 3, 4, 1000
	seeds := slices.Clone(failedHistories)
	for seed := range uint64(histories) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		r := rand.New(rand.NewPCG(seed, 1))
		s := newStage(pools, customers, limit)
		s.lost = func() bool { return r.IntN(5) == 0 }
		for n := range steps {
			s.happen(r, n)
			s.step(t)
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
	}
}

// TestALimitThatNotAllHaveKnown: a limit is raised and lowered again, and the holder alone has
// read the version between. Seen once in CI, alone on the machine, as a history that uses 1,129
// of 1,111; 4 of 40 plays of 300 histories failed the same way on the code as it had landed.
// The cause, by a trace of history 19514 (limits 305, 1,081, 613): the holder had lent all of
// 1,081 to four pools, of which none had known that limit; for them 613 was no lower one, so
// none held back, and what they used stayed at 1,081.
func TestALimitThatNotAllHaveKnown(t *testing.T) {
	const first, between, last, pools = 305, 1081, 613, 4
	s := newStage(pools, 1, first)
	rush := func() {
		s.step(t)
		for _, name := range s.names() {
			p := s.pools[name]
			p.used["c0"] -= p.used["c0"] / 10 // as tasks end
			p.waiting["c0"] = between
			p.begin()
		}
	}
	for range 20 {
		rush()
	}
	s.config = configOf(2, pools, 1, between)
	rush()
	s.config = configOf(3, pools, 1, last)
	for _, p := range s.pools {
		p.configure(s.config)
	}
	for n := range 2 * applySteps {
		rush()
		assert.Assert(t, s.using("c0") <= last, "step %d: uses %d of %d", n, s.using("c0"), last)
	}
	assert.Assert(t, s.using("c0") > last*9/10, "uses %d of %d", s.using("c0"), last)
}

// happen has something happen before a step.
func (s *stage) happen(r *rand.Rand, n int) {
	for _, name := range s.names() {
		p := s.pools[name]
		for _, o := range s.config.Customers {
			p.used[o.Name] -= r.IntN(p.used[o.Name]/2 + 1)
			if r.IntN(3) == 0 {
				p.waiting[o.Name] += r.IntN(400)
			}
		}
		if p.config != s.config && r.IntN(2) == 0 {
			p.configure(s.config)
		}
		if r.IntN(20) == 0 {
			p.epoch++ // a new owner knows what the last one has kept
		}
	}
	if r.IntN(15) == 0 {
		next := Lender{Epoch: s.lender.Epoch + 1}
		for _, record := range s.journal {
			if err := next.Restore(record, s.now); err != nil {
				panic(err) // the lender has written it
			}
		}
		s.lender = next
	}
	if r.IntN(12) == 0 {
		limit := 300 + r.IntN(1000)
		s.config = configOf(uint64(n+2), len(s.pools), len(s.config.Customers), limit)
		s.limits = append(s.limits, setLimit{limit, n})
	}
}

// setLimit is a limit of all customers, and the step in which it was set.
type setLimit struct{ limit, at int }

// applySteps is within how many steps a configuration is in force everywhere: 3 s.
const applySteps = 25

// inForce returns the highest limit that may be in force in a step.
func (s *stage) inForce(n int) int {
	most := 0
	for i, l := range s.limits {
		if last := i == len(s.limits)-1; last || n-s.limits[i+1].at <= applySteps {
			most = max(most, l.limit)
		}
	}
	return most
}

// BenchmarkRushes has one pool after the other rush for the customers that use most, a tenth
// of all and two at least, each of which wants twice its limit then; it reports what passes a
// second beside the reports, and after how many steps a rush has two thirds of the limit.
func BenchmarkRushes(b *testing.B) {
	for _, size := range [][2]int{{4, 20}, {20, 20}, {124, 20}, {4, 1000}, {20, 1000}, {124, 1000}} {
		b.Run(fmt.Sprintf("%d pools/%d customers", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				rushes(b, size[0], size[1])
			}
		})
	}
}

// rushes plays 16 s, in which four pools rush for four seconds each.
func rushes(b *testing.B, pools, customers int) {
	const limit, period, steps = 1_000_000, 33, 4 * 33
	s := newStage(pools, customers, limit)
	t := &testing.T{}
	for range 3 {
		s.step(t)
	}
	s.calls, s.bytes, s.appends = 0, 0, 0
	waited, rushed := 0, 0
	for n := range steps {
		at := s.pools[fmt.Sprint("p", n/period)]
		for i := range max(customers/10, 2) {
			name := fmt.Sprint("c", i)
			for _, p := range s.pools {
				p.used[name] -= p.used[name] / 10
				p.waiting[name] = 0
			}
			at.waiting[name] = limit * 2 * min(n%period+1, 8) / 8
			if n%period == 0 {
				rushed++
			}
			if n%period < 8 && s.using(name) < limit*2/3*min(n%period+1, 8)/8 {
				waited++
			}
		}
		s.step(t)
		for _, p := range s.pools {
			p.begin()
		}
	}
	seconds := float64(steps) * 0.12
	b.ReportMetric(float64(s.calls)/seconds, "calls/s")
	b.ReportMetric(float64(s.bytes)/seconds, "bytes/s")
	b.ReportMetric(float64(s.appends)/seconds, "appends/s")
	b.ReportMetric(float64(waited)/float64(rushed), "steps")
}

// TestSmallWantBesideARushIsServed: one pool uses all of a limit and wants twenty times of it;
// another one that comes to want a two-hundredth has it within 3 s, also again and again. Seen
// on a day on which a pool was swamped: customers with limits of 1,100 cores and more had an
// allowance of 0 in another pool for up to 19 s, and a job that needs six cores did not begin.
func TestSmallWantBesideARushIsServed(t *testing.T) {
	const limit, small, within = 1_000_000, 5000, 25
	s := newStage(20, 20, limit) // so that what a pool keeps in any case does not do
	a, b := s.pools["p0"], s.pools["p1"]
	rush := func() {
		a.used["c0"] -= a.used["c0"] / 10 // as tasks end
		a.waiting["c0"] = 20 * limit
		s.step(t)
		a.begin()
		b.begin()
	}
	for range 30 {
		rush()
	}
	assert.Assert(t, a.used["c0"] > limit*8/10, "%d", a.used["c0"])
	for n := range 5 {
		b.waiting["c0"] = small
		steps := 0
		for ; b.used["c0"] < small && steps <= within; steps++ {
			rush()
		}
		assert.Assert(t, steps <= within, "time %d: uses %d after %d steps", n, b.used["c0"], steps)
		b.used["c0"] = 0
		for range 12 {
			rush()
		}
	}
}
