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

// Where a queue has a policy, only the advice service knows which workers may run
// a step, and gives a ticket for each. Which workers may does not change; tickets
// run out.

// ticket lets a step run on a worker.
type ticket struct {
	text  string
	until time.Time
}

// The bounds of questions to the advice service, which answers one after the other
// and takes its time for each worker.
const (
	askMost      = 30                     // workers asked about at once; as many as a job's objective counts
	askMargin    = 150 * time.Millisecond // a ticket must hold for so long yet, until its order has arrived
	askAhead     = 500 * time.Millisecond // before a step's turn comes
	askAgain     = 200 * time.Millisecond // after a question that was not answered
	spareTickets = 2                      // workers with tickets beyond those that a step needs
)

// AdviceRequest is one question to the advice service.
type AdviceRequest struct {
	Step    job.StepRef
	Workers []worker.ID
	step    *stepState
	asked   []*workerState // the workers' starts that it asks about
}

// admits reports whether a step may run on a worker as far as its queue's policy
// goes.
func (s *stepState) admits(w *workerState, now time.Time) bool {
	if s.job.queue.Advice == nil {
		return true
	}
	t, has := w.tickets[s.ref]
	return has && now.Add(askMargin).Before(t.until)
}

// NextAdviceRequest returns the most urgent question, false for none.
func (p *Pool) NextAdviceRequest(now time.Time) (AdviceRequest, bool) {
	var best *stepState
	for _, j := range p.active {
		if j.queue.Advice == nil {
			continue
		}
		for _, r := range j.rounds {
			if r == nil || r.left == 0 {
				continue
			}
			for i := range r.steps {
				s := &r.steps[i]
				if p.wantsAdvice(r, i, now) && (best == nil || s.job.latest.Before(best.job.latest)) {
					best = s
				}
			}
		}
	}
	if best == nil {
		return AdviceRequest{}, false
	}
	q := AdviceRequest{Step: best.ref, step: best, asked: p.toAsk(best, now)}
	for _, w := range q.asked {
		q.Workers = append(q.Workers, w.info.ID)
	}
	if len(q.Workers) == 0 {
		best.askAfter = now.Add(askAgain)
		return AdviceRequest{}, false
	}
	best.asking = true
	return q, true
}

// wantsAdvice reports whether more workers are to be asked about for a step.
func (p *Pool) wantsAdvice(r *roundState, step int, now time.Time) bool {
	s := &r.steps[step]
	wanted := s.waiting + s.leaving()
	if s.asking || wanted == 0 || now.Before(s.askAfter) || !p.soon(r, step, now) {
		return false
	}
	seats := 0
	for _, w := range p.workers {
		if w.open(now) && s.admits(w, now) {
			seats += s.seats(w)
		}
	}
	return seats < wanted+spareTickets
}

// leaving returns how many tasks of a step that lasts run on workers that are to
// be left.
func (s *stepState) leaving() int {
	n := 0
	for t := range s.tasks {
		for _, u := range s.tasks[t].runs {
			if s.spec.LongRunning && u.at.leaves() {
				n++
			}
		}
	}
	return n
}

// seats returns how many tasks of a step a worker has room for, by what is declared.
func (s *stepState) seats(w *workerState) int {
	room, n := w.room(), 0
	for s.spec.Reservation().Times(n+1).FitsIn(room) && n < len(s.tasks) && (s.spec.MaxPerWorker == 0 || n < s.spec.MaxPerWorker-s.perHost[w]) {
		n++
	}
	return n
}

// soon reports whether a step's turn has come or comes before long.
func (p *Pool) soon(r *roundState, step int, now time.Time) bool {
	for _, a := range r.steps[step].spec.DependsOn {
		before := &r.steps[a]
		if before.waiting > 0 {
			return false
		}
		for t := range before.tasks {
			for _, u := range before.tasks[t].runs {
				left := p.expectStep(before.job, before) - now.Sub(u.began)
				if u.phase != running || left > askAhead+before.job.queue.Advice.CallTime {
					return false
				}
			}
		}
	}
	return true
}

// barredEverywhere reports whether the advice service allows a step on none of the workers
// there are: it waits for another one, of which about as many are allowed as of these.
func (p *Pool) barredEverywhere(s *stepState, now time.Time) bool {
	if len(s.barred) == 0 {
		return false
	}
	for id, w := range p.workers {
		if w.open(now) && !s.barred[id] {
			return false
		}
	}
	return true
}

// toAsk returns the workers to ask about: those that may have room first, without
// those that are known not to be allowed or that have a ticket.
func (p *Pool) toAsk(s *stepState, now time.Time) []*workerState {
	var list []*workerState
	for _, w := range p.workers {
		if !w.open(now) || s.admits(w, now) || s.barred[w.info.ID] {
			continue
		}
		if s.spec.Label != "" && !w.info.HasLabel(s.spec.Label) {
			continue
		}
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(s.seats(b), s.seats(a)), cmp.Compare(a.info.ID, b.info.ID))
	})
	return list[:min(askMost, len(list))]
}

// HandleAdvice takes the answer to a question.
func (p *Pool) HandleAdvice(q AdviceRequest, tickets []port.Ticket, err error, now time.Time) {
	s := q.step
	s.asking = false
	if err != nil {
		s.askAfter = now.Add(askAgain)
		p.Logger.Warn().Str("event", "advice").Str("step", q.Step.String()).Int("workers", len(q.Workers)).Err(err).Msg("a question is not answered")
		return
	}
	if s.barred == nil {
		s.barred = make(map[worker.ID]bool)
	}
	for _, id := range q.Workers {
		s.barred[id] = true
	}
	valid := s.job.queue.Advice
	for _, t := range tickets {
		delete(s.barred, t.Worker)
		if w := p.workers[t.Worker]; w != nil && valid != nil && slices.Contains(q.asked, w) {
			w.tickets[s.ref] = ticket{t.Text, now.Add(valid.TicketValidity)}
		}
	}
	p.moved = true
	p.Logger.Info().Str("event", "advice").Str("step", q.Step.String()).Int("workers", len(q.Workers)).Int("good", len(tickets)).
		Msg("the advice service has answered")
}

// wakeForAdvice has the pool planned when a question may be asked again.
func (p *Pool) wakeForAdvice(now time.Time) {
	for _, j := range p.active {
		if j.queue.Advice == nil {
			continue
		}
		for _, r := range j.rounds {
			for i := 0; r != nil && i < len(r.steps); i++ {
				p.wakeAt(r.steps[i].askAfter, now)
			}
		}
	}
}

// dropTickets forgets the tickets of a step that is done.
func (p *Pool) dropTickets(s *stepState) {
	if s.barred == nil {
		return
	}
	for _, w := range p.workers {
		delete(w.tickets, s.ref)
	}
}
