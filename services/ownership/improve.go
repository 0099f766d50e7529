// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/services/directory"
)

// A pool may have come to a node that can carry little, since no better one was there:
// many had been killed, or the store came back when that node was asked. It moves on once
// there is a much better one.

// When a pool moves to a better node.
const (
	// muchBetter is how many times more another node must be able to carry for each of
	// its duties. A take-over stops a pool for some 0.2 s; nodes that differ less carry
	// the same rush.
	muchBetter = 3
	// provedAfter is for how long both the other node must have been there, and this one
	// have owned the pool: one that is being restarted is about to go.
	provedAfter = 3 * time.Second
)

// improve gives one duty to a much better node, if there is one.
func (s *Manager) improve(ctx context.Context, v *directory.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || len(s.owned) == 0 {
		return
	}
	now, owns := s.Clock.Now(), duties(v)
	self := v.Nodes[s.Directory.Self.Name]
	own := float64(len(s.owned)) / self.Capacity()
	best := s.best(v, owns, now)
	if best == "" || load(v.Nodes[best], owns[best])*muchBetter > own {
		return
	}
	for duty, t := range s.owned {
		if t.giving || now.Sub(t.since) < provedAfter || t.Stuck(0) {
			continue
		}
		t.giving = true
		s.tasks.Add(1)
		go upgrade{s, v, duty, best}.run(ctx)
		return
	}
}

// best returns the other node that can carry most for one more duty, "" for none.
func (s *Manager) best(v *directory.View, owns map[string]int, now time.Time) string {
	best, least := "", 0.0
	for name, n := range v.Nodes {
		if name == s.Directory.Self.Name || s.isUnable(name, now) || s.Clock.WallTime(now).Sub(time.Unix(0, int64(n.Incarnation))) < provedAfter { //nolint:gosec // a time
			continue
		}
		if l := load(n, owns[name]); best == "" || l < least || l == least && name < best {
			best, least = name, l
		}
	}
	return best
}

// duties returns how many duties each node owns.
func duties(v *directory.View) map[string]int {
	owns := make(map[string]int)
	for duty := range v.Pools {
		if n, _, present := v.Owner(duty); present {
			owns[n.Name]++
		}
	}
	return owns
}

// upgrade is one wish that a better node takes a duty over.
type upgrade struct {
	s    *Manager
	v    *directory.View
	duty string
	to   string
}

// run asks the node.
func (u upgrade) run(ctx context.Context) {
	defer u.s.tasks.Done()
	if !u.s.give(ctx, u.v, u.duty, []string{u.to}) {
		u.s.kept(u.duty)
	}
}
