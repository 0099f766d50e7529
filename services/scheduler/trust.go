// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// A failed run is its job's fault or its worker's. A job whose tasks fail on
// several workers is at fault itself; a worker on which different jobs fail that
// fail nowhere else is not well, whatever it says of itself. One that is not well
// gets nothing for a while, and then one task at a time until one succeeds.

// The bounds of what is held against a worker.
const (
	strikesToRest = 2                // jobs that have failed there and nowhere else since its last success
	firstRest     = 3 * time.Second  // before it is tried again
	longestRest   = 24 * time.Second // a rest is twice as long as the one before
	refusedRest   = time.Second      // after it has refused an order
)

// trust is what is known of how well a worker works.
type trust struct {
	failed  map[*jobState]bool // jobs that have failed there since its last success
	rest    time.Duration      // how long it rested last
	until   time.Time          // when its rest is over
	onTrial bool               // it has rested and nothing has succeeded there since
}

// rests reports whether nothing may be placed on a worker since it is not well.
func (w *workerState) rests(now time.Time) bool {
	return now.Before(w.trust.until) || w.trust.onTrial && len(w.runs) > w.lasting
}

// failedOn notes that a run has failed on its worker.
func (p *Pool) failedOn(u *run, now time.Time) {
	t, w := u.task(), u.at
	t.failedAt = now
	if !slices.Contains(t.failedOn, w.info.ID) {
		t.failedOn = append(t.failedOn, w.info.ID)
	}
	if u.job.failedOn == nil {
		u.job.failedOn = make(map[worker.ID]bool)
	}
	u.job.failedOn[w.info.ID] = true
	if w.trust.failed == nil {
		w.trust.failed = make(map[*jobState]bool)
	}
	w.trust.failed[u.job] = true
	strikes := 0
	for j := range w.trust.failed {
		if len(j.failedOn) == 1 {
			strikes++
		}
	}
	if strikes >= strikesToRest || w.trust.onTrial && len(u.job.failedOn) == 1 {
		p.setAside(w, min(max(2*w.trust.rest, firstRest), longestRest), now, "different jobs fail there", u)
	}
}

// refusedBy notes that a worker has refused an order.
func (p *Pool) refusedBy(u *run, v port.Result, now time.Time) {
	if v == port.Refused {
		p.setAside(u.at, max(u.at.trust.rest, refusedRest), now, "it refuses orders", u)
	}
}

// setAside has a worker rest.
func (p *Pool) setAside(w *workerState, rest time.Duration, now time.Time, why string, u *run) {
	w.trust.rest, w.trust.until, w.trust.onTrial = rest, now.Add(rest), true
	p.wakeAt(w.trust.until, now)
	p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int("jobs", len(w.trust.failed)).Str("task", u.name).
		Dur("rest", rest).Str("why", why).Msg("a worker is set aside")
}

// succeededOn forgets what is held against a worker.
func (w *workerState) succeededOn() { w.trust = trust{} }

// What counts against a worker for a task that has failed.
const (
	failedThere  = 8 // the same task has failed there
	failingThere = 4 // something has failed there since the last success
)

// mistrust returns what counts against a worker for a task.
func (t *taskState) mistrust(w *workerState) float64 {
	against := 0.0
	if slices.Contains(t.failedOn, w.info.ID) {
		against += failedThere
	}
	if t.fails > 0 && len(w.trust.failed) > 0 {
		against += failingThere
	}
	return against
}

// lastPatience is how long a task waits with its last attempt for another worker than
// those on which it has failed. A worker that fails all that begins there would use up all
// of them within a second; nothing may wait for 3 s while there is room.
const lastPatience = 2 * time.Second

// spares reports whether a task keeps its last attempt from a worker on which it has failed.
func (t *taskState) spares(w *workerState, j *jobState, now time.Time) bool {
	return t.risky(j) && now.Sub(t.failedAt) < lastPatience && slices.Contains(t.failedOn, w.info.ID)
}

// risky reports whether a task should not be what a worker is tried with: one more
// failure would be its job's last.
func (t *taskState) risky(j *jobState) bool {
	return t.fails > 0 && j.queue.MaxAttempts > 0 && t.fails+1 >= j.queue.MaxAttempts
}
