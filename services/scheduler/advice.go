// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// If a queue has a policy, only the advice service knows which workers may run a step, and issues a
// ticket for each. The set of permitted workers does not change; tickets expire.

// ticket permits a step to run on a worker.
type ticket struct {
	text      string
	expiresAt time.Time
}

// The limits of requests to the advice service, which processes them one after the other and takes
// some time for each worker in a request.
const (
	maxAdviceWorkers = 30                     // workers per request; the number that a job's objective accounts for
	ticketMargin     = 150 * time.Millisecond // minimum remaining validity of a ticket, for its order to arrive
	adviceLead       = 500 * time.Millisecond // before a step becomes runnable
	adviceRetryDelay = 200 * time.Millisecond // after a request that got no response, or if there is no worker to ask about
	spareTickets     = 2                      // workers with tickets beyond those that a step needs
)

// AdviceRequest is one request to the advice service.
type AdviceRequest struct {
	Step    job.StepRef
	Workers []worker.ID
	step    *stepState
	states  []*workerState // incarnations of the workers that the request is about
}

// allowedOn reports whether the queue's policy permits a step to run on a worker.
func (s *stepState) allowedOn(w *workerState, now time.Time) bool {
	if s.job.queue.Advice == nil {
		return true
	}
	t, has := w.tickets[s.ref]
	return has && now.Add(ticketMargin).Before(t.expiresAt)
}

// hasTicket reports whether the queue's policy is known to permit a step on a worker, though the ticket may have expired.
func (s *stepState) hasTicket(w *workerState) bool {
	if s.job.queue.Advice == nil {
		return true
	}
	_, has := w.tickets[s.ref]
	return has
}

// adviceNeed is what a step needs of the advice service.
type adviceNeed struct {
	step   *stepState
	asks   bool // there are workers to request tickets for
	useful bool // one of them has room for a task now
}

// maxAdviceBackoff is the number of requests in vain after which a step's place moves back no further.
const maxAdviceBackoff = 6

// place returns the place of a step among those that are asked for: its latest start, moved back by a second for the
// first request that was made in vain, and twice as far for each further one.
func (n adviceNeed) place() time.Time {
	return n.step.job.latestStart.Add(time.Duration(1<<min(n.step.adviceInVain, maxAdviceBackoff)-1) * time.Second)
}

// precedes reports whether a need is served before another one. A step that a ticket may start now comes first. Every
// second request is for those that were asked for in vain less often, so that steps which can't start do not take the turns
// of others, and the other ones go by their places, so that steps which have to be asked for again get their turn as well.
func (n adviceNeed) precedes(o adviceNeed, byPlace bool) bool {
	switch {
	case n.useful != o.useful:
		return n.useful
	case byPlace:
		return n.place().Before(o.place())
	case n.step.adviceInVain != o.step.adviceInVain:
		return n.step.adviceInVain < o.step.adviceInVain
	}
	return n.step.job.latestStart.Before(o.step.job.latestStart)
}

// NextAdviceRequest returns the most urgent request, false for none.
func (p *Pool) NextAdviceRequest(now time.Time) (AdviceRequest, bool) {
	var best adviceNeed
	for _, j := range p.active {
		if j.queue.Advice == nil {
			continue
		}
		for _, r := range j.openRounds() {
			for i := range r.steps {
				need, needed := p.adviceNeed(r, i, now)
				switch {
				case !needed:
				case !need.asks:
					need.step.adviceRetryAt = p.nextAdviceRetry(now)
				case best.step == nil || need.precedes(best, p.adviceByPlace):
					best = need
				}
			}
		}
	}
	s := best.step
	if s == nil {
		return AdviceRequest{}, false
	}
	q := AdviceRequest{Step: s.ref, step: s, states: p.adviceCandidates(s, now)}
	for _, w := range q.states {
		q.Workers = append(q.Workers, w.info.ID)
	}
	s.advicePending = true
	s.adviceInVain++
	p.adviceByPlace = !p.adviceByPlace
	return q, true
}

// nextAdviceRetry returns when to look again at the steps without a worker to ask about: all of them together, since
// each look takes a plan.
func (p *Pool) nextAdviceRetry(now time.Time) time.Time {
	if !now.Before(p.adviceRetryAt) {
		p.adviceRetryAt = now.Add(adviceRetryDelay)
	}
	return p.adviceRetryAt
}

// adviceNeed returns what a step needs of the advice service, false if that is nothing now.
func (p *Pool) adviceNeed(r *roundState, step int, now time.Time) (adviceNeed, bool) {
	s := &r.steps[step]
	wanted := s.waiting + s.leavingRuns()
	if s.advicePending || wanted == 0 || now.Before(s.adviceRetryAt) || !p.dueWithinLead(r, step, now) {
		return adviceNeed{}, false
	}
	need, slots := adviceNeed{step: s}, 0
	for _, w := range p.workers {
		switch {
		case s.allowedOn(w, now):
			if p.takesTasks(s, w, now) {
				slots += s.slotsOn(w)
			}
		case p.mayAsk(s, w, now):
			need.asks = true
			need.useful = need.useful || s.slotsOn(w) > 0
		}
	}
	return need, slots < wanted+spareTickets
}

