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
func (p *Pool) KeepsPlaces() bool { return p.currentPolicy().KeepsPlaces }

// currentPolicy returns the policy by which jobs are accepted.
func (p *Pool) currentPolicy() admission.Policy {
	if p.policy.Decide == nil {
		p.selectPolicy()
	}
	return p.policy
}

// OnOwnTerms reports whether a job is accepted without a decision: a known one, a repeated one, or one with
// long-running tasks.
func (p *Pool) OnOwnTerms(s job.Submission) bool {
	return p.Has(s.ID) || s.HasLongRunning() || s.RepeatCount > 0
}

// Arrival is a job that is submitted, as the decision whether it is accepted needs it.
type Arrival struct {
	admission.Request
	job *jobState
}

// Arrive returns a job that is submitted, whose caller still waits for a time, 0 for unknown.
func (p *Pool) Arrive(s job.Submission, remaining time.Duration, now time.Time) Arrival {
	j := p.newJob(s, now)
	p.updateObjective(j)
	return Arrival{admission.Request{
		Job: s.ID, Customer: s.Customer, Queue: s.Queue, Load: p.waitingLoad(j, now), Latest: j.latestStart.Sub(now), Useful: j.latestUsefulStart().Sub(now), Remaining: remaining,
	}, j}
}

// Admit decides whether a job is accepted now, and returns what was known. Work that is reserved for
// promised returns, by customer, comes before it.
func (p *Pool) Admit(a Arrival, reserved map[string]capacity.Work, now time.Time) (admission.State, admission.Decision) {
	state := p.admissionState(a, reserved, now)
	return state, p.currentPolicy().Decide(a.Request, state)
}

// NoteRefused counts the work of a job that was refused as arriving: otherwise a pool that refuses for want of
// instances would ask for none.
func (p *Pool) NoteRefused(a Arrival, now time.Time) { p.addArrival(a.job, now) }

// admissionState returns what is known of the pool as far as it concerns a job that arrives now. What only
// one policy looks at is computed for that one alone: the overdue work of a large backlog takes longer to
// count than all else.
func (p *Pool) admissionState(a Arrival, reserved map[string]capacity.Work, now time.Time) admission.State {
	state := admission.State{FleetKnown: p.fleetKnown(now), FleetAge: now.Sub(p.cordonsReceivedAt)}
	if p.currentPolicy().KeepsPlaces {
		p.addLanes(&state, a.job, reserved, now)
		if !state.ByOverload(a.Request) {
			return state
		}
	}
	state.Overloaded = p.overloaded || len(reserved) > 0
	state.OverloadWait = p.overloadWait(a.Customer, reserved, now)
	return state
}

// addLanes adds the capacity and the accepted work that concern a job to a state.
func (p *Pool) addLanes(state *admission.State, j *jobState, reserved map[string]capacity.Work, now time.Time) {
	customer := j.sub.Customer
	own, all := p.concerning(j, now)
	for _, work := range reserved {
		all.ahead = all.ahead.Plus(promisedLoad(work))
	}
	own.ahead = own.ahead.Plus(promisedLoad(reserved[customer]))
	outlook, age := p.Outlook(now), now.Sub(p.backlog.at)
	state.StartDelay = max(seconds(p.startDelay.value)-stepOverhead, 0)
	state.ShareUsed = p.shareUsed(customer, now)
	state.Pool = admission.Lane{Outlook: outlook, Ahead: all.ahead, Behind: all.due(age)}
	if most := p.usableLimit(customer, now); most != (job.Size{}) {
		state.Limit = admission.Lane{Outlook: outlook.CappedAt(most), Ahead: own.ahead, Behind: own.due(age)}
	}
}

// promisedLoad returns the load of work that is promised a return, as of tasks that take a second.
func promisedLoad(w capacity.Work) admission.Load {
	return admission.Load{Work: w, Size: job.Size{CPU: int(w.CPU), MemoryMB: int(w.MemoryMB), Accelerators: int(w.Accelerators)}}
}

// UsablePart returns the part of the pool that is a customer's to use: what others have used lately is
// theirs, up to their shares.
func (p *Pool) UsablePart(customer string, now time.Time) float64 {
	weights := p.activeWeights(customer)
	size, others := p.countedCapacity(now), 0.0
	for other := range p.usageByCustomer {
		if other != customer {
			others += min(p.shareOf(other, size), p.weightOf(other)/weights)
		}
	}
	return max(p.weightOf(customer)/weights, 1-others)
}

// activeWeights returns the sum of the weights of a customer and of those that have used any of the pool
// lately.
func (p *Pool) activeWeights(customer string) float64 {
	weights := p.weightOf(customer)
	for other := range p.usageByCustomer {
		if other != customer {
			weights += p.weightOf(other)
		}
	}
	return weights
}

// shareUsed returns what a customer has used of the pool lately, as a multiple of its share among those
// who have used any.
func (p *Pool) shareUsed(customer string, now time.Time) float64 {
	return p.shareOf(customer, p.countedCapacity(now)) * p.activeWeights(customer) / p.weightOf(customer)
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
