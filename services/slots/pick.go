// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"math/rand/v2"
	"time"
)

// pick takes an idle slot of a pool into use and returns its target, nil if there is none; h.mu is
// held. It picks the cheaper of two random targets, in this entry's data centre if possible.
func (h *Holder) pick(p *poolState, avoid string) *targetState {
	best := h.pickWhere(p, func(t *targetState) bool { return t.dataCenter == h.DataCenter && t.worker != avoid && h.mayUse(t) })
	if best == nil {
		best = h.pickWhere(p, func(t *targetState) bool { return t.worker != avoid && h.mayUse(t) })
	}
	if best == nil {
		return nil
	}
	best.inUse++
	return best
}

func (h *Holder) mayUse(t *targetState) bool {
	return h.MayUse == nil || h.MayUse(t.worker)
}

func (h *Holder) pickWhere(p *poolState, fits func(*targetState) bool) *targetState {
	var first, second *targetState
	seen := 0
	for _, t := range p.targets {
		if t.idle() <= 0 || !t.serving || !fits(t) {
			continue
		}
		seen++
		switch {
		case first == nil:
			first = t
		case rand.IntN(seen) == 0:
			first, second = t, first
		case second == nil || rand.IntN(seen) == 0:
			second = t
		}
	}
	if second != nil && h.cost(second) < h.cost(first) {
		return second
	}
	return first
}

func (h *Holder) cost(t *targetState) float64 {
	if h.Cost == nil {
		return float64(t.inUse)
	}
	return h.Cost(t.worker, t.inUse)
}

// ownersToRequest returns the owner to request slots from for waiting requests; h.mu is held. This
// entry comes first, then owners in its data centre, then the others, each after the previous ones
// have refused or do not respond.
func (h *Holder) ownersToRequest(p *poolState) []string {
	if p.queue.all() == 0 {
		return nil
	}
	nearest, distance := "", 0
	for _, t := range p.targets {
		if t.owner == "" || !t.serving || p.refusedBy[t.owner] || !h.mayUse(t) {
			continue
		}
		if d := h.distance(t.owner); nearest == "" || d < distance {
			nearest, distance = t.owner, d
		}
	}
	if nearest == "" {
		return nil
	}
	return []string{nearest}
}

// distance orders owners: this entry, those in its data centre, all others, those that do not
// respond.
func (h *Holder) distance(owner string) int {
	if owner == h.Name {
		return 0
	}
	if h.unresponsive[owner] {
		return 3
	}
	if e, _ := h.state.Entries.Get(owner); e.DataCenter == h.DataCenter {
		return 1
	}
	return 2
}

// retryRefused clears the recorded refusals, in case a notification was lost, and returns the
// owners to ask.
func (h *Holder) retryRefused() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireNotices()
	var owners []string
	for _, p := range h.pools {
		clear(p.refusedBy)
		owners = append(owners, h.ownersToRequest(p)...)
	}
	return owners
}

// RetryPeriod is the period after which owners that refused are asked again even without a
// notification.
const RetryPeriod = 250 * time.Millisecond
