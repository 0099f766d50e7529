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

// runIndex indexes job runs by the attributes that they are looked up by.
type runIndex struct {
	active        table.Table[struct{}]  // all that have not ended
	waiting       table.Groups[struct{}] // by pool
	placed        table.Groups[struct{}] // not known to be running yet, by the entry that starts them
	onWorker      table.Groups[struct{}] // by worker
	usageOn       table.Table[Usage]     // by worker
	usageOf       table.Table[Usage]     // by team or customer
	teamChangedAt table.Table[uint64]    // offset after the newest change of a team's or customer's usage
	usedCores     table.Groups[int]      // by job, number of runs by the cores that they used
	endedRuns     table.Table[string]    // ended runs by the time at which they are dropped
}

// withRun stores a run and updates the indexes.
func (s State) withRun(id string, r Run) State {
	s = s.withoutRun(id)
	s.Runs = s.Runs.With(id, r)
	s.index.poolChangedAt = s.index.poolChangedAt.With(r.Job.Pool, s.Offset)
	s.index.runs = s.index.runs.with(id, r)
	if r.Active() {
		return s.addUsage(r, 1)
	}
	return s
}

func (s State) withoutRun(id string) State {
	r, ok := s.Runs.Get(id)
	if !ok {
		return s
	}
	s.Runs = s.Runs.Without(id)
	s.index.poolChangedAt = s.index.poolChangedAt.With(r.Job.Pool, s.Offset)
	s.index.runs = s.index.runs.without(id, r)
	if r.Active() {
		return s.addUsage(r, -1)
	}
	return s
}

func (x runIndex) with(id string, r Run) runIndex {
	x = x.countUsedCores(r, 1)
	if r.Ended() {
		x.endedRuns = x.endedRuns.With(expiryKey(id, r), id)
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
	x = x.countUsedCores(r, -1)
	if r.Ended() {
		x.endedRuns = x.endedRuns.Without(expiryKey(id, r))
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

// countUsedCores counts, for each job, the kept runs by the number of cores that they used.
func (x runIndex) countUsedCores(r Run, by int) runIndex {
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

// coresKey returns a text that sorts like the number.
func coresKey(cores int) string { return fmt.Sprintf("%09d", cores) }

// MaxUsedCores returns the maximum number of cores that any kept run of a job has used, 0 if not
// known.
func (s State) MaxUsedCores(job string) int {
	most := 0
	for key := range s.index.runs.usedCores.Of(job).All() {
		most, _ = strconv.Atoi(key) // all keys come from coresKey and are in order
	}
	return most
}

func (s State) addUsage(r Run, by int) State {
	x := &s.index.runs
	onWorker, _ := x.usageOn.Get(r.Worker)
	ofTeam, _ := x.usageOf.Get(r.Job.Team)
	x.usageOn = x.usageOn.With(r.Worker, onWorker.with(r, by))
	x.usageOf = x.usageOf.With(r.Job.Team, ofTeam.with(r, by))
	x.teamChangedAt = x.teamChangedAt.With(r.Job.Team, s.Offset)
	customer := customerKey(r.Job.Customer)
	ofCustomer, _ := x.usageOf.Get(customer)
	x.usageOf = x.usageOf.With(customer, ofCustomer.with(r, by))
	x.teamChangedAt = x.teamChangedAt.With(customer, s.Offset)
	return s
}

// expiryKey orders ended runs by the time at which they may be dropped: their team has had time to
// see them, and their ID can't be submitted again.
func expiryKey(id string, r Run) string {
	at := r.EndedAt.Add(endedRetention)
	if expiry, err := oncekey.Expiry(id); err == nil && expiry.After(at) {
		at = expiry
	}
	return timeKey(at) + " " + id
}

// timeKey returns a text that sorts like the time, to the second.
func timeKey(t time.Time) string { return fmt.Sprintf("%011d", t.Unix()) }

// ActiveRuns yields the runs that have not ended, in the order of their IDs.
func (s State) ActiveRuns() iter.Seq2[string, Run] { return s.runsOf(s.index.runs.active) }

// WaitingRuns yields the waiting runs of a pool, in the order of their IDs.
func (s State) WaitingRuns(pool string) iter.Seq2[string, Run] {
	return s.runsOf(s.index.runs.waiting.Of(pool))
}

// PlacedBy yields the runs that an entry has placed and that are not known to be running yet, in
// the order of their IDs.
func (s State) PlacedBy(entry string) iter.Seq2[string, Run] {
	return s.runsOf(s.index.runs.placed.Of(entry))
}

// RunsOn yields the runs that use capacity of a worker, in the order of their IDs.
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

// TeamChangedAt returns the offset after the newest change of a team's usage, 0 for none.
func (s State) TeamChangedAt(team string) uint64 {
	at, _ := s.index.runs.teamChangedAt.Get(team)
	return at
}

// WorkerUsage returns the capacity that jobs use on a worker.
func (s State) WorkerUsage(worker string) Usage {
	u, _ := s.index.runs.usageOn.Get(worker)
	return u
}

// customerKey is the key of a customer's usage in the same table as those of teams, whose names
// contain no slash.
func customerKey(name string) string { return "customer/" + name }

// CustomerChangedAt returns the offset after the newest change of a customer's usage, 0 for none;
// "" stands for runs without a customer.
func (s State) CustomerChangedAt(name string) uint64 { return s.TeamChangedAt(customerKey(name)) }

// CustomerUsage returns the capacity that the jobs of a customer use over all pools; "" stands for
// jobs without a customer.
func (s State) CustomerUsage(name string) Usage { return s.TeamUsage(customerKey(name)) }

// TeamUsage returns the capacity that the jobs of a team use.
func (s State) TeamUsage(team string) Usage {
	u, _ := s.index.runs.usageOf.Get(team)
	return u
}
