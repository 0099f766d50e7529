// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"maps"
	"slices"
)

// free returns the number of slots of an owned target that can be lent now.
func (l *Lender) free(worker string, a *account) int {
	i, ok := l.state.Instances.Get(worker)
	if !ok || !i.Serving() || !l.allHoldersReported(i, a) {
		return 0
	}
	return max(a.slots-a.lentTotal(), 0)
}

// lend lends free slots of a pool's targets, each from the target with the most free ones.
func (l *Lender) lend(k holderKey, w SlotRequest) []Holding {
	free := make(map[string]int)
	for worker, a := range l.owned {
		if n := l.free(worker, a); a.pool == w.Pool && n > 0 {
			free[worker] = n
		}
	}
	grants := make(map[string]int)
	for range w.Count {
		worker := mostFree(free, w.Avoid)
		if worker == "" {
			break
		}
		free[worker]--
		grants[worker]++
	}
	lent := 0
	var list []Holding
	for _, worker := range slices.Sorted(maps.Keys(grants)) {
		a := l.owned[worker]
		a.lent[k] += grants[worker]
		lent += grants[worker]
		list = append(list, Holding{Worker: worker, Epoch: a.epoch, Count: grants[worker]})
	}
	if lent < w.Count {
		l.recordRefusal(k, w, lent)
	}
	return list
}

// mostFree returns the target with the most free slots. The avoided one is returned only if no
// other has any; empty if none has.
func mostFree(free map[string]int, avoid string) string {
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

// recordRefusal records a request that was not met in full, and recalls slots from the entry that
// holds the most of the pool.
func (l *Lender) recordRefusal(k holderKey, w SlotRequest, lent int) {
	l.refusedRequests[requestKey{k.entry, w.Pool}] = true
	leastHeld := l.holders[k].inPool[w.Pool] + lent
	largest, most := l.largestHolder(k, w.Pool)
	if largest == "" {
		return
	}
	l.Notify(largest, Notification{Owner: l.Name, Pool: w.Pool, Recall: max((most-leastHeld)/2, 1), LeastHeld: leastHeld})
}

// largestHolder returns the entry that holds the most slots of the pool from all owners, among
// those that hold slots of this owner.
func (l *Lender) largestHolder(except holderKey, pool string) (entry string, most int) {
	for _, a := range l.owned {
		if a.pool != pool {
			continue
		}
		for k := range a.lent {
			h, ok := l.holders[k]
			if k == except || !ok || !l.current(k) {
				continue
			}
			if n := h.inPool[pool]; entry == "" || n > most || n == most && k.entry < entry {
				entry, most = k.entry, n
			}
		}
	}
	return entry, most
}

// notifyRefused notifies the entries whose requests were refused that slots are free.
func (l *Lender) notifyRefused() {
	if len(l.refusedRequests) == 0 {
		return
	}
	free := make(map[string]int)
	for worker, a := range l.owned {
		free[a.pool] += l.free(worker, a)
	}
	for w := range l.refusedRequests {
		if free[w.pool] > 0 {
			free[w.pool]--
			delete(l.refusedRequests, w)
			l.Notify(w.entry, Notification{Owner: l.Name, Pool: w.pool})
		}
	}
}

// NotifyWaiting notifies entries whose requests can be met since a quarantine has ended.
func (l *Lender) NotifyWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	l.notifyRefused()
}
