// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"fmt"
	"iter"
	"strconv"
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/oncekey"
	"github.com/yardbridge/yardbridge/modules/table"
)

// runIndex finds job runs by what is asked of them.
type runIndex struct {
	active    table.Table[struct{}]  // all that have not ended
	waiting   table.Groups[struct{}] // by pool
	placed    table.Groups[struct{}] // not known to run yet, by the entry that starts them
	onWorker  table.Groups[struct{}] // by worker
	useOn     table.Table[Usage]     // by worker
	useOf     table.Table[Usage]     // by team
	teamAt    table.Table[uint64]    // offset of the newest change of a team's use
	usedCores table.Groups[int]      // by job, runs by the processors that they used
	ends      table.Table[string]    // ended runs by the time at which they are forgotten
}

// withRun stores a run and keeps the indexes true.
func (s State) withRun(id string, r Run) State {
	s = s.withoutRun(id)
	s.Runs = s.Runs.With(id, r)
	s.index.poolAt = s.index.poolAt.With(r.Job.Pool, s.Offset)
	s.index.runs = s.index.runs.with(id, r)
	if r.Active() {
		return s.countUse(r, 1)
	}
	return s
}

func (s State) withoutRun(id string) State {
	r, ok := s.Runs.Get(id)
	if !ok {
		return s
	}
	s.Runs = s.Runs.Without(id)
	s.index.poolAt = s.index.poolAt.With(r.Job.Pool, s.Offset)
	s.index.runs = s.index.runs.without(id, r)
	if r.Active() {
		return s.countUse(r, -1)
	}
	return s
}

func (x runIndex) with(id string, r Run) runIndex {
	x = x.countUsed(r, 1)
	if r.Ended() {
		x.ends = x.ends.With(forgetKey(id, r), id)
		return x
	}
	x.active = x.active.With(id, struct{}{})
	if !r.Active() {
		x.waiting = x.waiting.With(r.Job.Pool, id, struct{}{})
		return x
	}
	x.onWorker = x.onWorker.With(r.Worker, id, struct{}{})
	if r.State == record.Placed {
		x.placed = x.placed.With(r.Starter, id, struct{}{})
	}
	return x
}

func (x runIndex) without(id string, r Run) runIndex {
	x = x.countUsed(r, -1)
	if r.Ended() {
		x.ends = x.ends.Without(forgetKey(id, r))
		return x
	}
	x.active = x.active.Without(id)
	if !r.Active() {
		x.waiting = x.waiting.Without(r.Job.Pool, id)
		return x
	}
	x.onWorker = x.onWorker.Without(r.Worker, id)
	if r.State == record.Placed {
		x.placed = x.placed.Without(r.Starter, id)
	}
	return x
}

// countUsed keeps, for each job, how many remembered runs used how many
// processors.
func (x runIndex) countUsed(r Run, by int) runIndex {
	if r.UsedCores == 0 {
		return x
	}
	key := coresKey(r.UsedCores)
	n, _ := x.usedCores.Of(r.Job.Name).Get(key)
	if n+by == 0 {
		x.usedCores = x.usedCores.Without(r.Job.Name, key)
		return x
	}
	x.usedCores = x.usedCores.With(r.Job.Name, key, n+by)
	return x
}

// coresKey is a text that sorts as the number does.
func coresKey(cores int) string { return fmt.Sprintf("%09d", cores) }

// MaxUsedCores returns the most processors that any remembered run of a job has
// used, 0 for not known.
func (s State) MaxUsedCores(job string) int {
	most := 0
	for key := range s.index.runs.usedCores.Of(job).All() {
		most, _ = strconv.Atoi(key) // coresKey alone makes them, in order
	}
	return most
}

func (s State) countUse(r Run, by int) State {
	x := &s.index.runs
	onWorker, _ := x.useOn.Get(r.Worker)
	ofTeam, _ := x.useOf.Get(r.Job.Team)
	x.useOn = x.useOn.With(r.Worker, onWorker.with(r, by))
	x.useOf = x.useOf.With(r.Job.Team, ofTeam.with(r, by))
	x.teamAt = x.teamAt.With(r.Job.Team, s.Offset)
	customer := customerKey(r.Job.Customer)
	ofCustomer, _ := x.useOf.Get(customer)
	x.useOf = x.useOf.With(customer, ofCustomer.with(r, by))
	x.teamAt = x.teamAt.With(customer, s.Offset)
	return s
}

// forgetKey orders ended runs by the time at which they may be forgotten: their
// team has had time to see them, and their ID can't be submitted again.
func forgetKey(id string, r Run) string {
	at := r.EndedAt.Add(endedLife)
	if expiry, err := oncekey.Expiry(id); err == nil && expiry.After(at) {
		at = expiry
	}
	return timeKey(at) + " " + id
}

// timeKey is a text that sorts as the time does, to the second.
func timeKey(t time.Time) string { return fmt.Sprintf("%011d", t.Unix()) }

// ActiveRuns yields the runs that have not ended, in the order of their IDs.
func (s State) ActiveRuns() iter.Seq2[string, Run] { return s.runsOf(s.index.runs.active) }

// WaitingRuns yields the runs of a pool that wait, in the order of their IDs.
func (s State) WaitingRuns(pool string) iter.Seq2[string, Run] {
	return s.runsOf(s.index.runs.waiting.Of(pool))
}

// PlacedBy yields the runs that an entry has placed and that are not known to
// run yet, in the order of their IDs.
func (s State) PlacedBy(entry string) iter.Seq2[string, Run] {
	return s.runsOf(s.index.runs.placed.Of(entry))
}

// RunsOn yields the runs that hold room on a worker, in the order of their IDs.
func (s State) RunsOn(worker string) iter.Seq2[string, Run] {
	return s.runsOf(s.index.runs.onWorker.Of(worker))
}

func (s State) runsOf(ids table.Table[struct{}]) iter.Seq2[string, Run] {
	return func(yield func(string, Run) bool) {
		for id := range ids.All() {
			r, _ := s.Runs.Get(id)
			if !yield(id, r) {
				return
			}
		}
	}
}

// PoolsWithWaiting yields the pools in which runs wait, by name.
func (s State) PoolsWithWaiting() iter.Seq[string] {
	return func(yield func(string) bool) {
		for pool := range s.index.runs.waiting.All() {
			if !yield(pool) {
				return
			}
		}
	}
}

// TeamChangedAt returns the offset after the newest change of what the runs of
// a team use, 0 for none.
func (s State) TeamChangedAt(team string) uint64 {
	at, _ := s.index.runs.teamAt.Get(team)
	return at
}

// WorkerUsage returns the room that jobs hold on a worker.
func (s State) WorkerUsage(worker string) Usage {
	u, _ := s.index.runs.useOn.Get(worker)
	return u
}

// customerKey is where the use of a customer stands beside those of teams, whose names have
// no slash.
func customerKey(name string) string { return "customer/" + name }

// CustomerChangedAt returns the offset after the newest change of what the runs of a customer,
// "" for nobody's, use, 0 for none.
func (s State) CustomerChangedAt(name string) uint64 { return s.TeamChangedAt(customerKey(name)) }

// CustomerUsage returns the room that the jobs of a customer, "" for nobody's, hold over all pools.
func (s State) CustomerUsage(name string) Usage { return s.TeamUsage(customerKey(name)) }

// TeamUsage returns the room that the jobs of a team hold.
func (s State) TeamUsage(team string) Usage {
	u, _ := s.index.runs.useOf.Get(team)
	return u
}
