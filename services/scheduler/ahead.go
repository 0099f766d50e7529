// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
)

// While the store is slow, a worker that becomes free waits for an append before it gets the next
// task. So tasks are placed ahead on workers whose runs are expected to end soon: such a run is
// persisted as any other, and its order is held until the worker has room. The next owner treats it
// as a run that may have started. The invariants:
//
//   - A held run is in none of its worker's used capacity. Its order is queued only once it fits into
//     what is free, that is, once the ends of other runs are listed, and from then on it is a run as
//     any other.
//   - It counts as a run of its task, and for its customer's allowance, from when it is planned.
//   - Nothing of it was sent, so it is released without an order to the worker.

// Conditions for placing tasks ahead.
const (
	// slowAppend is the duration of an append from which on the store is slow, 25 times the usual 4 ms;
	// fastAppend is that below which it no longer is.
	slowAppend = 100 * time.Millisecond
	fastAppend = 50 * time.Millisecond
	// aheadAppends is within how many appends a run is expected to end for another one to be placed
	// ahead: the next plan is made one append later, and what it places starts after another one.
	aheadAppends = 2
	// heldAppends is after how many appends a held run is released whose worker still has no room.
	heldAppends = 4
	// aheadReplans is how many plans are made for each append if nothing changes: runs come within reach
	// of their ends by themselves.
	aheadReplans = 4
	// longestAppend bounds the duration that these multiples count with: an order may be 1.6 s old.
	longestAppend = 800 * time.Millisecond
)

// ahead is the state of placing ahead.
type ahead struct {
	active      bool
	appendTime  time.Duration // of the last append, longestAppend at most
	confirmedAt time.Time     // when the last append was sent that confirmed this node as the owner
	noRoom      []job.Size    // of tasks for which this plan has found no place ahead
}

// The counters of placing ahead.
const (
	aheadPlaced   = "ahead.placed"   // a task was placed on a worker without room yet
	aheadSent     = "ahead.sent"     // the order of such a run was queued
	aheadReleased = "ahead.released" // such a run was released before
)

// SetAppendTime records how long the last append to the store took, which decides whether tasks are
// placed ahead.
func (p *Pool) SetAppendTime(d time.Duration, now time.Time) {
	active := !p.Limits.NoAhead && (d >= slowAppend || p.ahead.active && d >= fastAppend)
	p.ahead.appendTime = min(d, longestAppend)
	if active == p.ahead.active {
		return
	}
	p.ahead.active = active
	outcome := "ends"
	if active {
		outcome = "begins"
	}
	p.Logger.Info().Str("event", "ahead").Dur("append", d).Int("held", p.countHeld()).Str("outcome", outcome).
		Msg("placing tasks ahead on workers that will have room soon")
	p.reviewHeld(now)
}

// countHeld returns the number of held runs.
func (p *Pool) countHeld() int {
	n := 0
	for _, w := range p.workers {
		n += len(w.held)
	}
	return n
}

// heldFor returns the size of the held runs on a worker that precede work of a priority.
func (w *workerState) heldFor(priority int) job.Size {
	var size job.Size
	for _, u := range w.held {
		if u.job.queue.Priority <= priority {
			size = size.Plus(u.size)
		}
	}
	return size
}

// placeAhead places a task on the best worker that is expected to have room for it soon, and reports
// whether there is one.
func (p *Pool) placeAhead(c candidate, index int, now time.Time) bool {
	s := c.step
	if !p.ahead.active {
		return false
	}
	p.schedulePlan(now.Add(p.ahead.appendTime/aheadReplans), now)
	if !c.mayBePlacedAhead(s.peek(index)) || slices.ContainsFunc(p.ahead.noRoom, func(o job.Size) bool { return o.FitsIn(s.spec.Reservation()) }) {
		return false
	}
	var best *workerState
	var bestScore float64
	p.work.Examined += uint64(len(p.workers))
	for _, w := range p.workers {
		if !p.takesAhead(c, w, now) {
			continue
		}
		if score := p.score(s, w); best == nil || score > bestScore || score == bestScore && w.info.ID < best.info.ID {
			best, bestScore = w, score
		}
	}
	if best == nil {
		if s.anyWorkerSuits() {
			p.ahead.noRoom = append(p.ahead.noRoom, s.spec.Reservation())
		}
		return false
	}
	u := p.addRun(c.job, s, index, best, now, true)
	p.logPlacement(c, u, now)
	p.increment(aheadPlaced)
	p.yieldHeld(best, u, now)
	return true
}

