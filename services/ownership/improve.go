// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/resource"
	"github.com/yardbridge/yardbridge/services/directory"
)

// A pool may be owned by a node with little capacity because no better one was present: many nodes
// had been killed, or the store recovered when that node was probed. The pool moves once a much
// better node is present. It also moves if the roles of its owner have outgrown the limits of that node,
// and another node carries it or comes clearly nearer. If all roles have come into one data centre, one of
// them moves to another.

// Conditions for moving a role to a better node.
const (
	// muchBetter is how many times the capacity per role another node must have. A take-over stops
	// a pool for about 0.2 s, and nodes whose capacity differs less can handle the same surge.
	muchBetter = 3
	// clearlyNearer is how many times as far this node must exceed its limits as the other node would with
	// the role, where that one can't carry it either.
	clearlyNearer = 1.25
	// provenAfter is how long the other node must have been present and this node must have owned
	// the role: a node that is being restarted is about to exit.
	provenAfter = 3 * time.Second
)

// improve hands over one role to a better node, if there is one.
func (s *Manager) improve(ctx context.Context, v *directory.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || len(s.owned) == 0 {
		return
	}
	now, r := s.Clock.Now(), s.ranking(v)
	own := r.candidate(s.Directory.Self.Name, resource.Roles{})
	for _, role := range slices.Sorted(maps.Keys(s.owned)) {
		t := s.owned[role]
		if t.handingOver || now.Sub(t.claimedAt) < provenAfter || t.Stuck(0) {
			continue
		}
		best, found := s.best(r, role, now)
		if !found || !best.muchBetterThan(own) {
			best, found = s.elsewhere(r, role, own, now)
		}
		if !found {
			continue
		}
		t.handingOver = true
		s.tasks.Add(1)
		go improveTask{s, v, role, best.name}.run(ctx)
		return
	}
}

// muchBetterThan reports whether a role should move to a candidate from its owner, which has its own load
// and excess with the role.
func (c candidate) muchBetterThan(owner candidate) bool {
	carries := c.excess == 1 || c.excess*clearlyNearer <= owner.excess
	if c.excess < owner.excess && carries {
		return true
	}
	return c.excess <= owner.excess && c.load*muchBetter <= owner.load
}

// best returns the best other node for one more role, false for none.
func (s *Manager) best(r *ranking, role string, now time.Time) (best candidate, found bool) {
	for _, c := range s.others(r, role, now) {
		if order := c.compare(best); !found || order < 0 || order == 0 && c.name < best.name {
			best, found = c, true
		}
	}
	return best, found
}

// others returns the other nodes as owners of one more role, those that are proven and were able to take one
// over.
func (s *Manager) others(r *ranking, role string, now time.Time) []candidate {
	takes, list := r.needs(role), make([]candidate, 0, len(r.v.Nodes))
	for name, n := range r.v.Nodes {
		if name == s.Directory.Self.Name || s.isUnable(name, now) || s.Clock.WallTime(now).Sub(time.Unix(0, int64(n.Incarnation))) < provenAfter { //nolint:gosec // a time
			continue
		}
		list = append(list, r.candidate(name, takes))
	}
	return list
}

// elsewhere returns a node in another data centre for a role, false for none. There is one only for the last
// role by name, so that one owner alone moves its role, and only if there are others.
func (s *Manager) elsewhere(r *ranking, role string, own candidate, now time.Time) (best candidate, found bool) {
	if role != r.last || r.rolesIn[r.onlyDataCenter()] < 2 {
		return best, false
	}
	list := s.others(r, role, now)
	least := leastLoad(append(list, own))
	for _, c := range list {
		if r.spreads(c, least) && (!found || c.compare(best) < 0 || c.compare(best) == 0 && c.name < best.name) {
			best, found = c, true
		}
	}
	return best, found
}

// improveTask hands over a role to a better node.
type improveTask struct {
	s    *Manager
	v    *directory.View
	role string
	to   string
}

// run hands over the role.
func (u improveTask) run(ctx context.Context) {
	defer u.s.tasks.Done()
	if !u.s.handOver(ctx, u.v, u.role, []string{u.to}) {
		u.s.clearHandingOver(u.role)
	}
}
