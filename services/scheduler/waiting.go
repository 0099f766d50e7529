// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"
)

// waitReason is what the waiting tasks of a step wait for.
type waitReason string

// The reasons for which a step waits.
const (
	waitsForLimit    waitReason = "limit"      // its customer's limit was lowered, and what pools use is not known yet
	waitsForGang     waitReason = "gang"       // other tasks of its customer wait until a gang can start
	waitsForLending  waitReason = "allowance"  // the pool may not start more of its customer
	waitsForRetry    waitReason = "retry"      // a task is retried after a delay
	waitsForMembers  waitReason = "members"    // runs of its gang have not all ended
	waitsForWorkers  waitReason = "workers"    // tasks may be placed on no worker
	waitsForLabel    waitReason = "label"      // no such worker has the label that it needs
	waitsForTicket   waitReason = "ticket"     // the advice service has permitted none of these workers
	waitsForCapacity waitReason = "capacity"   // none of these workers has enough free capacity
	waitsForReserved waitReason = "reserved"   // the free capacity is reserved for a gang
	waitsForSpread   waitReason = "per-worker" // these workers have as many of its tasks as they may
	waitsForOthers   waitReason = "separation" // its workers are kept apart from suspects, or from where it has failed
)

// Limits of the log lines about steps that wait.
const (
	// waitLogAfter is how long a step waits until that is logged.
	waitLogAfter = 3 * time.Second
	// waitLogPause is the least time between two of these lines of a pool.
	waitLogPause = 500 * time.Millisecond
)

// logWaiting logs what the step waits for that has waited longest without a log line, so that a job that
// is accepted and does not start can be explained.
func (p *Pool) logWaiting(list []candidate, now time.Time) {
	var longest *candidate
	tasks := 0
	for i := range list {
		s := list[i].step
		if s.waiting == 0 {
			s.waitingSince, s.waitLogAt = time.Time{}, time.Time{}
			continue
		}
		tasks += s.waiting
		if s.waitingSince.IsZero() {
			s.waitingSince, s.waitLogAt = now, now.Add(waitLogAfter)
		}
		if longest == nil || s.waitLogAt.Before(longest.step.waitLogAt) {
			longest = &list[i]
		}
	}
	if longest == nil {
		return
	}
	s := longest.step
	if next := p.waitLogAt; s.waitLogAt.After(now) || next.After(now) {
		p.schedulePlan(latest(s.waitLogAt, next), now)
		return
	}
	s.waitLogAt, p.waitLogAt = now.Add(waitLogInterval), now.Add(waitLogPause)
	p.schedulePlan(p.waitLogAt, now)
	p.Logger.Info().Str("event", "wait").Str("job", string(s.ref.Job)).Int("round", s.ref.Round).Int("step", s.ref.Step).Str("customer", longest.job.sub.Customer).
		Int("tasks", s.waiting).Int("task_cpu", s.spec.Size.CPU).Int("task_memory_mb", s.spec.Size.MemoryMB).Str("for", string(p.waitReason(*longest, now))).
		Dur("waited", now.Sub(s.waitingSince)).Int("steps", len(list)).Int("all_tasks", tasks).
		Int("workers", len(p.workers)).Interface("workers_by", p.countReasons(s, now)).Int("excluded", len(s.excluded)).Msg("a step waits")
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waitReason returns what a step waits for after a plan.
func (p *Pool) waitReason(c candidate, now time.Time) waitReason {
	s, customer := c.step, c.job.sub.Customer
	held := p.allowances.heldFor[customer]
	switch {
	case p.paused(customer):
		return waitsForLimit
	case held != nil && held != s && !s.spec.LongRunning:
		return waitsForGang
	case !p.allowsStart(customer, s.startSize()):
		return waitsForLending
	case s.spec.Gang && s.waiting < s.count():
		return waitsForMembers
	case s.retriesLater(now):
		return waitsForRetry
	}
	return p.workerReason(s, now)
}

// retriesLater reports whether all waiting tasks of a step are retried later.
func (s *stepState) retriesLater(now time.Time) bool {
	later := 0
	for _, t := range s.states {
		if !t.done && len(t.runs) == 0 && now.Before(t.notBefore) {
			later++
		}
	}
	return later == s.waiting
}

// workerReason returns why no worker takes a task of a step: the reason that excludes the workers that
// meet all others.
func (p *Pool) workerReason(s *stepState, now time.Time) waitReason {
	counts := p.countReasons(s, now)
	for _, reason := range slices.Backward(workerReasons) {
		if counts[reason] > 0 {
			return reason
		}
	}
	return waitsForWorkers
}

// workerReasons are the reasons for which a worker takes no task of a step, in the order in which they are
// checked.
var workerReasons = []waitReason{waitsForWorkers, waitsForLabel, waitsForTicket, waitsForCapacity, waitsForReserved, waitsForSpread, waitsForOthers}

// countReasons returns how many workers take no task of a step, by the first reason that holds for each.
func (p *Pool) countReasons(s *stepState, now time.Time) map[waitReason]int {
	counts := make(map[waitReason]int)
	for _, w := range p.workers {
		counts[p.reasonOf(s, w, now)]++
	}
	return counts
}

// reasonOf returns the first reason for which a worker takes no task of a step.
func (p *Pool) reasonOf(s *stepState, w *workerState, now time.Time) waitReason {
	switch {
	case !w.schedulable(now):
		return waitsForWorkers
	case !s.labelOn(w):
		return waitsForLabel
	case !s.allowedOn(w, now):
		return waitsForTicket
	case !s.spec.Reservation().FitsIn(w.free()):
		return waitsForCapacity
	case p.reservation.keeps(w, s):
		return waitsForReserved
	case s.spec.MaxPerWorker > 0 && s.runsByWorker[w] >= s.spec.MaxPerWorker:
		return waitsForSpread
	}
	return waitsForOthers
}
