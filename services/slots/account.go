// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"time"

	"github.com/yardbridge/yardbridge/models/state"
)

// account is the book of one owned target.
type account struct {
	epoch uint64
	pool  string
	slots int
	lent  map[holderKey]int
}

func (a *account) out() int {
	n := 0
	for _, c := range a.lent {
		n += c
	}
	return n
}

// noteLosses starts the quarantine of processes that ended without leaving.
func (l *Lender) noteLosses() {
	now := l.Clock.Now()
	for name, e := range l.state.Entries.All() {
		if e.LostAt.IsZero() {
			continue
		}
		k := lostKey{name, e.LostAt.UnixNano()}
		if _, seen := l.lostSeen[k]; !seen {
			l.lostSeen[k] = now
		}
	}
}

type lostKey struct {
	entry string
	at    int64
}

func (l *Lender) quarantine() time.Duration {
	if l.Quarantine == 0 {
		return DefaultQuarantine
	}
	return l.Quarantine
}

// quarantined reports whether a process of the entry was lost so lately that
// a target may still work for it.
func (l *Lender) quarantined(name string, e state.Entry) bool {
	if e.LostAt.IsZero() {
		return false
	}
	seen, ok := l.lostSeen[lostKey{name, e.LostAt.UnixNano()}]
	return !ok || l.Clock.Now().Sub(seen) < l.quarantine()
}

// accounted reports whether every process that may hold slots of the target
// from an earlier owner has told so, or can't hold any more. It also drops
// the slots of lost processes once their quarantine is over.
func (l *Lender) accounted(i state.Instance, a *account) bool {
	all := true
	for name, e := range l.state.Entries.All() {
		if l.quarantined(name, e) {
			// What was lent here is known and stays booked; what an earlier
			// owner lent is not.
			all = all && (i.FirstOwner || l.toldBeforeLoss(name, i))
			continue
		}
		l.dropLost(name, e, a)
		all = all && l.told(name, e, i)
	}
	return all
}

// toldBeforeLoss reports whether a process that is lost had told what it held
// since the ownership began, so that its slots are booked here.
func (l *Lender) toldBeforeLoss(name string, i state.Instance) bool {
	for k, h := range l.holders {
		if k.entry == name && !l.current(k) && h.offset >= i.Epoch {
			return true
		}
	}
	return false
}

// told reports whether a present process has told what it holds since the
// ownership began; the first owner's holders hold nothing from others.
func (l *Lender) told(name string, e state.Entry, i state.Instance) bool {
	if !e.Present || i.FirstOwner || e.JoinedAt >= i.Epoch {
		return true
	}
	h, ok := l.holders[holderKey{name, e.Incarnation}]
	return ok && h.offset >= i.Epoch
}

// dropLost frees the slots of an entry's processes that are not present.
func (l *Lender) dropLost(name string, e state.Entry, a *account) {
	for k := range a.lent {
		if k.entry == name && (!e.Present || k.incarnation != e.Incarnation) {
			delete(a.lent, k)
		}
	}
}
