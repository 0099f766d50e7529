// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
)

// Reason says why a run waits.
type Reason string

// The reasons for which a run waits.
const (
	NoFreeCapacity   Reason = "no worker has room now"
	OverQuota        Reason = "the team's quota is used up"
	OverLimit        Reason = "the customer's limit is used up"
	TooLarge         Reason = "no worker of the pool is large enough"
	PoolNotInService Reason = "the pool has no instance in service"
	UnknownTeam      Reason = "the team is not declared"
	Preempting       Reason = "less urgent work is being moved away"
)

// Plan is what should happen next to the runs.
type Plan struct {
	Records []record.Record
	Preempt []string                     // runs to stop after a checkpoint, to make room
	Waiting map[string]map[string]Reason // by pool, then by run
}

// planner places runs on a state that it changes as it goes.
type planner struct {
	s           state.State
	name        string
	inc         uint64
	plan        Plan
	maintenance *manifest.Maintenance // nil for none
	pools       map[string][]state.Instance
	cores       map[string]int    // learned sizes by job, 0 for not known
	full        map[string][]need // by pool, sizes for which it has no room, so that alike runs cost nothing
}

// need is the room that a run needs.
type need struct{ cores, memoryGB, accelerators int }

// covers reports whether a run that needs o can't be placed where one that
// needs n can't.
func (n need) covers(o need) bool {
	return o.cores >= n.cores && o.memoryGB >= n.memoryGB && o.accelerators >= n.accelerators
}

// fits reports whether a worker has room beside what it runs.
func (n need) fits(i state.Instance, use state.Usage) bool {
	return use.Fits(i, n.cores, n.memoryGB, n.accelerators)
}

// Place returns the placements that should be proposed for a state.
func Place(s state.State, entry string, incarnation uint64) Plan {
	return placeIn(s, entry, incarnation, slices.Collect(s.PoolsWithWaiting()))
}

// placeIn is Place for some pools.
func placeIn(s state.State, entry string, incarnation uint64, pools []string) Plan {
	p := &planner{
		s: s, name: entry, inc: incarnation, maintenance: s.Catalog.Maintenance(),
		pools: make(map[string][]state.Instance), cores: make(map[string]int), full: make(map[string][]need),
	}
	p.plan.Waiting = make(map[string]map[string]Reason)
	for _, w := range inOrder(s, pools) {
		p.place(w)
	}
	return p.plan
}

func (p *planner) wait(w pending, why Reason) {
	pool := w.run.Job.Pool
	if p.plan.Waiting[pool] == nil {
		p.plan.Waiting[pool] = make(map[string]Reason)
	}
	p.plan.Waiting[pool][w.id] = why
}

// coresOf returns the size that a job is placed by: the largest that its runs
// have used, or what it declares while that is not known.
func (p *planner) coresOf(job manifest.Job) int {
	used, asked := p.cores[job.Name]
	if !asked {
		used = p.s.MaxUsedCores(job.Name)
		p.cores[job.Name] = used
	}
	if used > 0 {
		return used
	}
	return job.Cores
}

// pending is a run that waits.
type pending struct {
	id  string
	run state.Run
}

// inOrder returns the waiting runs of some pools: urgent ones first, then feeds, then batch
// work by its deadline, by how much of its share its customer uses, and by its age.
func inOrder(s state.State, pools []string) []pending {
	var list []pending
	for _, pool := range pools {
		for id, r := range s.WaitingRuns(pool) {
			list = append(list, pending{id, r})
		}
	}
	used := make(map[string]float64) // by customer, over its share
	for _, w := range list {
		name := w.run.Job.Customer
		used[name] = float64(s.CustomerUsage(name).Cores) / shareOf(s.Catalog.Customer(name))
	}
	slices.SortStableFunc(list, func(a, b pending) int {
		return cmp.Or(
			cmp.Compare(rank(a.run.Job.Class), rank(b.run.Job.Class)),
			compareDeadline(a.run.Deadline, b.run.Deadline),
			cmp.Compare(used[a.run.Job.Customer], used[b.run.Job.Customer]),
			cmp.Compare(a.run.SubmittedOffset, b.run.SubmittedOffset),
			cmp.Compare(a.id, b.id),
		)
	})
	return list
}

// shareOf returns the share of a customer, 1 for nobody's.
func shareOf(c *manifest.Customer) float64 {
	if c == nil || c.Share <= 0 {
		return manifest.DefaultShare
	}
	return c.Share
}

