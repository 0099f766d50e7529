// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// Poll is a look at a worker that is under way.
type Poll struct {
	worker *workerState
	stamp  uint64
	ask    port.Poll
	sent   time.Time
	before time.Duration // the worker's latest deadline without it
	raised uint64        // part of its token
}

// BeginPoll returns the look to send to a worker, and false where the worker is
// not known any more.
func (p *Pool) BeginPoll(id worker.ID, wait time.Duration, now time.Time) (Poll, port.Poll, bool) {
	w := p.workers[id]
	if w == nil {
		return Poll{}, port.Poll{}, false
	}
	p.stamp++
	w.wantLook = false
	ask := port.Poll{Token: p.token(w), Wait: wait}
	if w.told < w.kept && !w.unproven && w.silent.IsZero() {
		if w.withheld = !w.mayForget(now); !w.withheld {
			ask.Acknowledged = w.kept
		}
	}
	before := w.deadline
	w.extendedBy = 0
	if w.met && w.silent.IsZero() && !w.unproven && len(w.runs) > 0 && !p.Isolated {
		ask.Deadline = w.extend(now, p.Limits.Lease)
		w.extendedBy = p.stamp
	}
	if max(ask.Acknowledged, w.told) < w.seen || w.unproven {
		ask.Wait = 0 // it would answer at once with ends that are known, or has to
	}
	return Poll{w, p.stamp, ask, now, before, w.raised}, ask, true
}

// EndPoll takes the answer to a look.
func (p *Pool) EndPoll(k Poll, listing worker.PollResult, a port.Response, now time.Time) {
	w := k.worker
	if p.workers[w.info.ID] != w {
		return
	}
	w.looked = now
	if a.Result == port.Accepted && w.born > 0 && listing.StartedAt == 0 {
		a = port.Response{Result: port.Unknown, Err: errkind.New(errkind.OutcomeUnknown, "a list of runs without the start of its worker")}
	}
	if a.Result == port.Accepted && w.born > 0 && listing.StartedAt != w.born {
		if w = p.restarted(w, k, listing, now); w == nil {
			return
		}
		w.looked = now
	}
	if a.Result != port.Accepted && p.tryElsewhere(w, a.Result) {
		return
	}
	p.heard(w, a, now)
	switch a.Result {
	case port.Accepted:
	case port.OtherIncarnation:
		p.lifeOver(w, now, endedItself, "another life answers")
		return
	case port.Unreachable:
		if w.extendedBy == k.stamp {
			w.deadline = max(k.before, w.orderedTo) // it was not sent, and no other look since
		}
		p.missed(w, a, now)
		return
	default:
		if w.heardAt.After(k.sent) || a.Result == port.TokenTooLow && k.raised < w.raised {
			w.wantLook = true // it answers other calls
			p.raise(w)
			return
		}
		p.missed(w, a, now)
		return
	}
	if !w.silent.IsZero() {
		p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Dur("silent", now.Sub(w.silent)).
			Msg("a worker answers again")
		w.silent = time.Time{}
		p.moved = true
	}
	if w.unproven && k.raised < w.since {
		return // it was sent before the worker may have started again
	}
	p.proven(w)
	if !w.met {
		p.meet(w, listing.StartedAt)
	}
	p.acquit(w.life())
	w.listedAt = now
	w.lingers = !w.listed
	w.told = max(w.told, k.ask.Acknowledged)
	if w.rivals {
		p.outlived(w, k.sent, now)
	}
	p.list(w, k, listing, now)
}

// meet takes the first answer of a worker. What was let run there before may have a lease that
// was sent just before this look, and by the clock of an earlier start of the worker, which
// it cuts to the longest that it adopts.
func (p *Pool) meet(w *workerState, born int64) {
	lease := p.Limits.Lease
	if w.born > 0 {
		lease = max(lease, p.Limits.MaxLease)
	}
	w.born = born
	w.deadline = max(w.deadline, w.clock+lease)
	w.met = true
	p.judgeLives(w)
	p.moved = true
}

// missed notes that a worker did not answer. What was not sent there yet goes
// elsewhere; what was is kept alive no longer, and has surely ended once its
// lease has lapsed.
func (p *Pool) missed(w *workerState, a port.Response, now time.Time) {
	if !w.silent.IsZero() {
		return
	}
	w.silent = now
	p.suspectRestart(w)
	e := p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int("runs", len(w.runs)).
		Time("lapses", w.lapses()).Str("outcome", string(a.Result))
	if a.Err != nil {
		e = e.Str("err", a.Err.Error())
	}
	e.Msg("a worker does not answer")
	for _, u := range w.runs {
		if !u.sent && !u.restored {
			p.giveUp(u, now, "its worker does not answer")
		} else if !u.worksTogether() {
			p.breakGang(u, now, "its worker does not answer")
		}
	}
	p.wakeAt(w.lapses(), now)
}

