// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// planRoom holds the workers that may have room for a task of a plan. Each task looks at all of them, and in a surge
// most workers are full. A worker without room for the smallest task is dropped: only a claim that is given up during a plan
// gives it room again.
type planRoom struct {
	least   job.Size // no waiting task needs less
	workers []*workerState
}

// newPlanRoom returns the workers that may have room for a task of the candidates.
func newPlanRoom(p *Pool, list []candidate, now time.Time) *planRoom {
	if len(list) == 0 {
		return nil
	}
	r := &planRoom{least: list[0].step.spec.Reservation()}
	for _, c := range list {
		size := c.step.spec.Reservation()
		r.least = job.Size{CPU: min(r.least.CPU, size.CPU), MemoryMB: min(r.least.MemoryMB, size.MemoryMB), Accelerators: min(r.least.Accelerators, size.Accelerators)}
	}
	for _, w := range p.workers {
		if r.mayFit(w) && w.schedulable(now) {
			r.workers = append(r.workers, w)
		}
	}
	return r
}

// mayFit reports whether a worker has room for the smallest task.
func (r *planRoom) mayFit(w *workerState) bool { return r.least.FitsIn(w.free()) }

// regain adds a worker that has room again; nil, between plans, has no use for it.
func (r *planRoom) regain(w *workerState) {
	if r != nil && !slices.Contains(r.workers, w) {
		r.workers = append(r.workers, w)
	}
}

// all returns the workers that still may have room.
func (r *planRoom) all() iter.Seq[*workerState] {
	return func(yield func(*workerState) bool) {
		for i := 0; i < len(r.workers); {
			w := r.workers[i]
			if !r.mayFit(w) {
				last := len(r.workers) - 1
				r.workers[i] = r.workers[last]
				r.workers = r.workers[:last]
				continue
			}
			if !yield(w) {
				return
			}
			i++
		}
	}
}

// workersWithRoom returns the workers that may have room for a task: all of them, unless a plan is being made.
func (p *Pool) workersWithRoom() iter.Seq[*workerState] {
	if p.room == nil {
		return maps.Values(p.workers)
	}
	return p.room.all()
}