func rank(c manifest.Class) int {
	switch c {
	case manifest.Urgent:
		return 0
	case manifest.LongRunning:
		return 1
	}
	return 2
}

// compareDeadline puts runs without a deadline last.
func compareDeadline(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

// place tries a waiting run on the workers of its pool; one that fits nowhere
// holds up nothing but itself.
func (p *planner) place(w pending) {
	job := w.run.Job
	workers := p.workers(job.Pool)
	if reason, ok := p.refuse(job, workers); !ok {
		p.wait(w, reason)
		return
	}
	room := need{p.coresOf(job), job.MemoryGB, job.Accelerators}
	if job.Class != manifest.Urgent && slices.ContainsFunc(p.full[job.Pool], func(n need) bool { return n.covers(room) }) {
		p.wait(w, NoFreeCapacity)
		return
	}
	if p.placeOn(p.tightest(workers, room), w, room) {
		return
	}
	p.full[job.Pool] = append(p.full[job.Pool], room)
	if job.Class == manifest.Urgent && p.preempt(workers, room) {
		p.wait(w, Preempting)
		return
	}
	p.wait(w, NoFreeCapacity)
}

// placeOn proposes the first of the workers that the fold would accept, and
// reports whether there was one.
func (p *planner) placeOn(workers []state.Instance, w pending, room need) bool {
	for _, i := range workers {
		r := record.Record{Place: &record.Place{
			ID: w.id, Attempt: w.run.Attempt + 1, Worker: i.Worker.ID, Cores: room.cores, MemoryGB: room.memoryGB,
		}}
		next, verdict := p.s.DryRun(p.name, p.inc, r)
		if verdict == nil {
			p.s = next
			p.plan.Records = append(p.plan.Records, r)
			return true
		}
	}
	return false
}

// refuse returns the reason for which a job can't be placed whatever else ends.
func (p *planner) refuse(job manifest.Job, workers []state.Instance) (Reason, bool) {
	team := p.s.Catalog.Team(job.Team)
	switch {
	case team == nil:
		return UnknownTeam, false
	case len(workers) == 0:
		return PoolNotInService, false
	case !p.everFits(job, workers):
		return TooLarge, false
	case !p.s.TeamUsage(job.Team).WithinQuota(team, p.coresOf(job), job.MemoryGB, job.Accelerators):
		return OverQuota, false
	case !p.s.CustomerUsage(job.Customer).WithinLimit(p.s.Catalog.Customer(job.Customer), p.coresOf(job), job.MemoryGB, job.Accelerators):
		return OverLimit, false
	}
	return "", true
}

// workers returns the instances of a pool that may take jobs.
func (p *planner) workers(pool string) []state.Instance {
	if list, ok := p.pools[pool]; ok {
		return list
	}
	list := slices.DeleteFunc(p.s.PoolInstances(pool), func(i state.Instance) bool {
		return !i.Serving()
	})
	p.pools[pool] = list
	return list
}

func (p *planner) everFits(job manifest.Job, workers []state.Instance) bool {
	return slices.ContainsFunc(workers, func(i state.Instance) bool {
		return state.Usage{}.Fits(i, 1, job.MemoryGB, job.Accelerators) && job.Cores <= i.Worker.Cores
	})
}

// tightest orders the workers that have room by how little is left, those that
// are due for maintenance last: a job there may have to move.
func (p *planner) tightest(workers []state.Instance, n need) []state.Instance {
	type room struct {
		i    state.Instance
		due  int
		left int
	}
	var rooms []room
	for _, i := range workers {
		use := p.s.WorkerUsage(i.Worker.ID)
		if i.EjectedUntil.After(p.s.Now) || !n.fits(i, use) {
			continue
		}
		rooms = append(rooms, room{i, p.due(i), i.Worker.Cores - use.Cores})
	}
	slices.SortStableFunc(rooms, func(a, b room) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.left, b.left))
	})
	list := make([]state.Instance, len(rooms))
	for n, r := range rooms {
		list[n] = r.i
	}
	return list
}

// due returns 1 for a worker that is due for maintenance, and 0 for others.
func (p *planner) due(i state.Instance) int {
	if p.maintenance != nil && p.s.Now.Sub(i.MaintainedAt) >= p.maintenance.PeriodFraction(manifest.DueFraction) {
		return 1
	}
	return 0
}
