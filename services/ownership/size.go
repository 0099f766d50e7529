// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/resource"
	"github.com/yardbridge/yardbridge/services/directory"
)

// Which node can own a role depends on its size, which its owner alone knows. The owner publishes it with the
// ownership, but only when other nodes can carry the role at that size than at the published one: a change
// of the directory is read by every node.

// sizeWindow is the time after which a size that was not reached again counts no longer.
const sizeWindow = 10 * time.Minute

// rolesCompared is up to how many roles of a size are counted that a node can carry: two show whether it
// can own another role of this size.
const rolesCompared = 2

// peak is the highest size of a role in the last windows.
type peak struct {
	last, present int       // the highest in the last window and in the present one
	since         time.Time // when the present one began
	whole         bool      // the last one is complete
}

// add adds the present size.
func (p *peak) add(size int, now time.Time) {
	switch {
	case p.since.IsZero():
		p.since = now
	case now.Sub(p.since) >= sizeWindow:
		p.last, p.present, p.since, p.whole = p.present, 0, now, true
	}
	p.present = max(p.present, size)
}

// size returns the highest size, rounded up.
func (p *peak) size() int { return roundUp(max(p.last, p.present)) }

// roundUp rounds a size up to one of four for each power of two, so that small changes do not count.
func roundUp(size int) int {
	step := 1
	if n := bits.Len(uint(size)); n > 3 { //nolint:gosec // a size is not negative
		step = 1 << (n - 3)
	}
	return (size + step - 1) / step * step
}

// publishSizes publishes the sizes of the roles of this node where these matter, and logs when the roles
// exceed the limits of this node, or do so no longer.
func (s *Manager) publishSizes(ctx context.Context, v *directory.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.owned) == 0 && s.short == "" {
		return
	}
	r := s.ranking(v)
	var actual, published resource.Roles
	for role, t := range s.owned {
		if t.Size != nil {
			t.peak.add(t.Size(), s.Clock.Now())
		}
		actual = actual.Plus(r.demand(role, max(t.peak.size(), v.Pools[role].Size)))
		published = published.Plus(r.needs(role))
	}
	self, nodes := v.Nodes[s.Directory.Self.Name].Limits(), len(v.Nodes)
	outgrown := resource.Excess(published, nodes, self) == 1 && resource.Excess(actual, nodes, self) > 1
	for _, role := range slices.Sorted(maps.Keys(s.owned)) {
		t, known := s.owned[role], v.Pools[role]
		size := t.peak.size()
		if size == known.Size || t.publishing || t.Size == nil || known.Epoch != t.Epoch() || known.Node != s.Directory.Self.Name {
			continue
		}
		if size < known.Size && !t.peak.whole || !(outgrown && size > known.Size) && !r.differ(role, known.Size, size) {
			continue
		}
		known.Size = size
		t.publishing = true
		s.tasks.Add(1)
		go sizePublication{s, t, known, v.End}.run(ctx)
	}
	s.logShort(actual, nodes, self)
}

// logShort logs which limit the roles of this node exceed when that has changed. The lock is held.
func (s *Manager) logShort(roles resource.Roles, nodes int, limits resource.Amount) {
	needed := resource.Needed(roles, nodes)
	share, limit := needed.Share(limits)
	if share <= 1 || roles.Count == 0 {
		limit = ""
	}
	if limit == s.short {
		return
	}
	outcome, line := "short", s.Logger.Warn()
	if limit == "" {
		outcome, line = "enough", s.Logger.Info()
	}
	line.Str("event", "limits").Str("limit", limit).Str("before", s.short).Float64("share", share).Interface("needed", needed).Interface("limits", limits).
		Int("roles", roles.Count).Int("workers", roles.Workers).Int("instances", roles.Instances).Int("nodes", nodes).Str("outcome", outcome).
		Msg("whether this node's limits are enough for its roles has changed")
	s.short = limit
}

// differ reports whether other nodes can carry a role at one size than at another.
func (r *ranking) differ(role string, a, b int) bool {
	for _, n := range r.v.Nodes {
		limits := n.Limits()
		if r.carried(role, a, limits) != r.carried(role, b, limits) {
			return true
		}
	}
	return false
}

// carried returns how many roles of a size a node with some limits carries, up to rolesCompared.
func (r *ranking) carried(role string, size int, limits resource.Amount) int {
	var all resource.Roles
	for n := range rolesCompared {
		all = all.Plus(r.demand(role, size))
		if resource.Excess(all, len(r.v.Nodes), limits) > 1 {
			return n
		}
	}
	return rolesCompared
}

// sizePublication publishes the size of a role once.
type sizePublication struct {
	s         *Manager
	runner    *RoleRunner
	ownership directory.Ownership
	end       uint64 // of the view that the decision is based on
}

// run publishes the size.
func (p sizePublication) run(ctx context.Context) {
	defer p.s.tasks.Done()
	err := p.s.Directory.PublishSize(ctx, p.ownership, p.end)
	p.s.Logger.Info().Str("event", "size").Str("pool", p.ownership.Pool).Int("size", p.ownership.Size).AnErr("err", err).Msg("size of a role published")
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.runner.publishing = false
}