// mayBePlacedAhead reports whether a task of a candidate may be placed ahead: one that has no special
// conditions for its worker, which may change until it has room.
func (c candidate) mayBePlacedAhead(t *taskState) bool {
	spec := c.step.spec
	return !spec.Gang && !spec.LongRunning && !spec.Backfill && c.job.queue.Advice == nil && t.failures == 0 && len(t.crashes) == 0
}

// takesAhead reports whether a task may be placed ahead on a worker.
func (p *Pool) takesAhead(c candidate, w *workerState, now time.Time) bool {
	s := c.step
	switch {
	case !s.suits(w, now), w.health.onTrial, w.onProbation(now), p.reservation.workers[w]:
		return false
	case s.spec.MaxPerWorker > 0 && s.runsByWorker[w] >= s.spec.MaxPerWorker:
		return false
	}
	return s.spec.Reservation().FitsIn(p.roomSoon(w, now).Minus(w.heldFor(c.job.queue.Priority)))
}

// roomSoon returns what is free on a worker once the runs have ended that are expected to end within
// aheadAppends, without what is held. A run whose order is on its way is about to start.
func (p *Pool) roomSoon(w *workerState, now time.Time) job.Size {
	return w.free().Plus(p.endingSoon(w, now))
}

// endingSoon returns the size of the runs on a worker that are expected to end within aheadAppends. A plan computes it
// once for each worker, and again if the runs there have changed, since it looks at each worker for each task.
func (p *Pool) endingSoon(w *workerState, now time.Time) job.Size {
	if w.endingPlan == p.work.Plans {
		return w.ending
	}
	var soon job.Size
	horizon := aheadAppends * p.ahead.appendTime
	p.work.Examined += uint64(len(w.runs))
	for _, u := range w.runs {
		if u.orphan || u.held || u.restored || u.stopping || u.step().spec.LongRunning {
			continue
		}
		left := p.expectedStepTime(u.job, u.step()) - u.age(now)
		if u.phase == planned {
			left += p.ahead.appendTime
		}
		if left <= horizon && left >= -horizon {
			soon = soon.Plus(u.size)
		}
	}
	w.ending, w.endingPlan = soon, p.work.Plans
	return soon
}

// yieldHeld releases the held runs on a worker that are of lower priority than a new one and fit there
// no more.
func (p *Pool) yieldHeld(w *workerState, by *run, now time.Time) {
	room := p.roomSoon(w, now)
	for _, u := range slices.Backward(slices.Clone(w.held)) {
		if u.job.queue.Priority > by.job.queue.Priority && !w.heldFor(u.job.queue.Priority).FitsIn(room) {
			p.releaseHeld(u, now, "work of a higher priority takes its place")
		}
	}
}

// SendHeld queues the orders of held runs that have room now.
func (p *Pool) SendHeld(now time.Time) {
	for _, w := range p.workers {
		p.sendHeld(w, now)
	}
}

// sendHeld queues the orders of the held runs on a worker that have room now, those of the highest
// priority first.
func (p *Pool) sendHeld(w *workerState, now time.Time) {
	if len(w.held) == 0 || !w.schedulable(now) || p.reservation.workers[w] || p.Isolated {
		return
	}
	list := slices.Clone(w.held)
	slices.SortStableFunc(list, func(a, b *run) int { return cmp.Compare(a.job.queue.Priority, b.job.queue.Priority) })
	for _, u := range list {
		if u.phase != ordered || !u.size.FitsIn(w.free()) || p.exceedsAllowance(u.job.sub.Customer) {
			continue
		}
		// The order's age counts from when this node was known to be the owner, and so to know
		// whether the job is still wanted: that is what the age stands for.
		if p.ahead.confirmedAt.After(u.persistedAt) {
			u.persistedAt = p.ahead.confirmedAt
		}
		if withholdReason(u, now) != "" {
			continue
		}
		p.admitHeld(u, now)
	}
}

