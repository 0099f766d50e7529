// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/inflight"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/rendezvous"
	"github.com/yardbridge/yardbridge/services/platform"
)

// The times of the decider.
const (
	period       = time.Second
	callTimeout  = 5 * time.Second
	leaseLife    = 30 * time.Second
	renewPeriod  = 10 * time.Second
	placeTimeout = 5 * time.Second
)

// Decider places and follows runs while its entry holds the role, starts what
// it has placed itself, and renews the leases of its share of all tasks.
type Decider struct {
	Clock       clock.Clock
	Logger      log.Logger
	Name        string
	Incarnation uint64
	Tasks       platform.Tasks
	Changed     func() (state.State, <-chan struct{})
	Alive       func() []string
	Propose     func(ctx context.Context, records []record.Record) ([]state.Verdict, error)

	starts   inflight.Counter // attempts on their way to workers
	mu       sync.Mutex
	waiting  map[string]map[string]Reason // by pool, then by run
	started  map[string]bool              // attempts that this process has tried to start
	failures map[string]int
	missing  map[string]int
	followed time.Time
	renewed  time.Time

	placer    Placer  // only the loop uses it
	reports   reports // only the loop uses it
	submitted submittedBasis
}

// Run decides on every change and from time to time until the context ends.
func (d *Decider) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s, changed := d.Changed()
		d.RunOnce(ctx, s)
		select {
		case <-changed:
		case <-d.Clock.After(period):
		case <-ctx.Done():
		}
	}
}

// RunOnce takes one step for a state.
func (d *Decider) RunOnce(ctx context.Context, s state.State) {
	d.startPlaced(ctx, s)
	now := d.Clock.Now()
	if now.Sub(d.renewed) >= renewPeriod {
		d.renewed = now
		d.renew(ctx, s)
		d.forgetStarted(s)
	}
	if !s.HoldsRole(record.RoleJobs, d.Name, d.Incarnation) {
		return
	}
	if now.Sub(d.followed) >= period {
		d.followed = now
		d.follow(ctx, s)
	}
	d.place(ctx, s, now)
}

// startPlaced starts each attempt that this process has placed, once. The log
// has accepted the placement, and no other process may start it.
func (d *Decider) startPlaced(ctx context.Context, s state.State) {
	for id, r := range s.PlacedBy(d.Name) {
		if r.Incarnation != d.Incarnation || !d.first(taskID(id, r.Attempt)) {
			continue
		}
		d.starts.Begin()
		go starting{d, id, r}.run(ctx)
	}
}

// AwaitStarts returns once no start of this process is on its way.
func (d *Decider) AwaitStarts() { d.starts.Wait() }

// first reports whether an attempt has not been started yet, and notes it.
func (d *Decider) first(task string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started == nil {
		d.started = make(map[string]bool)
	}
	if d.started[task] {
		return false
	}
	d.started[task] = true
	return true
}

// forgetStarted drops the attempts of runs that the state has forgotten.
func (d *Decider) forgetStarted(s state.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for task := range d.started {
		if run, _, _ := runOf(task); !s.Runs.Has(run) {
			delete(d.started, task)
		}
	}
}

// starting is one attempt on its way to its worker.
type starting struct {
	d   *Decider
	id  string
	job state.Run
}

func (t starting) run(ctx context.Context) {
	defer t.d.starts.End()
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := t.job
	err := t.d.Tasks.Start(bounded, platform.Task{
		ID: taskID(t.id, r.Attempt), Worker: r.Worker, Command: r.Job.Command,
		Cores: r.Cores, MemoryGB: r.MemoryGB, LeaseTTL: leaseLife,
	})
	if err == nil {
		return // the workers' reports tell the rest
	}
	t.d.Logger.Warn().Err(err).Str("run", t.id).Msg("start not confirmed")
	if !platform.Refused(err) {
		return
	}
	t.d.propose(ctx, []record.Record{{Progress: &record.Progress{
		ID: t.id, Attempt: r.Attempt, State: record.Pending, Reason: "the worker refused the task", NotRun: true,
	}}})
}