// mayAsk reports whether a request of a step may name a worker: it may take a task of the step, if need be once it has
// rested after its ejection, and the advice service has not excluded it.
func (p *Pool) mayAsk(s *stepState, w *workerState, now time.Time) bool {
	return !s.allowedOn(w, now) && !s.excluded[w.info.ID] && s.fitsOn(w) && (w.schedulable(now) || p.fallsBackOn(s, w, now) || p.mayUseEmptying(s, w, now))
}

// fitsOn reports whether a worker that is empty could run a task of a step, whatever the queue's policy.
func (s *stepState) fitsOn(w *workerState) bool {
	return s.spec.Reservation().FitsIn(w.info.Capacity) && s.labelOn(w)
}

// leavingRuns returns how many tasks of a long-running step run on workers that are being
// emptied.
func (s *stepState) leavingRuns() int {
	n := 0
	for _, t := range s.states {
		for _, u := range t.runs {
			if s.spec.LongRunning && u.worker.leaving() {
				n++
			}
		}
	}
	return n
}

// slotsOn returns how many tasks of a step fit into the free capacity of a worker, by their
// declared size.
func (s *stepState) slotsOn(w *workerState) int {
	most := s.count()
	if limit := s.spec.MaxPerWorker; limit > 0 {
		most = min(most, limit-s.runsByWorker[w])
	}
	return s.spec.Reservation().CountIn(w.free(), most)
}

// dueWithinLead reports whether a step is runnable, or will be within adviceLead and the decision
// time of the advice service.
func (p *Pool) dueWithinLead(r *roundState, step int, now time.Time) bool {
	for _, a := range r.steps[step].spec.DependsOn {
		previous := &r.steps[a]
		if previous.waiting > 0 {
			return false
		}
		for _, t := range previous.states {
			for _, u := range t.runs {
				remaining := p.remainingTime(u, now)
				if u.phase != running || remaining > adviceLead+previous.job.queue.Advice.CallTime {
					return false
				}
			}
		}
	}
	return true
}

// excludedEverywhere reports whether the advice service permits a step on none of the current
// workers that have its label: the step waits for a new one, which is as likely to be permitted as any.
func (p *Pool) excludedEverywhere(s *stepState, now time.Time) bool {
	if len(s.excluded) == 0 {
		return false
	}
	for id, w := range p.workers {
		if w.schedulable(now) && !s.excluded[id] && s.labelOn(w) {
			return false
		}
	}
	return true
}

// adviceCandidates returns the workers to request tickets for, those with the most slots first.
func (p *Pool) adviceCandidates(s *stepState, now time.Time) []*workerState {
	var list []*workerState
	for _, w := range p.workers {
		if p.mayAsk(s, w, now) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(s.slotsOn(b), s.slotsOn(a)), cmp.Compare(a.info.ID, b.info.ID))
	})
	return list[:min(maxAdviceWorkers, len(list))]
}

// HandleAdvice processes the response to an advice request.
func (p *Pool) HandleAdvice(q AdviceRequest, tickets []port.Ticket, err error, now time.Time) {
	s := q.step
	s.advicePending = false
	if err != nil {
		s.adviceRetryAt = now.Add(adviceRetryDelay)
		p.Logger.Warn().Str("event", "advice").Str("step", q.Step.String()).Int("workers", len(q.Workers)).Int("in_vain", s.adviceInVain).Err(err).Msg("advice request got no response")
		return
	}
	if s.excluded == nil {
		s.excluded = make(map[worker.ID]bool)
	}
	for _, id := range q.Workers {
		s.excluded[id] = true
	}
	policy := s.job.queue.Advice
	for _, t := range tickets {
		delete(s.excluded, t.Worker)
		if w := p.workers[t.Worker]; w != nil && policy != nil && slices.Contains(q.states, w) {
			w.tickets[s.ref] = ticket{t.Text, now.Add(policy.TicketValidity)}
		}
	}
	p.needsPlan = true
	p.Logger.Info().Str("event", "advice").Str("step", q.Step.String()).Int("workers", len(q.Workers)).Int("good", len(tickets)).
		Int("in_vain", s.adviceInVain).Msg("advice service responded")
}

// scheduleAdvice schedules a plan for when an advice request may be repeated.
func (p *Pool) scheduleAdvice(now time.Time) {
	for _, j := range p.active {
		if j.queue.Advice == nil {
			continue
		}
		for _, r := range j.openRounds() {
			for i := range r.steps {
				p.schedulePlan(r.steps[i].adviceRetryAt, now)
			}
		}
	}
}

// dropTickets removes the tickets of a step that is done.
func (p *Pool) dropTickets(s *stepState) {
	if s.excluded == nil {
		return
	}
	for _, w := range p.workers {
		delete(w.tickets, s.ref)
	}
}
