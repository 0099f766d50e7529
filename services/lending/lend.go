// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lending

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
)

// headroom is how many times what it wants a pool is lent where there is enough: what comes
// in the first second of a rush, while an instance is on its way, finds room.
const headroom = 3

// lend lends to the pools that want much of what they have of a customer's. What is free is
// lent at once; where that does not do for what waits, the limit is shared out by what all
// pools want, and those that have more than their share give it back first.
func (p *plan) lend() {
	for _, customer := range p.told() {
		limit := p.limit(customer)
		if !quota.HasLimit(limit) || !p.fits(customer, limit) { // more runs than is allowed since the limit was lowered
			continue
		}
		free := p.free(customer, limit)
		if lacks := p.lacks(customer, limit, 1); quota.Within(lacks, free, limit) {
			p.lendFree(customer, limit, lacks, free)
			continue
		}
		p.ask(customer)
		if p.allTold(customer) {
			p.shareOut(customer, limit, free)
		}
	}
}

// ask has the accounts of a customer asked for from all pools.
func (p *plan) ask(customer string) {
	if p.l.asks == nil {
		p.l.asks = make(map[string]time.Time)
	}
	p.l.asks[customer] = p.now
}

// told returns the customers of whom a pool wants much of what it may use, in order.
func (p *plan) told() []string {
	told := make(map[string]bool)
	for _, name := range p.names {
		b := p.l.books[name]
		for customer := range b.said.Accounts {
			if p.wantsMuch(b, customer, p.limit(customer)) {
				told[customer] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(told))
}

// mayBeLent returns a pool's account of a customer, and false where it has told none, or is
// lent nothing now.
func (p *plan) mayBeLent(b *book, customer string) (quota.Account, bool) {
	a, told := b.account(customer)
	return a, told && b.follows(p.config.Version) && !a.Paused
}

// wantsMuch reports whether a pool that may be lent some wants much of what it may use.
func (p *plan) wantsMuch(b *book, customer string, limit job.Size) bool {
	a, may := p.mayBeLent(b, customer)
	return may && !quota.Within(a.Demand.Times(quota.ReportFactor).Min(limit), b.told.For(customer, limit), limit)
}

// sum returns what all pools may be using of a customer's.
func (p *plan) sum(customer string, limit job.Size) job.Size {
	var sum job.Size
	for _, b := range p.l.books {
		sum = sum.Plus(b.most(customer, limit))
	}
	return sum
}

// fits reports whether what all pools may be using is within a limit.
func (p *plan) fits(customer string, limit job.Size) bool {
	return quota.Within(p.sum(customer, limit), limit, limit)
}

// free returns what of a limit no pool has; parts without a limit are 0.
func (p *plan) free(customer string, limit job.Size) job.Size {
	return limit.Minus(p.sum(customer, limit)).Max(job.Size{})
}

// lacks returns what the pools want so many times beyond their bounds, together.
func (p *plan) lacks(customer string, limit job.Size, times int) job.Size {
	var sum job.Size
	for _, name := range p.names {
		sum = sum.Plus(p.lacksOf(p.l.books[name], customer, limit, times))
	}
	return sum
}

// lacksOf returns what a pool wants so many times beyond its bound.
func (p *plan) lacksOf(b *book, customer string, limit job.Size, times int) job.Size {
	a, may := p.mayBeLent(b, customer)
	if !may {
		return job.Size{}
	}
	wants := a.Demand.Times(times)
	if times > 1 {
		wants = wants.Max(limit.Scale(b.told.DefaultFraction)) // where there is enough, nobody has less than the standing part
	}
	return wants.Min(limit).Minus(b.most(customer, limit)).Max(job.Size{})
}

// lendFree lends to each pool what it lacks, and what there is of the headroom. All of them
// lack no more than is free.
func (p *plan) lendFree(customer string, limit, allLack, free job.Size) {
	spare := free.Minus(allLack)
	sum := p.lacks(customer, limit, headroom).Minus(allLack)
	for _, name := range p.names {
		b := p.l.books[name]
		if !p.wantsMuch(b, customer, limit) {
			continue
		}
		lacks := p.lacksOf(b, customer, limit, 1)
		more := p.lacksOf(b, customer, limit, headroom).Minus(lacks)
		p.raise(b, customer, limit, b.most(customer, limit).Plus(lacks).Plus(part(more, sum, spare)))
	}
}

// part returns a size, or where the sum of all is above what there is, its part of that.
func part(size, sum, there job.Size) job.Size {
	of := func(size, sum, there int) int {
		if sum <= there {
			return size
		}
		return int(float64(size) / float64(sum) * float64(there))
	}
	return job.Size{
		CPU: of(size.CPU, sum.CPU, there.CPU), MemoryMB: of(size.MemoryMB, sum.MemoryMB, there.MemoryMB),
		Accelerators: of(size.Accelerators, sum.Accelerators, there.Accelerators),
	}
}

// raise gives a pool a higher bound and the allowance of it.
func (p *plan) raise(b *book, customer string, limit, size job.Size) {
	size = size.Min(limit)
	if has := b.told.For(customer, limit); !changesMuch(size, has, limit) && (size == has || !b.waitsFor(customer, limit)) {
		return
	}
	b.bound = b.bound.With(customer, b.most(customer, limit).Max(size))
	p.tell(b, b.told.With(customer, size))
	p.log(customer, limit, b, "lent")
}

func (p *plan) log(customer string, limit job.Size, b *book, outcome string) {
	a, _ := b.account(customer)
	now := b.told.For(customer, limit)
	p.l.Logger.Info().Str("event", "allowance").Str("customer", customer).Str("of", b.pool).Int("allowed_cpu", now.CPU).Int("allowed_memory_mb", now.MemoryMB).
		Int("used_cpu", a.Used.CPU).Int("used_memory_mb", a.Used.MemoryMB).Int("wants_cpu", a.Demand.CPU).Int("wants_memory_mb", a.Demand.MemoryMB).
		Int("limit_cpu", limit.CPU).Int("limit_memory_mb", limit.MemoryMB).Dur("age", p.now.Sub(b.since)).Str("outcome", outcome).
		Msg("a customer's allowance in a pool has changed")
}

// allTold reports whether all pools that go by the configuration have told a customer's account.
func (p *plan) allTold(customer string) bool {
	for _, name := range p.names {
		if b := p.l.books[name]; b.follows(p.config.Version) {
			if _, told := b.account(customer); !told {
				return false
			}
		}
	}
	return true
}

// shareEvery is the least time from one lowering of shares that are used to the next: at its
// limit a customer's tasks follow one another within each pool, and it takes up to a second
// until what one gives is begun in another. Whatever waits gets its turn within three.
const shareEvery = 700 * time.Millisecond

// shareOut gives each pool its share of a limit, by what all of them want.
func (p *plan) shareOut(customer string, limit, free job.Size) {
	shares := p.shares(customer, limit)
	mayLower := p.now.Sub(p.l.shared[customer]) >= shareEvery
	if mayLower {
		if p.l.shared == nil {
			p.l.shared = make(map[string]time.Time)
		}
		p.l.shared[customer] = p.now
	}
	short := p.isShort(customer, limit, free, shares)
	for i, name := range p.names {
		b := p.l.books[name]
		a, _ := b.account(customer)
		if !b.follows(p.config.Version) || a.Paused {
			continue
		}
		share, has, most := shares[i], b.told.For(customer, limit), b.most(customer, limit)
		grows := share.Minus(most).Max(job.Size{}).Min(free)
		next := share.Min(most.Plus(grows))
		if idle := quota.Within(a.Demand.Times(quota.ReportFactor), has, limit); !mayLower && !idle {
			next = next.Max(has)
		}
		gives, gets := short && !quota.Within(has, next, limit), next != has.Min(limit) && b.waitsFor(customer, limit)
		if !changesMuch(next, has, limit) && !gives && !gets {
			continue
		}
		free = free.Minus(grows)
		if !grows.FitsIn(job.Size{}) {
			b.bound = b.bound.With(customer, most.Plus(grows))
		}
		p.tell(b, b.told.With(customer, next))
		p.log(customer, limit, b, "shared out")
	}
}

// waitsFor reports whether something of a customer waits that a pool's allowance does not bear.
func (b *book) waitsFor(customer string, limit job.Size) bool {
	a, told := b.account(customer)
	return told && !quota.Within(a.Demand.Min(limit), b.told.For(customer, limit), limit)
}

// isShort reports whether a pool's share is more than it can be given of what is free: then
// the others give what they have beyond theirs, however little that is.
func (p *plan) isShort(customer string, limit, free job.Size, shares []job.Size) bool {
	var lacks job.Size
	for i, name := range p.names {
		if b := p.l.books[name]; b.follows(p.config.Version) {
			lacks = lacks.Plus(shares[i].Min(limit).Minus(b.most(customer, limit)).Max(job.Size{}))
		}
	}
	return !quota.Within(lacks, free, limit)
}

// changesMuch reports whether an allowance differs enough from another to be told: by a
// hundredth of the limit, or up to the point where it meets a bound of 0.
func changesMuch(next, has, limit job.Size) bool {
	const least = 100
	much := func(next, has, limit int) bool {
		return limit > 0 && (max(next-has, has-next) >= max(limit/least, 1) || next == 0 && has > 0)
	}
	return much(next.CPU, has.CPU, limit.CPU) || much(next.MemoryMB, has.MemoryMB, limit.MemoryMB) || much(next.Accelerators, has.Accelerators, limit.Accelerators)
}

// reservePart is which part of its standing part of a limit a pool keeps that wants nothing
// while others want more than there is: the first job that comes begins at once, and with four
// pools a twentieth of the limit is left unused at most.
const reservePart = 1.0 / 8

// shares returns the share of each pool in a limit, in the order of their names.
func (p *plan) shares(customer string, limit job.Size) []job.Size {
	wants := make([]job.Size, len(p.names))
	left := limit
	for name, b := range p.l.books { // of pools that go by another configuration, all that they may use is taken
		if i := slices.Index(p.names, name); i >= 0 && b.follows(p.config.Version) {
			a, _ := b.account(customer)
			wants[i] = a.Demand.Max(limit.Scale(b.told.DefaultFraction * reservePart))
			continue
		}
		left = left.Minus(b.most(customer, limit))
	}
	return p.useful(customer, limit, left, wants)
}

// useful shares out what is left of a limit in whole tasks, where a pool wants more than its
// share: what is smaller than the task that waits is of use to nobody.
func (p *plan) useful(customer string, limit, left job.Size, wants []job.Size) []job.Size {
	shares := shareSizes(left, wants)
	var short []claimant
	for i, name := range p.names {
		a, _ := p.l.books[name].account(customer)
		if a.MinStart != (job.Size{}) && !quota.Within(wants[i], shares[i], limit) {
			shares[i] = a.MinStart.Times(fits(a.MinStart, shares[i], limit))
			short = append(short, claimant{i, a})
		}
		left = left.Minus(shares[i])
	}
	for given := true; given; {
		given = false
		slices.SortStableFunc(short, func(a, b claimant) int { return a.before(b, shares) })
		for _, c := range short {
			if quota.Within(c.account.MinStart, left, limit) && !quota.Within(c.account.Demand, shares[c.index], limit) {
				shares[c.index] = shares[c.index].Plus(c.account.MinStart)
				left = left.Minus(c.account.MinStart)
				given = true
				break
			}
		}
	}
	p.giveReserves(customer, limit, left, shares, short)
	return shares
}

// giveReserves gives the first of the claimants whose share does not bear the least that can
// begin there what other pools keep beyond what they want, where that is enough.
func (p *plan) giveReserves(customer string, limit, left job.Size, shares []job.Size, short []claimant) {
	if len(short) == 0 {
		return
	}
	keeps, room := make([]job.Size, len(shares)), left
	for i, name := range p.names {
		a, _ := p.l.books[name].account(customer)
		keeps[i] = shares[i].Min(a.Demand)
		room = room.Plus(shares[i].Minus(keeps[i]))
	}
	for _, c := range short {
		if quota.Within(c.account.MinStart, shares[c.index], limit) || !quota.Within(c.account.MinStart, room.Plus(keeps[c.index]), limit) {
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

// before orders claimants for what is left over: first those that can begin nothing, by how
// long something has waited there; then those that run more already, so that little is moved.
func (c claimant) before(o claimant, shares []job.Size) int {
	return cmp.Or(cmp.Compare(c.turn(shares), o.turn(shares)), cmp.Compare(o.account.WaitTime, c.account.WaitTime))
}

// turn returns the claimant's place among the others, lower for earlier.
func (c claimant) turn(shares []job.Size) int {
	switch share := shares[c.index]; {
	case share == job.Size{}:
		return 0
	case share.Plus(c.account.MinStart).FitsIn(c.account.Used):
		return 1
	}
	return 2
}

// fits returns how many times a size fits into room, in the parts in which there is a limit.
func fits(size, room, limit job.Size) int {
	n := math.MaxInt32
	for _, part := range [][3]int{{size.CPU, room.CPU, limit.CPU}, {size.MemoryMB, room.MemoryMB, limit.MemoryMB}, {size.Accelerators, room.Accelerators, limit.Accelerators}} {
		if part[2] > 0 && part[0] > 0 {
			n = min(n, part[1]/part[0])
		}
	}
	return n
}

// shareSizes shares a size out by wants, each of its parts by itself.
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
