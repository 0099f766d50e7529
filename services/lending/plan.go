// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lending

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// plan is the making of one plan.
type plan struct {
	l      *Lender
	config *config.Config
	names  []string         // of the pools that run tasks by the configuration
	before map[string]entry // of each book, as it was
	now    time.Time
}

// entry is what a plan may change of a book.
type entry struct{ bound, told quota.Allowances }

// begin begins a plan: pools that have come get a book, those that have gone for long
// lose theirs.
func (l *Lender) begin(c *config.Config, now time.Time) *plan {
	p := &plan{l: l, config: c, before: make(map[string]entry), now: now}
	for _, o := range c.Pools {
		if !o.Headroom {
			p.names = append(p.names, o.Name)
			l.book(o.Name, now)
		}
	}
	for name, b := range l.books {
		p.before[name] = entry{b.bound, b.told}
		if !slices.Contains(p.names, name) && now.Sub(b.since) > forgetAfter {
			delete(l.books, name)
		}
	}
	return p
}

// lower takes what pools say that they have: a bound comes down to the allowances that a
// pool has kept, though not below what it uses.
func (p *plan) lower() {
	for _, b := range p.l.books {
		if !b.heard || !b.taken {
			continue
		}
		bound := b.told
		for customer, a := range b.said.Accounts {
			limit := p.limit(customer)
			if allowed := b.told.For(customer, limit); !quota.Within(a.Used, allowed, limit) {
				bound = bound.With(customer, allowed.Max(a.Used))
			}
		}
		b.bound = bound
	}
}

func (p *plan) limit(customer string) job.Size {
	if c := p.config.Customer(customer); c != nil {
		return c.Limit
	}
	return job.Size{}
}

// tell gives a pool other allowances.
func (p *plan) tell(b *book, a quota.Allowances) {
	b.told, b.taken = a, false
}

// standingParts gives each pool the same part of every limit to have without being asked for. Where
// a pool has come, the others give first.
func (p *plan) standingParts() {
	want := 0.0
	if hasLimits(p.config) {
		want = standingShare / float64(max(len(p.names), 1))
	}
	left := standingShare
	for _, b := range p.l.books {
		left -= b.bound.DefaultFraction
	}
	for _, name := range p.l.pools() {
		b := p.l.books[name]
		if !b.heard {
			continue
		}
		aim := want
		if !slices.Contains(p.names, name) {
			aim = 0
		}
		next := b.told
		switch more := aim - b.bound.DefaultFraction; {
		case b.told.DefaultFraction > aim:
			next.DefaultFraction = aim
			p.tell(b, next)
		case more > 0 && left >= more-tinyPart && b.follows(p.config.Version):
			left -= more
			p.pin(b, more)
			next = b.told
			next.DefaultFraction, b.bound.DefaultFraction = aim, aim
			p.tell(b, next)
		}
	}
}

// pin keeps the allowances of a pool as they are for the customers of whom so much more of
// their limits is not free, though its part of all limits rises.
func (p *plan) pin(b *book, more float64) {
	for i := range p.config.Customers {
		c := &p.config.Customers[i]
		if !quota.HasLimit(c.Limit) || quota.Within(c.Limit.Scale(more), p.free(c.Name, c.Limit), c.Limit) {
			continue
		}
		b.bound = b.bound.With(c.Name, b.most(c.Name, c.Limit))
		b.told = b.told.With(c.Name, b.told.For(c.Name, c.Limit))
	}
}

// tinyPart is by how much sums of parts may be off, as they are rounded.
const tinyPart = 1e-9

// settle has the pools begin again what they hold since a limit was lowered. Once each of
// them goes by the configuration, what they use tells what there is: it grows no more.
func (p *plan) settle() {
	stale := false
	for _, name := range p.names {
		b := p.l.books[name]
		if !b.follows(p.config.Version) {
			return
		}
		stale = stale || b.told.Version < p.config.Version
	}
	if !stale {
		return
	}
	held := make(map[string]bool)
	for _, name := range p.names {
		for customer, a := range p.l.books[name].said.Accounts {
			if a.Paused {
				held[customer] = true
			}
		}
	}
	for _, customer := range slices.Sorted(maps.Keys(held)) {
		p.settleOne(customer)
	}
	for _, name := range p.names {
		b := p.l.books[name]
		next := b.told
		next.Version = p.config.Version
		p.tell(b, next)
	}
}

