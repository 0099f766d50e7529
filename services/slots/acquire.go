// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"context"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// AcquireRequest is one request's need of a slot.
type AcquireRequest struct {
	Pool     string
	Class    manifest.Class
	Deadline time.Time
	Limit    int           // requests that may wait for the pool
	Typical  time.Duration // usual time in a slot, 0 for not known
	Avoid    string        // worker that is taken only where no slot of another one comes in a while, empty for none
}

// Slot is the right to one request on a target, until Release.
type Slot struct {
	holder  *Holder
	target  *holding
	address string
	worker  string
}

// slotOn makes the slot of a target that was picked; h.mu is held.
func (h *Holder) slotOn(t *holding) *Slot {
	return &Slot{holder: h, target: t, address: t.address, worker: t.worker}
}

// Worker returns the target's worker.
func (s *Slot) Worker() string { return s.worker }

// Address returns the target's IP and port.
func (s *Slot) Address() string { return s.address }

// Usable reports whether the target may still be given a new request.
func (s *Slot) Usable() bool {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	return s.target.serving
}

// Release gives the slot back; it must be called exactly once, when the target
// has nothing to do any more for the request.
func (s *Slot) Release() {
	h := s.holder
	h.mu.Lock()
	kicks := h.release(s.target)
	h.mu.Unlock()
	h.kickAll(kicks)
}

// Acquire returns a slot of any target of the pool. It gives up at once, with
// the time to come back, where the request can't be served in time.
func (h *Holder) Acquire(ctx context.Context, a AcquireRequest) (*Slot, error) {
	h.mu.Lock()
	h.init()
	p := h.pool(a.Pool)
	if p.queue.len() == 0 {
		if t := h.pick(p, a.Avoid); t != nil {
			slot := h.slotOn(t)
			h.mu.Unlock()
			return slot, nil
		}
	}
	w, err := h.enqueue(p, a)
	if err != nil {
		h.mu.Unlock()
		return nil, err
	}
	h.serveQueue(p) // a repeat takes a slot that is idle where no other one may come
	kicks := h.wantMore(p)
	h.mu.Unlock()
	h.kickAll(kicks)
	return h.await(ctx, p, w)
}

// choosyShare is the part of a repeat's time for which it leaves the slots of
// the target that failed it to others: an exchange with an owner in another hall
// takes some milliseconds, the shortest deadlines are a second or two, and most
// of the time is left for the attempt itself.
const choosyShare = 4

// enqueue makes a request wait, unless that is hopeless; h.mu is held.
func (h *Holder) enqueue(p *poolHoldings, a AcquireRequest) (*waiter, error) {
	if !slices.ContainsFunc(p.targets, func(t *holding) bool { return t.serving }) {
		return nil, errkind.New(errkind.NoTarget, "pool %s has no target in service", a.Pool)
	}
	now := h.Clock.Now()
	if p.queue.len() == 0 {
		p.emptyAt = now
	}
	p.typical, p.limit = a.Typical, a.Deadline.Sub(now)
	if a.Class != manifest.Batch {
		h.shedStanding(p, now)
	}
	if wait, bound := h.expectedWait(p, a.Class), p.longestWait(now, a.Deadline); wait > bound {
		return nil, errkind.NewRetry(errkind.Overloaded, wait, "the wait for pool %s would be %s, allowed are %s",
			a.Pool, wait.Round(time.Millisecond), bound.Round(time.Millisecond))
	}
	if p.queue.all() >= a.Limit {
		wait := h.expectedWait(p, a.Class)
		if a.Class == manifest.Batch || !shedOldest(&p.queue.batch, wait) {
			return nil, errkind.NewRetry(errkind.Overloaded, wait, "%d requests wait for pool %s, the most allowed", p.queue.all(), a.Pool)
		}
	}
	w := &waiter{class: a.Class, avoid: a.Avoid, deadline: a.Deadline, grant: make(chan *Slot, 1), shed: make(chan struct{})}
	if a.Avoid != "" && h.mayCome(p, a.Avoid) {
		p.queue.choosy = append(p.queue.choosy, w)
		return w, nil
	}
	p.queue.add(w)
	return w, nil
}

// A queue that has not been empty for about two answers' time is no burst but
// overload, and a long one then only adds to every answer's time.
const (
	standingWorks    = 2 // usual times in a slot
	shortestStanding = 200 * time.Millisecond
	longestStanding  = 500 * time.Millisecond
	standingWaits    = 1.5 // usual times in a slot
	standingShare    = 20  // the part of a request's time that it may wait in any case
)

// standing reports whether the pool is in overload.
func (p *poolHoldings) standing(now time.Time) bool {
	after := min(max(standingWorks*p.typical, shortestStanding), longestStanding)
	return now.Sub(p.emptyAt) >= after
}

// standingBound is the longest wait in overload: about as long as an answer
// takes, or a small part of the time that a request has.
func (p *poolHoldings) standingBound() time.Duration {
	return max(time.Duration(standingWaits*float64(p.typical)), p.limit/standingShare)
}

// longestWait returns how long a request may expect to wait: up to its
// deadline in a burst, and about as long as its answer takes in overload.
func (p *poolHoldings) longestWait(now, deadline time.Time) time.Duration {
	left := deadline.Sub(now)
	if p.standing(now) {
		return min(left, p.standingBound())
	}
	return left
}

// shedStanding gives up on what a burst left waiting once it has turned out to
// be overload: the batch requests, then those that have waited longest, until
// the rest is served about as soon as new ones would be; h.mu is held.
func (h *Holder) shedStanding(p *poolHoldings, now time.Time) {
	if !p.standing(now) {
		return
	}
	for h.expectedWait(p, manifest.Batch) > p.standingBound() {
		wait := h.expectedWait(p, manifest.Batch)
		if !shedOldest(&p.queue.batch, wait) && !shedOldest(&p.queue.interactive, wait) {
			return
		}
	}
}

// expectedWait estimates the time in the queue; h.mu is held.
func (h *Holder) expectedWait(p *poolHoldings, class manifest.Class) time.Duration {
	ahead := len(p.queue.interactive)
	if class == manifest.Batch {
		ahead = p.queue.len()
	}
	return time.Duration(ahead) * p.typical / time.Duration(max(h.held(p), 1))
}

// await returns the slot, or the reason why the request is given up on.
func (h *Holder) await(ctx context.Context, p *poolHoldings, w *waiter) (*Slot, error) {
	left := w.deadline.Sub(h.Clock.Now())
	var settle <-chan time.Time // never, where the request takes any slot
	if w.avoid != "" {
		settle = h.Clock.After(left / choosyShare)
	}
	late := h.Clock.After(left)
	var err error
	for err == nil {
		select {
		case s := <-w.grant:
			return s, nil
		case <-w.shed:
			return nil, errkind.NewRetry(errkind.Overloaded, w.comeBack, "given up since more requests came than pool %s can serve", p.name)
		case <-settle:
			settle = nil
			h.settle(p, w)
		case <-late:
			err = errkind.New(errkind.DeadlinePassed, "no slot of pool %s in time", p.name)
		case <-ctx.Done():
			err = errkind.New(errkind.DeadlinePassed, "the caller waits no more")
		}
	}
	h.mu.Lock()
	p.queue.remove(w)
	h.mu.Unlock()
	select {
	case s := <-w.grant: // granted at the last moment
		s.Release()
	default:
	}
	return nil, err
}

// settle has a repeat that has waited long enough for another target take a
// slot of any.
func (h *Holder) settle(p *poolHoldings, w *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.queue.settle(w)
	h.serveQueue(p)
}
