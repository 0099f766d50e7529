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

// plan is one planning pass.
type plan struct {
	l        *Lender
	config   *config.Config
	names    []string                  // names of the configured pools that run tasks
	previous map[string]allowanceState // each pool's allowances before this plan
	now      time.Time
}

// allowanceState is the part of a pool's state that a plan may change.
type allowanceState struct{ bound, sent quota.Allowances }

// begin begins a plan. It adds states for new pools and removes those of pools that were removed
// from the configuration long ago.
func (l *Lender) begin(c *config.Config, now time.Time) *plan {
	p := &plan{l: l, config: c, previous: make(map[string]allowanceState), now: now}
	for _, o := range c.Pools {
		if !o.Headroom {
			p.names = append(p.names, o.Name)
			l.state(o.Name, now)
		}
	}
	for name, b := range l.states {
		p.previous[name] = allowanceState{b.bound, b.sent}
		if !slices.Contains(p.names, name) && now.Sub(b.lastContact) > forgetAfter {
			delete(l.states, name)
		}
	}
	return p
}

// lower applies what pools have reported: a bound is reduced to the allowances of this holder that a
// pool has persisted, but not below what it uses. Those of an earlier holder don't count: a pool may
// receive later ones of that holder, up to its bound, until it has persisted allowances of this one.
func (p *plan) lower() {
	for _, b := range p.l.states {
		if !b.reported || !b.confirmed || b.sent.Epoch != p.l.Epoch {
			continue
		}
		bound := b.sent
		for customer, a := range b.report.Accounts {
			limit := p.limit(customer)
			if allowed := b.sent.For(customer, limit); !quota.Within(a.Used, allowed, limit) {
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

// send sets a pool's new allowances, to be sent to it.
func (p *plan) send(b *poolState, a quota.Allowances) {
	b.sent, b.confirmed = a, false
}

// setDefaultParts gives each pool the same part of every limit without a request. If a pool is
// added, the others return their excess first.
func (p *plan) setDefaultParts() {
	want := 0.0
	if hasLimits(p.config) {
		want = defaultShare / float64(max(len(p.names), 1))
	}
	left := defaultShare
	for _, b := range p.l.states {
		left -= b.bound.DefaultFraction
	}
	for _, name := range p.l.pools() {
		b := p.l.states[name]
		if !b.reported {
			continue
		}
		newPart := want
		if !slices.Contains(p.names, name) {
			newPart = 0
		}
		next := b.sent
		switch more := newPart - b.bound.DefaultFraction; {
		case b.sent.DefaultFraction > newPart:
			next.DefaultFraction = newPart
			p.send(b, next)
		case more > 0 && left >= more-partEpsilon && b.follows(p.config.Version):
			left -= more
			p.pin(b, more)
			next = b.sent
			next.DefaultFraction, b.bound.DefaultFraction = newPart, newPart
			p.send(b, next)
		}
	}
}

// pin keeps a pool's bound and allowance unchanged, while its part of all limits rises, for the
// customers of whose limit the additional part is not free.
func (p *plan) pin(b *poolState, more float64) {
	for i := range p.config.Customers {
		c := &p.config.Customers[i]
		if !quota.HasLimit(c.Limit) || quota.Within(c.Limit.Scale(more), p.free(c.Name, c.Limit), c.Limit) {
			continue
		}
		b.bound = b.bound.With(c.Name, b.boundFor(c.Name, c.Limit))
		b.sent = b.sent.With(c.Name, b.sent.For(c.Name, c.Limit))
	}
}

// replaceEarlier sends each pool that has allowances of an earlier holder the same ones of this holder, so that
// it takes none of the earlier one any more.
func (p *plan) replaceEarlier() {
	if !hasLimits(p.config) {
		return
	}
	for _, name := range p.l.pools() {
		b := p.l.states[name]
		if !b.reported || b.sent.Epoch == p.l.Epoch {
			continue
		}
		next := b.sent
		next.Epoch = p.l.Epoch
		p.send(b, next)
	}
}

// partEpsilon is the rounding error allowed in sums of parts.
const partEpsilon = 1e-9

// resumePaused lets the pools resume customers that are paused since a limit was lowered. Once all
// pools use the current configuration, their reported use is complete and does not grow any more.
func (p *plan) resumePaused() {
	stale := false
	for _, name := range p.names {
		b := p.l.states[name]
		if !b.follows(p.config.Version) {
			return
		}
		stale = stale || b.sent.Version < p.config.Version
	}
	if !stale {
		return
	}
	paused := make(map[string]bool)
	for _, name := range p.names {
		for customer, a := range p.l.states[name].report.Accounts {
			if a.Paused {
				paused[customer] = true
			}
		}
	}
	for _, customer := range slices.Sorted(maps.Keys(paused)) {
		p.resumeCustomer(customer)
	}
	for _, name := range p.names {
		b := p.l.states[name]
		next := b.sent
		next.Version = p.config.Version
		p.send(b, next)
	}
}

// resumeCustomer sets each pool's bound to what it uses of a customer's limit, or to its default
// part if that is more and fits. If the total use is above the limit, nothing starts in any pool
// until enough tasks have ended.
func (p *plan) resumeCustomer(customer string) {
	limit := p.limit(customer)
	used, keeps := make(map[string]job.Size, len(p.l.states)), make(map[string]job.Size, len(p.l.states))
	var allUsed, allKept job.Size
	for name, b := range p.l.states {
		a, reported := b.account(customer)
		used[name] = a.Used
		if !reported || !a.Paused {
			used[name] = b.boundFor(customer, limit).Max(a.Used)
		}
		keeps[name] = used[name].Max(limit.Scale(min(b.sent.DefaultFraction, b.bound.DefaultFraction)))
		allUsed, allKept = allUsed.Plus(used[name]), allKept.Plus(keeps[name])
	}
	if !quota.Within(allKept, limit, limit) {
		keeps = used
	}
	begins := quota.Within(allUsed, limit, limit)
	for name, b := range p.l.states {
		if !b.reported {
			continue
		}
		if defaultPart := limit.Scale(b.sent.DefaultFraction); begins && b.sent.DefaultFraction == b.bound.DefaultFraction && keeps[name] == defaultPart {
			b.bound = b.bound.Without(customer)
			p.send(b, b.sent.Without(customer))
			continue
		}
		b.bound = b.bound.With(customer, keeps[name])
		if !begins {
			keeps[name] = job.Size{}
		}
		p.send(b, b.sent.With(customer, keeps[name]))
	}
}

// reclaim takes back what a pool has not used much of for a while, so that it is free when another
// pool needs it: half of it each time, down to the default part.
func (p *plan) reclaim() {
	for _, name := range p.names {
		b := p.l.states[name]
		if !b.reported || !b.confirmed {
			continue
		}
		for _, customer := range slices.Sorted(maps.Keys(b.sent.ByCustomer)) {
			limit := p.limit(customer)
			if _, reported := b.account(customer); reported || b.idleSince[customer].IsZero() {
				b.markUsed(customer, p.now)
				continue
			}
			if !quota.HasLimit(limit) || p.now.Sub(b.idleSince[customer]) < reclaimAfter {
				continue
			}
			b.markUsed(customer, p.now)
			has, defaultPart := b.sent.For(customer, limit), limit.Scale(b.sent.DefaultFraction)
			switch half := has.Scale(reclaimPart); {
			case !quota.Within(half, defaultPart, limit):
				p.send(b, b.sent.With(customer, half))
			case !quota.Within(has, defaultPart, limit):
				p.send(b, b.sent.With(customer, has.Min(defaultPart)))
			case quota.Within(defaultPart.Minus(has), p.free(customer, limit), limit):
				b.bound = b.bound.Without(customer)
				p.send(b, b.sent.Without(customer))
			}
		}
	}
}

// Unused lent capacity is reclaimed by half each second: a surge that pauses for a second keeps
// half, and the next pool's surge finds most of the limit free.
const (
	reclaimAfter = time.Second
	reclaimPart  = 0.5
)

// markUsed restarts the period after which unused capacity is reclaimed: the pool has used much of
// a customer's allowance, or has just returned a part of it.
func (b *poolState) markUsed(customer string, now time.Time) {
	if b.idleSince == nil {
		b.idleSince = make(map[string]time.Time)
	}
	b.idleSince[customer] = now
}

// changes numbers the changed allowances and returns the records of the changed bounds.
func (p *plan) changes() ([]port.Record, error) {
	var records []port.Record
	for name, last := range p.previous {
		b := p.l.states[name]
		if b == nil {
			records = append(records, port.Record{Key: prefixBound + name})
			continue
		}
		if !reflect.DeepEqual(b.sent, last.sent) {
			p.l.number++
			b.sent.Epoch, b.sent.Revision = p.l.Epoch, p.l.number
			p.l.Logger.Info().Str("event", "allowance").Str("of", name).Uint64("number", b.sent.Revision).Uint64("config", b.sent.Version).
				Float64("part", b.sent.DefaultFraction).Int("customers", len(b.sent.ByCustomer)).Str("outcome", "set").Msg("allowances of a pool set")
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
