// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/state"
)

// preemptRetryDelay is how long a pool is skipped after a request to stop some of its runs, which
// frees capacity; after that time a further stop is requested for those that still run.
const preemptRetryDelay = time.Second

// Placer makes successive plans and examines only the pools in which something has changed that
// placements depend on. Its zero value has examined none. It is not safe for concurrent use.
type Placer struct {
	version uint64 // of the configuration
	checks  map[string]poolCheck
}

// poolCheck is the result of the last placement attempt in a pool.
type poolCheck struct {
	offset    uint64 // offset of the state that was examined
	waiting   map[string]Reason
	teams     map[string]bool // teams whose quota keeps runs waiting
	customers map[string]bool // customers whose limits keep runs waiting
	recheckAt time.Time       // when to examine the pool again in any case, zero for never
}

// Place returns the placements for a state. It skips pools in which nothing can be placed until
// something changes. A pool with proposals is examined again, since they may be rejected.
func (p *Placer) Place(s state.State, entry string, incarnation uint64) Plan {
	if p.checks == nil || p.version != s.Catalog.Version {
		p.checks = make(map[string]poolCheck)
		p.version = s.Catalog.Version
	}
	pools := slices.Collect(s.PoolsWithWaiting())
	maps.DeleteFunc(p.checks, func(pool string, _ poolCheck) bool {
		_, waits := slices.BinarySearch(pools, pool) // they are sorted by name
		return !waits
	})
	changed := slices.DeleteFunc(pools, func(pool string) bool { return !p.changed(s, pool) })
	if len(changed) == 0 {
		return Plan{}
	}
	plan := placeIn(s, entry, incarnation, changed)
	for _, pool := range changed {
		p.checks[pool] = checkPool(s, pool, plan.Waiting[pool])
	}
	for _, r := range plan.Records {
		run, _ := s.Runs.Get(r.Place.ID)
		check := p.checks[run.Job.Pool]
		check.offset = 0
		p.checks[run.Job.Pool] = check
	}
	return plan
}

// changed reports whether a pool must be examined again.
func (p *Placer) changed(s state.State, pool string) bool {
	check, ok := p.checks[pool]
	if !ok || s.PoolChangedAt(pool) > check.offset || !check.recheckAt.IsZero() && !s.Now.Before(check.recheckAt) {
		return true
	}
	for team := range check.teams {
		if s.TeamChangedAt(team) > check.offset {
			return true
		}
	}
	for customer := range check.customers {
		if s.CustomerChangedAt(customer) > check.offset {
			return true
		}
	}
	return false
}

// checkPool records the reasons for which the runs of a pool wait, and the changes that could end
// the wait.
func checkPool(s state.State, pool string, waiting map[string]Reason) poolCheck {
	check := poolCheck{offset: s.Offset, waiting: waiting, teams: make(map[string]bool), customers: make(map[string]bool)}
	for id, reason := range waiting {
		switch reason {
		case OverQuota:
			r, _ := s.Runs.Get(id)
			check.teams[r.Job.Team] = true
		case OverLimit:
			r, _ := s.Runs.Get(id)
			check.customers[r.Job.Customer] = true
		case Preempting:
			check.recheckBy(s.Now.Add(preemptRetryDelay))
		}
	}
	for _, i := range s.PoolInstances(pool) {
		if i.EjectedUntil.After(s.Now) {
			check.recheckBy(i.EjectedUntil)
		}
	}
	return check
}

// recheckBy sets the time of the next check unless an earlier one is set.
func (p *poolCheck) recheckBy(at time.Time) {
	if p.recheckAt.IsZero() || at.Before(p.recheckAt) {
		p.recheckAt = at
	}
}

// waiting returns the reasons for which runs wait, by pool and run.
func (p *Placer) waiting() map[string]map[string]Reason {
	all := make(map[string]map[string]Reason, len(p.checks))
	for pool, check := range p.checks {
		all[pool] = check.waiting
	}
	return all
}
