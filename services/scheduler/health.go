// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
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
)

// health is what is known of how well a worker works.
type health struct {
	failed       map[*jobState]bool // jobs that have failed there since its last success
	ejectedFor   time.Duration      // length of the last ejection
	ejectedUntil time.Time          // end of the ejection
	onTrial      bool               // nothing has succeeded there since the last ejection
}

// ejected reports whether nothing may be placed on a worker because it is unhealthy.
func (w *workerState) ejected(now time.Time) bool {
	return now.Before(w.health.ejectedUntil) || w.health.onTrial && len(w.runs) > w.longRunningRuns
}

// noteFailure records that a run failed on its worker.
func (p *Pool) noteFailure(u *run, now time.Time) {
	t, w := u.task(), u.worker
	t.failedAt = now
	if !slices.Contains(t.failedOn, w.info.ID) {
		t.failedOn = append(t.failedOn, w.info.ID)
	}
	if u.job.failedOn == nil {
		u.job.failedOn = make(map[worker.ID]bool)
	}
	u.job.failedOn[w.info.ID] = true
	if w.health.failed == nil {
		w.health.failed = make(map[*jobState]bool)
	}
	w.health.failed[u.job] = true
	strikes := 0
	for j := range w.health.failed {
		if len(j.failedOn) == 1 {
			strikes++
		}
	}
	if strikes >= strikesToEject || w.health.onTrial && len(u.job.failedOn) == 1 {
		p.eject(w, min(max(2*w.health.ejectedFor, firstEjection), maxEjection), now, "different jobs fail there", u)
	}
}

// noteRefusal records that a worker refused an order.
func (p *Pool) noteRefusal(u *run, v port.Result, now time.Time) {
	if v == port.Refused {
		p.eject(u.worker, max(u.worker.health.ejectedFor, refusalEjection), now, "it refuses orders", u)
	}
}

// eject ejects a worker for a while.
func (p *Pool) eject(w *workerState, duration time.Duration, now time.Time, reason string, u *run) {
	w.health.ejectedFor, w.health.ejectedUntil, w.health.onTrial = duration, now.Add(duration), true
	p.schedulePlan(w.health.ejectedUntil, now)
	p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int("jobs", len(w.health.failed)).Str("task", u.name).
		Dur("rest", duration).Str("why", reason).Msg("worker ejected")
}

// clearFailures clears the failures of a worker.
func (w *workerState) clearFailures() { w.health = health{} }

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

// lastAttemptDelay is how long a task with one attempt left waits for a worker on which it has not
// failed. A worker that fails all its runs would use up all attempts within a second; nothing may
// wait for 3 s while there is free capacity.
const lastAttemptDelay = 2 * time.Second

// savesLastAttempt reports whether a task must not use its last attempt on a worker on which it has
// failed.
func (t *taskState) savesLastAttempt(w *workerState, j *jobState, now time.Time) bool {
	return t.onLastAttempt(j) && now.Sub(t.failedAt) < lastAttemptDelay && slices.Contains(t.failedOn, w.info.ID)
}

// onLastAttempt reports whether the next failure of a task, which has failed before, fails its job.
// Such a task should not be used to try a worker.
func (t *taskState) onLastAttempt(j *jobState) bool {
	return t.failures > 0 && j.queue.MaxAttempts > 0 && t.failures+1 >= j.queue.MaxAttempts
}
