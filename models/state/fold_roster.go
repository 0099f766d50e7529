// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// absentLife is how long an absent entry's last incarnation is remembered: by
// far longer than any append of it can still be on its way.
const absentLife = 24 * time.Hour

// foldJoin enters a process; a newer one of the same name proves that the
// former one is gone, since both would need the same address.
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
		return s.disown(from.name).abandonRuns(from.name, old.Incarnation).adoptOrphans(), nil
	}
	return s.adoptOrphans(), nil
}

// foldLeave takes out a process that has finished its requests.
func (s State) foldLeave(from author) (State, error) {
	return s.remove(from.name, true)
}

// foldGone takes out a process that the platform no longer lists.
func (s State) foldGone(g record.Gone) (State, error) {
	if !s.present(g.Entry, g.Incarnation) {
		return s, errkind.New(errkind.Conflict, "%s with incarnation %d is not in the roster", g.Entry, g.Incarnation)
	}
	if e, _ := s.Entries.Get(g.Entry); !e.Listed {
		return s, errkind.New(errkind.Conflict, "%s has not been on the platform's list yet", g.Entry)
	}
	return s.remove(g.Entry, false)
}

// remove takes an entry out; clean says that it has finished its requests.
func (s State) remove(name string, clean bool) (State, error) {
	e, ok := s.Entries.Get(name)
	if !ok || !e.Present {
		return s, errkind.New(errkind.Conflict, "%s is not in the roster", name)
	}
	e.Present = false
	e.LeftAt = s.Now
	if !clean {
		e.LostAt = s.Now
	}
	s = s.withEntry(name, e)
	return s.disown(name).abandonRuns(name, e.Incarnation), nil
}

// disown deals the slots that an entry owned to the others.
func (s State) disown(name string) State {
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

// adoptOrphans gives an owner to instances that had none for want of entries.
func (s State) adoptOrphans() State {
	for _, i := range s.Instances.All() {
		if i.Owner != "" {
			continue
		}
		s = s.withInstance(s.withOwner(i))
	}
	return s
}

// withOwner gives an instance an owner if it needs one and has none.
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

// chooseOwner returns the present entry that owns the fewest instances of the
// pool, then the fewest of all, then one in the instance's hall.
func (s State) chooseOwner(i Instance) string {
	best := ""
	var bestRank ownerRank
	for _, name := range s.MemberNames() {
		e, _ := s.Entries.Get(name)
		inAll, _ := s.index.ownedAll.Get(name)
		rank := ownerRank{inPool: s.OwnedCount(name, i.Pool), inAll: inAll, away: e.DataCenter != i.Worker.DataCenter}
		if best == "" || rank.before(bestRank) {
			best, bestRank = name, rank
		}
	}
	return best
}

// ownerRank orders entries by how well an instance suits them.
type ownerRank struct {
	inPool int
	inAll  int
	away   bool
}

func (r ownerRank) before(o ownerRank) bool {
	if r.inPool != o.inPool {
		return r.inPool < o.inPool
	}
	if r.away != o.away {
		return !r.away
	}
	return r.inAll < o.inAll
}

// expire forgets what no proposal can refer to any more.
func (s State) expire() State {
	s = s.expireClaims()
	s = s.expireRuns()
	for name, e := range s.Entries.All() {
		if !e.Present && s.Now.Sub(e.LeftAt) > absentLife {
			s.Entries = s.Entries.Without(name)
		}
	}
	return s
}
