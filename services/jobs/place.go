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

// Reason is the reason for which a run waits.
type Reason string

// Reasons for which a run waits.
const (
	NoFreeCapacity   Reason = "no worker has room now"
	OverQuota        Reason = "the team's quota is used up"
	OverLimit        Reason = "the customer's limit is used up"
	TooLarge         Reason = "no worker of the pool is large enough"
	PoolNotInService Reason = "the pool has no instance in service"
	UnknownTeam      Reason = "the team is not declared"
	Preempting       Reason = "less urgent work is being moved away"
)

// Plan holds the records to propose and the runs to stop.
type Plan struct {
	Records []record.Record
	Preempt []string                     // runs to stop after a checkpoint, to free capacity
	Waiting map[string]map[string]Reason // by pool, then by run
}

// planner places runs on a copy of the state that it updates with each placement.
type planner struct {
	s           state.State
	name        string
	inc         uint64
	plan        Plan
	maintenance *manifest.Maintenance // nil for none
	pools       map[string][]state.Instance
	cores       map[string]int         // measured cores by job, 0 if unknown
	unplaceable map[string][]resources // by pool, sizes that do not fit, so that runs of that size or a larger one are not tried again
}

// resources are what a run needs on a worker.
type resources struct{ cores, memoryGB, accelerators int }

// covers reports whether o needs at least as much of everything as n, so that a run that needs o
// can't be placed where one that needs n can't.
func (n resources) covers(o resources) bool {
	return o.cores >= n.cores && o.memoryGB >= n.memoryGB && o.accelerators >= n.accelerators
}

// fits reports whether a worker has enough free capacity beside the runs that use it.
func (n resources) fits(i state.Instance, use state.Usage) bool {
	return use.Fits(i, n.cores, n.memoryGB, n.accelerators)
}

// Place returns the placements to propose for a state.
func Place(s state.State, entry string, incarnation uint64) Plan {
	return placeIn(s, entry, incarnation, slices.Collect(s.PoolsWithWaiting()))
}

// placeIn is Place restricted to some pools.
func placeIn(s state.State, entry string, incarnation uint64, pools []string) Plan {
	p := &planner{
		s: s, name: entry, inc: incarnation, maintenance: s.Catalog.Maintenance(),
		pools: make(map[string][]state.Instance), cores: make(map[string]int), unplaceable: make(map[string][]resources),
	}
	p.plan.Waiting = make(map[string]map[string]Reason)
	for _, w := range orderedRuns(s, pools) {
		p.place(w)
	}
	return p.plan
}

func (p *planner) wait(w waitingRun, reason Reason) {
	pool := w.run.Job.Pool
	if p.plan.Waiting[pool] == nil {
		p.plan.Waiting[pool] = make(map[string]Reason)
	}
	p.plan.Waiting[pool][w.id] = reason
}

// coresOf returns the cores with which a job is placed: the most that its runs have used, or the
// declared number while that is unknown.
func (p *planner) coresOf(job manifest.Job) int {
	used, known := p.cores[job.Name]
	if !known {
		used = p.s.MaxUsedCores(job.Name)
		p.cores[job.Name] = used
	}
	if used > 0 {
		return used
	}
	return job.Cores
}

// waitingRun is a run that waits for placement.
type waitingRun struct {
	id  string
	run state.Run
}

// orderedRuns returns the waiting runs of some pools in the order of placement: urgent ones first,
// then long-running ones, then batch runs by deadline, by the used part of their customer's share,
// and by age.
func orderedRuns(s state.State, pools []string) []waitingRun {
	var list []waitingRun
	for _, pool := range pools {
		for id, r := range s.WaitingRuns(pool) {
			list = append(list, waitingRun{id, r})
		}
	}
	used := make(map[string]float64) // by customer, over its share
	for _, w := range list {
		name := w.run.Job.Customer
		used[name] = float64(s.CustomerUsage(name).Cores) / shareOf(s.Catalog.Customer(name))
	}
	slices.SortStableFunc(list, func(a, b waitingRun) int {
		return cmp.Or(
			cmp.Compare(classRank(a.run.Job.Class), classRank(b.run.Job.Class)),
			compareDeadline(a.run.Deadline, b.run.Deadline),
			cmp.Compare(used[a.run.Job.Customer], used[b.run.Job.Customer]),
			cmp.Compare(a.run.SubmittedOffset, b.run.SubmittedOffset),
			cmp.Compare(a.id, b.id),
		)
	})
	return list
}

