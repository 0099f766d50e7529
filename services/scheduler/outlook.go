// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
)

// outlookCache is the newest outlook by a pool's own workers.
type outlookCache struct {
	outlook  capacity.Outlook
	capacity job.Size // of the workers on which tasks may be placed
	plan     uint64   // number of the plan after which it was computed, 0 for none
	counted  int      // workers and runs that were counted
}

// How long the outlook by a pool's own workers is used before it is computed anew.
const (
	// outlookSpacing is the least time between two computations for each worker and run of the pool, in
	// steps of outlookStep: they take some hundredths of a core at most, however many tasks start.
	outlookSpacing = 10 * time.Microsecond
	outlookStep    = 5 * time.Millisecond
	// maxOutlookAge is the age from which an outlook is computed anew in any case.
	maxOutlookAge = 250 * time.Millisecond
)

// Outlook returns the pool's capacity over the next seconds: what serves and is free, what becomes free
// as runs end, and what the holder of the role for instances has reported last. Long-running tasks
// hold theirs, so it is not capacity for other work.
func (p *Pool) Outlook(now time.Time) capacity.Outlook {
	p.updateOutlook(now)
	request, received := p.lastCordonRequest, now.Sub(p.cordonsReceivedAt)
	return p.outlook.outlook.WithArrivals(request.Arriving, received).WithPotential(request.Potential, received)
}

// countedCapacity returns what schedulableCapacity does, as of the newest outlook.
func (p *Pool) countedCapacity(now time.Time) job.Size {
	p.updateOutlook(now)
	return p.outlook.capacity
}

// updateOutlook computes the outlook by the pool's own workers anew if that is due.
func (p *Pool) updateOutlook(now time.Time) {
	c := &p.outlook
	age := now.Sub(c.outlook.At())
	spacing := (time.Duration(c.counted) * outlookSpacing).Truncate(outlookStep)
	if age >= maxOutlookAge || c.plan != p.work.Plans+1 && age >= spacing {
		*c = p.computeOutlook(now)
	}
}

func (p *Pool) computeOutlook(now time.Time) outlookCache {
	counted := len(p.workers)
	var serving, free, all job.Size
	ends := make(map[time.Duration]job.Size)
	for _, w := range p.workers {
		if !w.schedulable(now) {
			continue
		}
		counted += len(w.runs)
		all = all.Plus(w.info.Capacity)
		size := w.effectiveCapacity(now)
		free = free.Plus(w.free().Max(job.Size{}))
		for _, u := range w.runs {
			switch {
			case u.orphan, u.held:
			case u.step().spec.LongRunning:
				size = size.Minus(u.size)
			default:
				after := endStep(p.timeUntilEnd(u, now))
				ends[after] = ends[after].Plus(u.size)
			}
		}
		serving = serving.Plus(size.Max(job.Size{}))
	}
	changes := make([]capacity.Change, 0, len(ends))
	for after, size := range ends {
		changes = append(changes, capacity.Change{After: after, Size: size})
	}
	return outlookCache{capacity.New(now, serving, free).WithEnds(changes), all, p.work.Plans + 1, counted}
}

// overduePart is the time that a run is expected to take still once it has taken longer than expected,
// as a fraction of that: the run times of alike tasks differ by a tenth or two.
const overduePart = 0.1

// minRemaining is the least time that a run is expected to take still, since its end must be learned.
const minRemaining = 20 * time.Millisecond

// timeUntilEnd returns how long a run is expected to occupy its capacity still. One that has not started
// takes all of its time.
func (p *Pool) timeUntilEnd(u *run, now time.Time) time.Duration {
	expected := p.expectedStepTime(u.job, u.step())
	remaining := u.worker.timeFor(expected, now)
	if !u.startedAt.IsZero() || u.restored {
		remaining = p.remainingTime(u, now)
	}
	return max(remaining, time.Duration(overduePart*float64(expected)), minRemaining)
}

// endStep rounds a time up, the coarser the longer it is, so that the ends of thousands of runs are few
// changes.
func endStep(after time.Duration) time.Duration {
	step := 50 * time.Millisecond
	for after > 40*step {
		step *= 2
	}
	return (after + step - 1).Truncate(step)
}

// emptyAfter returns how long a worker takes to become empty if nothing more is placed there: until its
// last run ends or has been stopped to continue elsewhere. Long-running tasks move one at a time.
func (p *Pool) emptyAfter(w *workerState, now time.Time) time.Duration {
	longest, moves := time.Duration(0), 0
	for _, u := range w.runs {
		if u.held {
			continue // it is released when its worker is to be emptied
		}
		if u.orphan || u.stopping {
			longest = max(longest, p.Limits.StopTime)
			continue
		}
		spec := u.step().spec
		if spec.LongRunning {
			moves++
			continue
		}
		remaining := p.timeUntilEnd(u, now)
		if spec.Checkpointing && !spec.Gang {
			remaining = min(remaining, p.Limits.StopTime+minMoveGain)
		}
		longest = max(longest, remaining)
	}
	return max(longest, time.Duration(moves)*p.Limits.StopTime)
}
