// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// What a customer may have running over all pools is divided among them: the pool begins
// what its allowance bears. A run counts from when it is planned until its room is free,
// whatever has become of its order. The allowances are kept with the pool, so that the next
// owner has the same; a lower one counts as taken only once it is kept.

// keyAllowances is the key under which the pool's allowances are kept.
const keyAllowances = "q/"

// allowances is what the pool may have running, and has.
type allowances struct {
	set       quota.Allowances // that are in force
	kept      quota.Allowances // the newest in which all that was lowered is kept
	changed   bool             // since the last batch
	reducedIn uint64           // batch that carries the newest ones in which something was lowered
	used      map[string]job.Size
	lowered   map[string]uint64    // the version of the configuration in which a customer's limit was last seen lowered
	heldBack  map[string]time.Time // since when tasks of a customer wait for its allowance and none has begun
	tellAgain map[string]time.Time // when that is logged again
	waiting   map[string]bool      // customers of whom tasks were found to wait since endWaits
}

// count adds to what a customer has running.
func (a *allowances) count(customer string, size job.Size) {
	if a.used == nil {
		a.used = make(map[string]job.Size)
	}
	sum := a.used[customer].Plus(size)
	if sum == (job.Size{}) {
		delete(a.used, customer)
		return
	}
	a.used[customer] = sum
}

// limitOf returns the limit of a customer, the zero one for none. One that has left the
// configuration has none.
func (p *Pool) limitOf(customer string) job.Size {
	if customer == "" || p.config == nil {
		return job.Size{}
	}
	c := p.config.Customer(customer)
	if c == nil {
		return job.Size{}
	}
	return c.Limit
}

// lets reports whether a customer's allowance bears one more start, or a gang's together.
func (p *Pool) lets(customer string, size job.Size) bool {
	limit := p.limitOf(customer)
	if !quota.HasLimit(limit) {
		return true
	}
	return !p.held(customer) && quota.Within(p.allowed.used[customer].Plus(size), p.allowed.set.For(customer, limit), limit)
}

// held reports whether nothing of a customer begins: its limit was lowered, and the pool's
// allowances were set before.
func (p *Pool) held(customer string) bool { return p.allowed.lowered[customer] > p.allowed.set.Version }

// waitToldEvery is the time between two log lines of one customer whose tasks wait.
const waitToldEvery = 5 * time.Second

// waitsAtLimit notes that a task waits for its customer's allowance; the first is logged, and
// one each few seconds after.
func (p *Pool) waitsAtLimit(j *jobState, size job.Size, now time.Time) {
	c := j.sub.Customer
	if p.allowed.heldBack == nil {
		p.allowed.heldBack, p.allowed.tellAgain, p.allowed.waiting = make(map[string]time.Time), make(map[string]time.Time), make(map[string]bool)
	}
	p.allowed.waiting[c] = true
	if _, known := p.allowed.heldBack[c]; !known {
		p.allowed.heldBack[c] = now
	}
	if again := p.allowed.tellAgain[c]; now.Before(again) {
		p.wakeAt(again, now)
		return
	}
	p.allowed.tellAgain[c] = now.Add(waitToldEvery)
	p.wakeAt(p.allowed.tellAgain[c], now)
	limit, used := p.limitOf(c), p.allowed.used[c]
	allowed := p.allowed.set.For(c, limit)
	p.Logger.Info().Str("event", "limit").Str("customer", c).Str("job", string(j.sub.ID)).Int("task_cpu", size.CPU).Int("task_memory_mb", size.MemoryMB).
		Int("used_cpu", used.CPU).Int("used_memory_mb", used.MemoryMB).Int("allowed_cpu", allowed.CPU).Int("allowed_memory_mb", allowed.MemoryMB).
		Int("limit_cpu", limit.CPU).Int("limit_memory_mb", limit.MemoryMB).Bool("held", p.held(c)).Uint64("config", p.version()).
		Dur("waited", now.Sub(p.allowed.heldBack[c])).Uint64("allowances", p.allowed.set.Version).Str("outcome", "waits").Msg("tasks wait for their customer's allowance in this pool")
}

