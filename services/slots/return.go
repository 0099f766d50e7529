// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import "slices"

// returnIdle gives back the idle slots of targets that serve no more; h.mu is
// held, and the owners to kick are returned.
func (h *Holder) returnIdle() []string {
	var kicks []string
	for _, t := range h.targets {
		if !t.serving && t.idle() > 0 {
			t.held = t.inUse
			t.dirty = true
		}
		if t.dirty && t.owner != "" {
			kicks = append(kicks, t.owner)
		}
	}
	return kicks
}

// release gives a slot back into the entry's hands: to the next request that
// waits, or to the owner that recalled it, or to rest. h.mu is held.
func (h *Holder) release(t *holding) (kicks []string) {
	t.inUse--
	p := h.pool(t.pool)
	if !t.serving || p.owed[t.owner] > 0 {
		if t.serving {
			p.owed[t.owner]--
		}
		t.held--
		t.dirty = true
		return []string{t.owner}
	}
	h.serveQueue(p)
	return nil
}

// serveQueue hands idle slots to the requests that wait; h.mu is held.
func (h *Holder) serveQueue(p *poolHoldings) {
	now := h.Clock.Now()
	h.serveChoosy(p)
	for {
		w := p.queue.next(now)
		if w == nil {
			p.emptyAt = now
			return
		}
		t := h.pick(p, w.avoid)
		if t == nil && w.avoid != "" {
			t = h.pick(p, "") // no other one was to be had
		}
		if t == nil {
			p.queue.putBack(w)
			return
		}
		w.grant <- h.slotOn(t)
	}
}

// serveChoosy hands idle slots of other targets to the requests that have
// failed on one, and lets those take any slot for which no other one may come;
// h.mu is held.
func (h *Holder) serveChoosy(p *poolHoldings) {
	for _, w := range slices.Clone(p.queue.choosy) {
		t := h.pick(p, w.avoid)
		switch {
		case t != nil:
			p.queue.choosy = without(p.queue.choosy, w)
			w.grant <- h.slotOn(t)
		case !h.mayCome(p, w.avoid):
			p.queue.settle(w)
		}
	}
}

// mayCome reports whether a slot of another target may still come: one that is
// in use here, or one of an owner that has not refused; h.mu is held.
func (h *Holder) mayCome(p *poolHoldings, avoid string) bool {
	return slices.ContainsFunc(p.targets, func(t *holding) bool {
		if t.worker == avoid || !t.serving || !h.mayUse(t) {
			return false
		}
		return t.held > 0 || t.owner != "" && !p.askedAt[t.owner]
	})
}

// HandleNotification follows an owner's poke.
func (h *Holder) HandleNotification(p Notification) {
	h.mu.Lock()
	h.init()
	q := h.pool(p.Pool)
	delete(q.askedAt, p.Owner)
	if p.Recall > 0 {
		h.giveBack(q, p)
	}
	h.mu.Unlock()
	h.RequestExchange(p.Owner)
}

// giveBack returns idle slots of an owner, and owes it slots in use while this
// entry holds clearly more than the neediest one.
func (h *Holder) giveBack(q *poolHoldings, p Notification) {
	left := p.Recall
	for _, t := range q.targets {
		if t.owner != p.Owner || left == 0 || q.queue.len() > 0 {
			continue
		}
		n := min(t.idle(), left)
		if n > 0 {
			t.held -= n
			t.dirty = true
			left -= n
		}
	}
	if excess := h.held(q) - p.LeastHeld; excess >= 2 && left > 0 {
		q.owed[p.Owner] = max(q.owed[p.Owner], min(left, excess/2))
	}
}
