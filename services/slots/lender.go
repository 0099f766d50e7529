// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
)

// DefaultQuarantine is how long the slots of a lost process stay unused after the platform
// confirmed its end, since a target may still work on its requests.
const DefaultQuarantine = 5 * time.Second

// Lender lends the slots of the targets that this entry owns.
type Lender struct {
	Clock      clock.Clock
	Name       string        // of this entry
	Quarantine time.Duration // 0 for DefaultQuarantine
	// Notify sends a notification to another entry or to this one; it must not block.
	Notify func(entry string, p Notification)

	mu              sync.Mutex
	state           state.State
	owned           map[string]*account // by worker
	holders         map[holderKey]*holderInfo
	lossSeenAt      map[lossKey]time.Time // local time at which a loss was first seen
	refusedRequests map[requestKey]bool
	draining        map[string]bool // owned targets that are being drained
}

// holderKey identifies one process that may hold slots.
type holderKey struct {
	entry       string
	incarnation uint64
}

// holderInfo is what is known of a holder.
type holderInfo struct {
	session uint64
	offset  uint64 // newest change of ownership that its latest exchange was based on
	inPool  map[string]int
}

type requestKey struct {
	entry string
	pool  string
}

// Update applies a newer state: which targets are owned and which processes are lost.
func (l *Lender) Update(s state.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	known := l.state.Offset > 0 && s.TopologyChangedAt() == l.state.TopologyChangedAt()
	l.state = s
	if known {
		return
	}
	for worker, a := range l.owned {
		i, ok := s.Instances.Get(worker)
		if !ok || i.Owner != l.Name || i.Epoch != a.epoch {
			delete(l.owned, worker)
		}
	}
	clear(l.draining)
	for worker, i := range s.Instances.All() {
		if i.Owner != l.Name {
			continue
		}
		if i.Phase == state.Draining {
			l.draining[worker] = true
		}
		a, ok := l.owned[worker]
		if !ok {
			a = &account{epoch: i.Epoch, lent: make(map[holderKey]int)}
			l.owned[worker] = a
		}
		a.pool, a.slots = i.Pool, i.Worker.Slots
	}
	l.recordLosses()
	for k := range l.holders {
		if !s.Entries.Has(k.entry) {
			delete(l.holders, k) // gone for so long that the state no longer has it
		}
	}
}

func (l *Lender) init() {
	if l.owned == nil {
		l.owned = make(map[string]*account)
		l.holders = make(map[holderKey]*holderInfo)
		l.lossSeenAt = make(map[lossKey]time.Time)
		l.refusedRequests = make(map[requestKey]bool)
		l.draining = make(map[string]bool)
	}
}

// current reports whether a holder is the present process of its entry.
func (l *Lender) current(k holderKey) bool {
	e, ok := l.state.Entries.Get(k.entry)
	return ok && e.Present && e.Incarnation == k.incarnation
}

// Exchange records the slots that a holder reports and lends it the slots that it requests.
func (l *Lender) Exchange(x Exchange) ExchangeResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	k := holderKey{x.Entry, x.Incarnation}
	h, ok := l.holders[k]
	if !ok {
		h = &holderInfo{inPool: make(map[string]int)}
		l.holders[k] = h
	}
	if x.Session < h.session || x.Session > h.session && !x.Full || !l.current(k) {
		return ExchangeResponse{Stale: true}
	}
	if x.Offset > l.state.OwnersChangedAt {
		return ExchangeResponse{Behind: true}
	}
	h.session = x.Session
	h.offset = x.Offset
	l.applyHeld(k, x)
	for _, p := range x.PoolHoldings {
		h.inPool[p.Pool] = p.Count
	}
	var g ExchangeResponse
	for _, w := range x.Requests {
		g.Grants = append(g.Grants, l.lend(k, w)...)
	}
	l.notifyRefused()
	return g
}

// applyHeld replaces the recorded counts of the holder by the reported ones.
func (l *Lender) applyHeld(k holderKey, x Exchange) {
	if x.Full {
		for _, a := range l.owned {
			delete(a.lent, k)
		}
	}
	for _, h := range x.Held {
		a, ok := l.owned[h.Worker]
		if !ok {
			continue // not owned here, or not yet known to be
		}
		if h.Count == 0 {
			delete(a.lent, k)
			continue
		}
		a.lent[k] = h.Count
	}
}

// IdleTarget is an owned target that is being drained and has no request in flight.
type IdleTarget struct {
	Worker string
	Epoch  uint64
}

// Idle returns the draining targets all of whose slots have been returned.
func (l *Lender) Idle() []IdleTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	var idle []IdleTarget
	for worker := range l.draining {
		a := l.owned[worker]
		i, ok := l.state.Instances.Get(worker)
		if !ok || i.Phase != state.Draining || !l.allHoldersReported(i, a) || a.lentTotal() > 0 {
			continue
		}
		idle = append(idle, IdleTarget{Worker: worker, Epoch: a.epoch})
	}
	return idle
}

// Account is one row of a lender's dump.
type Account struct {
	Worker string         `json:"worker"`
	Pool   string         `json:"pool"`
	Epoch  uint64         `json:"epoch"`
	Slots  int            `json:"slots"`
	Lent   map[string]int `json:"lent"`
	Free   int            `json:"free"`
}

// Dump returns the account of every owned target, ordered by worker.
func (l *Lender) Dump() []Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := make([]Account, 0, len(l.owned))
	for _, worker := range slices.Sorted(maps.Keys(l.owned)) {
		a := l.owned[worker]
		row := Account{Worker: worker, Pool: a.pool, Epoch: a.epoch, Slots: a.slots, Free: l.free(worker, a), Lent: make(map[string]int)}
		for k, n := range a.lent {
			row.Lent[k.entry] += n
		}
		rows = append(rows, row)
	}
	return rows
}
