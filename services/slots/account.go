// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"time"

	"github.com/yardbridge/yardbridge/models/state"
)

// account counts the slots of one owned target by holder.
type account struct {
	epoch uint64
	pool  string
	slots int
	lent  map[holderKey]int
}

func (a *account) lentTotal() int {
	n := 0
	for _, c := range a.lent {
		n += c
	}
	return n
}

// recordLosses starts the quarantine of processes that ended without leaving.
func (l *Lender) recordLosses() {
	now := l.Clock.Now()
	for name, e := range l.state.Entries.All() {
		if e.LostAt.IsZero() {
			continue
		}
		k := lossKey{name, e.LostAt.UnixNano()}
		if _, seen := l.lossSeenAt[k]; !seen {
			l.lossSeenAt[k] = now
		}
	}
}

type lossKey struct {
	entry string
	at    int64
}

func (l *Lender) quarantine() time.Duration {
	if l.Quarantine == 0 {
		return DefaultQuarantine
	}
	return l.Quarantine
}

// quarantined reports whether a process of the entry was lost so recently that a target may still
// work on its requests.
func (l *Lender) quarantined(name string, e state.Entry) bool {
	if e.LostAt.IsZero() {
		return false
	}
	seen, ok := l.lossSeenAt[lossKey{name, e.LostAt.UnixNano()}]
	return !ok || l.Clock.Now().Sub(seen) < l.quarantine()
}

// allHoldersReported reports whether every process that may hold slots of the target from an
// earlier owner has reported them or can no longer hold any. It also frees the slots of lost
// processes when their quarantine ends.
func (l *Lender) allHoldersReported(i state.Instance, a *account) bool {
	all := true
	for name, e := range l.state.Entries.All() {
		if l.quarantined(name, e) {
			// Slots that this owner lent are known and stay counted; those that an earlier owner
			// lent are not known.
			all = all && (i.FirstOwner || l.reportedBeforeLoss(name, i))
			continue
		}
		l.freeLost(name, e, a)
		all = all && l.reported(name, e, i)
	}
	return all
}

// reportedBeforeLoss reports whether a lost process had reported its slots since the ownership
// began, so that they are counted here.
func (l *Lender) reportedBeforeLoss(name string, i state.Instance) bool {
	for k, h := range l.holders {
		if k.entry == name && !l.current(k) && h.offset >= i.Epoch {
			return true
		}
	}
	return false
}

// reported reports whether a present process has reported its slots since the ownership began. A
// first owner needs no reports, since nobody lent the slots before it.
func (l *Lender) reported(name string, e state.Entry, i state.Instance) bool {
	if !e.Present || i.FirstOwner || e.JoinedAt >= i.Epoch {
		return true
	}
	h, ok := l.holders[holderKey{name, e.Incarnation}]
	return ok && h.offset >= i.Epoch
}

// freeLost frees the slots of an entry's processes that are not present.
func (l *Lender) freeLost(name string, e state.Entry, a *account) {
	for k := range a.lent {
		if k.entry == name && (!e.Present || k.incarnation != e.Incarnation) {
			delete(a.lent, k)
		}
	}
}
