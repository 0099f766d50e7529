// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// order queues an order to a worker.
func (p *Pool) order(w *workerState, o Order) {
	w.out = append(w.out, o)
	p.attend(w)
}

// attend has a worker among those that there is something for.
func (p *Pool) attend(w *workerState) {
	if !w.waiting {
		w.waiting = true
		p.out = append(p.out, w.info.ID)
	}
}

// PendingWorkers returns the workers that orders were queued for, or that are to be
// looked at, since it was last asked for.
func (p *Pool) PendingWorkers() []worker.ID {
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

// Worker returns what is known of a worker, with the address to reach it at, and false for none.
func (p *Pool) Worker(id worker.ID) (worker.Worker, bool) {
	w := p.workers[id]
	if w == nil {
		return worker.Worker{}, false
	}
	info := w.info
	info.Address = w.address()
	return info, true
}

// NextOrder takes the next order to a worker off its queue that is still to be
// given. A worker that does not answer gets none.
func (p *Pool) NextOrder(id worker.ID, now time.Time) (Order, bool) {
	w := p.workers[id]
	if w == nil || !w.silent.IsZero() || w.unproven {
		return Order{}, false
	}
	var waiting []Order
	for len(w.out) > 0 {
		o := w.out[0]
		w.out = w.out[1:]
		p.withhold(o, now)
		if !o.Valid() {
			continue
		}
		if o.mustWait() {
			waiting = append(waiting, o)
			continue
		}
		w.out = append(waiting, w.out...)
		o.raised = w.raised
		return o, true
	}
	w.out = waiting
	return Order{}, false
}

// HasOrder reports whether an order to a worker waits.
func (p *Pool) HasOrder(id worker.ID) bool {
	w := p.workers[id]
	return w != nil && w.silent.IsZero() && !w.unproven && len(w.out) > 0
}

// Retry queues an order once more that got no answer. One order without an answer
// says little of its worker: nothing new is placed there until something is heard
// of it. Where nothing is before the next order gets no answer, it counts as silent
// until it has answered a look.
func (p *Pool) Retry(o Order, now time.Time) {
	w := o.Run.at
	if p.workers[w.info.ID] != w {
		return
	}
	if w.doubted {
		p.missed(w, port.Response{Result: port.Unknown}, now)
	}
	w.doubted = true
	w.wantLook = true
	p.raise(w)
	p.order(w, o)
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

// NextPoll returns when to look at a worker next and how long that look waits
// for an end; false where there is nothing to look for.
func (p *Pool) NextPoll(id worker.ID) (time.Time, time.Duration, bool) {
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
		if s := u.step().spec; !s.LongRunning || s.LatencyObjective > 0 {
			wait = waitShort
			break
		}
	}
	if w.onProbation(w.heardAt) {
		wait = freshTime
	}
	return min(wait, p.Limits.Lease/leaseParts)
}
