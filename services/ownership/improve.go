// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/services/directory"
)

// A pool may be owned by a node with little capacity because no better one was present: many nodes
// had been killed, or the store recovered when that node was probed. The pool moves once a much
// better node is present.

// Conditions for moving a role to a better node.
const (
	// muchBetter is how many times the capacity per role another node must have. A take-over stops
	// a pool for about 0.2 s, and nodes whose capacity differs less can handle the same surge.
	muchBetter = 3
	// provenAfter is how long the other node must have been present and this node must have owned
	// the role: a node that is being restarted is about to exit.
	provenAfter = 3 * time.Second
)

// improve hands over one role to a much better node, if there is one.
func (s *Manager) improve(ctx context.Context, v *directory.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || len(s.owned) == 0 {
		return
	}
	now, owns := s.Clock.Now(), countRoles(v)
	self := v.Nodes[s.Directory.Self.Name]
	own := float64(len(s.owned)) / self.Capacity()
	best := s.best(v, owns, now)
	if best == "" || load(v.Nodes[best], owns[best])*muchBetter > own {
		return
	}
	for role, t := range s.owned {
		if t.handingOver || now.Sub(t.claimedAt) < provenAfter || t.Stuck(0) {
			continue
		}
		t.handingOver = true
		s.tasks.Add(1)
		go improveTask{s, v, role, best}.run(ctx)
		return
	}
}

// best returns the other node with the most capacity for one more role, "" for none.
func (s *Manager) best(v *directory.View, owns map[string]int, now time.Time) string {
	best, least := "", 0.0
	for name, n := range v.Nodes {
		if name == s.Directory.Self.Name || s.isUnable(name, now) || s.Clock.WallTime(now).Sub(time.Unix(0, int64(n.Incarnation))) < provenAfter { //nolint:gosec // a time
			continue
		}
		if l := load(n, owns[name]); best == "" || l < least || l == least && name < best {
			best, least = name, l
		}
	}
	return best
}

// countRoles returns how many roles each node owns.
func countRoles(v *directory.View) map[string]int {
	owns := make(map[string]int)
	for role := range v.Pools {
		if n, _, present := v.Owner(role); present {
			owns[n.Name]++
		}
	}
	return owns
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