// begins notes that a task of a customer begins: those that wait have waited since then, so
// that pools take turns in which one task at a time finds room.
func (a *allowances) begins(customer string, now time.Time) {
	if _, waits := a.heldBack[customer]; waits {
		a.heldBack[customer] = now
	}
}

// atLimitFor returns for how long tasks of a customer have waited for its allowance while none
// has begun.
func (p *Pool) atLimitFor(customer string, now time.Time) time.Duration {
	since, waits := p.allowed.heldBack[customer]
	if !waits {
		return 0
	}
	return now.Sub(since)
}

// endWaits ends a plan: it forgets the customers of whom no task was found to wait for an
// allowance in it.
func (p *Pool) endWaits(now time.Time) {
	defer clear(p.allowed.waiting)
	for c, since := range p.allowed.heldBack {
		if p.allowed.waiting[c] {
			continue
		}
		delete(p.allowed.heldBack, c)
		delete(p.allowed.tellAgain, c)
		p.Logger.Info().Str("event", "limit").Str("customer", c).Dur("waited", now.Sub(since)).Str("outcome", "begins").
			Msg("no task waits for its customer's allowance any more")
	}
}

// relimit notes the limits that a configuration has lowered. Of what was in force before
// this owner has read its first one, only the allowances that were kept tell.
func (p *Pool) relimit(next *config.Config) {
	if p.allowed.lowered == nil {
		p.allowed.lowered = make(map[string]uint64)
	}
	for i := range next.Customers {
		c := &next.Customers[i]
		if !quota.HasLimit(c.Limit) {
			continue
		}
		if p.config == nil || quota.IsLowered(p.limitOf(c.Name), c.Limit) {
			p.allowed.lowered[c.Name] = next.Version
		}
	}
	maps.DeleteFunc(p.allowed.lowered, func(name string, _ uint64) bool { return next.Customer(name) == nil })
}

// keptAllowances notes which allowances are kept as far as they lower something.
func (p *Pool) keptAllowances() {
	if p.allowed.reducedIn <= p.committed {
		p.allowed.kept = p.allowed.set
	}
}

// QuotaReport returns what the pool tells of its allowances to who has asked.
func (p *Pool) QuotaReport(q quota.Query, now time.Time) quota.Report {
	s := quota.Report{OwnerEpoch: p.Token, ConfigVersion: p.version(), Allowances: p.allowed.kept, Accounts: p.accounts(q, now)}
	if s.Allowances.Epoch == q.Epoch {
		s.Allowances.ByCustomer = nil
	}
	return s
}

// SetAllowances takes allowances from the holder of the duty for instances, unless later ones are
// known. It returns the batch that carries the newest that lower something.
func (p *Pool) SetAllowances(a quota.Allowances) uint64 {
	last := p.allowed.set
	if !last.OlderThan(a) {
		return p.allowed.reducedIn
	}
	p.allowed.set, p.allowed.changed, p.moved = a, true, true
	if p.reduces(last, a) {
		p.allowed.reducedIn = p.batch
	}
	p.keptAllowances()
	p.Logger.Info().Str("event", "allowance").Uint64("epoch", a.Epoch).Uint64("number", a.Revision).Uint64("config", a.Version).Float64("part", a.DefaultFraction).
		Int("customers", len(a.ByCustomer)).Uint64("batch", p.batch).Str("outcome", "taken").Msg("the pool's allowances have changed")
	return p.allowed.reducedIn
}

// reduces reports whether something is lower in allowances than in earlier ones.
func (p *Pool) reduces(before, now quota.Allowances) bool {
	if now.DefaultFraction < before.DefaultFraction {
		return true
	}
	for _, of := range []map[string]job.Size{before.ByCustomer, now.ByCustomer} {
		for c := range of {
			limit := p.limitOf(c)
			if !before.For(c, limit).FitsIn(now.For(c, limit)) {
				return true
			}
		}
	}
	return false
}

