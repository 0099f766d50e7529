// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import "github.com/yardbridge/yardbridge/services/port"

// Where all pools together need more instances than there are, none may hold what it
// has got first while others have next to nothing.

// The bounds of moves between pools that both lack instances.
const (
	// evenMargin is by how many times the pool that gives must be better served after
	// the move. An instance that moves is lost for some two seconds: until it is empty,
	// and until its worker is back.
	evenMargin = 1.5
	// evenPart is of the instances of a pool how many may be on their way out at once,
	// at least one: need changes within seconds.
	evenPart = 0.25
)

// even begins moves from the pools that are served best to those served worst, as long
// as these lack instances and none is to be had otherwise.
func (v *view) even() []*action {
	var began []*action
	for {
		from, to := v.uneven()
		if to == "" {
			return began
		}
		i, found := v.emptiest(from, to)
		if !found {
			return began
		}
		a := v.begin(i, to, 0)
		v.take(a)
		began = append(began, a)
	}
}

// uneven returns the pool that is to give an instance and the one that is to get it,
// "" for none.
func (v *view) uneven() (from, to string) {
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
		if pool == to || v.tally.leaving[pool] >= max(1, int(evenPart*float64(v.supply(pool)))) {
			continue
		}
		if s := v.served(pool, -1); from == "" || s > most || s == most && pool < from {
			from, most = pool, s
		}
	}
	if to == "" || from == "" || most < evenMargin*least {
		return "", ""
	}
	return from, to
}

// served returns which part of its need a pool has met with some instances more, what
// lasts aside on both sides.
func (v *view) served(pool string, more int) float64 {
	p := v.pools[pool]
	lasting := instances(p.report.Lasting, v.usual())
	return float64(max(v.supply(pool)+more-lasting, 0)) / float64(max(p.hard-lasting, 1))
}

// emptiest returns the instance of a pool with the least to move, without tasks that
// last: those would only go elsewhere in the pool.
func (v *view) emptiest(from, to string) (port.Instance, bool) {
	for _, i := range v.tally.free[from] {
		if w := v.worker(i); w != nil && w.Lasting == 0 && v.allowed(i, to) && v.spared(from, i) {
			return i, true
		}
	}
	return port.Instance{}, false
}
