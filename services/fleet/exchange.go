// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"maps"
	"slices"

	"github.com/yardbridge/yardbridge/services/port"
)

// The advice service may permit a step on none of the workers of its pool that have room. Its pool asks for
// one worker more then. If all instances are in use, there is none to give, although the pool has idle
// instances that are of no use to the step. Such an instance is exchanged: it moves to another pool that
// lacks instances or is switched off, and what that frees can serve the pool under another worker.

// exchange begins moves of idle instances out of pools that still lack instances and report that these do not
// suit what waits there: one at a time for each pool.
func (v *view) exchange() []*action {
	var began []*action
	for _, pool := range slices.Sorted(maps.Keys(v.pools)) {
		if v.pools[pool].hard+v.swaps(pool) <= v.supply(pool) || v.exchanging(pool) {
			continue
		}
		i, found := v.findUnsuited(pool)
		if !found {
			continue
		}
		to := v.exchangeFor(pool, i)
		if to == "" {
			continue
		}
		a := v.begin(i, to, 0)
		a.exchange = true
		v.add(a)
		began = append(began, a)
	}
	return began
}

// exchanging reports whether an instance is on its way out of a pool or into it.
func (v *view) exchanging(pool string) bool {
	for _, a := range v.actions {
		if a.exchange && a.from == pool || a.to == pool {
			return true
		}
	}
	return false
}

// findUnsuited returns an instance of a pool that its owner reports as idle and unsuited.
func (v *view) findUnsuited(pool string) (port.Instance, bool) {
	for i := range v.each(v.counts.free[pool]) {
		if w := v.worker(i); w != nil && w.Unsuited && v.canSpare(pool, i) {
			return i, true
		}
	}
	return port.Instance{}, false
}

// exchangeFor returns where an instance of a pool that does not suit it moves to: the pool that lacks the most
// instances, otherwise the pool whose instances are off; "" for none.
func (v *view) exchangeFor(pool string, i port.Instance) string {
	best, most := v.headroom, 0
	for _, other := range slices.Sorted(maps.Keys(v.pools)) {
		if lack := v.pools[other].softNeed() + v.swaps(other) - v.supply(other); other != pool && lack > most && v.allowed(i, other) {
			best, most = other, lack
		}
	}
	return best
}
