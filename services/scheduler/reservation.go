// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// A gang that finds no place reserves workers, so that capacity for all of it becomes free together. What a
// reservation keeps from other work is bounded:
//
//   - Workers are reserved only if all members fit there once other runs have ended.
//   - Tasks that are expected to end before the gang can start may run on them.
//   - If the pool is mostly idle, the reservation ends after maxIdleReservation, whatever the gang waits for.

const (
	// gangReserveAfter is how long a gang that can still be in time waits before workers are reserved
	// for it.
	gangReserveAfter = time.Second
	// maxIdleReservation is how long reservations may keep tasks from workers while less than half of the
	// pool is in use: nothing may wait for 3 s while there is free capacity.
	maxIdleReservation = 2 * time.Second
	// reservationPause is for how long nothing is reserved after that. For the gang itself it doubles each time.
	reservationPause = time.Second
	// maxReservationPauses is the number of reservations in vain after which a gang's pause doubles no more.
	maxReservationPauses = 4
)

// reservationEnded counts reservations that ended since the pool was idle.
const reservationEnded = "reservation.ended"

// reservation keeps workers for the most urgent gang that waits; each plan makes it anew.
type reservation struct {
	step    *stepState // whose gang it is for, nil for none
	workers map[*workerState]bool
	ready   time.Duration // until the gang is expected to start
	blocks  bool          // it has kept a task from a worker

	idleSince   time.Time // since when reservations keep tasks from workers although the pool is mostly idle, zero for not
	pausedUntil time.Time // nothing is reserved before
}

// clear removes the reservation.
func (r *reservation) clear() { r.step, r.workers, r.ready, r.blocks = nil, nil, 0, false }

// keeps reports whether a worker is reserved for another step than the given one.
func (r *reservation) keeps(w *workerState, s *stepState) bool {
	return r.workers[w] && r.step != s && !s.spec.LongRunning
}

// endsBeforeReservation reports whether a task of a step is expected to end before the gang can start for which
// workers are reserved.
func (p *Pool) endsBeforeReservation(s *stepState) bool {
	expected := p.expectedStepTime(s.job, s)
	return !s.spec.Gang && expected > 0 && expected+stepOverhead <= p.reservation.ready
}

// reserveForGang reserves workers for a waiting gang: this plan places nothing else on them that may delay it. Only the
// most urgent gang that fits in the pool gets a reservation.
func (p *Pool) reserveForGang(c candidate, now time.Time) {
	r, s := &p.reservation, c.step
	if r.step != nil || c.urgency == timely && now.Sub(c.job.accepted) < gangReserveAfter {
		return
	}
	if paused := latest(r.pausedUntil, s.reserveAfter); now.Before(paused) {
		p.schedulePlan(paused, now)
		return
	}
	size, remaining := s.spec.Reservation(), s.count()
	workers, ready := make(map[*workerState]bool), time.Duration(0)
	for _, w := range p.byFreeCapacity() {
		fits := min(p.wouldFit(s, w, size, now), remaining)
		if fits == 0 {
			continue
		}
		workers[w] = true
		ready = max(ready, p.freeAfter(w, size.Times(fits), now))
		if remaining -= fits; remaining == 0 {
			r.step, r.workers, r.ready = s, workers, ready
			return
		}
	}
}

// endIdleReservation ends the reservation if it has kept tasks from the workers of a mostly idle pool for too long.
func (p *Pool) endIdleReservation(now time.Time) {
	r := &p.reservation
	switch {
	case !r.blocks || !p.isMostlyIdle():
		r.idleSince = time.Time{}
		return
	case r.idleSince.IsZero():
		r.idleSince = now
	}
	end := r.idleSince.Add(maxIdleReservation)
	if now.Before(end) {
		p.schedulePlan(end, now)
		return
	}
	s := r.step
	p.Logger.Info().Str("event", "reservation").Str("job", string(s.ref.Job)).Int("step", s.ref.Step).Int("tasks", s.count()).Int("task_cpu", s.spec.Size.CPU).
		Int("reserved", len(r.workers)).Int("workers", len(p.workers)).Dur("ready", r.ready).Int("used_cpu", p.usedCPU()).Int("in_vain", s.reservedInVain).
		Str("outcome", "ended").Msg("workers are not reserved for a gang any more: the pool is mostly idle, and the gang has not started")
	p.increment(reservationEnded)
	s.reserveAfter = now.Add(reservationPause << min(s.reservedInVain, maxReservationPauses))
	s.reservedInVain++
	r.idleSince, r.pausedUntil = time.Time{}, now.Add(reservationPause)
	r.clear()
	p.needsPlan = true
	p.schedulePlan(now.Add(replanAfter), now)
}

// byFreeCapacity returns the workers, those with the most free capacity first.
func (p *Pool) byFreeCapacity() []*workerState {
	list := slices.Collect(maps.Values(p.workers))
	slices.SortFunc(list, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(b.free().CPU, a.free().CPU), cmp.Compare(a.info.ID, b.info.ID))
	})
	return list
}

// wouldFit returns how many tasks of a step a worker could take if only long-running tasks ran there.
func (p *Pool) wouldFit(s *stepState, w *workerState, size job.Size, now time.Time) int {
	if !w.schedulable(now) || !s.hasTicket(w) || !s.labelOn(w) {
		return 0
	}
	free := w.info.Capacity
	for _, u := range w.runs {
		if !u.orphan && u.step().spec.LongRunning {
			free = free.Minus(u.size)
		}
	}
	most := s.count()
	if limit := s.spec.MaxPerWorker; limit > 0 {
		most = min(most, limit)
	}
	return size.CountIn(free, most)
}

// freeAfter returns how long it takes until a worker is expected to have a size free if nothing more is placed there.
func (p *Pool) freeAfter(w *workerState, size job.Size, now time.Time) time.Duration {
	free := w.free()
	if size.FitsIn(free) {
		return 0
	}
	var ends []release
	for _, u := range w.runs {
		if !u.orphan && !u.held && !u.step().spec.LongRunning {
			ends = append(ends, release{p.timeUntilEnd(u, now), u.size})
		}
	}
	slices.SortFunc(ends, func(a, b release) int { return cmp.Compare(a.after, b.after) })
	after := p.Limits.StopTime // of orphans
	for _, e := range ends {
		free, after = free.Plus(e.size), e.after
		if size.FitsIn(free) {
			break
		}
	}
	return after
}
