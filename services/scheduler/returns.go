// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
)

// Needs is what a job that arrives now takes of the pool.
type Needs struct {
	Work  capacity.Work // all of it, as its run times are expected
	Slack time.Duration // how long it may wait and be in time
	Share float64       // the part of the pool that is its customer's to use
}

// NeedsOf returns the needs of a job that arrives now.
func (p *Pool) NeedsOf(s job.Submission, now time.Time) Needs {
	j := p.newJob(s, now)
	p.updateObjective(j)
	n := Needs{Slack: j.latestStart.Sub(now), Share: p.shareToUse(s.Customer, now)}
	for i := range s.Steps {
		if step := &s.Steps[i]; !step.LongRunning {
			n.Work = n.Work.Plus(capacity.WorkOf(step.Reservation().Times(step.Count), p.expectedRunTime(s.Queue, step)))
		}
	}
	return n
}

// shareToUse returns the part of the pool that is a customer's to use: its share among the customers that
// have work here, or what those leave unused if that is more.
func (p *Pool) shareToUse(customer string, now time.Time) float64 {
	capacity := p.schedulableCapacity(now)
	own := p.weightOf(customer)
	weights, left := own, 1.0
	for other := range p.usageByCustomer {
		if other != customer {
			weights += p.weightOf(other)
			left -= p.shareOf(other, capacity)
		}
	}
	return max(own/weights, left)
}

// ExcessWaitBehind is ExcessWait with promised work, of the job's customer and of all, that comes before
// the job. Work that is promised makes a job wait whether or not the pool is overloaded.
func (p *Pool) ExcessWaitBehind(s job.Submission, own, all capacity.Work, now time.Time) time.Duration {
	excess := p.ExcessWait(s, now)
	if all == (capacity.Work{}) || p.Has(s.ID) || s.HasLongRunning() || s.RepeatCount > 0 {
		return excess
	}
	n := p.NeedsOf(s, now)
	const thousandths = 1000
	ahead := p.workAhead(s.Customer, now)*thousandths + min(all.CPU, own.CPU/n.Share)
	return max(excess, seconds(ahead/float64(max(p.schedulableCPU(now), 1)))-n.Slack)
}
