// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lending

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
)

// headroom is the multiple of its demand that a pool is lent while enough is free: work that
// arrives in the first second of a surge, while an instance is on its way, finds capacity.
const headroom = 3

// lend lends to the pools whose demand is a large part of their allowance. Free capacity is lent at
// once. If it does not cover the waiting demand, the limit is shared out by the demand of all
// pools, and the pools with more than their share return the excess first.
func (p *plan) lend() {
	for _, customer := range p.demandingCustomers() {
		limit := p.limit(customer)
		if !quota.HasLimit(limit) || !p.fits(customer, limit) { // more is running than a lowered limit allows
			continue
		}
		free := p.free(customer, limit)
		if lacks := p.lacks(customer, limit, 1); quota.Within(lacks, free, limit) {
			p.lendFree(customer, limit, lacks, free)
			continue
		}
		p.requestAccounts(customer)
		if p.allReported(customer) {
			p.shareOut(customer, limit, free)
		}
	}
}

// requestAccounts requests a customer's accounts from all pools.
func (p *plan) requestAccounts(customer string) {
	if p.l.wanted == nil {
		p.l.wanted = make(map[string]time.Time)
	}
	p.l.wanted[customer] = p.now
}

// demandingCustomers returns, in order, the customers for whom a pool wants a large part of its
// allowance.
func (p *plan) demandingCustomers() []string {
	demanding := make(map[string]bool)
	for _, name := range p.names {
		b := p.l.states[name]
		for customer := range b.report.Accounts {
			if p.wantsMuch(b, customer, p.limit(customer)) {
				demanding[customer] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(demanding))
}

// mayBeLent returns a pool's account of a customer. It returns false if the pool has reported none
// or may not be lent anything now.
func (p *plan) mayBeLent(b *poolState, customer string) (quota.Account, bool) {
	a, reported := b.account(customer)
	return a, reported && b.follows(p.config.Version) && !a.Paused
}

// wantsMuch reports whether a pool that may be lent more wants a large part of its allowance.
func (p *plan) wantsMuch(b *poolState, customer string, limit job.Size) bool {
	a, may := p.mayBeLent(b, customer)
	return may && !quota.Within(a.Demand.Times(quota.ReportFactor).Min(limit), b.sent.For(customer, limit), limit)
}

// sum returns what all pools together may be using of a customer's limit.
func (p *plan) sum(customer string, limit job.Size) job.Size {
	var sum job.Size
	for _, b := range p.l.states {
		sum = sum.Plus(b.boundFor(customer, limit))
	}
	return sum
}

// fits reports whether what all pools may be using is within a limit.
func (p *plan) fits(customer string, limit job.Size) bool {
	return quota.Within(p.sum(customer, limit), limit, limit)
}

// free returns the part of a limit that no pool has. Dimensions without a limit are 0.
func (p *plan) free(customer string, limit job.Size) job.Size {
	return limit.Minus(p.sum(customer, limit)).Max(job.Size{})
}

// lacks returns how much a multiple of the pools' demands exceeds their bounds in total.
func (p *plan) lacks(customer string, limit job.Size, times int) job.Size {
	var sum job.Size
	for _, name := range p.names {
		sum = sum.Plus(p.lacksOf(p.l.states[name], customer, limit, times))
	}
	return sum
}

// lacksOf returns how much a multiple of a pool's demand exceeds its bound.
func (p *plan) lacksOf(b *poolState, customer string, limit job.Size, times int) job.Size {
	a, may := p.mayBeLent(b, customer)
	if !may {
		return job.Size{}
	}
	wants := a.Demand.Times(times)
	if times > 1 {
		wants = wants.Max(limit.Scale(b.sent.DefaultFraction)) // if enough is free, every pool gets at least its default part
	}
	return wants.Min(limit).Minus(b.boundFor(customer, limit)).Max(job.Size{})
}

// lendFree lends each pool what it lacks, plus its part of the headroom. The pools together lack no
// more than is free.
func (p *plan) lendFree(customer string, limit, allLack, free job.Size) {
	spare := free.Minus(allLack)
	sum := p.lacks(customer, limit, headroom).Minus(allLack)
	for _, name := range p.names {
		b := p.l.states[name]
		if !p.wantsMuch(b, customer, limit) {
			continue
		}
		lacks := p.lacksOf(b, customer, limit, 1)
		more := p.lacksOf(b, customer, limit, headroom).Minus(lacks)
		p.raise(b, customer, limit, b.boundFor(customer, limit).Plus(lacks).Plus(part(more, sum, spare)))
	}
}

// part returns a size, or its proportional part if the sum of all sizes exceeds the available size.
func part(size, sum, available job.Size) job.Size {
	of := func(size, sum, there int) int {
		if sum <= there {
			return size
		}
		return int(float64(size) / float64(sum) * float64(there))
	}
	return job.Size{
		CPU: of(size.CPU, sum.CPU, available.CPU), MemoryMB: of(size.MemoryMB, sum.MemoryMB, available.MemoryMB),
		Accelerators: of(size.Accelerators, sum.Accelerators, available.Accelerators),
	}
}

// raise sets a higher bound and allowance for a pool.
func (p *plan) raise(b *poolState, customer string, limit, size job.Size) {
	size = size.Min(limit)
	if has := b.sent.For(customer, limit); !changesMuch(size, has, limit) && (size == has || !b.waitsFor(customer, limit)) {
		return
	}
	b.bound = b.bound.With(customer, b.boundFor(customer, limit).Max(size))
	p.send(b, b.sent.With(customer, size))
	p.log(customer, limit, b, "lent")
}

func (p *plan) log(customer string, limit job.Size, b *poolState, outcome string) {
	a, _ := b.account(customer)
	now := b.sent.For(customer, limit)
	p.l.Logger.Info().Str("event", "allowance").Str("customer", customer).Str("of", b.pool).Int("allowed_cpu", now.CPU).Int("allowed_memory_mb", now.MemoryMB).
		Int("used_cpu", a.Used.CPU).Int("used_memory_mb", a.Used.MemoryMB).Int("wants_cpu", a.Demand.CPU).Int("wants_memory_mb", a.Demand.MemoryMB).
		Int("limit_cpu", limit.CPU).Int("limit_memory_mb", limit.MemoryMB).Dur("age", p.now.Sub(b.lastContact)).Str("outcome", outcome).
		Msg("a customer's allowance in a pool has changed")
}

// allReported reports whether all pools that use this configuration have reported a customer's
// account.
func (p *plan) allReported(customer string) bool {
	for _, name := range p.names {
		if b := p.l.states[name]; b.follows(p.config.Version) {
			if _, reported := b.account(customer); !reported {
				return false
			}
		}
	}
	return true
}

// shareEvery is the minimum time between two reductions of shares that are in use. At a customer's
// limit its tasks follow one another within each pool, and it takes up to a second until capacity
// returned by one pool is used in another. Any waiting demand gets its turn within three seconds.
const shareEvery = 700 * time.Millisecond

// shareOut sets each pool's share of a limit by the demand of all pools.
func (p *plan) shareOut(customer string, limit, free job.Size) {
	shares := p.shares(customer, limit)
	mayLower := p.now.Sub(p.l.sharedAt[customer]) >= shareEvery
	if mayLower {
		if p.l.sharedAt == nil {
			p.l.sharedAt = make(map[string]time.Time)
		}
		p.l.sharedAt[customer] = p.now
	}
	short := p.isShort(customer, limit, free, shares)
	for i, name := range p.names {
		b := p.l.states[name]
		a, _ := b.account(customer)
		if !b.follows(p.config.Version) || a.Paused {
			continue
		}
		share, has, most := shares[i], b.sent.For(customer, limit), b.boundFor(customer, limit)
		grows := share.Minus(most).Max(job.Size{}).Min(free)
		next := share.Min(most.Plus(grows))
		if idle := quota.Within(a.Demand.Times(quota.ReportFactor), has, limit); !mayLower && !idle {
			next = next.Max(has)
		}
		returns, receives := short && !quota.Within(has, next, limit), next != has.Min(limit) && b.waitsFor(customer, limit)
		if !changesMuch(next, has, limit) && !returns && !receives {
			continue
		}
		free = free.Minus(grows)
		if !grows.FitsIn(job.Size{}) {
			b.bound = b.bound.With(customer, most.Plus(grows))
		}
		p.send(b, b.sent.With(customer, next))
		p.log(customer, limit, b, "shared out")
	}
}

// waitsFor reports whether a customer has waiting work that a pool's allowance does not cover.
func (b *poolState) waitsFor(customer string, limit job.Size) bool {
	a, reported := b.account(customer)
	return reported && !quota.Within(a.Demand.Min(limit), b.sent.For(customer, limit), limit)
}

// isShort reports whether a pool's share exceeds what it can get of the free capacity. In this case
// the other pools return what they have beyond their shares, however little that is.
func (p *plan) isShort(customer string, limit, free job.Size, shares []job.Size) bool {
	var lacks job.Size
	for i, name := range p.names {
		if b := p.l.states[name]; b.follows(p.config.Version) {
			lacks = lacks.Plus(shares[i].Min(limit).Minus(b.boundFor(customer, limit)).Max(job.Size{}))
		}
	}
	return !quota.Within(lacks, free, limit)
}

// changesMuch reports whether an allowance differs enough from another to be sent: by a hundredth
// of the limit, or when it becomes 0.
func changesMuch(next, has, limit job.Size) bool {
	const least = 100
	much := func(next, has, limit int) bool {
		return limit > 0 && (max(next-has, has-next) >= max(limit/least, 1) || next == 0 && has > 0)
	}
	return much(next.CPU, has.CPU, limit.CPU) || much(next.MemoryMB, has.MemoryMB, limit.MemoryMB) || much(next.Accelerators, has.Accelerators, limit.Accelerators)
}

// reservePart is the fraction of its default part of a limit that a pool without demand keeps while
// others want more than is available. The first job that arrives then starts at once, and with four
// pools at most a twentieth of the limit is unused.
const reservePart = 1.0 / 8

// shares returns the share of each pool in a limit, in the order of their names.
func (p *plan) shares(customer string, limit job.Size) []job.Size {
	wants := make([]job.Size, len(p.names))
	left := limit
	for name, b := range p.l.states { // pools that use another configuration count with everything they may use
		if i := slices.Index(p.names, name); i >= 0 && b.follows(p.config.Version) {
			a, _ := b.account(customer)
			wants[i] = a.Demand.Max(limit.Scale(b.sent.DefaultFraction * reservePart))
			continue
		}
		left = left.Minus(b.boundFor(customer, limit))
	}
	return p.shareUsably(customer, limit, left, wants)
}

// shareUsably shares out the remaining part of a limit. A share in which not even the smallest waiting
// task of a pool can start is useless: it goes to another pool.
func (p *plan) shareUsably(customer string, limit, left job.Size, wants []job.Size) []job.Size {
	first, size := p.longestStarved(customer, limit, left, shareByShape(left, wants))
	if first >= 0 {
		left, wants[first] = left.Minus(size), job.Size{}
	}
	shares := shareByShape(left, wants)
	var short []claimant
	for i, name := range p.names {
		if i == first {
			left = left.Minus(shares[i])
			shares[i] = shares[i].Plus(size)
			continue
		}
		a, _ := p.l.states[name].account(customer)
		if a.MinStart != (job.Size{}) && !quota.Within(wants[i], shares[i], limit) {
			if !quota.Within(a.MinStart, shares[i], limit) {
				shares[i] = job.Size{}
			}
			short = append(short, claimant{i, a})
		}
		left = left.Minus(shares[i])
	}
	for assigned := true; assigned; {
		assigned = false
		slices.SortStableFunc(short, func(a, b claimant) int { return a.compare(b, shares) })
		for _, c := range short {
			if quota.Within(c.account.MinStart, left, limit) && !quota.Within(c.account.Demand, shares[c.index], limit) {
				shares[c.index] = shares[c.index].Plus(c.account.MinStart)
				left = left.Minus(c.account.MinStart)
				assigned = true
				break
			}
		}
	}
	p.assignReserves(customer, limit, left, shares, short)
	return shares
}

// starvedAfter is how long nothing may have started in a pool whose share does not cover what can
// start there, until it gets that before the limit is shared out.
const starvedAfter = time.Second

// longestStarved returns the index of the pool that has waited longest for more than its share, and
// the least that can start there; a negative index for none.
func (p *plan) longestStarved(customer string, limit, left job.Size, shares []job.Size) (index int, size job.Size) {
	index, longest := -1, starvedAfter
	for i, name := range p.names {
		a, _ := p.l.states[name].account(customer)
		if a.WaitTime < longest || quota.Within(a.MinStart, shares[i], limit) || !quota.Within(a.MinStart, left, limit) {
			continue
		}
		index, size, longest = i, a.MinStart, a.WaitTime
	}
	return index, size
}

// assignReserves assigns the reserves that other pools keep beyond their demand to the first
// claimant whose share does not cover the smallest task that can start there, if they are enough
// for it.
func (p *plan) assignReserves(customer string, limit, left job.Size, shares []job.Size, short []claimant) {
	if len(short) == 0 {
		return
	}
	keeps, available := make([]job.Size, len(shares)), left
	for i, name := range p.names {
		a, _ := p.l.states[name].account(customer)
		keeps[i] = shares[i].Min(a.Demand)
		available = available.Plus(shares[i].Minus(keeps[i]))
	}
	for _, c := range short {
		if quota.Within(c.account.MinStart, shares[c.index], limit) || !quota.Within(c.account.MinStart, available.Plus(keeps[c.index]), limit) {
			continue
		}
		copy(shares, keeps)
		shares[c.index] = c.account.MinStart
		return
	}
}

// claimant is a pool that wants more than its share.
type claimant struct {
	index   int
	account quota.Account
}

// compare orders claimants for the remaining capacity: first those that can't start anything, by
// how long something has waited there, then those that run more already, so that little is moved.
func (c claimant) compare(o claimant, shares []job.Size) int {
	return cmp.Or(cmp.Compare(c.rank(shares), o.rank(shares)), cmp.Compare(o.account.WaitTime, c.account.WaitTime))
}

// rank returns the claimant's rank among the others, lower for earlier.
func (c claimant) rank(shares []job.Size) int {
	switch share := shares[c.index]; {
	case share == job.Size{}:
		return 0
	case share.Plus(c.account.MinStart).FitsIn(c.account.Used):
		return 1
	}
	return 2
}

// shapeRounds is how often what pools cannot use of their shares is shared out again. Each time more than
// half of it finds a use where tasks of two pools are scarce in different dimensions.
const shapeRounds = 4

// shareByShape shares out a size by demand. Of a dimension that is not scarce for a pool, it gets what
// goes with its share of the scarce one by the shape of its demand, and the rest goes to pools of which
// it is the scarce one. What nobody needs by that is shared out in the end, since the tasks of a pool
// differ in shape.
func shareByShape(size job.Size, wants []job.Size) []job.Size {
	shares, wants, left := make([]job.Size, len(wants)), slices.Clone(wants), size
	for range shapeRounds {
		for i, share := range shareSizes(left, wants) {
			usable := wants[i].Scale(fraction(share, wants[i])).Min(share)
			shares[i], wants[i], left = shares[i].Plus(usable), wants[i].Minus(usable), left.Minus(usable)
		}
	}
	for i, share := range shareSizes(left, wants) {
		shares[i] = shares[i].Plus(share)
	}
	return shares
}

// fraction returns the part of a demand that a share covers in each dimension, at most 1.
func fraction(share, wants job.Size) float64 {
	least := 1.0
	for _, d := range [][2]int{{share.CPU, wants.CPU}, {share.MemoryMB, wants.MemoryMB}, {share.Accelerators, wants.Accelerators}} {
		if d[1] > 0 {
			least = min(least, float64(d[0])/float64(d[1]))
		}
	}
	return least
}

// shareSizes shares out a size by demand, each dimension separately.
func shareSizes(size job.Size, wants []job.Size) []job.Size {
	shares := make([]job.Size, len(wants))
	for _, part := range []func(s *job.Size) *int{
		func(s *job.Size) *int { return &s.CPU }, func(s *job.Size) *int { return &s.MemoryMB }, func(s *job.Size) *int { return &s.Accelerators },
	} {
		list := make([]int, len(wants))
		for i := range wants {
			list[i] = *part(&wants[i])
		}
		for i, share := range quota.FairShare(max(*part(&size), 0), list) {
			*part(&shares[i]) = share
		}
	}
	return shares
}
