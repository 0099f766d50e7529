// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"time"
)

// lostAfter is for how long a job may have nothing running though a task's turn has come, there is capacity for it twice
// over, and under half of the service's capacity is in use.
const lostAfter = 3 * time.Second

// watchLost checks until a time that no accepted job without times breaks that rule.
func (s *site) watchLost(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		for _, j := range s.jobs {
			s.checkLost(j)
		}
		s.mu.Unlock()
	}
}

// checkLost checks one job. The lock is held.
func (s *site) checkLost(j *job) {
	if j.accepted.IsZero() || j.hopeless || j.RepeatCount > 0 || j.lost {
		return
	}
	used, capacity := 0, 0
	for _, w := range s.workers() {
		if w.machine.pool != j.pool() {
			continue
		}
		used += w.used().Cpu
		capacity += w.machine.capacity.Cpu
		for _, r := range w.runs {
			if r.job == j {
				j.waiting = time.Time{}
				return
			}
		}
	}
	due := -1
	for n := range j.Steps {
		if s.isDue(j, n) && s.hasRoom(j, n) {
			due = n
		}
	}
	if due < 0 || 2*used >= capacity {
		j.waiting = time.Time{}
		return
	}
	if j.waiting.IsZero() {
		j.waiting = time.Now()
	}
	if time.Since(j.waiting) >= lostAfter {
		j.lost = true
		s.violation("LOST: job %s has had nothing running for 3 s; the turn of step %d has come, %d of %d thousandths of a core of %s are in use", j.id, due, used, capacity, j.pool())
	}
}

// isDue reports whether a step has tasks to run and the steps before it are done. The lock is held.
func (s *site) isDue(j *job, n int) bool {
	if j.doneIn(n) == j.Steps[n].Count {
		return false
	}
	for _, before := range j.Steps[n].After {
		if j.doneIn(before) < j.Steps[before].Count {
			return false
		}
	}
	return true
}

func (j *job) doneIn(n int) int {
	count := 0
	for i := range j.Steps[n].Count {
		if j.done[fmt.Sprintf("%s.0.%d.%d", j.id, n, i)] {
			count++
		}
	}
	return count
}

// hasRoom reports whether workers on which the step may run have room for all of its tasks twice over. The lock is held.
func (s *site) hasRoom(j *job, n int) bool {
	st, fits := &j.Steps[n], 0
	for _, w := range s.workers() {
		if w.machine.pool != j.pool() || s.advice != nil && s.advice.queue == j.queue && !s.advice.allows(fmt.Sprintf("%s.0.%d", j.id, n), w.machine.name) {
			continue
		}
		u := w.used()
		fits += min((w.machine.capacity.Cpu-u.Cpu)/max(st.Cpu, 1), (w.machine.capacity.MemMb-u.MemMb)/max(st.MemMb, 1))
	}
	return fits >= 2*st.Count
}