// admitHeld makes a held run one like any other and queues its order.
func (p *Pool) admitHeld(u *run, now time.Time) {
	w := u.worker
	w.held = slices.DeleteFunc(w.held, func(o *run) bool { return o == u })
	u.held = false
	u.step().held--
	w.used = w.used.Plus(u.size)
	u.progressedAt, u.plannedAt = now, now
	p.Logger.Info().Str("event", "ahead").Str("task", u.name).Int("run", u.number).Str("worker", string(w.info.ID)).
		Dur("held", now.Sub(u.heldSince)).Dur("confirmed", now.Sub(p.ahead.confirmedAt)).Str("outcome", "sent").Msg("held order is sent")
	p.increment(aheadSent)
	p.queueOrder(w, Order{Run: u})
}

// reviewHeld releases the held runs that must not or need not wait for their worker any longer.
func (p *Pool) reviewHeld(now time.Time) {
	for _, w := range p.workers {
		for _, u := range slices.Clone(w.held) {
			if reason := p.releaseReason(u, now); reason != "" {
				p.releaseHeld(u, now, reason)
			}
		}
	}
}

// releaseReason returns why a held run must not or need not be kept, "" if it is kept.
func (p *Pool) releaseReason(u *run, now time.Time) string {
	w := u.worker
	switch {
	case !w.schedulable(now):
		return "its worker takes no tasks"
	case !u.step().suits(w, now):
		return "its worker does not suit it any more"
	case !u.size.FitsIn(w.info.Capacity):
		return "the capacity of its worker has shrunk"
	case p.reservation.workers[w]:
		return "its worker is reserved for a gang"
	case p.exceedsAllowance(u.job.sub.Customer):
		return "its customer's allowance was lowered"
	case !p.ahead.active:
		return "the store is not slow any more"
	case now.Sub(u.heldSince) > heldAppends*p.ahead.appendTime:
		return "its worker has no room for too long"
	}
	return ""
}

// exceedsAllowance reports whether a customer's runs, held ones included, are more than it may have in
// the pool: its limit or allowance was lowered.
func (p *Pool) exceedsAllowance(customer string) bool {
	limit := p.limitOf(customer)
	return quota.HasLimit(limit) && (p.paused(customer) || !quota.Within(p.allowances.used[customer], p.allowances.current.For(customer, limit), limit))
}

// releaseAllHeld releases the held runs of a worker.
func (p *Pool) releaseAllHeld(w *workerState, now time.Time, reason string) {
	for _, u := range slices.Clone(w.held) {
		p.releaseHeld(u, now, reason)
	}
}

// releaseHeld releases a held run; its task waits again.
func (p *Pool) releaseHeld(u *run, now time.Time, reason string) {
	p.Logger.Info().Str("event", "ahead").Str("task", u.name).Int("run", u.number).Str("worker", string(u.worker.info.ID)).
		Dur("held", now.Sub(u.heldSince)).Bool("kept", u.phase == ordered).Str("outcome", "released").Str("why", reason).Msg("held order is not sent")
	p.increment(aheadReleased)
	p.work.Released++
	p.release(u)
}

// addHeldDemand adds a held run to the demand that waits for capacity.
func (p *Pool) addHeldDemand(u *run, now time.Time, r *Report) {
	s := u.step()
	switch {
	case s.spec.Label != "":
		r.addLabel(s.spec.Label, u.size)
	case u.job.urgency(s, now) == overdue:
		r.Overdue = r.Overdue.Plus(u.size)
	default:
		r.Waiting = r.Waiting.Plus(u.size)
		r.Required = r.Required.Plus(u.size.Scale(p.requiredShare(u.job, s, now)))
	}
}
