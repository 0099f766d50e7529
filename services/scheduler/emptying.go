// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"iter"
	"slices"
	"time"
)

// A cordoned worker takes no tasks, so that it becomes empty. Until the last of the runs that it had then has ended, which
// may take long, its free capacity serves nothing, and a task that may run nowhere else would wait for that and for the
// maintenance. Such a task is placed there if it is expected to end before those runs, or before one that was placed so
// and takes longer than expected. Others are not waited for: however many tasks arrive, the worker becomes empty.

// placedEmptying counts tasks that were placed on a cordoned worker.
const placedEmptying = "placed.emptying"

// minLastingStay is how long a cordoned worker is expected to be in use still for a long-running task to be placed there:
// one that may run nowhere else is not to wait for longer while there is free capacity.
const minLastingStay = 3 * time.Second

// isEmptying reports whether a worker takes no tasks only because it is cordoned.
func (w *workerState) isEmptying(now time.Time) bool {
	return w.cordoned && w.responds() && !w.info.Draining && !w.evacuated && !w.ejected(now)
}

// generation tells runs on a cordoned worker apart: those that it had, those that were placed there as they were to end
// before these, and those that were to end before the latter.
type generation uint8

// The generations of runs on a cordoned worker.
const (
	beforeCordon generation = iota
	besideEarlier
	besidePlaced
)

// stay returns how long the runs of a worker that belong to generations before the given one are expected to last, 0 if
// there are none. Runs that leave as soon as possible do not count.
func (p *Pool) stay(w *workerState, before generation, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, u := range w.runs {
		if u.orphan || u.held || u.stopping || u.generation >= before {
			continue
		}
		if spec := u.step().spec; spec.LongRunning || spec.Checkpointing && !spec.Gang {
			continue
		}
		longest = max(longest, p.timeUntilEnd(u, now), u.timeByProgress(now))
	}
	return longest
}

// timeByProgress returns how long a run takes still at least if it goes on as it has until its worker listed it last, 0 if
// that is not known. The expected time may be far off where tasks of a queue differ much, or while one stands still.
func (u *run) timeByProgress(now time.Time) time.Duration {
	listedAt := u.worker.listedAt
	if u.startedAt.IsZero() || !listedAt.After(u.startedAt) {
		return 0
	}
	done := u.percent + 1 // percentages are rounded down
	whole := listedAt.Sub(u.startedAt) * fullPercent / time.Duration(done)
	return max(u.startedAt.Add(whole).Sub(now), 0)
}

// mayUseEmptying reports whether a task of a step may be placed on a cordoned worker: it may run nowhere else, and does not
// delay that worker. A long-running task ends before the maintenance, and continues after it.
func (p *Pool) mayUseEmptying(s *stepState, w *workerState, now time.Time) bool {
	if !w.isEmptying(now) || !p.gangUsesEmptying && p.hasOtherPlace(s, w) {
		return false
	}
	return p.generationOn(s, w, now) != beforeCordon
}

// generationOn returns the generation of a run of a step that is placed on a cordoned worker, beforeCordon if it may not be, as it
// would delay the worker.
func (p *Pool) generationOn(s *stepState, w *workerState, now time.Time) generation {
	if s.spec.LongRunning {
		if !w.maintenanceSince.IsZero() && p.stay(w, besideEarlier, now) >= minLastingStay {
			return besideEarlier
		}
		return beforeCordon
	}
	takes := w.timeFor(p.expectedStepTime(s.job, s), now)
	for g := besideEarlier; g <= besidePlaced; g++ {
		if takes <= p.stay(w, g, now) {
			return g
		}
	}
	return beforeCordon
}

// hasOtherPlace reports whether another worker takes tasks and could take one of a step. It may be full, unless most of the
// pool is idle.
func (p *Pool) hasOtherPlace(s *stepState, than *workerState) bool {
	for _, w := range p.workers {
		if w == than || !w.reachable() || !s.couldRunOn(w) {
			continue
		}
		if !p.mostlyIdle || s.spec.LongRunning || s.spec.Reservation().FitsIn(w.free()) {
			return true
		}
	}
	return false
}

// emptyingWorkers returns the workers that take no tasks only because they are cordoned.
func (p *Pool) emptyingWorkers(now time.Time) iter.Seq[*workerState] {
	return func(yield func(*workerState) bool) {
		for id := range p.cordons {
			if w := p.workers[id]; w != nil && w.isEmptying(now) && !yield(w) {
				return
			}
		}
	}
}

// gangWorkersEmptying returns a worker for each task of a gang that finds no room elsewhere, some of them cordoned, nil if they
// do not all fit.
func (p *Pool) gangWorkersEmptying(c candidate, now time.Time) []*workerState {
	if !p.mostlyIdle && !p.isRestricted(c.step) || !slices.ContainsFunc(slices.Collect(p.emptyingWorkers(now)), func(w *workerState) bool {
		return p.generationOn(c.step, w, now) != beforeCordon
	}) {
		return nil
	}
	p.gangUsesEmptying = true
	defer func() { p.gangUsesEmptying = false }()
	return p.gangWorkers(c, now, "")
}

// neededAfter is how long a step waits for a cordoned worker until that is reported.
const neededAfter = 500 * time.Millisecond

// markNeeded marks the cordoned workers that waiting steps can't do without, unless they must be maintained.
func (p *Pool) markNeeded(r *Report, now time.Time) {
	if len(p.cordons) == 0 {
		return
	}
	for i := range r.Workers {
		if w := p.workers[r.Workers[i].ID]; w.isEmptying(now) && w.maintenanceSince.IsZero() {
			r.Workers[i].Needed = p.isNeeded(w, now)
		}
	}
}

// isNeeded reports whether a step that may run on no other worker has waited for a while for one that has room for it.
func (p *Pool) isNeeded(w *workerState, now time.Time) bool {
	for _, j := range p.active {
		for _, round := range j.openRounds() {
			for i := range round.steps {
				s := &round.steps[i]
				if s.waiting == 0 || s.waitingSince.IsZero() || now.Sub(s.waitingSince) < neededAfter || !round.ready(i) {
					continue
				}
				if !p.mostlyIdle && !s.spec.LongRunning {
					continue // others wait as well, and another pool may need the instance more
				}
				if s.couldRunOn(w) && s.spec.Reservation().FitsIn(w.free()) && !p.hasOtherPlace(s, w) {
					return true
				}
			}
		}
	}
	return false
}
