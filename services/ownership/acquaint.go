// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/services/directory"
)

// knownAfter is for how long a node must have been registered to be known to each owner, or for the owner to
// rely on statements no longer: statementsFor, and what the times of day of nodes may differ by and the entry
// may have been on its way.
const knownAfter = statementsFor + 10*time.Second

// acquaintPeriod is the time between two requests to owners that have not acknowledged this node.
const acquaintPeriod = time.Second

// process is one process of a node.
type process struct {
	name        string
	incarnation uint64
}

// mayClaim reports whether this node may claim a pool whose owner does not respond. The owner may go on
// without the store as long as the nodes that it knows state that they have not claimed the pool; so this node
// must be one of them, or the owner must have ended.
func (s *Manager) mayClaim(v *directory.View, pool string) bool {
	o, self := v.Pools[pool], v.Nodes[s.Directory.Self.Name]
	if s.Directory.Age() > freshFor {
		return false
	}
	if o.Node == "" || o.Node == self.Name || v.Nodes[o.Node].Incarnation > o.Incarnation {
		return true
	}
	registered := s.Clock.WallTime(s.Clock.Now()).Sub(time.UnixMilli(self.Since))
	s.mu.Lock()
	defer s.mu.Unlock()
	may := registered >= knownAfter || s.acquainted[process{o.Node, o.Incarnation}]
	if !may && s.notKnownLoggedAt.IsZero() {
		s.notKnownLoggedAt = s.Clock.Now()
		s.Logger.Warn().Str("event", "claim").Str("pool", pool).Str("owner", o.Node).Uint64("epoch", o.Epoch).Dur("registered", registered).
			Str("outcome", "put off").Msg("the pool's owner has not acknowledged this node; the pool is claimed once the owner has ended or can't rely on other nodes any more")
	}
	return may
}

// acquaint requests an acknowledgement from each owner of a pool that has not sent one, until this node has been
// registered for knownAfter.
func (s *Manager) acquaint(ctx context.Context, v *directory.View) {
	self, registered := v.Nodes[s.Directory.Self.Name]
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !registered || s.registeredSince != self.Since {
		s.acquainted, s.registeredSince, s.notKnownLoggedAt = make(map[process]bool), self.Since, time.Time{}
	}
	old := s.Clock.WallTime(now).Sub(time.UnixMilli(self.Since)) >= knownAfter
	if s.Ask == nil || !registered || old || now.Sub(s.acquaintedAt) < acquaintPeriod {
		return
	}
	s.acquaintedAt = now
	asked := make(map[process]bool)
	for pool := range v.Pools {
		n, o, present := v.Owner(pool)
		p := process{n.Name, o.Incarnation}
		if !present || n.Name == self.Name || asked[p] || s.acquainted[p] {
			continue
		}
		asked[p] = true
		s.tasks.Add(1)
		go acquaintance{s, n, self.Since}.run(ctx)
	}
}

// acquaintance is the request to one owner to acknowledge this node.
type acquaintance struct {
	s     *Manager
	owner directory.Node
	since int64 // since when this node was registered when it was sent
}

// run sends the request.
func (t acquaintance) run(ctx context.Context) {
	defer t.s.tasks.Done()
	bounded, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	a, err := t.s.Ask(bounded, t.owner, Question{From: t.s.Directory.Self.Name})
	if err != nil || !a.Knows || a.Node != t.owner.Name || a.Incarnation != t.owner.Incarnation {
		return // the next request is due within acquaintPeriod
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	if t.s.registeredSince == t.since {
		t.s.acquainted[process{t.owner.Name, t.owner.Incarnation}] = true
	}
}
