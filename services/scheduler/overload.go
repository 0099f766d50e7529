// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
)

// overloadBacklog is how many seconds of work for all its workers must be overdue for a pool to
// count as overloaded. In a surge whose late jobs can all be rescued nothing is overdue. When
// arrivals exceed the pool's capacity so far that work is overdue, rescuing jobs at the last moment
// delays others, and in the end all of them: under three times the load 0.02 finish in time, and
// 0.25 if those that still can finish in time come first (TestOverloadServesSomeInTime).
const overloadBacklog = 0.5

// fullUtilization is the share of its workers' processors that an overloaded pool uses: a pool
// whose store is slow has overdue work and free capacity for it. The use after the last plan counts
// too: a plan is made when something has ended, so that part of the capacity is free then.
const fullUtilization = 0.8

// overloadDelay is how long that condition must hold: more instances, if there are any, arrive
// within two seconds and take another two for the work that waited for them.
const overloadDelay = 4 * time.Second

// rank returns the place of a candidate by its urgency; lower comes first. If the pool is
// overloaded, jobs that have started are finished first while they are of value: abandoning them
// half done for others would waste the capacity they used.
func (c candidate) rank(overloaded bool) int {
	switch {
	case !overloaded || c.urgency == longRunning || c.urgency == overdue:
		return int(c.urgency)
	case c.job.started:
		return int(expiring)
	case c.urgency == timely:
		return int(timely)
	}
	return int(late)
}

// compareInRank compares candidates of one rank: those with the earliest latest start come first.
// If the pool is overloaded, jobs that have not started are taken in the opposite order: otherwise
// each would end just too late, one after the other.
func (c candidate) compareInRank(o candidate, overloaded bool) int {
	if overloaded && !c.job.started && !o.job.started {
		return o.job.latestStart.Compare(c.job.latestStart)
	}
	return c.job.latestStart.Compare(o.job.latestStart)
}

// detectOverload reports whether more work has arrived than the pool can do.
func (p *Pool) detectOverload(list []candidate, now time.Time) bool {
	backlog := 0.0
	for _, c := range list {
		if c.urgency == overdue && !p.outOfReach(c.step, now) {
			backlog += float64(c.step.spec.Size.CPU*c.step.waiting) * p.expectedStepTime(c.job, c.step).Seconds()
		}
	}
	capacity := float64(p.schedulableCPU(now))
	if backlog <= overloadBacklog*capacity || float64(max(p.usedCPU(), p.placedCPU)) < fullUtilization*capacity {
		p.overdueSince = time.Time{}
		return false
	}
	if p.overdueSince.IsZero() {
		p.overdueSince = now
	}
	return now.Sub(p.overdueSince) >= overloadDelay
}

// usedCPU returns the CPU that runs use, in thousandths of a core.
func (p *Pool) usedCPU() int {
	used := 0
	for _, w := range p.workers {
		used += w.used.CPU
	}
	return used
}

// schedulableCPU returns the CPU of the workers on which tasks may be placed, in thousandths of a
// core.
func (p *Pool) schedulableCPU(now time.Time) int { return p.schedulableCapacity(now).CPU }

// precedesNewJobs reports whether an overloaded pool does a job before one that arrives now: it can
// be in time, or has started and is still of value.
func (j *jobState) precedesNewJobs(now time.Time) bool {
	if j.state.Final() || j.sub.RepeatCount > 0 {
		return false
	}
	return !now.After(j.latestStart) || j.started && !now.After(j.latestUsefulStart())
}

// overloadWait returns the expected wait of a job that arrives at an overloaded pool, or at one with
// promised returns. In another pool, work that waits in a surge is done by instances that are still to be
// added.
func (p *Pool) overloadWait(customer string, reserved map[string]capacity.Work, now time.Time) time.Duration {
	if !p.overloaded && len(reserved) == 0 {
		return 0
	}
	const thousandths = 1000
	ahead := p.workAhead(customer, now) * thousandths
	if len(reserved) > 0 {
		all := 0.0
		for _, work := range reserved {
			all += work.CPU
		}
		ahead += min(all, reserved[customer].CPU/p.UsablePart(customer, now))
	}
	return seconds(ahead / float64(max(p.schedulableCPU(now), 1)))
}

// workAhead returns the core-seconds of work that come before a new job of a customer. Within its
// share, a customer waits for its own work only, however much others have queued; if the others
// leave part of their shares unused, it waits for less.
func (p *Pool) workAhead(customer string, now time.Time) float64 {
	work := make(map[string]float64)
	all, weights := 0.0, 0.0
	for _, j := range p.active {
		if !j.precedesNewJobs(now) {
			continue
		}
		if _, known := work[j.sub.Customer]; !known {
			weights += p.weightOf(j.sub.Customer)
		}
		work[j.sub.Customer] += j.remainingWork
		all += j.remainingWork
	}
	own := p.weightOf(customer)
	if _, known := work[customer]; !known {
		weights += own
	}
	return min(all, work[customer]*weights/own)
}