// shareOf returns the share of a customer, 1 for runs without a customer.
func shareOf(c *manifest.Customer) float64 {
	if c == nil || c.Share <= 0 {
		return manifest.DefaultShare
	}
	return c.Share
}

func classRank(c manifest.Class) int {
	switch c {
	case manifest.Urgent:
		return 0
	case manifest.LongRunning:
		return 1
	}
	return 2
}

// compareDeadline orders deadlines; runs without one come last.
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

// place tries to place a waiting run on the workers of its pool. A run that fits nowhere delays no
// other run.
func (p *planner) place(w waitingRun) {
	job := w.run.Job
	workers := p.workers(job.Pool)
	if reason, ok := p.placeable(job, workers); !ok {
		p.wait(w, reason)
		return
	}
	needed := resources{p.coresOf(job), job.MemoryGB, job.Accelerators}
	if job.Class != manifest.Urgent && slices.ContainsFunc(p.unplaceable[job.Pool], func(n resources) bool { return n.covers(needed) }) {
		p.wait(w, NoFreeCapacity)
		return
	}
	if p.placeOn(p.bestFit(workers, needed), w, needed) {
		return
	}
	p.unplaceable[job.Pool] = append(p.unplaceable[job.Pool], needed)
	if job.Class == manifest.Urgent && p.preempt(workers, needed) {
		p.wait(w, Preempting)
		return
	}
	p.wait(w, NoFreeCapacity)
}

// placeOn proposes a placement on the first of the workers for which the fold accepts it, and
// reports whether there was one.
func (p *planner) placeOn(workers []state.Instance, w waitingRun, needed resources) bool {
	for _, i := range workers {
		r := record.Record{Place: &record.Place{
			ID: w.id, Attempt: w.run.Attempt + 1, Worker: i.Worker.ID, Cores: needed.cores, MemoryGB: needed.memoryGB,
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

// placeable reports whether a job could be placed if enough capacity were free, and returns the
// reason if not.
func (p *planner) placeable(job manifest.Job, workers []state.Instance) (Reason, bool) {
	team := p.s.Catalog.Team(job.Team)
	switch {
	case team == nil:
		return UnknownTeam, false
	case len(workers) == 0:
		return PoolNotInService, false
	case !p.fitsAnyWorker(job, workers):
		return TooLarge, false
	case !p.s.TeamUsage(job.Team).WithinQuota(team, p.coresOf(job), job.MemoryGB, job.Accelerators):
		return OverQuota, false
	case !p.s.CustomerUsage(job.Customer).WithinLimit(p.s.Catalog.Customer(job.Customer), p.coresOf(job), job.MemoryGB, job.Accelerators):
		return OverLimit, false
	}
	return "", true
}

// workers returns the instances of a pool that accept jobs.
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

func (p *planner) fitsAnyWorker(job manifest.Job, workers []state.Instance) bool {
	return slices.ContainsFunc(workers, func(i state.Instance) bool {
		return state.Usage{}.Fits(i, 1, job.MemoryGB, job.Accelerators) && job.Cores <= i.Worker.Cores
	})
}

// bestFit returns the workers with enough free capacity, those with the fewest free cores first.
// Workers that are due for maintenance come last, since a job on one of them may have to move.
func (p *planner) bestFit(workers []state.Instance, n resources) []state.Instance {
	type candidate struct {
		i         state.Instance
		due       int
		freeCores int
	}
	var candidates []candidate
	for _, i := range workers {
		use := p.s.WorkerUsage(i.Worker.ID)
		if i.EjectedUntil.After(p.s.Now) || !n.fits(i, use) {
			continue
		}
		candidates = append(candidates, candidate{i, p.due(i), i.Worker.Cores - use.Cores})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.freeCores, b.freeCores))
	})
	list := make([]state.Instance, len(candidates))
	for n, r := range candidates {
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
