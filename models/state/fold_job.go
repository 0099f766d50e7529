// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/oncekey"
)

// MaxRuns bounds the number of job runs kept at a time.
const MaxRuns = 100_000

// endedRetention is how long an ended run is at least kept for its team.
const endedRetention = 24 * time.Hour

// foldJobRecord folds the records about jobs; known is false for all other records.
func (s State) foldJobRecord(from author, r record.Record) (next State, known bool, err error) {
	switch {
	case r.Submit != nil:
		next, err = s.foldSubmit(*r.Submit)
	case r.Cancel != nil:
		next, err = s.foldCancel(*r.Cancel)
	case r.Place != nil:
		next, err = s.foldPlace(from, *r.Place)
	case r.Progress != nil:
		next, err = s.foldProgress(from, *r.Progress)
	default:
		return s, false, nil
	}
	return next, true, err
}

// DailyID returns the ID of a declared job's run on a day; the day is empty for a job that runs
// once.
func DailyID(job, day string) string { return job + "@" + day }

// foldSubmit accepts each run ID once.
func (s State) foldSubmit(b record.Submit) (State, error) {
	if s.Runs.Has(b.ID) {
		return s, errkind.New(errkind.AlreadyRun, "job run %s was already submitted", b.ID)
	}
	if s.Runs.Len() >= MaxRuns {
		return s, errkind.New(errkind.Overloaded, "%d job runs are kept, the maximum allowed", MaxRuns)
	}
	next, err := s.acceptRunID(b)
	if err != nil {
		return s, err
	}
	return next.withRun(b.ID, Run{
		Job:             b.Job,
		SubmittedOffset: s.Offset,
		SubmittedAt:     s.Now,
		Deadline:        b.Deadline,
		State:           record.Pending,
	}), nil
}

// acceptRunID rejects IDs that may have been dropped: keys past their expiry, and days that are not
// newer than the last one of the job.
func (s State) acceptRunID(b record.Submit) (State, error) {
	if _, err := oncekey.Expiry(b.ID); err == nil {
		return s, oncekey.Check(b.ID, s.Now)
	}
	if last, ok := s.LastDaily.Get(b.Job.Name); ok && last >= b.ID {
		return s, errkind.New(errkind.AlreadyRun, "job %s has already run as %s", b.Job.Name, last)
	}
	s.LastDaily = s.LastDaily.With(b.Job.Name, b.ID)
	return s, nil
}

// foldCancel ends runs; a placed one is stopped by its starter afterwards.
func (s State) foldCancel(c record.Cancel) (State, error) {
	for _, id := range c.IDs {
		r, ok := s.Runs.Get(id)
		if !ok || r.Ended() {
			continue
		}
		s = s.endRun(id, r, record.Cancelled, "cancelled")
	}
	return s, nil
}

func (s State) endRun(id string, r Run, to record.RunState, reason string) State {
	r.State = to
	r.Reason = reason
	r.EndedAt = s.Now
	s = s.withRun(id, r)
	return s.completeMoveOf(r.Worker)
}

// completeMoveOf completes a move that waited for the last run of a worker, if the worker is known.
func (s State) completeMoveOf(worker string) State {
	if !s.Instances.Has(worker) {
		return s
	}
	return s.completeMove(worker)
}

// foldPlace accepts a placement if the worker has free capacity and the team has quota left.
func (s State) foldPlace(from author, p record.Place) (State, error) {
	r, ok := s.Runs.Get(p.ID)
	if !ok || r.State != record.Pending || p.Attempt != r.Attempt+1 {
		return s, errkind.New(errkind.Conflict, "job run %s is not waiting for attempt %d", p.ID, p.Attempt)
	}
	if err := s.mayPlace(r, p); err != nil {
		return s, err
	}
	r.State = record.Placed
	r.Attempt = p.Attempt
	r.Worker = p.Worker
	r.Starter = from.name
	r.Incarnation = from.incarnation
	r.Cores = p.Cores
	r.MemoryGB = p.MemoryGB
	s = s.withRun(p.ID, r)
	return s, nil
}

