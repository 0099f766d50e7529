// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/state"
)

// preemptPatience is how long a pool in which room is being made is left alone;
// then the work that is in the way is told to stop again.
const preemptPatience = time.Second

// Placer makes plans one after another, and looks again only at the pools in
// which something has changed that a placement rests on. Its zero value has
// seen none; one goroutine uses it.
type Placer struct {
	version uint64 // of the configuration
	seen    map[string]seenPool
}

// seenPool is what a look at a pool came to.
type seenPool struct {
	at      uint64 // offset of the state that was looked at
	waiting map[string]Reason
	teams   map[string]bool // whose quota keeps runs waiting

	customers map[string]bool // whose limits do
	again     time.Time       // when to look again in any case, zero for never
}

// Place returns the placements for a state, and remembers the pools in which
// there is nothing to do until something changes. A pool with proposals is
// looked at again, since they may come to nothing.
func (p *Placer) Place(s state.State, entry string, incarnation uint64) Plan {
	if p.seen == nil || p.version != s.Catalog.Version {
		p.seen = make(map[string]seenPool)
		p.version = s.Catalog.Version
	}
	pools := slices.Collect(s.PoolsWithWaiting())
	maps.DeleteFunc(p.seen, func(pool string, _ seenPool) bool {
		_, waits := slices.BinarySearch(pools, pool) // they come by name
		return !waits
	})
	changed := slices.DeleteFunc(pools, func(pool string) bool { return !p.changed(s, pool) })
	if len(changed) == 0 {
		return Plan{}
	}
	plan := placeIn(s, entry, incarnation, changed)
	for _, pool := range changed {
		p.seen[pool] = look(s, pool, plan.Waiting[pool])
	}
	for _, r := range plan.Records {
		run, _ := s.Runs.Get(r.Place.ID)
		seen := p.seen[run.Job.Pool]
		seen.at = 0
		p.seen[run.Job.Pool] = seen
	}
	return plan
}

// changed reports whether a pool must be looked at.
func (p *Placer) changed(s state.State, pool string) bool {
	seen, ok := p.seen[pool]
	if !ok || s.PoolChangedAt(pool) > seen.at || !seen.again.IsZero() && !s.Now.Before(seen.again) {
		return true
	}
	for team := range seen.teams {
		if s.TeamChangedAt(team) > seen.at {
			return true
		}
	}
	for customer := range seen.customers {
		if s.CustomerChangedAt(customer) > seen.at {
			return true
		}
	}
	return false
}

// look notes why the runs of a pool wait, and what could end that.
func look(s state.State, pool string, waiting map[string]Reason) seenPool {
	seen := seenPool{at: s.Offset, waiting: waiting, teams: make(map[string]bool), customers: make(map[string]bool)}
	for id, why := range waiting {
		switch why {
		case OverQuota:
			r, _ := s.Runs.Get(id)
			seen.teams[r.Job.Team] = true
		case OverLimit:
			r, _ := s.Runs.Get(id)
			seen.customers[r.Job.Customer] = true
		case Preempting:
			seen.lookAgain(s.Now.Add(preemptPatience))
		}
	}
	for _, i := range s.PoolInstances(pool) {
		if i.EjectedUntil.After(s.Now) {
			seen.lookAgain(i.EjectedUntil)
		}
	}
	return seen
}

// lookAgain sets the time of the next look, if it is the earliest.
func (p *seenPool) lookAgain(at time.Time) {
	if p.again.IsZero() || at.Before(p.again) {
		p.again = at
	}
}

// waiting returns why runs wait, by pool and run.
func (p *Placer) waiting() map[string]map[string]Reason {
	all := make(map[string]map[string]Reason, len(p.seen))
	for pool, seen := range p.seen {
		all[pool] = seen.waiting
	}
	return all
}
