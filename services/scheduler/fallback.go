// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"
)

// An ejection, and the trial after it, send tasks to other workers. A task that no other one could run would wait for its
// end, however long that is and whoever is to blame for the failures. So an ejected worker is a fallback for such tasks
// after a while: nothing may wait for 3 s while there is free capacity. Only a task on its last attempt waits for
// longer, since its job would fail with it.
const (
	// fallbackAfterEjection is how long after the ejection of a worker it is a fallback.
	fallbackAfterEjection = lastEjection
	// fallbackAfterTrial is how long after the start of a trial task it is, while that task runs, for tasks that
	// other workers could run if these were not ejected as well.
	fallbackAfterTrial = lastEjection + 500*time.Millisecond
)

// placedFallback counts tasks that were placed on a worker during its ejection since no other one could take them.
const placedFallback = "placed.fallback"

// rested returns when a worker has rested for fallbackAfterEjection.
func (w *workerState) rested() time.Time { return w.health.restsSince.Add(fallbackAfterEjection) }

// trialOver returns when a trial on a worker has lasted for fallbackAfterTrial, zero if there is none.
func (p *Pool) trialOver(w *workerState) time.Time {
	var began time.Time // start of the oldest trial task
	for _, u := range w.runs {
		if u.orphan || u.step().spec.LongRunning {
			continue
		}
		if planned := latest(u.heldSince, p.restoredAt); began.IsZero() || planned.Before(began) {
			began = planned
		}
	}
	if began.IsZero() {
		return began
	}
	return began.Add(fallbackAfterTrial)
}

// findFallbacks finds the workers that may be fallbacks in this plan, and schedules a plan for when others may be.
func (p *Pool) findFallbacks(list []candidate, now time.Time) {
	p.fallbacks, p.untried, p.mostlyIdle = nil, nil, p.isMostlyIdle()
	trials := false
	for _, w := range p.workers {
		if !w.reachable() || !w.health.onTrial {
			continue
		}
		trials = true
		p.schedulePlan(p.trialOver(w), now)
		if now.Before(w.rested()) {
			p.schedulePlan(w.rested(), now)
			continue
		}
		p.fallbacks = append(p.fallbacks, w)
	}
	for i := 0; trials && i < len(list) && len(p.untried) < maxUntried; i++ {
		if list[i].job.isUntried() {
			p.untried = append(p.untried, list[i].step)
		}
	}
}

// maxUntried is how many steps of jobs without a run are looked at before a task of another job is used to try a worker.
const maxUntried = 16

// isUntried reports whether no task of a job has failed, and none is running.
func (j *jobState) isUntried() bool { return len(j.failedOn) == 0 && len(j.active) == 0 }

// trialYield is how long after its last failure a job leaves trials to jobs without one.
const trialYield = 2 * retryElsewhereDelay

// yieldsTrial reports whether a job must not be used to try a worker now: one of its tasks has failed, and a job that is
// untried, so that it tells more of the worker, waits for a place there.
func (p *Pool) yieldsTrial(j *jobState, w *workerState, now time.Time) bool {
	if !w.health.onTrial || len(j.failedOn) == 0 || now.Sub(j.failedAt) >= trialYield {
		return false
	}
	p.schedulePlan(j.failedAt.Add(trialYield), now)
	return slices.ContainsFunc(p.untried, func(s *stepState) bool { return s.waiting > 0 && s.job.isUntried() && s.couldRunOn(w) })
}

// isFallback reports whether a step may use a worker although that is ejected.
func (p *Pool) isFallback(s *stepState, w *workerState, now time.Time) bool {
	return !now.Before(w.rested()) && p.fallsBackOn(s, w, now)
}

// fallsBackOn reports whether a step may use a worker although that is ejected, once the worker has rested. A step that
// all workers of the pool could run uses a worker on trial only, so that one which fails all does not use up the attempts
// of many jobs.
func (p *Pool) fallsBackOn(s *stepState, w *workerState, now time.Time) bool {
	if !w.reachable() || !w.ejected(now) {
		return false
	}
	if p.saysNothing(s, w) {
		return true
	}
	if p.hasAlternative(s, w, now) {
		return false
	}
	tried := !now.Before(w.health.ejectedUntil)
	if tried && now.Before(p.trialOver(w)) {
		return w.health.trialTasks > 0 && s.job.isUntried() // each job may try a worker of its own accord
	}
	return tried || p.isRestricted(s)
}

// sparesLastAttempt reports whether the last attempt of a task must not be made on a worker now: the worker is ejected, or it
// is on trial, as are all others that could run the task, and the last failure of the task was not long ago.
func (p *Pool) sparesLastAttempt(s *stepState, t *taskState, w *workerState, now time.Time) bool {
	if now.Before(w.health.ejectedUntil) {
		return true
	}
	until := t.failedAt.Add(maxEjection)
	if !w.health.onTrial || !now.Before(until) || !p.saysNothing(s, w) {
		return false
	}
	p.schedulePlan(until, now)
	return true
}

// isRestricted reports whether some workers of the pool could not run a task of a step.
func (p *Pool) isRestricted(s *stepState) bool {
	for _, w := range p.workers {
		if w.reachable() && !s.couldRunOn(w) {
			return true
		}
	}
	return false
}

// saysNothing reports whether a failure of a step's task says nothing of its worker, if that is on trial already: no worker
// that is not could run the task. If all workers of the pool could run it, their trials tell how they are.
func (p *Pool) saysNothing(s *stepState, than *workerState) bool {
	for _, w := range p.workers {
		if w != than && w.reachable() && !w.health.onTrial && s.couldRunOn(w) {
			return false
		}
	}
	return p.isRestricted(s)
}

// hasAlternative reports whether a worker other than the given one takes tasks, or will after a trial that began
// recently, and could take one of a step. It may be full, unless most of the pool is idle.
func (p *Pool) hasAlternative(s *stepState, than *workerState, now time.Time) bool {
	for _, w := range p.workers {
		if w == than || !w.reachable() || !s.couldRunOn(w) || p.mostlyIdle && !s.spec.Reservation().FitsIn(w.free()) {
			continue
		}
		if !w.ejected(now) || !now.Before(w.health.ejectedUntil) && now.Before(p.trialOver(w)) {
			return true
		}
	}
	return false
}

// isMostlyIdle reports whether less than half of the capacity of the workers on which tasks may be placed, ejected ones
// included, is in use: a task that waits for a full worker may wait for long there.
func (p *Pool) isMostlyIdle() bool {
	capacity := 0
	for _, w := range p.workers {
		if w.reachable() {
			capacity += w.info.Capacity.CPU
		}
	}
	const half = 2
	return p.usedCPU()*half < capacity
}

// couldRunOn reports whether a worker could run a further task of a step once it has free capacity.
func (s *stepState) couldRunOn(w *workerState) bool {
	return s.fitsOn(w) && !s.excluded[w.info.ID] && (s.spec.MaxPerWorker == 0 || s.runsByWorker[w] < s.spec.MaxPerWorker)
}

// takesTasks reports whether tasks of a step may be placed on a worker now, apart from its labels and the queue's policy.
func (p *Pool) takesTasks(s *stepState, w *workerState, now time.Time) bool {
	return w.schedulable(now) || len(p.fallbacks) > 0 && p.isFallback(s, w, now) || p.mayUseEmptying(s, w, now)
}
