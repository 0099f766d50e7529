// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import "github.com/yardbridge/yardbridge/services/port"

// If all pools together need more instances than exist, the instances are balanced between them, so
// that the first pools do not keep all instances while others have almost none.

// Bounds of moves between pools that both lack instances.
const (
	// balanceMargin is how many times better served the source pool must still be after the move. A
	// moving instance is unavailable for about two seconds: until it is empty and its worker has
	// started again.
	balanceMargin = 1.5
	// balancePart is the fraction of a pool's instances that may be leaving at once, at least one
	// instance: demand changes within seconds.
	balancePart = 0.25
)

// balance begins moves from the best served pools to the worst served ones, as long as the latter
// lack instances and no other instances are available.
func (v *view) balance() []*action {
	var began []*action
	without := make(map[string]bool) // pools without an instance to give
	for {
		from, to := v.unbalanced(without)
		if to == "" {
			return began
		}
		i, found := v.emptiest(from, to)
		if !found {
			without[from] = true
			continue
		}
		a := v.begin(i, to, 0)
		v.add(a)
		began = append(began, a)
	}
}

// unbalanced returns the source and the destination pool of the next move, "" for none. Pools without an
// instance to give are no sources.
func (v *view) unbalanced(without map[string]bool) (from, to string) {
	least, most := 0.0, 0.0
	for pool, p := range v.pools {
		if v.supply(pool) >= p.hard {
			continue
		}
		if s := v.served(pool, 1); to == "" || s < least || s == least && pool < to {
			to, least = pool, s
		}
	}
	for pool := range v.pools {
		if pool == to || without[pool] || v.counts.leaving[pool] >= max(1, int(balancePart*float64(v.supply(pool)))) {
			continue
		}
		if s := v.served(pool, -1); from == "" || s > most || s == most && pool < from {
			from, most = pool, s
		}
	}
	if to == "" || from == "" || most < balanceMargin*least {
		return "", ""
	}
	return from, to
}

// served returns the fraction of a pool's need that is met if it gets a number of additional
// instances. Long-running tasks are excluded on both sides.
func (v *view) served(pool string, more int) float64 {
	p := v.pools[pool]
	lasting := instances(p.report.Lasting, v.smallest())
	return float64(max(v.supply(pool)+more-lasting, 0)) / float64(max(p.hard-lasting, 1))
}

// emptiest returns the instance of a pool with the least to move off it and without long-running
// tasks, which would only move to other instances of the same pool.
func (v *view) emptiest(from, to string) (port.Instance, bool) {
	for i := range v.each(v.counts.free[from]) {
		if w := v.worker(i); w != nil && w.Lasting == 0 && v.allowed(i, to) && v.canSpare(from, i) {
			return i, true
		}
	}
	return port.Instance{}, false
}
