// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"math/rand/v2"
	"time"
)

// pick takes an idle slot of a pool for use, nil where there is none; h.mu is
// held. Of two targets at random, in this entry's hall if there are any, it
// takes the cheaper one.
func (h *Holder) pick(p *poolHoldings, avoid string) *holding {
	best := h.pickWhere(p, func(t *holding) bool { return t.hall == h.DataCenter && t.worker != avoid && h.mayUse(t) })
	if best == nil {
		best = h.pickWhere(p, func(t *holding) bool { return t.worker != avoid && h.mayUse(t) })
	}
	if best == nil {
		return nil
	}
	best.inUse++
	return best
}

func (h *Holder) mayUse(t *holding) bool {
	return h.MayUse == nil || h.MayUse(t.worker)
}

func (h *Holder) pickWhere(p *poolHoldings, fits func(*holding) bool) *holding {
	var first, second *holding
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

func (h *Holder) cost(t *holding) float64 {
	if h.Cost == nil {
		return float64(t.inUse)
	}
	return h.Cost(t.worker, t.inUse)
}

// wantMore returns the owner to ask for slots, since requests wait; h.mu is
// held. This entry is asked first, then owners in its hall, then the others,
// each once those before it have refused or do not answer.
func (h *Holder) wantMore(p *poolHoldings) []string {
	if p.queue.all() == 0 {
		return nil
	}
	nearest, distance := "", 0
	for _, t := range p.targets {
		if t.owner == "" || !t.serving || p.askedAt[t.owner] || !h.mayUse(t) {
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

// distance orders owners: this entry, those in its hall, all others, those that
// do not answer.
func (h *Holder) distance(owner string) int {
	if owner == h.Name {
		return 0
	}
	if h.silent[owner] {
		return 3
	}
	if e, _ := h.state.Entries.Get(owner); e.DataCenter == h.DataCenter {
		return 1
	}
	return 2
}

// askAgain forgets which owners refused, in case a poke was lost, and returns
// the owners to ask.
func (h *Holder) askAgain() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOldNotices()
	var kicks []string
	for _, p := range h.pools {
		clear(p.askedAt)
		kicks = append(kicks, h.wantMore(p)...)
	}
	return kicks
}

// RetryPeriod is how often owners that refused are asked again unasked.
const RetryPeriod = 250 * time.Millisecond
