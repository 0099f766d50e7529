// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// A run fails because of its job or because of its worker. A job whose tasks fail on several
// workers is the cause itself; a worker is unhealthy, whatever it reports, if different jobs fail
// there that fail nowhere else. An unhealthy worker is ejected for a while, and then gets one task
// at a time until one succeeds.

// The limits for the ejection of workers.
const (
	strikesToEject  = 2                // jobs that have failed there and nowhere else since its last success
	firstEjection   = 3 * time.Second  // first ejection
	maxEjection     = 24 * time.Second // ejections double up to this
	refusalEjection = time.Second      // after a refused order
	lastEjection    = 2 * time.Second  // longest while the pool has no other worker: nothing may wait for 3 s while there is free capacity
)

// maxTrialTasks is how many tasks at once a worker gets on trial at most.
const maxTrialTasks = 16

// health is what is known of how well a worker works.
type health struct {
	failed       map[*jobState]bool // jobs that have failed there since its last success
	ejectedFor   time.Duration      // length of the last ejection
	ejectedUntil time.Time          // end of the ejection
	restsSince   time.Time          // the ejection since which it has rested: tasks that were running then may fail later
	onTrial      bool               // nothing has succeeded there since the last ejection
	trialTasks   int                // tasks at once that it gets on trial as no other worker takes tasks, 0 for one
}

// ejected reports whether nothing may be placed on a worker because it is unhealthy.
func (w *workerState) ejected(now time.Time) bool {
	return now.Before(w.health.ejectedUntil) || w.health.onTrial && len(w.runs)-w.longRunningRuns >= max(w.health.trialTasks, 1)
}

// noteFailure records that a run of a task failed on a worker.
func (p *Pool) noteFailure(s *stepState, t *taskState, w *workerState, name string, now time.Time) {
	j := s.job
	t.failedAt, j.failedAt = now, now
	t.noteFailedOn(w.info.ID)
	j.noteFailedOn(w.info.ID)
	j.failures.changed = true
	if w.health.failed == nil {
		w.health.failed = make(map[*jobState]bool)
	}
	w.health.failed[j] = true
	p.markHealthChanged(w)
	strikes := 0
	for o := range w.health.failed {
		if len(o.failedOn) == 1 {
			strikes++
		}
	}
	if strikes >= strikesToEject || w.health.onTrial && len(j.failedOn) == 1 {
		if w.health.onTrial && p.saysNothing(s, w) {
			return
		}
		p.eject(w, min(max(2*w.health.ejectedFor, firstEjection), maxEjection), now, "different jobs fail there", name)
	}
}

// noteRefusal records that a worker refused an order.
func (p *Pool) noteRefusal(u *run, v port.Result, now time.Time) {
	if v == port.Refused {
		p.eject(u.worker, max(u.worker.health.ejectedFor, refusalEjection), now, "it refuses orders", u.name)
	}
}

// eject ejects a worker for a while.
func (p *Pool) eject(w *workerState, duration time.Duration, now time.Time, reason, task string) {
	if !now.Before(w.rested()) {
		w.health.restsSince = now
	}
	w.health.ejectedFor, w.health.ejectedUntil, w.health.onTrial = duration, now.Add(duration), true
	if last, _ := p.lastEjected(now); last == nil {
		w.health.trialTasks = 0
	}
	p.schedulePlan(w.health.ejectedUntil, now)
	p.markHealthChanged(w)
	p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int("jobs", len(w.health.failed)).Str("task", task).
		Dur("rest", duration).Str("why", reason).Msg("worker ejected")
}

// endLastEjection ends an ejection early if no worker of the pool takes tasks because each is ejected: jobs must not
// wait for longer than lastEjection, whether the workers or the jobs are the cause of the failures. With each failed
// trial the worker gets more tasks at once, so that many jobs do not take turns.
func (p *Pool) endLastEjection(now time.Time) {
	w, wake := p.lastEjected(now)
	if w == nil || now.Before(wake) {
		p.schedulePlan(wake, now)
		return
	}
	p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Dur("remaining", w.health.ejectedUntil.Sub(now)).
		Msg("ejection ended: no other worker takes tasks")
	w.health.ejectedUntil, w.health.trialTasks = now, min(max(2*w.health.trialTasks, 1), maxTrialTasks)
	p.markHealthChanged(w)
	p.needsPlan = true
}

