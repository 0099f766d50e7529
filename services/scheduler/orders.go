// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// order queues an order to a worker.
func (p *Pool) order(w *workerState, o Order) {
	w.out = append(w.out, o)
	if !w.waiting {
		w.waiting = true
		p.out = append(p.out, w.info.ID)
	}
}

// Attention returns the workers that orders were queued for, or that are to be
// looked at, since it was last asked for.
func (p *Pool) Attention() []worker.ID {
	ids := p.out
	p.out = nil
	for _, id := range ids {
		if w := p.workers[id]; w != nil {
			w.waiting = false
		}
	}
	return ids
}

// Workers returns the names of all workers that are known.
func (p *Pool) Workers() []worker.ID {
	ids := make([]worker.ID, 0, len(p.workers))
	for id := range p.workers {
		ids = append(ids, id)
	}
	return ids
}

// Worker returns what is known of a worker, and false for none.
func (p *Pool) Worker(id worker.ID) (worker.Worker, bool) {
	w := p.workers[id]
	if w == nil {
		return worker.Worker{}, false
	}
	return w.info, true
}

// NextOrder takes the next order to a worker off its queue that is still to be
// given. A worker that does not answer gets none.
func (p *Pool) NextOrder(id worker.ID, now time.Time) (Order, bool) {
	w := p.workers[id]
	if w == nil || !w.silent.IsZero() {
		return Order{}, false
	}
	for len(w.out) > 0 {
		o := w.out[0]
		w.out = w.out[1:]
		p.withhold(o, now)
		if o.Valid() {
			return o, true
		}
	}
	w.out = nil
	return Order{}, false
}

// HasOrder reports whether an order to a worker waits.
func (p *Pool) HasOrder(id worker.ID) bool {
	w := p.workers[id]
	return w != nil && w.silent.IsZero() && len(w.out) > 0
}

// Again queues an order once more that got no answer. One order without an answer
// says little of its worker: nothing new is placed there until something is heard
// of it. Where nothing is before the next order gets no answer, it counts as silent
// until it has answered a look.
func (p *Pool) Again(o Order, now time.Time) {
	w := o.Run.at
	if p.workers[w.info.ID] != w {
		return
	}
	if w.doubted {
		p.missed(w, port.Answer{Verdict: port.Unknown}, now)
	}
	w.doubted = true
	w.wantLook = true
	p.order(w, o)
}

// An order to begin a run rests on what was known when the run was kept: its job is
// wanted, its worker stays, this node owns the pool. The bounds below keep it from
// going out, or from being carried out, when that may no longer hold: together they
// stay under the users' 3 s for work of a cancelled job. The first leaves four tries
// to a worker that answers half of its orders; with 1 s and two to three tries such
// days served 0.01 to 0.05 less (trials, four seeds a site).
const (
	startFresh  = 1600 * time.Millisecond // from when a run is kept until its order may go out last
	startTravel = 1200 * time.Millisecond // from when an order goes out until its worker refuses it: a fresh channel (0.7 s) and the answer (0.4 s)
)

// leastFresh is what of startFresh is left at the least; a worker that has been idle
// for a minute is down to it.
const leastFresh = 400 * time.Millisecond

// fresh returns for how long after the run was kept its order may go out. A worker's
// clock may have fallen behind since it was heard of, by which its refusal is late.
func (u *run) fresh(now time.Time) time.Duration {
	behind := time.Duration(clockSlack * float64(now.Sub(u.at.clockAt)))
	return max(startFresh-behind, leastFresh)
}

// whyWithheld returns why a run is not to be begun any more, "" where it may be. A
// worker that is to be emptied by our own wish stays until it is empty, so a gang,
// which begins as a whole, may still begin there.
func whyWithheld(u *run, now time.Time) string {
	switch {
	case now.Sub(u.kept) > u.fresh(now):
		return "its order has waited too long"
	case u.at.info.Draining, u.at.cordoned && !u.step().spec.Gang:
		return "its worker is to be left"
	case !u.ticket.until.IsZero() && !now.Before(u.ticket.until):
		return "its ticket has run out"
	}
	return ""
}

