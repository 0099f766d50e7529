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

// Intervals and timeouts of the decider.
const (
	period         = time.Second
	callTimeout    = 5 * time.Second
	leaseTTL       = 30 * time.Second
	renewPeriod    = 10 * time.Second
	proposeTimeout = 5 * time.Second
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

	starts     inflight.Counter // start calls in flight
	mu         sync.Mutex
	waiting    map[string]map[string]Reason // by pool, then by run
	started    map[string]bool              // attempts that this process has tried to start
	failures   map[string]int
	missing    map[string]int
	followedAt time.Time
	renewedAt  time.Time

	placer              Placer  // only the loop uses it
	reports             reports // only the loop uses it
	lastSubmissionCheck submissionCheck
}

// Run decides on every change of the state and periodically until the context ends.
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

// RunOnce starts placed attempts, renews leases and, if the entry holds the role, follows and
// places runs for a state.
func (d *Decider) RunOnce(ctx context.Context, s state.State) {
	d.startPlaced(ctx, s)
	now := d.Clock.Now()
	if now.Sub(d.renewedAt) >= renewPeriod {
		d.renewedAt = now
		d.renew(ctx, s)
		d.pruneStarted(s)
	}
	if !s.HoldsRole(record.RoleJobs, d.Name, d.Incarnation) {
		return
	}
	if now.Sub(d.followedAt) >= period {
		d.followedAt = now
		d.follow(ctx, s)
	}
	d.place(ctx, s, now)
}

// startPlaced starts each attempt that this process has placed, once. The log
// has accepted the placement, and no other process may start it.
func (d *Decider) startPlaced(ctx context.Context, s state.State) {
	for id, r := range s.PlacedBy(d.Name) {
		if r.Incarnation != d.Incarnation || !d.markStarted(taskID(id, r.Attempt)) {
			continue
		}
		d.starts.Begin()
		go taskStart{d, id, r}.start(ctx)
	}
}

// AwaitStarts waits until no start call of this process is in flight.
func (d *Decider) AwaitStarts() { d.starts.Wait() }

// markStarted records an attempt as started and reports whether it had not been started before.
func (d *Decider) markStarted(task string) bool {
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

// pruneStarted drops the attempts of runs that the state no longer has.
func (d *Decider) pruneStarted(s state.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for task := range d.started {
		if run, _, _ := runOf(task); !s.Runs.Has(run) {
			delete(d.started, task)
		}
	}
}

// taskStart is the start call of one attempt.
type taskStart struct {
	d      *Decider
	id     string
	jobRun state.Run
}

func (t taskStart) start(ctx context.Context) {
	defer t.d.starts.End()
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := t.jobRun
	err := t.d.Tasks.Start(bounded, platform.Task{
		ID: taskID(t.id, r.Attempt), Worker: r.Worker, Command: r.Job.Command,
		Cores: r.Cores, MemoryGB: r.MemoryGB, LeaseTTL: leaseTTL,
	})
	if err == nil {
		return // the workers' reports show the outcome
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
	bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	verdicts, err := d.Propose(bounded, records)
	if err != nil {
		d.Logger.Warn().Err(err).Msg("records about jobs not proposed")
		return
	}
	for _, v := range verdicts {
		if v != nil {
			d.Logger.Debug().Err(v).Msg("a record about a job was rejected, since the state has changed")
		}
	}
}

// renew renews the leases of the tasks on this entry's share of the workers.
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
		if err := d.Tasks.Renew(bounded, worker, ids, leaseTTL); err != nil {
			d.Logger.Warn().Err(err).Str("worker", worker).Msg("leases not renewed")
		}
		cancel()
	}
}

// follow applies the workers' reports to the runs.
func (d *Decider) follow(ctx context.Context, s state.State) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := d.reports.read(bounded, d.Tasks, d.Clock.Now()); err != nil {
		d.Logger.Debug().Err(err).Msg("reports of the workers not read")
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
	for _, t := range f.overusing {
		run, _, _ := runOf(t.ID)
		r, _ := s.Runs.Get(run)
		// The next attempt is placed with the measured number of cores.
		_ = d.Tasks.Throttle(bounded, t.Worker, t.ID, r.Cores)
	}
}

// place submits declared jobs, places waiting runs, and stops runs to free capacity.
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

// submissionCheck is the state on which the last check for due declared jobs was based.
type submissionCheck struct {
	version uint64 // of the configuration
	at      time.Time
}

// submissionsDue reports whether declared jobs may have become due since the last check.
func (d *Decider) submissionsDue(s state.State, now time.Time) bool {
	if s.Catalog.Version == d.lastSubmissionCheck.version && now.Sub(d.lastSubmissionCheck.at) < period {
		return false
	}
	d.lastSubmissionCheck = submissionCheck{s.Catalog.Version, now}
	return true
}

// onDraining returns the repeatable running runs on workers that are being drained; other runs are
// left to finish.
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

// stopRuns stops running runs after a checkpoint; they wait again once the reports show the stop.
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

// Waiting returns the reasons for which runs wait, by pool and run, according to the latest plan of
// this process.
func (d *Decider) Waiting() map[string]map[string]Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting
}
