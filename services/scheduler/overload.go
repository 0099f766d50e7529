// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// overloadedBy is how many seconds of all its workers' work must be overdue for a pool to
// count as overloaded. A rush whose late jobs can all be saved leaves nothing overdue; where
// so much more comes than the pool can do that it does, jobs saved at the last moment
// make others late, and in the end all of them: with three times the load 0.02 are done
// in time, and 0.25 where those that can be come first (TestOverloadServesSomeInTime).
const overloadedBy = 0.5

// fullShare is which share of its workers' processors a pool that is overloaded uses: one
// whose store is slow has work that is overdue and room for it. What counts is what was in use
// once the last plan had placed what it could: a plan is made when something has ended.
const fullShare = 0.8

// overloadedAfter is for how long that must hold: more instances, if there are any, come
// within two seconds and take another two to do what waited for them.
const overloadedAfter = 4 * time.Second

// rank returns the place of a candidate by its urgency; the lower comes first. Where the
// pool is overloaded, jobs that have begun are finished first, while that is of use: those
// that are left for others half done have cost room for nothing.
func (c candidate) rank(overloaded bool) int {
	switch {
	case !overloaded || c.urgency == lasting || c.urgency == overdue:
		return int(c.urgency)
	case c.job.began:
		return int(last)
	case c.urgency == timely:
		return int(timely)
	}
	return int(late)
}

// turn compares candidates of one rank: those that must go on first come first. Where the
// pool is overloaded, of the jobs that have not begun the ones that can wait longest do: the
// others would end just too late, one after the other.
func (c candidate) turn(o candidate, overloaded bool) int {
	if overloaded && !c.job.began && !o.job.began {
		return o.job.latest.Compare(c.job.latest)
	}
	return c.job.latest.Compare(o.job.latest)
}

// isOverloaded reports whether more has come than the pool can do.
func (p *Pool) isOverloaded(list []candidate, now time.Time) bool {
	left := 0.0
	for _, c := range list {
		if c.urgency == overdue {
			left += float64(c.step.spec.Size.CPU*c.step.waiting) * p.expectStep(c.job, c.step).Seconds()
		}
	}
	room := float64(p.openCPU(now))
	if left <= overloadedBy*room || float64(max(p.usedCPU(), p.placedCPU)) < fullShare*room {
		p.overdueSince = time.Time{}
		return false
	}
	if p.overdueSince.IsZero() {
		p.overdueSince = now
	}
	return now.Sub(p.overdueSince) >= overloadedAfter
}

// usedCPU returns the processors that runs take, in thousandths of a core.
func (p *Pool) usedCPU() int {
	used := 0
	for _, w := range p.workers {
		used += w.used.CPU
	}
	return used
}

// openCPU returns the processors of the workers on which tasks may be placed, in
// thousandths of a core.
func (p *Pool) openCPU(now time.Time) int { return p.openRoom(now).CPU }

// comesFirst reports whether an overloaded pool does a job before one that comes now: it can
// be in time, or has begun and is of use yet.
func (j *jobState) comesFirst(now time.Time) bool {
	if j.state.Final() || j.sub.RepeatCount > 0 {
		return false
	}
	return !now.After(j.latest) || j.began && !now.After(j.lastChance())
}

// ExcessWait returns for how long a job that comes now would have to wait beyond what it can
// and still be in time, 0 where it may be taken. Only an overloaded pool is full: what waits
// in a rush is done by instances that are yet to come.
func (p *Pool) ExcessWait(s job.Submission, now time.Time) time.Duration {
	if !p.overloaded || p.Has(s.ID) || s.HasLongRunning() || s.RepeatCount > 0 {
		return 0
	}
	j := p.newJob(s, now)
	p.weigh(j)
	const thousandths = 1000
	wait := seconds(p.ahead(s.Customer, now) * thousandths / float64(max(p.openCPU(now), 1)))
	return max(wait-j.latest.Sub(now), 0)
}

// ahead returns the work, in core-seconds, after which a job of a customer that comes now has
// its turn. Of its share it waits for what the customer itself has there already, however much
// the others have; where they leave something, for less.
func (p *Pool) ahead(customer string, now time.Time) float64 {
	work := make(map[string]float64)
	all, weights := 0.0, 0.0
	for _, j := range p.active {
		if !j.comesFirst(now) {
			continue
		}
		if _, known := work[j.sub.Customer]; !known {
			weights += p.weightOf(j.sub.Customer)
		}
		work[j.sub.Customer] += j.work
		all += j.work
	}
	own := p.weightOf(customer)
	if _, known := work[customer]; !known {
		weights += own
	}
	return min(all, work[customer]*weights/own)
}