// lastEjected returns the worker whose ejection ends first and when it has to end, nil if another worker takes tasks.
func (p *Pool) lastEjected(now time.Time) (*workerState, time.Time) {
	var first *workerState
	var wake time.Time
	for _, w := range p.workers {
		if !w.reachable() {
			continue
		}
		until := w.health.ejectedUntil
		if !now.Before(until) {
			return nil, time.Time{}
		}
		if rested := w.rested(); rested.After(wake) {
			wake = rested
		}
		if first == nil || cmp.Or(until.Compare(first.health.ejectedUntil), cmp.Compare(w.info.ID, first.info.ID)) < 0 {
			first = w
		}
	}
	return first, wake
}

// noteFailedOn records that a task has failed on a worker.
func (t *taskState) noteFailedOn(id worker.ID) {
	if !slices.Contains(t.failedOn, id) {
		t.failedOn = append(t.failedOn, id)
	}
}

// noteFailedOn records that a task of a job has failed on a worker.
func (j *jobState) noteFailedOn(id worker.ID) {
	if j.failedOn == nil {
		j.failedOn = make(map[worker.ID]bool)
	}
	j.failedOn[id] = true
}

// clearFailures clears the failures of a worker.
func (p *Pool) clearFailures(w *workerState) {
	if w.health.isZero() {
		return
	}
	w.health = health{}
	p.markHealthChanged(w)
}

// Costs of a worker for a task that has failed.
const (
	costTaskFailedThere = 8 // the same task has failed there
	costFailuresThere   = 4 // something has failed there since its last success
)

// failureCost returns the cost of a worker for a task because of failures.
func (t *taskState) failureCost(w *workerState) float64 {
	cost := 0.0
	if slices.Contains(t.failedOn, w.info.ID) {
		cost += costTaskFailedThere
	}
	if t.failures > 0 && len(w.health.failed) > 0 {
		cost += costFailuresThere
	}
	return cost
}

// retryElsewhereDelay is how long a task that has failed waits for a worker on which it has not. A
// worker that fails all its runs would use up all attempts within a second; nothing may wait for 3 s
// while there is free capacity.
const retryElsewhereDelay = 2 * time.Second

// retriesElsewhere reports whether a task must not use an attempt now on a worker on which it has
// failed: the last attempt waits even if there is no other worker yet.
func (p *Pool) retriesElsewhere(c candidate, t *taskState, now time.Time) bool {
	if t.failures == 0 || now.Sub(t.failedAt) >= retryElsewhereDelay {
		return false
	}
	return t.onLastAttempt(c.job) || p.othersSuit(c.step, t, now)
}

// othersSuit reports whether a task could run on a worker on which it has not failed, once there is
// capacity.
func (p *Pool) othersSuit(s *stepState, t *taskState, now time.Time) bool {
	for _, w := range p.workers {
		if !slices.Contains(t.failedOn, w.info.ID) && s.suits(w, now) && s.spec.Reservation().FitsIn(w.info.Capacity) {
			return true
		}
	}
	return false
}

// avoidsTrials reports whether a task must not be used to try a worker: it is on its last attempt, and there is a
// worker that is not on trial, though it may be full. If most of the pool is idle it waits for a full one no longer than
// for a worker on which it has not failed.
func (p *Pool) avoidsTrials(c candidate, t *taskState, now time.Time) bool {
	if !t.onLastAttempt(c.job) {
		return false
	}
	size := c.step.spec.Reservation()
	mayBeFull := !p.mostlyIdle || now.Sub(t.failedAt) < retryElsewhereDelay
	for _, w := range p.workers {
		if !w.health.onTrial && c.step.suits(w, now) && size.FitsIn(w.info.Capacity) && (mayBeFull || size.FitsIn(w.free())) {
			return true
		}
	}
	return false
}

// onLastAttempt reports whether the next failure of a task, which has failed before, fails its job.
func (t *taskState) onLastAttempt(j *jobState) bool {
	return t.failures > 0 && j.queue.MaxAttempts > 0 && t.failures+1 >= j.queue.MaxAttempts
}
