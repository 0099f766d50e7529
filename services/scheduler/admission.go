// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/services/admission"
)

// selectPolicy selects the policy by the configuration.
func (p *Pool) selectPolicy() {
	hasCustomers := p.config != nil && len(p.config.Customers) > 0
	if p.SelectPolicy == nil {
		p.policy = admission.Select("", hasCustomers)
		return
	}
	p.policy = p.SelectPolicy(hasCustomers)
}

// KeepsPlaces reports whether jobs that were accepted keep their places.
func (p *Pool) KeepsPlaces() bool { return p.currentPolicy().TimelyFirst }

// currentPolicy returns the policy by which jobs are accepted.
func (p *Pool) currentPolicy() admission.Policy {
	if p.policy.Decide == nil {
		p.selectPolicy()
	}
	return p.policy
}

// AdmissionRequest returns a job as the decision whether it is accepted needs it. It returns false for jobs
// that are accepted on their own terms: known ones, repeated ones and those with long-running tasks.
func (p *Pool) AdmissionRequest(s job.Submission, remaining time.Duration, now time.Time) (admission.Request, bool) {
	if p.Has(s.ID) || s.HasLongRunning() || s.RepeatCount > 0 {
		return admission.Request{}, false
	}
	j := p.newJob(s, now)
	p.updateObjective(j)
	return admission.Request{
		Job: s.ID, Customer: s.Customer, Queue: s.Queue, Load: p.waitingLoad(j, now), Latest: j.latestStart.Sub(now), Useful: j.latestUsefulStart().Sub(now), Remaining: remaining,
	}, true
}

// Admit decides whether a job is accepted now, and returns what was known. Work that is reserved for
// promised returns, by customer, comes before it.
func (p *Pool) Admit(s job.Submission, r admission.Request, reserved map[string]capacity.Work, now time.Time) (admission.State, admission.Decision) {
	j := p.newJob(s, now)
	p.updateObjective(j)
	state := p.admissionState(j, reserved, now)
	return state, p.currentPolicy().Decide(r, state)
}

// admissionState returns what is known of the pool as far as it concerns a job that arrives now.
func (p *Pool) admissionState(j *jobState, reserved map[string]capacity.Work, now time.Time) admission.State {
	customer := j.sub.Customer
	state := admission.State{
		FleetKnown: p.fleetKnown(now), FleetAge: now.Sub(p.cordonsReceivedAt), Overloaded: p.overloaded || len(reserved) > 0,
		OverloadWait: p.overloadWait(customer, reserved, now),
	}
	if !p.currentPolicy().TimelyFirst {
		return state
	}
	shares := p.customerShares(customer, now)
	own, all := p.concerning(j, shares, now)
	for other, work := range reserved {
		if !shares.above[other] || shares.above[customer] {
			all.ahead = all.ahead.Plus(admission.Load{Work: work})
		}
	}
	own.ahead = own.ahead.Plus(admission.Load{Work: reserved[customer]})
	outlook, age := p.Outlook(now), now.Sub(p.backlog.at)
	state.StartDelay = max(seconds(p.startDelay.value)-stepOverhead, 0)
	state.Share = admission.Lane{Outlook: outlook, Ahead: all.ahead, Behind: all.due(age)}
	if part := outlook.Scale(shares.usable); shares.usable < 1 && (shares.above[customer] || part.TimeFor(own.total().Work) > usageSpan) {
		state.Share = admission.Lane{Outlook: part, Ahead: own.ahead, Behind: own.due(age)}
	}
	if most := p.usableLimit(customer, now); most != (job.Size{}) {
		state.Limit = admission.Lane{Outlook: outlook.CappedAt(most), Ahead: own.ahead, Behind: own.due(age)}
	}
	return state
}

// UsablePart returns the part of the pool that is a customer's to use.
func (p *Pool) UsablePart(customer string, now time.Time) float64 {
	return p.customerShares(customer, now).usable
}

// customerShares is how a pool is shared at a moment, as seen by one customer.
type customerShares struct {
	usable float64         // fraction of the pool that is the customer's to use
	above  map[string]bool // the customers that use more than their shares
}

// customerShares returns how the pool is shared. What others have used lately is theirs, up to their
// shares; who has used less than its share comes first, until its use has risen.
func (p *Pool) customerShares(customer string, now time.Time) customerShares {
	weights := p.weightOf(customer)
	for other := range p.usageByCustomer {
		if other != customer {
			weights += p.weightOf(other)
		}
	}
	size, others, above := p.schedulableCapacity(now), 0.0, make(map[string]bool)
	for other := range p.usageByCustomer {
		used, share := p.shareOf(other, size), p.weightOf(other)/weights
		above[other] = used >= share
		if other != customer {
			others += min(used, share)
		}
	}
	return customerShares{max(p.weightOf(customer)/weights, 1-others), above}
}

// usableLimit returns what a customer's limit lets it use in the pool, zero for no limit. What the pool
// is lent grows within half a second; if the customer's tasks have waited for longer, that is all.
func (p *Pool) usableLimit(customer string, now time.Time) job.Size {
	limit := p.limitOf(customer)
	if !quota.HasLimit(limit) || p.waitedAtLimit(customer, now) <= limitWaitCounted {
		return limit
	}
	return p.allowances.current.For(customer, limit)
}

// fleetReportAge is the age from which a report of the holder of the role for instances says nothing
// of what it brings.
const fleetReportAge = 3 * time.Second

// noteFleet records whether the holder of the role for instances tells what it brings and could bring.
func (p *Pool) noteFleet(request CordonRequest) {
	if len(request.Arriving)+len(request.Potential) > 0 {
		p.fleetToldIn = request.Epoch
	}
}

// fleetKnown reports whether the holder of the role for instances has reported lately. One that has told
// of no capacity since it holds the role may not know yet what there is.
func (p *Pool) fleetKnown(now time.Time) bool {
	return p.fleetToldIn > 0 && p.fleetToldIn == p.lastCordonRequest.Epoch && now.Sub(p.cordonsReceivedAt) < fleetReportAge
}

// Counters of admission.
const (
	admittedInTime = "admission.ended.in-time"
	admittedLate   = "admission.ended.late"
)

// countEnd counts whether an accepted job has ended in time.
func (p *Pool) countEnd(j *jobState, now time.Time) {
	if j.sub.HasLongRunning() || j.sub.RepeatCount > 0 || j.state == job.Cancelled {
		return
	}
	inTime := j.state == job.Completed && now.Sub(j.accepted) <= j.objective
	if inTime {
		p.increment(admittedInTime)
		return
	}
	p.increment(admittedLate)
}
