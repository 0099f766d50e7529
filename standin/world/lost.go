// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// Limits of the time for which a job may wait while there is capacity for it.
const (
	lostAfter    = 3 * time.Second
	lostInterval = 50 * time.Millisecond
	roomFactor   = 2 // the capacity that there must be, as a multiple of what the job needs
)

// RecordAccepted records that the submission of a job was acknowledged, and whose pool's workers run it.
func (w *World) RecordAccepted(id job.ID, pool string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j.pool == "" {
		j.pool = pool
	}
}

// CheckWaiting checks until the context ends that no accepted job has nothing running for 3 s while one of its steps may
// run, there is twice the capacity that it needs, and less than half of its pool is in use. Jobs whose tasks always
// fail are not checked, nor is the time before a disturbance has ended for long enough.
func (w *World) CheckWaiting(ctx context.Context) {
	tick := time.NewTicker(lostInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.checkWaiting()
		case <-ctx.Done():
			return
		}
	}
}

// Disturb resets the times for which jobs have waited, and begins them anew after a time.
func (w *World) Disturb(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until.After(w.disturbedUntil) {
		w.disturbedUntil = until
	}
}

// checkWaiting checks all jobs once.
func (w *World) checkWaiting() {
	w.mu.Lock()
	defer w.mu.Unlock()
	idle, running := make(map[string]bool), make(map[job.ID]bool)
	for _, o := range w.workers {
		for name := range o.runs {
			if ref, err := job.ParseTask(name); err == nil && !o.gone {
				running[ref.Job] = true
			}
		}
	}
	for id, j := range w.jobs {
		if j.pool == "" || j.refused || !j.cancelled.IsZero() || strings.Contains(j.submission.Spec, "poison") || strings.HasPrefix(j.submission.Spec, CrashingSpec) {
			continue
		}
		if _, known := idle[j.pool]; !known {
			idle[j.pool] = w.mostlyIdle(j.pool)
		}
		if running[id] || !idle[j.pool] || time.Now().Before(w.disturbedUntil) || !w.couldStart(id, j) {
			j.waitingSince = time.Time{}
			continue
		}
		if j.waitingSince.IsZero() {
			j.waitingSince = time.Now()
		}
		if time.Since(j.waitingSince) >= lostAfter && !j.lost {
			j.lost = true
			w.violation("LOST: job %s of pool %s has nothing running for %s while there is capacity for it", id, j.pool, time.Since(j.waitingSince))
		}
	}
}

// mostlyIdle reports whether less than half of a pool is in use. The caller holds w.mu.
func (w *World) mostlyIdle(pool string) bool {
	used, capacity := 0, 0
	for _, o := range w.workers {
		if o.gone || o.info.Pool != pool {
			continue
		}
		capacity += o.info.Capacity.CPU
		for _, r := range o.runs {
			used += r.size.CPU
		}
	}
	const half = 2
	return used*half < capacity
}

// couldStart reports whether one of a job's steps may run and there is twice the capacity that it needs, of a job without
// rounds. The caller holds w.mu.
func (w *World) couldStart(id job.ID, j *jobRecord) bool {
	if j.submission.RepeatCount > 0 {
		return false
	}
	for n := range j.submission.Steps {
		if ref := (job.StepRef{Job: id, Step: n}); w.isDue(ref, j) && w.hasCapacity(ref, j) {
			return true
		}
	}
	return false
}

// isDue reports whether a step has open tasks and all steps before it are done. The caller holds w.mu.
func (w *World) isDue(ref job.StepRef, j *jobRecord) bool {
	if j.doneIn(ref) == j.submission.Steps[ref.Step].Count {
		return false
	}
	for _, before := range j.submission.Steps[ref.Step].DependsOn {
		if o := (job.StepRef{Job: ref.Job, Step: before}); j.doneIn(o) < j.submission.Steps[before].Count {
			return false
		}
	}
	return true
}

// doneIn returns how many tasks of a step have ended as done.
func (j *jobRecord) doneIn(ref job.StepRef) int {
	n := 0
	for i := range j.submission.Steps[ref.Step].Count {
		if j.done[job.TaskRef{StepRef: ref, Index: i}.String()] {
			n++
		}
	}
	return n
}

// hasCapacity reports whether there is twice the capacity that a step needs to start. The caller holds w.mu.
func (w *World) hasCapacity(ref job.StepRef, j *jobRecord) bool {
	step, needed, fits := &j.submission.Steps[ref.Step], 1, 0
	if step.Gang {
		needed = step.Count
	}
	size := step.Reservation()
	for _, o := range w.workers {
		_, policy := w.ticketValidity[o.info.Pool]
		switch {
		case o.gone, o.info.Pool != j.pool, o.info.Draining, step.Label != "" && !o.info.HasLabel(step.Label), policy && !allowed(ref.String(), o.info.ID):
			continue
		}
		free := o.info.Capacity
		for _, r := range o.runs {
			free = free.Minus(r.size)
		}
		most := roomFactor * needed
		if limit := step.MaxPerWorker; limit > 0 {
			most = min(most, limit)
		}
		fits += size.CountIn(free, most)
	}
	return fits >= roomFactor*needed
}