// list takes what a worker runs and what has ended there.
func (p *Pool) list(w *workerState, k Poll, listing worker.PollResult, now time.Time) {
	for _, e := range listing.Ends {
		if e.Sequence <= w.seen {
			continue
		}
		w.seen = e.Sequence
		if u := w.runs[e.Task]; u != nil && u.number == e.Number {
			p.end(u, e, now)
		} else {
			p.lateEnd(w, e, now)
		}
	}
	listed := make(map[string]bool, len(listing.Runs))
	p.forgetStrays(w)
	for _, r := range listing.Runs {
		listed[r.Task] = true
		p.runs(w, r, now)
	}
	for name, u := range w.runs {
		if !listed[name] && p.vanished(u, k) {
			p.lose(u, now, "its worker does not list it")
		}
	}
	p.share(w, now)
}

// runs takes one row of what a worker runs.
func (p *Pool) runs(w *workerState, r worker.Run, now time.Time) {
	u := w.runs[r.Task]
	if u == nil || u.number != r.Number {
		p.stray(w, r, now)
		return
	}
	if u.phase != running {
		u.phase = running
		u.unsure = false
		u.ack = p.stamp
		if u.began.IsZero() {
			u.began = now
		}
		p.began(u, now)
	}
	if r.Percent != u.percent {
		u.moved = now
	}
	u.percent, u.load = r.Percent, r.Load
	if r.Checkpoint != "" {
		u.saved = r.Checkpoint
	}
	p.prove(u, now)
}

// vanished reports whether a run that a look did not list has ended: its worker
// has said that it runs, or cannot begin it any more, before the look was sent.
func (p *Pool) vanished(u *run, k Poll) bool {
	switch {
	case u.phase == planned:
		return false
	case u.restored && u.phase == ordered:
		return true // orders of the earlier owner are refused since this look
	case u.stopped:
		return k.stamp > u.ack
	}
	return u.phase == running && !u.unsure && k.stamp > u.ack
}

// stray stops a run that is not known, which an earlier owner or a late order
// has begun. Until it has ended its room is taken, and its task is not begun
// elsewhere.
func (p *Pool) stray(w *workerState, r worker.Run, now time.Time) {
	ref, err := job.ParseTask(r.Task)
	if err != nil {
		p.Logger.Warn().Str("event", "stray").Str("worker", string(w.info.ID)).Err(err).Msg("a run with no name of a task")
		return
	}
	p.holdBack(w, ref, now)
	for _, o := range w.out {
		if o.Stop && o.Run.name == r.Task {
			return
		}
	}
	u := &run{
		job: &jobState{sub: job.Submission{ID: ref.Job}}, ref: ref, name: r.Task, number: r.Number, at: w, phase: ordered, stopping: true, stray: true,
	}
	p.Logger.Info().Str("event", "stray").Str("task", r.Task).Int("run", r.Number).Str("worker", string(w.info.ID)).
		Msg("a run that is not ours to keep is stopped")
	p.order(w, Order{Run: u, Stop: true})
}

// strayUse is what a customer uses by a stray run.
type strayUse struct {
	customer string
	size     job.Size
}

// forgetStrays forgets the stray runs of a worker: it is about to say which there are, or is gone.
func (p *Pool) forgetStrays(w *workerState) {
	for _, u := range w.strayUses {
		p.allowed.count(u.customer, job.Size{}.Minus(u.size))
	}
	w.strays, w.strayUses = job.Size{}, nil
}

// holdBack keeps the room of a stray run, and its task from being begun, until it
// must have been stopped.
func (p *Pool) holdBack(w *workerState, ref job.TaskRef, now time.Time) {
	s, t := p.find(ref)
	if t == nil {
		return
	}
	w.strays = w.strays.Plus(s.spec.Reservation())
	w.strayUses = append(w.strayUses, strayUse{s.job.sub.Customer, s.spec.Size})
	p.allowed.count(s.job.sub.Customer, s.spec.Size)
	t.notBefore = now.Add(p.Limits.StopTime + lookRetry)
	p.wakeAt(now.Add(p.Limits.StopTime+lookRetry), now)
}
