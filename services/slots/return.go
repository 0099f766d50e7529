// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import "slices"

// returnIdle returns the idle slots of targets that no longer serve, and the owners to exchange
// with; h.mu is held.
func (h *Holder) returnIdle() []string {
	var owners []string
	for _, t := range h.targets {
		if !t.serving && t.idle() > 0 {
			t.held = t.inUse
			t.dirty = true
		}
		if t.dirty && t.owner != "" {
			owners = append(owners, t.owner)
		}
	}
	return owners
}

// release ends the use of a slot: it goes to the next waiting request, returns to the owner that
// recalled it, or becomes idle. h.mu is held.
func (h *Holder) release(t *targetState) (owners []string) {
	t.inUse--
	p := h.pool(t.pool)
	if !t.serving || p.recalled[t.owner] > 0 {
		if t.serving {
			p.recalled[t.owner]--
		}
		t.held--
		t.dirty = true
		return []string{t.owner}
	}
	h.serveQueue(p)
	return nil
}

// serveQueue assigns idle slots to waiting requests; h.mu is held.
func (h *Holder) serveQueue(p *poolState) {
	now := h.Clock.Now()
	h.serveAvoiding(p)
	for {
		w := p.queue.next(now)
		if w == nil {
			p.emptyAt = now
			return
		}
		t := h.pick(p, w.avoid)
		if t == nil && w.avoid != "" {
			t = h.pick(p, "") // no other target has an idle slot
		}
		if t == nil {
			p.queue.putBack(w)
			return
		}
		w.grant <- h.slotOn(t)
	}
}

// serveAvoiding assigns idle slots of other targets to requests that have failed on one, and lets
// them take any slot if no other one may become free; h.mu is held.
func (h *Holder) serveAvoiding(p *poolState) {
	for _, w := range slices.Clone(p.queue.avoiding) {
		t := h.pick(p, w.avoid)
		switch {
		case t != nil:
			p.queue.avoiding = without(p.queue.avoiding, w)
			w.grant <- h.slotOn(t)
		case !h.otherMayBeLent(p, w.avoid):
			p.queue.stopAvoiding(w)
		}
	}
}

// otherMayBeLent reports whether a slot of another target may become free: one that is in use here,
// or one of an owner that has not refused; h.mu is held.
func (h *Holder) otherMayBeLent(p *poolState, avoid string) bool {
	return slices.ContainsFunc(p.targets, func(t *targetState) bool {
		if t.worker == avoid || !t.serving || !h.mayUse(t) {
			return false
		}
		return t.held > 0 || t.owner != "" && !p.refusedBy[t.owner]
	})
}

// HandleNotification handles a notification of an owner.
func (h *Holder) HandleNotification(p Notification) {
	h.mu.Lock()
	h.init()
	q := h.pool(p.Pool)
	delete(q.refusedBy, p.Owner)
	if p.Recall > 0 {
		h.returnRecalled(q, p)
	}
	h.mu.Unlock()
	h.RequestExchange(p.Owner)
}

// returnRecalled returns idle slots of an owner, and marks slots in use for return while this entry
// holds at least two more than the entry with the refused request.
func (h *Holder) returnRecalled(q *poolState, p Notification) {
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
		q.recalled[p.Owner] = max(q.recalled[p.Owner], min(left, excess/2))
	}
}
