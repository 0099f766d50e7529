// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"maps"
	"slices"
)

// free returns how many slots of an owned target can be lent now.
func (l *Lender) free(worker string, a *account) int {
	i, ok := l.state.Instances.Get(worker)
	if !ok || !i.Serving() || !l.accounted(i, a) {
		return 0
	}
	return max(a.slots-a.out(), 0)
}

// lend takes free slots of a pool's targets, from the emptiest target first.
func (l *Lender) lend(k holderKey, w SlotRequest) []Holding {
	free := make(map[string]int)
	for worker, a := range l.owned {
		if n := l.free(worker, a); a.pool == w.Pool && n > 0 {
			free[worker] = n
		}
	}
	grants := make(map[string]int)
	for range w.Count {
		worker := emptiest(free, w.Avoid)
		if worker == "" {
			break
		}
		free[worker]--
		grants[worker]++
	}
	given := 0
	var list []Holding
	for _, worker := range slices.Sorted(maps.Keys(grants)) {
		a := l.owned[worker]
		a.lent[k] += grants[worker]
		given += grants[worker]
		list = append(list, Holding{Worker: worker, Epoch: a.epoch, Count: grants[worker]})
	}
	if given < w.Count {
		l.refused(k, w, given)
	}
	return list
}

// emptiest returns the target with the most free slots, the avoided one only
// where it is the last, and empty for none.
func emptiest(free map[string]int, avoid string) string {
	best := ""
	for worker, n := range free {
		if n <= 0 {
			continue
		}
		if best == "" || best == avoid || worker != avoid && (n > free[best] || n == free[best] && worker < best) {
			best = worker
		}
	}
	return best
}

// refused remembers the want, and recalls slots from the entry that holds the
// most of the pool.
func (l *Lender) refused(k holderKey, w SlotRequest, given int) {
	l.wanting[wantKey{k.entry, w.Pool}] = true
	fair := l.holders[k].haves[w.Pool] + given
	richest, most := l.richest(k, w.Pool)
	if richest == "" {
		return
	}
	l.Notify(richest, Notification{Owner: l.Name, Pool: w.Pool, Recall: max((most-fair)/2, 1), LeastHeld: fair})
}

// richest returns the entry with slots of this owner that holds the most of
// the pool from all owners.
func (l *Lender) richest(except holderKey, pool string) (entry string, most int) {
	for _, a := range l.owned {
		if a.pool != pool {
			continue
		}
		for k := range a.lent {
			h, ok := l.holders[k]
			if k == except || !ok || !l.current(k) {
				continue
			}
			if n := h.haves[pool]; entry == "" || n > most || n == most && k.entry < entry {
				entry, most = k.entry, n
			}
		}
	}
	return entry, most
}

// pokeWanting tells the entries that were refused that slots are free.
func (l *Lender) pokeWanting() {
	if len(l.wanting) == 0 {
		return
	}
	free := make(map[string]int)
	for worker, a := range l.owned {
		free[a.pool] += l.free(worker, a)
	}
	for w := range l.wanting {
		if free[w.pool] > 0 {
			free[w.pool]--
			delete(l.wanting, w)
			l.Notify(w.entry, Notification{Owner: l.Name, Pool: w.pool})
		}
	}
}

// NotifyWaiting pokes entries whose wants can be met since a quarantine has ended.
func (l *Lender) NotifyWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.pokeWanting()
}