func (s State) mayPlace(r Run, p record.Place) error {
	i, ok := s.Instances.Get(p.Worker)
	if !ok || !i.Serving() || i.Pool != r.Job.Pool || i.EjectedUntil.After(s.Now) {
		return errkind.New(errkind.Conflict, "worker %s accepts no jobs of pool %s", p.Worker, r.Job.Pool)
	}
	use := s.WorkerUsage(p.Worker)
	if !use.Fits(i, p.Cores, p.MemoryGB, r.Job.Accelerators) {
		return errkind.New(errkind.Conflict, "worker %s has too little free capacity", p.Worker)
	}
	team := s.Catalog.Team(r.Job.Team)
	if team == nil {
		return errkind.New(errkind.Conflict, "team %s is not declared", r.Job.Team)
	}
	if !s.TeamUsage(r.Job.Team).WithinQuota(team, p.Cores, p.MemoryGB, r.Job.Accelerators) {
		return errkind.New(errkind.Conflict, "team %s has exhausted its quota", r.Job.Team)
	}
	if !s.CustomerUsage(r.Job.Customer).WithinLimit(s.Catalog.Customer(r.Job.Customer), p.Cores, p.MemoryGB, r.Job.Accelerators) {
		return errkind.New(errkind.Conflict, "customer %s has exhausted its limit", r.Job.Customer)
	}
	return nil
}

// foldProgress applies the platform's report on a placed run.
func (s State) foldProgress(from author, p record.Progress) (State, error) {
	r, ok := s.Runs.Get(p.ID)
	if !ok || r.Attempt != p.Attempt || !r.Active() {
		return s, errkind.New(errkind.Conflict, "attempt %d of job run %s is not in progress", p.Attempt, p.ID)
	}
	// A task that was throttled uses less than it needs from then on.
	r.UsedCores = max(r.UsedCores, p.Cores)
	switch p.State {
	case record.Running:
		r.State = record.Running
		s = s.withRun(p.ID, r)
		return s, nil
	case record.Pending:
		if p.NotRun && from.name == r.Starter && from.incarnation == r.Incarnation {
			return s.requeueRun(p.ID, r, p.Reason), nil
		}
		return s.retryRun(p.ID, r, p.Reason), nil
	case record.Done, record.Failed, record.Unknown:
		return s.endRun(p.ID, r, p.State, p.Reason), nil
	}
	return s, errkind.New(errkind.BadRequest, "state %q is not a valid progress", p.State)
}

// retryRun makes a run pending again, or ends it with an unknown outcome if it may not be repeated:
// it may have had its effect.
func (s State) retryRun(id string, r Run, reason string) State {
	if !r.Job.Repeatable {
		return s.endRun(id, r, record.Unknown, reason)
	}
	return s.requeueRun(id, r, reason)
}

// requeueRun makes a run wait for its next attempt.
func (s State) requeueRun(id string, r Run, reason string) State {
	worker := r.Worker
	r.State = record.Pending
	r.Reason = reason
	s = s.withRun(id, r)
	return s.completeMoveOf(worker)
}

// retryRunsOn retries the runs of a worker that is gone.
func (s State) retryRunsOn(worker string) State {
	for id, r := range s.RunsOn(worker) {
		s = s.retryRun(id, r, "worker "+worker+" was lost")
	}
	return s
}

// abandonRuns retries the runs that a lost process placed and may or may not have started; those
// known to be running continue under any entry.
func (s State) abandonRuns(entry string, incarnation uint64) State {
	for id, r := range s.PlacedBy(entry) {
		if r.Incarnation == incarnation {
			s = s.retryRun(id, r, "entry "+entry+" was lost before it reported the start")
		}
	}
	return s
}

// busy reports whether a job uses capacity of the worker.
func (s State) busy(worker string) bool {
	return s.WorkerUsage(worker).Runs > 0
}

// expireRuns drops ended runs whose IDs can't be submitted again.
func (s State) expireRuns() State {
	bound := timeKey(s.Now)
	for key, id := range s.index.runs.endedRuns.All() {
		if key[:len(bound)] >= bound {
			break
		}
		s = s.withoutRun(id)
	}
	return s
}
