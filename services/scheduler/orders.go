// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// queueOrder queues an order to a worker.
func (p *Pool) queueOrder(w *workerState, o Order) {
	w.orders = append(w.orders, o)
	p.markPending(w)
}

// markPending marks a worker for processing.
func (p *Pool) markPending(w *workerState) {
	if !w.pending {
		w.pending = true
		p.pendingWorkers = append(p.pendingWorkers, w.info.ID)
	}
}

// PendingWorkers returns the workers that were marked for processing since the last call: orders
// for them are queued, or they are to be polled.
func (p *Pool) PendingWorkers() []worker.ID {
	ids := p.pendingWorkers
	p.pendingWorkers = nil
	for _, id := range ids {
		if w := p.workers[id]; w != nil {
			w.pending = false
		}
	}
	return ids
}

// Workers returns the names of all known workers.
func (p *Pool) Workers() []worker.ID {
	ids := make([]worker.ID, 0, len(p.workers))
	for id := range p.workers {
		ids = append(ids, id)
	}
	return ids
}

// Worker returns what is known of a worker, with the address to contact it at, and false if it is
// unknown.
func (p *Pool) Worker(id worker.ID) (worker.Worker, bool) {
	w := p.workers[id]
	if w == nil {
		return worker.Worker{}, false
	}
	info := w.info
	info.Address = w.address()
	return info, true
}

// NextOrder removes the next order to a worker that is still valid from its queue. An unresponsive
// worker gets none, and one that was idle for long no starts before a poll, which is due as it has runs.
func (p *Pool) NextOrder(id worker.ID, now time.Time) (Order, bool) {
	w := p.workers[id]
	if w == nil || !w.unresponsiveSince.IsZero() || w.restartSuspected {
		return Order{}, false
	}
	var deferred []Order
	for len(w.orders) > 0 {
		o := w.orders[0]
		w.orders = w.orders[1:]
		p.withhold(o, now)
		if !o.Valid() {
			continue
		}
		if o.mustWait(now) || o.isStart() && w.clockTooOld(now) {
			deferred = append(deferred, o)
			continue
		}
		w.orders = append(deferred, w.orders...)
		o.tokenRaises, o.address = w.tokenRaises, w.address()
		return o, true
	}
	w.orders = deferred
	return Order{}, false
}

// HasOrder reports whether an order to a worker is queued.
func (p *Pool) HasOrder(id worker.ID) bool {
	w := p.workers[id]
	return w != nil && w.unresponsiveSince.IsZero() && !w.restartSuspected && len(w.orders) > 0
}

// Retry queues an order again that got no response. One order without a response does not prove
// that the worker is down, but nothing new is placed there until its next response. If another
// order gets no response before that, the worker counts as unresponsive until it responds to a
// poll.
func (p *Pool) Retry(o Order, now time.Time) {
	w := o.Run.worker
	if p.workers[w.info.ID] != w {
		return
	}
	if w.orderUnanswered {
		p.noteUnresponsive(w, port.Response{Result: port.Unknown}, now)
	}
	w.orderUnanswered = true
	w.pollWanted = true
	p.raiseToken(w)
	p.queueOrder(w, o)
}

// Changed reports whether there is something to plan or to persist.
func (p *Pool) Changed() bool {
	return p.needsPlan || len(p.dirty) > 0 || len(p.pendingStops) > 0 || p.runningDue
}

// The times between polls of a worker. Each poll is charged for, and an end is noticed at the next
// poll at the latest.
const (
	pollGap          = 60 * time.Millisecond  // from a response to the next poll, so that ends are collected
	pollRetry        = 150 * time.Millisecond // for a worker that does not respond
	acknowledgeDelay = 300 * time.Millisecond // until a worker without runs is told which ends are persisted
	leaseParts       = 3                      // a poll waits for at most this fraction of a lease
	shortPollWait    = 500 * time.Millisecond // longest wait while a task runs that ends by itself
	longPollWait     = time.Second            // longest wait while only long-running tasks run
)

// NextPoll returns when to poll a worker next and how long that poll waits for an end; false if
// there is no need to poll it.
func (p *Pool) NextPoll(id worker.ID) (time.Time, time.Duration, bool) {
	w := p.workers[id]
	switch {
	case w == nil:
		return time.Time{}, 0, false
	case !w.unresponsiveSince.IsZero():
		if len(w.runs) == 0 && !w.listed {
			return time.Time{}, 0, false
		}
		return w.polledAt.Add(pollRetry), 0, true
	case !w.hasResponded, w.pollWanted:
		return time.Time{}, 0, true
	case len(w.runs) > 0:
		return w.polledAt.Add(pollGap), p.pollWait(w), true
	case w.hasMoreEnds:
		return w.polledAt.Add(pollGap), 0, true
	case w.acknowledgedEnd < w.persistedEnd:
		return w.polledAt.Add(acknowledgeDelay), 0, true
	}
	return time.Time{}, 0, false
}

// pollWait returns how long a poll of a worker waits for an end.
func (p *Pool) pollWait(w *workerState) time.Duration {
	wait := longPollWait
	for _, u := range w.runs {
		if s := u.step().spec; !s.LongRunning || s.LatencyObjective > 0 {
			wait = shortPollWait
			break
		}
	}
	if w.onProbation(w.lastContact) {
		wait = startupTime
	}
	return min(wait, p.Limits.Lease/leaseParts)
}