// accounts returns the accounts of the customers that are asked for, that may not begin
// anything, and that want much of their allowance.
func (p *Pool) accounts(q quota.Query, now time.Time) map[string]quota.Account {
	if p.config == nil {
		return nil
	}
	var list map[string]quota.Account
	waiting := p.waitingByCustomer(now)
	for i := range p.config.Customers {
		c := &p.config.Customers[i]
		if !quota.HasLimit(c.Limit) {
			continue
		}
		used, waits := p.allowed.used[c.Name], waiting[c.Name]
		a := quota.Account{
			Used: quota.MaskUnlimited(used, c.Limit), Demand: quota.MaskUnlimited(used.Plus(waits.all), c.Limit), MinStart: quota.MaskUnlimited(waits.least, c.Limit),
			WaitTime: p.atLimitFor(c.Name, now), Paused: p.held(c.Name),
		}
		if !a.Paused && !slices.Contains(q.Accounts, c.Name) && quota.Within(a.Demand.Times(quota.ReportFactor), p.allowed.set.For(c.Name, c.Limit), c.Limit) {
			continue
		}
		if list == nil {
			list = make(map[string]quota.Account)
		}
		list[c.Name] = a
	}
	return list
}

// waits is what waits to begin of a customer.
type waits struct {
	all   job.Size
	least job.Size // that can begin by itself; the zero one for none
}

// add adds tasks of a step.
func (w *waits) add(s *stepState) {
	one := s.spec.Size
	w.all = w.all.Plus(one.Times(s.waiting))
	if s.spec.Gang {
		one = one.Times(len(s.tasks))
	}
	if w.least == (job.Size{}) || one.CPU < w.least.CPU || one.CPU == w.least.CPU && one.MemoryMB < w.least.MemoryMB {
		w.least = one
	}
}

// waitingByCustomer returns what waits to begin now of each customer with a limit.
func (p *Pool) waitingByCustomer(now time.Time) map[string]waits {
	waiting := make(map[string]waits)
	var list []candidate
	for _, j := range p.active {
		if !quota.HasLimit(p.limitOf(j.sub.Customer)) {
			continue
		}
		for _, c := range p.stepsOf(j, now, list[:0]) {
			sum := waiting[j.sub.Customer]
			sum.add(c.step)
			waiting[j.sub.Customer] = sum
		}
	}
	return waiting
}

// allowancesRecord returns the record of the pool's allowances.
func (p *Pool) allowancesRecord() (port.Record, error) {
	value, err := codec.Marshal(p.allowed.set)
	return port.Record{Key: keyAllowances, Value: value}, err
}

// restoreAllowances takes over what an earlier owner has kept of the allowances.
func (p *Pool) restoreAllowances(records []port.Record) error {
	for _, r := range records {
		if r.Key != keyAllowances || len(r.Value) == 0 {
			continue
		}
		if err := codec.Unmarshal(r.Value, &p.allowed.set); err != nil {
			return errors.Annotate(err, "allowances")
		}
		p.allowed.kept = p.allowed.set
	}
	return nil
}

// ExceedsLimit returns a step of a job that can't be served, since one of its tasks, or a gang of
// them, is larger than all that its customer may have running; false for none.
func (p *Pool) ExceedsLimit(s job.Submission) (step int, beyond bool) {
	if p.Has(s.ID) {
		return 0, false
	}
	limit := p.limitOf(s.Customer)
	for i := range s.Steps {
		size := s.Steps[i].Size
		if s.Steps[i].Gang {
			size = size.Times(s.Steps[i].Count)
		}
		if !quota.Within(size, limit, limit) {
			return i, true
		}
	}
	return 0, false
}