// withhold gives up an order to begin a run that is not to go out any more.
func (p *Pool) withhold(o Order, now time.Time) {
	if !o.starts() || !o.Valid() {
		return
	}
	u := o.Run
	why := whyWithheld(u, now)
	if why == "" {
		return
	}
	p.Logger.Info().Str("event", "withheld").Str("task", u.name).Int("run", u.number).Str("worker", string(u.at.info.ID)).
		Dur("kept_for", now.Sub(u.kept)).Int("tries", u.tries).Str("why", why).Msg("an order to begin a run does not go out")
	p.giveUp(u, now, why)
}

// giveUp ends a run that is not to begin, and with it its gang: the task of one that
// was never sent waits again, one that may be carried out yet is stopped.
func (p *Pool) giveUp(u *run, now time.Time, why string) {
	if u.sent || u.restored {
		p.stop(u, now, why)
	} else {
		p.release(u)
	}
	p.breakGang(u, now, why)
}

// breakGang gives up the other members of the gang of a run that does not begin: they
// would wait for it in vain.
func (p *Pool) breakGang(u *run, now time.Time, why string) {
	if u.stray || !u.step().spec.Gang {
		return
	}
	tasks := u.step().tasks
	for i := range tasks {
		for _, o := range slices.Clone(tasks[i].runs) {
			if o != u && o.number == u.number && !o.stopping && o.phase != over {
				p.giveUp(o, now, "a member of its gang does not begin: "+why)
			}
		}
	}
}

// withholdAll gives up the orders that wait and are not to go out any more.
func (p *Pool) withholdAll(now time.Time) {
	for _, w := range p.workers {
		for _, o := range w.out {
			p.withhold(o, now)
			if o.starts() && o.Valid() {
				p.wakeAt(o.Run.kept.Add(o.Run.fresh(now)+time.Millisecond), now)
			}
		}
	}
}

// Changed reports whether there is something to plan or to keep.
func (p *Pool) Changed() bool { return p.moved || len(p.dirty) > 0 || len(p.stops) > 0 }

// The times between looks at a worker. A look is priced, and an end is heard of
// at the next look at the latest.
const (
	lookGap    = 60 * time.Millisecond  // from an answer to the next look, so that ends come together
	lookRetry  = 150 * time.Millisecond // at a worker that does not answer
	tellAfter  = 300 * time.Millisecond // until a worker with no runs is told which ends are kept
	leaseParts = 3                      // a look waits for this part of a lease at most
	waitShort  = 500 * time.Millisecond // the longest wait while a task runs that will end by itself
	waitLong   = time.Second            // the longest wait while only tasks run that last
)

// NextLook returns when to look at a worker next and how long that look waits
// for an end; false where there is nothing to look for.
func (p *Pool) NextLook(id worker.ID) (time.Time, time.Duration, bool) {
	w := p.workers[id]
	switch {
	case w == nil:
		return time.Time{}, 0, false
	case !w.silent.IsZero():
		if len(w.runs) == 0 && !w.listed {
			return time.Time{}, 0, false
		}
		return w.looked.Add(lookRetry), 0, true
	case !w.met, w.wantLook:
		return time.Time{}, 0, true
	case len(w.runs) > 0:
		return w.looked.Add(lookGap), p.lookWait(w), true
	case w.told < w.kept:
		return w.looked.Add(tellAfter), 0, true
	}
	return time.Time{}, 0, false
}

// lookWait returns how long a look at a worker waits for an end.
func (p *Pool) lookWait(w *workerState) time.Duration {
	wait := waitLong
	for _, u := range w.runs {
		if s := u.step().spec; !s.Lasting || s.Target > 0 {
			wait = waitShort
			break
		}
	}
	return min(wait, p.Limits.Lease/leaseParts)
}
