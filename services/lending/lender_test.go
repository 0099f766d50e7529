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

// pool simulates a pool's owner: it persists its allowances at once and starts what they allow.
type pool struct {
	epoch   uint64
	set     quota.Allowances
	used    map[string]int // thousandths of a core
	waiting map[string]int
	config  *config.Config
	lowered map[string]uint64

	minStart int           // least that can start, 0 for any
	waitTime time.Duration // how long nothing has started
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

// begin starts the waiting work that the allowances cover.
func (p *pool) begin() {
	for _, o := range p.config.Customers {
		if p.lowered[o.Name] > p.set.Version {
			continue
		}
		available := p.set.For(o.Name, o.Limit).CPU - p.used[o.Name]
		n := max(min(available, p.waiting[o.Name]), 0)
		p.used[o.Name] += n
		p.waiting[o.Name] -= n
	}
}

func (p *pool) report(q quota.Query) quota.Report {
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
			a.MinStart.CPU, a.WaitTime = max(p.minStart, 1), p.waitTime
		}
		requested := false
		for _, name := range q.Accounts {
			requested = requested || name == o.Name
		}
		if requested || a.Paused || a.Demand.CPU*quota.ReportFactor > p.set.For(o.Name, o.Limit).CPU {
			s.Accounts[o.Name] = a
		}
	}
	return s
}

// sim is a lender with its journal, and simulated pools.
type sim struct {
	lender  Lender
	journal map[string]port.Record
	pools   map[string]*pool
	config  *config.Config
	limits  []setLimit
	now     time.Time
	lost    func() bool // whether the next message is lost
	onLost  func(pool string, q quota.Query)
	calls   int
	bytes   int
	appends int
}

func newSim(pools, customers, limit int) *sim {
	s := &sim{journal: make(map[string]port.Record), pools: make(map[string]*pool), now: time.Unix(1000, 0), lost: func() bool { return false }}
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

// names returns the names of the pools, in order, so that a history repeats exactly with the same
// seed.
func (s *sim) names() []string { return slices.Sorted(maps.Keys(s.pools)) }

// report delivers the quota parts of all pools' reports.
func (s *sim) report() {
	for _, name := range s.names() {
		p := s.pools[name]
		if !s.lost() {
			s.lender.ApplyReport(name, p.report(quota.Query{Epoch: s.lender.Epoch, Accounts: s.lender.WantedAccounts()}), s.now)
		}
	}
}

// round makes one plan and sends it to the pools.
func (s *sim) round(t *testing.T) {
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
		q := s.lender.Query(name)
		if s.lost() {
			if s.onLost != nil {
				s.onLost(name, q)
			}
			continue
		}
		a := s.pools[name].report(q)
		data, _ := json.Marshal([]any{q, a}) // the messages can always be encoded
		s.bytes += len(data)
		if !s.lost() {
			s.lender.ApplyReport(name, a, s.now)
		}
	}
}

// step is one period of the holder of the role.
func (s *sim) step(t *testing.T) {
	s.report()
	for range 3 {
		s.round(t)
	}
	s.now = s.now.Add(120 * time.Millisecond)
}

// using returns what all pools together use of a customer's limit.
func (s *sim) using(customer string) int {
	sum := 0
	for _, p := range s.pools {
		sum += p.used[customer]
	}
	return sum
}

// TestCustomersFarBelowTheirLimitsCostNothing guards against messages for unaffected customers:
// 1,000 customers that use little in each of 124 pools cause no call, no byte and no append once
// each pool has received its part.
func TestCustomersFarBelowTheirLimitsCostNothing(t *testing.T) {
	s := newSim(124, 1000, 1_000_000)
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

// TestCapacityPassesWithinOneStep guards against allowances that stay with an idle pool: a pool has
// used most of a limit and now uses nothing. Another pool that wants it gets it within one step.
func TestCapacityPassesWithinOneStep(t *testing.T) {
	s := newSim(4, 20, 1000)
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

// failedHistories are seeds of histories, out of 20,000, that have failed. A limit was raised and
// lowered again within a step or two, and the pools that went directly from the first to the third
// version did not pause the customers and went on using what the holder had lent them under the
// second.
var failedHistories = []uint64{5940, 8437, 8563, 11166, 12226, 15157, 19514}

// TestLimitHoldsInHistories guards against use above a limit: it simulates random histories in
// which messages are lost, holders and owners are replaced, limits change and all pools want more
// than is available. The sum of what all pools use never grows above the limit.
func TestLimitHoldsInHistories(t *testing.T) {
	t.Parallel()
	const histories, steps, customers, pools, limit = 300, 80, 3, 4, 1000
	seeds := slices.Clone(failedHistories)
	for seed := range uint64(histories) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 1))
			s := newSim(pools, customers, limit)
			s.lost = func() bool { return r.IntN(5) == 0 }
			for n := range steps {
				s.disturb(r, n)
				s.step(t)
				s.beginAll(t, seed, n)
			}
		})
	}
}