func (d *Decider) propose(ctx context.Context, records []record.Record) {
	if len(records) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	verdicts, err := d.Propose(bounded, records)
	if err != nil {
		d.Logger.Warn().Err(err).Msg("jobs not proposed")
		return
	}
	for _, v := range verdicts {
		if v != nil {
			d.Logger.Debug().Err(v).Msg("a step of a job was overtaken")
		}
	}
}

// renew keeps the leases of this entry's share of the workers.
func (d *Decider) renew(ctx context.Context, s state.State) {
	alive := d.Alive()
	byWorker := make(map[string][]string)
	for id, r := range s.ActiveRuns() {
		if r.Active() && rendezvous.Owner(r.Worker, alive) == d.Name {
			byWorker[r.Worker] = append(byWorker[r.Worker], taskID(id, r.Attempt))
		}
	}
	for worker, ids := range byWorker {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		if err := d.Tasks.Renew(bounded, worker, ids, leaseLife); err != nil {
			d.Logger.Warn().Err(err).Str("worker", worker).Msg("leases not renewed")
		}
		cancel()
	}
}

// follow takes over the workers' reports.
func (d *Decider) follow(ctx context.Context, s state.State) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := d.reports.read(bounded, d.Tasks, d.Clock.Now()); err != nil {
		d.Logger.Debug().Err(err).Msg("no reports of the workers")
		return
	}
	if d.failures == nil {
		d.failures = make(map[string]int)
		d.missing = make(map[string]int)
	}
	f := follower{s: s, failures: d.failures, missing: d.missing}
	f.follow(d.reports.tasks)
	d.propose(ctx, f.records)
	stopAll(bounded, d.Tasks, f.orphans)
	for _, t := range f.greedy {
		run, _, _ := runOf(t.ID)
		r, _ := s.Runs.Get(run)
		// It is placed by its true size the next time.
		_ = d.Tasks.Throttle(bounded, t.Worker, t.ID, r.Cores)
	}
}

// place submits declared jobs, places what waits, and makes room.
func (d *Decider) place(ctx context.Context, s state.State, now time.Time) {
	var records []record.Record
	if d.submissionsDue(s, now) {
		records = submissions(s, now)
	}
	plan := d.placer.Place(s, d.Name, d.Incarnation)
	d.mu.Lock()
	d.waiting = d.placer.waiting()
	d.mu.Unlock()
	d.propose(ctx, append(records, plan.Records...))
	d.stopRuns(ctx, s, append(plan.Preempt, onDraining(s)...))
}

// submittedBasis is what the newest look for declared jobs rested on.
type submittedBasis struct {
	version uint64 // of the configuration
	at      time.Time
}

// submissionsDue reports whether declared jobs may have become due.
func (d *Decider) submissionsDue(s state.State, now time.Time) bool {
	if s.Catalog.Version == d.submitted.version && now.Sub(d.submitted.at) < period {
		return false
	}
	d.submitted = submittedBasis{s.Catalog.Version, now}
	return true
}

// onDraining returns the running work that may be repeated on workers that are
// being drained; other work is left to finish.
func onDraining(s state.State) []string {
	var ids []string
	for worker := range s.OutOfService() {
		for id, r := range s.RunsOn(worker) {
			if r.State == record.Running && r.Job.Repeatable {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// stopRuns checkpoints and stops running work; the reports make it wait again.
func (d *Decider) stopRuns(ctx context.Context, s state.State, ids []string) {
	for _, id := range ids {
		r, _ := s.Runs.Get(id)
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		if err := d.Tasks.Stop(bounded, r.Worker, taskID(id, r.Attempt), true); err != nil {
			d.Logger.Warn().Err(err).Str("run", id).Msg("stop not confirmed")
		}
		cancel()
	}
}

// Waiting returns why runs wait, by pool and run, as of the newest plan of this
// process.
func (d *Decider) Waiting() map[string]map[string]Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting
}
