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

// AcquireRequest describes the slot that a request needs.
type AcquireRequest struct {
	Pool     string
	Class    manifest.Class
	Deadline time.Time
	Limit    int           // largest number of requests that may wait for the pool
	Typical  time.Duration // typical time in a slot, 0 if unknown
	Avoid    string        // worker that is used only if no slot of another one becomes free within a part of the time, empty for none
}

// Slot is the right to have one request in flight on a target, until Release.
type Slot struct {
	holder  *Holder
	target  *targetState
	address string
	worker  string
}

// slotOn returns a slot of a target that was picked; h.mu is held.
func (h *Holder) slotOn(t *targetState) *Slot {
	return &Slot{holder: h, target: t, address: t.address, worker: t.worker}
}

// Worker returns the ID of the target's worker.
func (s *Slot) Worker() string { return s.worker }

// Address returns the IP address and port of the target.
func (s *Slot) Address() string { return s.address }

// Usable reports whether new requests may still be sent to the target.
func (s *Slot) Usable() bool {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	return s.target.serving
}

// Release returns the slot. It must be called exactly once, after the target has finished its work
// on the request.
func (s *Slot) Release() {
	h := s.holder
	h.mu.Lock()
	owners := h.release(s.target)
	h.mu.Unlock()
	h.requestExchanges(owners)
}

// Acquire waits for a slot of any target of the pool. It fails at once, with a time after which to
// retry, if the request can't be served in time.
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
	h.serveQueue(p) // a retry takes an idle slot of the failed target if no other one may become free
	owners := h.ownersToRequest(p)
	h.mu.Unlock()
	h.requestExchanges(owners)
	return h.await(ctx, p, w)
}

// avoidShare is the divisor of a retry's remaining time for which it leaves the slots of the target
// that failed it to other requests. An exchange with an owner in another data centre takes some
// milliseconds and the shortest deadlines are one or two seconds, so most of the time is left for
// the attempt itself.
const avoidShare = 4

// enqueue adds a request to the queue unless it can't be served in time; h.mu is held.
func (h *Holder) enqueue(p *poolState, a AcquireRequest) (*waiter, error) {
	if !slices.ContainsFunc(p.targets, func(t *targetState) bool { return t.serving }) {
		return nil, errkind.New(errkind.NoTarget, "pool %s has no target in service", a.Pool)
	}
	now := h.Clock.Now()
	if p.queue.len() == 0 {
		p.emptyAt = now
	}
	p.typical, p.requestTime = a.Typical, a.Deadline.Sub(now)
	if a.Class != manifest.Batch {
		h.shedOverload(p, now)
	}
	if wait, bound := h.expectedWait(p, a.Class), p.maxWait(now, a.Deadline); wait > bound {
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
	if a.Avoid != "" && h.otherMayBeLent(p, a.Avoid) {
		p.queue.avoiding = append(p.queue.avoiding, w)
		return w, nil
	}
	p.queue.add(w)
	return w, nil
}

// A queue that has not been empty for about two typical response times is overload and not a burst.
// A long queue then only adds to the time of every response.
const (
	overloadAfterTypical = 2 // typical times in a slot after which a queue counts as overload
	minOverloadAfter     = 200 * time.Millisecond
	maxOverloadAfter     = 500 * time.Millisecond
	overloadWaitTypical  = 1.5 // typical times in a slot; longer waits are refused in overload
	overloadWaitShare    = 20  // the part of a request's time that it may wait in any case
)

// overloaded reports whether the pool's queue has not been empty for so long that it counts as
// overload.
func (p *poolState) overloaded(now time.Time) bool {
	after := min(max(overloadAfterTypical*p.typical, minOverloadAfter), maxOverloadAfter)
	return now.Sub(p.emptyAt) >= after
}

// overloadWaitBound returns the longest wait allowed in overload: about the time of a response, or
// a small part of the time that a request has.
func (p *poolState) overloadWaitBound() time.Duration {
	return max(time.Duration(overloadWaitTypical*float64(p.typical)), p.requestTime/overloadWaitShare)
}

// maxWait returns the longest expected wait with which a request is accepted: up to its deadline in
// a burst, and about the time of a response in overload.
func (p *poolState) maxWait(now, deadline time.Time) time.Duration {
	left := deadline.Sub(now)
	if p.overloaded(now) {
		return min(left, p.overloadWaitBound())
	}
	return left
}

// shedOverload drops requests that a burst left waiting once it has become overload: batch requests
// first, then those that have waited longest, until the expected wait is within the bound for new
// requests; h.mu is held.
func (h *Holder) shedOverload(p *poolState, now time.Time) {
	if !p.overloaded(now) {
		return
	}
	for h.expectedWait(p, manifest.Batch) > p.overloadWaitBound() {
		wait := h.expectedWait(p, manifest.Batch)
		if !shedOldest(&p.queue.batch, wait) && !shedOldest(&p.queue.interactive, wait) {
			return
		}
	}
}

// expectedWait estimates the time in the queue; h.mu is held.
func (h *Holder) expectedWait(p *poolState, class manifest.Class) time.Duration {
	ahead := len(p.queue.interactive)
	if class == manifest.Batch {
		ahead = p.queue.len()
	}
	return time.Duration(ahead) * p.typical / time.Duration(max(h.held(p), 1))
}

// await waits for the slot of a request and returns it, or the reason why the request is dropped.
func (h *Holder) await(ctx context.Context, p *poolState, w *waiter) (*Slot, error) {
	left := w.deadline.Sub(h.Clock.Now())
	var avoidUntil <-chan time.Time // never fires if the request takes any slot
	if w.avoid != "" {
		avoidUntil = h.Clock.After(left / avoidShare)
	}
	expired := h.Clock.After(left)
	var err error
	for err == nil {
		select {
		case s := <-w.grant:
			return s, nil
		case <-w.shed:
			return nil, errkind.NewRetry(errkind.Overloaded, w.retryAfter, "the request was dropped, since more requests arrive than pool %s can serve", p.name)
		case <-avoidUntil:
			avoidUntil = nil
			h.stopAvoiding(p, w)
		case <-expired:
			err = errkind.New(errkind.DeadlinePassed, "no slot of pool %s in time", p.name)
		case <-ctx.Done():
			err = errkind.New(errkind.DeadlinePassed, "the caller has cancelled the request")
		}
	}
	h.mu.Lock()
	p.queue.remove(w)
	h.mu.Unlock()
	select {
	case s := <-w.grant: // granted after the wait had ended
		s.Release()
	default:
	}
	return nil, err
}

// stopAvoiding lets a retry that has waited long enough for another target take a slot of any
// target.
func (h *Holder) stopAvoiding(p *poolState, w *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.queue.stopAvoiding(w)
	h.serveQueue(p)
}