// settleOne has each pool keep what it uses of a customer's, or its standing part where that
// is more and there is room for it. Where what is used is above the limit together, nothing
// begins in any until enough has ended.
func (p *plan) settleOne(customer string) {
	limit := p.limit(customer)
	used, keeps := make(map[string]job.Size, len(p.l.books)), make(map[string]job.Size, len(p.l.books))
	var allUsed, allKept job.Size
	for name, b := range p.l.books {
		a, told := b.account(customer)
		used[name] = a.Used
		if !told || !a.Paused {
			used[name] = b.most(customer, limit).Max(a.Used)
		}
		keeps[name] = used[name].Max(limit.Scale(min(b.told.DefaultFraction, b.bound.DefaultFraction)))
		allUsed, allKept = allUsed.Plus(used[name]), allKept.Plus(keeps[name])
	}
	if !quota.Within(allKept, limit, limit) {
		keeps = used
	}
	begins := quota.Within(allUsed, limit, limit)
	for name, b := range p.l.books {
		if !b.heard {
			continue
		}
		if standing := limit.Scale(b.told.DefaultFraction); begins && b.told.DefaultFraction == b.bound.DefaultFraction && keeps[name] == standing {
			b.bound = b.bound.Without(customer)
			p.tell(b, b.told.Without(customer))
			continue
		}
		b.bound = b.bound.With(customer, keeps[name])
		if !begins {
			keeps[name] = job.Size{}
		}
		p.tell(b, b.told.With(customer, keeps[name]))
	}
}

// relax takes back what a pool has not used much of for a while, so that it is free when
// another pool needs it: half of it each time, down to the part that all customers have.
func (p *plan) relax() {
	for _, name := range p.names {
		b := p.l.books[name]
		if !b.heard || !b.taken {
			continue
		}
		for _, customer := range slices.Sorted(maps.Keys(b.told.ByCustomer)) {
			limit := p.limit(customer)
			if _, told := b.account(customer); told || b.idle[customer].IsZero() {
				b.used(customer, p.now)
				continue
			}
			if !quota.HasLimit(limit) || p.now.Sub(b.idle[customer]) < relaxAfter {
				continue
			}
			b.used(customer, p.now)
			has, standing := b.told.For(customer, limit), limit.Scale(b.told.DefaultFraction)
			switch half := has.Scale(relaxPart); {
			case !quota.Within(half, standing, limit):
				p.tell(b, b.told.With(customer, half))
			case !quota.Within(has, standing, limit):
				p.tell(b, b.told.With(customer, has.Min(standing)))
			case quota.Within(standing.Minus(has), p.free(customer, limit), limit):
				b.bound = b.bound.Without(customer)
				p.tell(b, b.told.Without(customer))
			}
		}
	}
}

// What a pool has lent and does not use goes back by halves, each second: a rush that pauses
// for a second keeps half, and the next pool's rush finds most of the limit free.
const (
	relaxAfter = time.Second
	relaxPart  = 0.5
)

// used notes that a pool has used much of a customer's allowance, or given some of it back.
func (b *book) used(customer string, now time.Time) {
	if b.idle == nil {
		b.idle = make(map[string]time.Time)
	}
	b.idle[customer] = now
}

// changes gives numbers to the allowances that have changed and returns the records of the
// bounds that have.
func (p *plan) changes() ([]port.Record, error) {
	var records []port.Record
	for name, last := range p.before {
		b := p.l.books[name]
		if b == nil {
			records = append(records, port.Record{Key: prefixBound + name})
			continue
		}
		if !reflect.DeepEqual(b.told, last.told) {
			p.l.number++
			b.told.Epoch, b.told.Revision = p.l.Epoch, p.l.number
			p.l.Logger.Info().Str("event", "allowance").Str("of", name).Uint64("number", b.told.Revision).Uint64("config", b.told.Version).
				Float64("part", b.told.DefaultFraction).Int("customers", len(b.told.ByCustomer)).Str("outcome", "set").Msg("a pool's allowances are set")
		}
		if b.bound.DefaultFraction == last.bound.DefaultFraction && maps.Equal(b.bound.ByCustomer, last.bound.ByCustomer) {
			continue
		}
		value, err := codec.Marshal(b.bound)
		if err != nil {
			return nil, err
		}
		records = append(records, port.Record{Key: prefixBound + name, Value: value})
	}
	return records, nil
}
