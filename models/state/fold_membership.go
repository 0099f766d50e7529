// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// absentRetention is how long an absent entry's last incarnation is kept: much longer than an
// append of it can be in flight.
const absentRetention = 24 * time.Hour

// foldJoin adds a process; a newer one of the same name proves that the previous one is gone, since
// both would need the same address.
func (s State) foldJoin(from author, j record.Join) (State, error) {
	old, known := s.Entries.Get(from.name)
	if known && from.incarnation <= old.Incarnation {
		return s, errkind.New(errkind.Conflict, "incarnation %d of %s is not newer than %d", from.incarnation, from.name, old.Incarnation)
	}
	replaced := known && old.Present
	lostAt := old.LostAt
	if replaced {
		lostAt = s.Now
	}
	s = s.withEntry(from.name, Entry{
		Incarnation: from.incarnation,
		Sequence:    1,
		Address:     j.Address,
		DataCenter:  j.DataCenter,
		JoinedAt:    s.Offset,
		Present:     true,
		LostAt:      lostAt,
	})
	if replaced {
		return s.reassignSlots(from.name).abandonRuns(from.name, old.Incarnation).adoptOrphans(), nil
	}
	return s.adoptOrphans(), nil
}

// foldLeave removes a process that has finished its requests.
func (s State) foldLeave(from author) (State, error) {
	return s.removeEntry(from.name, true)
}

// foldGone removes a process that the platform no longer lists.
func (s State) foldGone(g record.Gone) (State, error) {
	if !s.present(g.Entry, g.Incarnation) {
		return s, errkind.New(errkind.Conflict, "%s with incarnation %d is not a member", g.Entry, g.Incarnation)
	}
	if e, _ := s.Entries.Get(g.Entry); !e.Listed {
		return s, errkind.New(errkind.Conflict, "%s has not been listed by the platform yet", g.Entry)
	}
	return s.removeEntry(g.Entry, false)
}

// removeEntry removes an entry; clean states that it has finished its requests.
func (s State) removeEntry(name string, clean bool) (State, error) {
	e, ok := s.Entries.Get(name)
	if !ok || !e.Present {
		return s, errkind.New(errkind.Conflict, "%s is not a member", name)
	}
	e.Present = false
	e.LeftAt = s.Now
	if !clean {
		e.LostAt = s.Now
	}
	s = s.withEntry(name, e)
	return s.reassignSlots(name).abandonRuns(name, e.Incarnation), nil
}

// reassignSlots distributes the slots that an entry owned to the others.
func (s State) reassignSlots(name string) State {
	for _, i := range s.Instances.All() {
		if i.Owner != name {
			continue
		}
		i.Owner = s.chooseOwner(i)
		i.Epoch = s.Offset
		i.FirstOwner = false
		s = s.withInstance(i)
	}
	return s
}

// adoptOrphans assigns owners to instances that had none because no entries were present.
func (s State) adoptOrphans() State {
	for _, i := range s.Instances.All() {
		if i.Owner != "" {
			continue
		}
		s = s.withInstance(s.withOwner(i))
	}
	return s
}

// withOwner assigns an owner to an instance if it needs one and has none.
func (s State) withOwner(i Instance) Instance {
	if i.Owner != "" || !s.hasTargets(i.Pool) {
		return i
	}
	i.Owner = s.chooseOwner(i)
	if i.Owner == "" {
		return i
	}
	i.FirstOwner = i.Epoch == 0
	i.Epoch = s.Offset
	return i
}

// hasTargets reports whether callers can reach the instances of a pool.
func (s State) hasTargets(pool string) bool {
	return s.Catalog.Pool(pool) != nil
}

// chooseOwner returns the present entry that owns the fewest instances of the pool; among those it
// prefers one in the instance's data centre, then the one with the fewest instances in total.
func (s State) chooseOwner(i Instance) string {
	best := ""
	var bestRank ownerRank
	for _, name := range s.MemberNames() {
		e, _ := s.Entries.Get(name)
		inAll, _ := s.index.ownedAll.Get(name)
		rank := ownerRank{inPool: s.OwnedCount(name, i.Pool), inAll: inAll, otherDataCenter: e.DataCenter != i.Worker.DataCenter}
		if best == "" || rank.before(bestRank) {
			best, bestRank = name, rank
		}
	}
	return best
}

// ownerRank orders entries by their suitability for an instance.
type ownerRank struct {
	inPool          int
	inAll           int
	otherDataCenter bool
}

func (r ownerRank) before(o ownerRank) bool {
	if r.inPool != o.inPool {
		return r.inPool < o.inPool
	}
	if r.otherDataCenter != o.otherDataCenter {
		return !r.otherDataCenter
	}
	return r.inAll < o.inAll
}

// expire drops what no proposal can refer to any more.
func (s State) expire() State {
	s = s.expireClaims()
	s = s.expireRuns()
	for name, e := range s.Entries.All() {
		if !e.Present && s.Now.Sub(e.LeftAt) > absentRetention {
			s.Entries = s.Entries.Without(name)
		}
	}
	return s
}