// TestLimitUnknownToSomePools guards against use above a limit that was raised and lowered again
// while only the holder had read the version between. It was seen once in CI, alone on the machine,
// as a history that used 1,129 of 1,111; on that code, 4 of 40 runs of 300 histories failed the
// same way. A trace of history 19514 (limits 305, 1,081, 613) shows the cause: the holder had lent
// all of 1,081 to four pools, none of which had known that limit. For them 613 was not a lower
// limit, so none paused the customer, and the use stayed at 1,081.
func TestLimitUnknownToSomePools(t *testing.T) {
	const first, between, last, pools = 305, 1081, 613, 4
	s := newSim(pools, 1, first)
	surge := func() {
		s.step(t)
		for _, name := range s.names() {
			p := s.pools[name]
			p.used["c0"] -= p.used["c0"] / 10 // as tasks end
			p.waiting["c0"] = between
			p.begin()
		}
	}
	for range 20 {
		surge()
	}
	s.config = configOf(2, pools, 1, between)
	surge()
	s.config = configOf(3, pools, 1, last)
	for _, p := range s.pools {
		p.configure(s.config)
	}
	for n := range 2 * applySteps {
		surge()
		assert.Assert(t, s.using("c0") <= last, "step %d: uses %d of %d", n, s.using("c0"), last)
	}
	assert.Assert(t, s.using("c0") > last*9/10, "uses %d of %d", s.using("c0"), last)
}

// disturb applies random events before a step.
func (s *sim) disturb(r *rand.Rand, n int) {
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
			p.epoch++ // a new owner has the state that the last one persisted
		}
	}
	if r.IntN(15) == 0 {
		next := Lender{Epoch: s.lender.Epoch + 1}
		for _, record := range s.journal {
			if err := next.Restore(record, s.now); err != nil {
				panic(err) // written by the lender itself
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

// setLimit is the limit of all customers and the step in which it was set.
type setLimit struct{ limit, at int }

// applySteps is the number of steps within which a configuration is in force everywhere: 3 s.
const applySteps = 25

// inForce returns the highest limit that may be in force in a step.
func (s *sim) inForce(n int) int {
	most := 0
	for i, l := range s.limits {
		if last := i == len(s.limits)-1; last || n-s.limits[i+1].at <= applySteps {
			most = max(most, l.limit)
		}
	}
	return most
}

// BenchmarkSurges runs surges in one pool after another for the customers that use most (a tenth of
// all, at least two), each of which then wants twice its limit. It reports the calls, bytes and
// appends per second in addition to those of the pools' reports, and after how many steps a surge
// has two thirds of the limit.
func BenchmarkSurges(b *testing.B) {
	for _, size := range [][2]int{{4, 20}, {20, 20}, {124, 20}, {4, 1000}, {20, 1000}, {124, 1000}} {
		b.Run(fmt.Sprintf("%d pools/%d customers", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				surges(b, size[0], size[1])
			}
		})
	}
}

// surges simulates 16 s, in which four pools have a surge of four seconds each.
func surges(b *testing.B, pools, customers int) {
	const limit, period, steps = 1_000_000, 33, 4 * 33
	s := newSim(pools, customers, limit)
	t := &testing.T{}
	for range 3 {
		s.step(t)
	}
	s.calls, s.bytes, s.appends = 0, 0, 0
	waited, surged := 0, 0
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
				surged++
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
	b.ReportMetric(float64(waited)/float64(surged), "steps")
}

// TestSmallDemandBesideASurgeIsServed guards against starvation of small demand: one pool uses all
// of a limit and wants twenty times the limit. Another pool that begins to want a two-hundredth of
// it gets that within 3 s, also repeatedly. In a run with an overloaded pool, customers with limits
// of 1,100 cores and more had an allowance of 0 in another pool for up to 19 s, and a job that
// needed six cores did not start.
func TestSmallDemandBesideASurgeIsServed(t *testing.T) {
	const limit, small, within = 1_000_000, 5000, 25
	s := newSim(20, 20, limit) // so that the reserve of a pool is not enough
	a, b := s.pools["p0"], s.pools["p1"]
	surge := func() {
		a.used["c0"] -= a.used["c0"] / 10 // as tasks end
		a.waiting["c0"] = 20 * limit
		s.step(t)
		a.begin()
		b.begin()
	}
	for range 30 {
		surge()
	}
	assert.Assert(t, a.used["c0"] > limit*8/10, "%d", a.used["c0"])
	for n := range 5 {
		b.waiting["c0"] = small
		steps := 0
		for ; b.used["c0"] < small && steps <= within; steps++ {
			surge()
		}
		assert.Assert(t, steps <= within, "time %d: uses %d after %d steps", n, b.used["c0"], steps)
		b.used["c0"] = 0
		for range 12 {
			surge()
		}
	}
}

// TestStarvedGangGetsItsShare guards against a gang that waits for its customer's limit without end
// (LOST): small tasks of the customer follow one another in another pool, and the gang is larger
// than what their demand leaves of the limit.
func TestStarvedGangGetsItsShare(t *testing.T) {
	s := newSim(2, 1, 8000)
	const gang = 5142
	small, other := s.pools["p0"], s.pools["p1"]
	other.waiting["c0"], other.minStart = gang, gang
	for n := 0; other.set.For("c0", job.Size{CPU: 8000}).CPU < gang; n++ {
		assert.Assert(t, n < 40, "the gang's pool has %d of 8000 after %d steps", other.set.For("c0", job.Size{CPU: 8000}).CPU, n)
		small.used["c0"] = max(small.used["c0"]-1500, 0) // one task ends
		small.waiting["c0"] = 20000
		small.begin()
		other.waitTime = time.Duration(n) * 120 * time.Millisecond
		s.step(t)
		assert.Assert(t, s.using("c0") <= 8000)
	}
}
