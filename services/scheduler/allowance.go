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

// The quota of a customer over all pools is divided among them: a pool starts what its allowance
// permits. A run counts from when it is planned until its capacity is free, whatever happens to its
// order. The allowances are persisted with the pool, so that the next owner has the same; a lowered
// one counts as accepted only once it is persisted.

// keyAllowances is the key of the pool's persisted allowances.
const keyAllowances = "q/"

// allowances is what customers may run in the pool, and what they do run.
type allowances struct {
	current      quota.Allowances // in force
	persisted    quota.Allowances // the newest whose reductions are all persisted
	changed      bool             // since the last batch
	reducedBatch uint64           // batch that carries the newest reduction
	used         map[string]job.Size
	loweredIn    map[string]uint64     // version of the configuration in which a customer's limit was last lowered
	waitingSince map[string]time.Time  // since when tasks of a customer wait for its allowance without any starting
	logAgainAt   map[string]time.Time  // earliest time of the next log line about that
	stillWaiting map[string]bool       // customers with tasks found waiting since the last endWaiting
	heldFor      map[string]*stepState // gangs for which the other tasks of their customers wait, as of the last plan
}

// addUse adds to what a customer has running.
func (a *allowances) addUse(customer string, size job.Size) {
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

// limitOf returns the limit of a customer, zero for none. A customer that was removed from the
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

// allowsStart reports whether a customer's allowance permits one more start, or that of a gang.
func (p *Pool) allowsStart(customer string, size job.Size) bool {
	limit := p.limitOf(customer)
	if !quota.HasLimit(limit) {
		return true
	}
	return !p.paused(customer) && quota.Within(p.allowances.used[customer].Plus(size), p.allowances.current.For(customer, limit), limit)
}

// paused reports whether a customer may start nothing: its limit was lowered after the pool's
// allowances were set.
func (p *Pool) paused(customer string) bool {
	return p.allowances.loweredIn[customer] > p.allowances.current.Version
}

// Smaller tasks of a customer use what becomes free of its allowance before it is enough for a gang.
const (
	// gangLimitWait is how long a gang waits beside them. It doubles with each hold after which the
	// gang could not start: what other pools use may never leave enough.
	gangLimitWait = 5 * time.Second
	// gangHoldTime is how long no other task of the customer starts then in the pool: runs have to
	// end here and in other pools, and what they used has to be lent.
	gangHoldTime = 6 * time.Second
	// maxGangHolds is the number of holds after which gangLimitWait doubles no more.
	maxGangHolds = 5
)

// holdForGangs finds, for each customer, the gang that has waited longest for the allowance and for
// which the other tasks of the customer wait, except long-running ones, which serve users.
func (p *Pool) holdForGangs(list []candidate, now time.Time) {
	held := make(map[string]*stepState)
	for _, c := range list {
		s, customer := c.step, c.job.sub.Customer
		if s.limitedSince.IsZero() {
			continue
		}
		limit := p.limitOf(customer)
		if !quota.HasLimit(limit) || !quota.Within(s.startSize(), limit, limit) {
			continue // the limit was changed since
		}
		if o := held[customer]; p.holdsFor(s, now) && (o == nil || s.limitedSince.Before(o.limitedSince)) {
			held[customer] = s
		}
	}
	for customer, s := range held {
		if p.allowances.heldFor[customer] != s {
			p.Logger.Info().Str("event", "limit").Str("customer", customer).Str("job", string(s.ref.Job)).Int("step", s.ref.Step).
				Int("task_cpu", s.startSize().CPU).Int("used_cpu", p.allowances.used[customer].CPU).Dur("waited", now.Sub(s.limitedSince)).
				Int("holds", s.holds).Str("outcome", "held").Msg("tasks of a customer wait until a gang can start")
			p.increment(limitHeld)
		}
	}
	p.allowances.heldFor = held
}

// holdsFor reports whether other tasks may be held for a gang now. After a hold in vain the gang waits
// anew.
func (p *Pool) holdsFor(s *stepState, now time.Time) bool {
	begins := s.limitedSince.Add(gangLimitWait << min(s.holds, maxGangHolds))
	ends := begins.Add(gangHoldTime)
	p.schedulePlan(begins, now)
	p.schedulePlan(ends, now)
	if !now.Before(ends) || p.holdsInVain(s, begins, now) {
		s.limitedSince, s.drainedSince = now, time.Time{}
		s.holds++
		return false
	}
	return !now.Before(begins)
}

// holdsInVain reports whether a hold that began at a time keeps tasks of a customer of which nothing else has been
// running in the pool for maxIdleReservation: what the gang waits for, other pools use.
func (p *Pool) holdsInVain(s *stepState, begins, now time.Time) bool {
	if now.Before(begins) || p.hasEndingRuns(s.job.sub.Customer) {
		s.drainedSince = time.Time{}
		return false
	}
	if s.drainedSince.IsZero() {
		s.drainedSince = now
	}
	end := s.drainedSince.Add(maxIdleReservation)
	p.schedulePlan(end, now)
	return !now.Before(end)
}

// hasEndingRuns reports whether a customer has runs in the pool that end by themselves.
func (p *Pool) hasEndingRuns(customer string) bool {
	for _, j := range p.active {
		if j.sub.Customer != customer {
			continue
		}
		for u := range j.active {
			if !u.step().spec.LongRunning {
				return true
			}
		}
	}
	return false
}

// startSize returns the least that can start of a step: a task, or its gang.
func (s *stepState) startSize() job.Size {
	if s.spec.Gang {
		return s.spec.Size.Times(s.count())
	}
	return s.spec.Size
}

// waitLogInterval is the time between log lines about one customer's waiting tasks.
const waitLogInterval = 5 * time.Second

// noteWaiting records that a task waits for its customer's allowance; it logs the first one, and
// one in every waitLogInterval after that.
func (p *Pool) noteWaiting(j *jobState, size job.Size, now time.Time) {
	c := j.sub.Customer
	if p.allowances.waitingSince == nil {
		p.allowances.waitingSince, p.allowances.logAgainAt, p.allowances.stillWaiting = make(map[string]time.Time), make(map[string]time.Time), make(map[string]bool)
	}
	p.allowances.stillWaiting[c] = true
	if _, known := p.allowances.waitingSince[c]; !known {
		p.allowances.waitingSince[c] = now
	}
	if next := p.allowances.logAgainAt[c]; now.Before(next) {
		p.schedulePlan(next, now)
		return
	}
	p.allowances.logAgainAt[c] = now.Add(waitLogInterval)
	p.schedulePlan(p.allowances.logAgainAt[c], now)
	limit, used := p.limitOf(c), p.allowances.used[c]
	allowed := p.allowances.current.For(c, limit)
	p.Logger.Info().Str("event", "limit").Str("customer", c).Str("job", string(j.sub.ID)).Int("task_cpu", size.CPU).Int("task_memory_mb", size.MemoryMB).
		Int("used_cpu", used.CPU).Int("used_memory_mb", used.MemoryMB).Int("allowed_cpu", allowed.CPU).Int("allowed_memory_mb", allowed.MemoryMB).
		Int("limit_cpu", limit.CPU).Int("limit_memory_mb", limit.MemoryMB).Bool("held", p.paused(c)).Uint64("config", p.configVersion()).
		Dur("waited", now.Sub(p.allowances.waitingSince[c])).Uint64("allowances", p.allowances.current.Version).Str("outcome", "waits").Msg("tasks wait for their customer's allowance in this pool")
}

// noteStart records that a task of a customer starts: the waiting time of the others counts anew,
// so that pools take turns if one task at a time fits.
func (a *allowances) noteStart(customer string, now time.Time) {
	if _, waits := a.waitingSince[customer]; waits {
		a.waitingSince[customer] = now
	}
}

// waitedAtLimit returns how long tasks of a customer have waited for its allowance without any
// starting.
func (p *Pool) waitedAtLimit(customer string, now time.Time) time.Duration {
	since, waits := p.allowances.waitingSince[customer]
	if !waits {
		return 0
	}
	return now.Sub(since)
}

// endWaiting removes, at the end of a plan, the customers of whom the plan found no task waiting
// for an allowance.
func (p *Pool) endWaiting(now time.Time) {
	defer clear(p.allowances.stillWaiting)
	for c, since := range p.allowances.waitingSince {
		if p.allowances.stillWaiting[c] {
			continue
		}
		delete(p.allowances.waitingSince, c)
		delete(p.allowances.logAgainAt, c)
		p.Logger.Info().Str("event", "limit").Str("customer", c).Dur("waited", now.Sub(since)).Str("outcome", "begins").
			Msg("no task waits for its customer's allowance any more")
	}
}

// noteLimits records the limits that a configuration lowers. For an owner's first configuration the
// limits before it are unknown; then only the persisted allowances show what was in force.
func (p *Pool) noteLimits(next *config.Config) {
	if p.allowances.loweredIn == nil {
		p.allowances.loweredIn = make(map[string]uint64)
	}
	for i := range next.Customers {
		c := &next.Customers[i]
		if !quota.HasLimit(c.Limit) {
			continue
		}
		if p.config == nil || quota.IsLowered(p.limitOf(c.Name), c.Limit) {
			p.allowances.loweredIn[c.Name] = next.Version
		}
	}
	maps.DeleteFunc(p.allowances.loweredIn, func(name string, _ uint64) bool { return next.Customer(name) == nil })
}

// notePersistedAllowances records which allowances are persisted as far as they reduce anything.
func (p *Pool) notePersistedAllowances() {
	if p.allowances.reducedBatch <= p.committed {
		p.allowances.persisted = p.allowances.current
	}
}

// QuotaReport returns the pool's report on its allowances, in response to a request.
func (p *Pool) QuotaReport(q quota.Query, now time.Time) quota.Report {
	s := quota.Report{OwnerEpoch: p.Token, ConfigVersion: p.configVersion(), Allowances: p.allowances.persisted, Accounts: p.accounts(q, now)}
	if s.Allowances.Epoch == q.Epoch {
		s.Allowances.ByCustomer = nil
	}
	if current := p.allowances.current; current.Epoch != q.Epoch && p.allowances.persisted.OlderThan(current) {
		s.Current = &current
	}
	return s
}

// SetAllowances applies allowances from the holder of the instances role, unless newer ones are
// known. It returns the batch that carries the newest reduction.
func (p *Pool) SetAllowances(a quota.Allowances) uint64 {
	last := p.allowances.current
	if !last.OlderThan(a) {
		return p.allowances.reducedBatch
	}
	p.allowances.current, p.allowances.changed, p.needsPlan = a, true, true
	if p.reduces(last, a) {
		p.allowances.reducedBatch = p.batch
	}
	p.notePersistedAllowances()
	p.Logger.Info().Str("event", "allowance").Uint64("epoch", a.Epoch).Uint64("number", a.Revision).Uint64("config", a.Version).Float64("part", a.DefaultFraction).
		Int("customers", len(a.ByCustomer)).Uint64("batch", p.batch).Str("outcome", "taken").Msg("pool allowances changed")
	return p.allowances.reducedBatch
}

// reduces reports whether allowances are lower than earlier ones in any part, or exclude those of an
// earlier holder that are still on their way.
func (p *Pool) reduces(previous, now quota.Allowances) bool {
	if now.Epoch != previous.Epoch || now.DefaultFraction < previous.DefaultFraction {
		return true
	}
	for _, of := range []map[string]job.Size{previous.ByCustomer, now.ByCustomer} {
		for c := range of {
			limit := p.limitOf(c)
			if !previous.For(c, limit).FitsIn(now.For(c, limit)) {
				return true
			}
		}
	}
	return false
}

// accounts returns the accounts of the customers that are requested, that are paused, or that want
// much of their allowance.
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
		used, waits := p.allowances.used[c.Name], waiting[c.Name]
		a := quota.Account{
			Used: quota.MaskUnlimited(used, c.Limit), Demand: quota.MaskUnlimited(used.Plus(waits.total), c.Limit), MinStart: quota.MaskUnlimited(waits.smallest, c.Limit),
			WaitTime: p.waitedAtLimit(c.Name, now), Paused: p.paused(c.Name),
		}
		if !a.Paused && !slices.Contains(q.Accounts, c.Name) && quota.Within(a.Demand.Times(quota.ReportFactor), p.allowances.current.For(c.Name, c.Limit), c.Limit) {
			continue
		}
		if list == nil {
			list = make(map[string]quota.Account)
		}
		list[c.Name] = a
	}
	return list
}

// waitingDemand is the demand of a customer's waiting tasks.
type waitingDemand struct {
	total    job.Size
	smallest job.Size // the smallest demand that can start on its own; zero for none
}

// add adds the waiting tasks of a step, a number of times.
func (w *waitingDemand) add(s *stepState, times int) {
	w.total = w.total.Plus(s.spec.Size.Times(s.waiting * times))
	one := s.startSize()
	if w.smallest == (job.Size{}) || one.CPU < w.smallest.CPU || one.CPU == w.smallest.CPU && one.MemoryMB < w.smallest.MemoryMB {
		w.smallest = one
	}
}

// waitingByCustomer returns the demand of runnable tasks for each customer with a limit.
func (p *Pool) waitingByCustomer(now time.Time) map[string]waitingDemand {
	waiting := make(map[string]waitingDemand)
	var list []candidate
	for _, j := range p.active {
		if !quota.HasLimit(p.limitOf(j.sub.Customer)) {
			continue
		}
		for _, c := range p.runnableSteps(j, now, list[:0]) {
			if p.hasNoWorker(c.step, now) {
				continue
			}
			sum := waiting[j.sub.Customer]
			sum.add(c.step, p.roundsLike(c.job, c.step.ref.Round, now))
			waiting[j.sub.Customer] = sum
		}
	}
	for customer, s := range p.allowances.heldFor {
		if sum, waits := waiting[customer]; waits {
			sum.smallest = s.startSize()
			waiting[customer] = sum
		}
	}
	return waiting
}

// allowancesRecord returns the record of the pool's allowances.
func (p *Pool) allowancesRecord() (port.Record, error) {
	value, err := codec.Marshal(p.allowances.current)
	return port.Record{Key: keyAllowances, Value: value}, err
}

// restoreAllowances restores the allowances that an earlier owner persisted.
func (p *Pool) restoreAllowances(records []port.Record) error {
	for _, r := range records {
		if r.Key != keyAllowances || len(r.Value) == 0 {
			continue
		}
		if err := codec.Unmarshal(r.Value, &p.allowances.current); err != nil {
			return errors.Annotate(err, "allowances")
		}
		p.allowances.persisted = p.allowances.current
	}
	return nil
}

// ExceedsLimit returns a step of a job that cannot be served because one of its tasks, or a gang of
// them, exceeds its customer's limit; false for none.
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
