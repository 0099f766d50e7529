// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/rendezvous"
	"github.com/yardbridge/yardbridge/services/directory"
)

// RoleRunner is what does a duty while this node owns it.
type RoleRunner struct {
	Claim func(ctx context.Context, node string) error // makes this node the owner
	Run   func(ctx context.Context) error              // until it is the owner no longer
	Stuck func(least time.Duration) bool               // whether an append has been under way for so long, or longer where the store is slow
	Epoch func() uint64
	Done  func() <-chan struct{} // closed once it is the owner no longer

	cancel context.CancelFunc // ends Run
	giving bool               // another node is being asked to take it over, or has
	since  time.Time          // when it was claimed
}

// Manager claims pools that have no owner; its fields are set before Run. Lock
// order: mu is the only lock, and nothing that waits is called under it.
type Manager struct {
	Directory *directory.Directory
	Clock     clock.Clock
	Logger    log.Logger
	// Config returns the newest configuration, nil before the first.
	Config func() *config.Config
	// Roles returns what must have an owner by a configuration: its pools, and
	// what is done for all of them.
	Roles func(c *config.Config) []string
	// Open returns a tenant for a duty whose partition lies in a slot, not yet
	// claimed.
	Open func(duty string, slot int) *RoleRunner
	// ProbeTakeOver asks another node whether it could take a pool over: the store answers it.
	ProbeTakeOver func(ctx context.Context, n directory.Node) error
	// RequestTakeOver asks another node to take a pool over.
	RequestTakeOver func(ctx context.Context, n directory.Node, pool string) (directory.Ownership, error)

	mu       sync.Mutex
	running  context.Context // of Run; a duty that another node has asked to take over ends with it
	owned    map[string]*RoleRunner
	claiming map[string]bool
	refused  map[string]error     // why a pool was not claimed last, nil where it was
	orphaned map[string]time.Time // since when a pool has no owner that is present
	asked    map[string]time.Time // of these times, the one for which the heirs before this node were asked for
	unable   map[string]time.Time // until when a node is not chosen that could not take a pool over
	leaving  bool
	tasks    sync.WaitGroup
}

// The pace of the steward.
const (
	lookPeriod = 250 * time.Millisecond  // at the directory, though it has not changed
	settle     = 700 * time.Millisecond  // after this node's start until it claims a pool that never had an owner: all nodes start within 0.3 s
	heirTurn   = 1500 * time.Millisecond // until the next of a pool's heirs tries
)

// Run claims pools until the context ends.
func (s *Manager) Run(ctx context.Context) {
	began := s.Clock.Now()
	s.mu.Lock()
	s.running = ctx
	s.mu.Unlock()
	for ctx.Err() == nil {
		v, changed := s.Directory.View()
		if v != nil && v.Nodes[s.Directory.Self.Name].Incarnation == s.Directory.Self.Incarnation {
			s.look(ctx, v, s.Clock.Now().Sub(began) > settle)
		}
		select {
		case <-changed:
		case <-s.Clock.After(lookPeriod):
		case <-ctx.Done():
		}
	}
	s.tasks.Wait()
}

// Owned returns the duties that this node owns, in order.
func (s *Manager) Owned() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.owned))
}

// look claims the pools without an owner that this node is the heir of.
func (s *Manager) look(ctx context.Context, v *directory.View, settled bool) {
	c := s.Config()
	if c == nil {
		return
	}
	s.yield(v)
	s.relieve(ctx, v)
	s.improve(ctx, v)
	orphans := s.orphans(c, v)
	heirs := inherit(v, orphans)
	for _, pool := range orphans {
		_, known := v.Pools[pool]
		if !known && !settled {
			continue
		}
		turn := slices.Index(heirs[pool], s.Directory.Self.Name)
		switch {
		case turn >= 0 && s.since(pool) >= time.Duration(turn)*heirTurn:
			s.claim(pool)
		case turn > 0 && turn <= offersAtOnce:
			s.succeed(ctx, v, pool, heirs[pool][:turn])
		}
	}
}

// yield ends the tenancies that another node has taken over, which their epoch in
// the directory tells: one that appends nothing would not learn it otherwise.
func (s *Manager) yield(v *directory.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for duty, t := range s.owned {
		if o := v.Pools[duty]; o.Epoch > t.Epoch() {
			s.Logger.Info().Str("event", "yield").Str("pool", duty).Uint64("epoch", t.Epoch()).Uint64("newer", o.Epoch).
				Str("to", o.Node).Msg("another node has taken a pool over")
			t.cancel()
		}
	}
}

// orphans returns the pools without an owner that is present, in order.
func (s *Manager) orphans(c *config.Config, v *directory.View) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orphaned == nil {
		s.orphaned = make(map[string]time.Time)
	}
	var list []string
	for _, d := range s.Roles(c) {
		n, _, present := v.Owner(d)
		if present && (n.Name != s.Directory.Self.Name || s.owned[d] != nil || s.claiming[d]) {
			delete(s.orphaned, d)
			continue
		}
		list = append(list, d)
		if s.orphaned[d].IsZero() {
			s.orphaned[d] = s.Clock.Now()
		}
	}
	slices.Sort(list)
	return list
}

func (s *Manager) since(pool string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock.Now().Sub(s.orphaned[pool])
}

// inherit returns for each orphan the nodes that may own it, the best first:
// those that own the fewest pools for their processors. All nodes work out the
// same from the same view.
func inherit(v *directory.View, orphans []string) map[string][]string {
	owns := duties(v)
	names := make([]string, 0, len(v.Nodes))
	for name := range v.Nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	heirs := make(map[string][]string, len(orphans))
	for _, pool := range orphans {
		ranked := slices.Clone(names)
		first := rendezvous.Owner(pool, names)
		slices.SortStableFunc(ranked, func(a, b string) int {
			return cmp.Or(
				cmp.Compare(load(v.Nodes[a], owns[a]), load(v.Nodes[b], owns[b])),
				cmp.Compare(btoi(a != first), btoi(b != first)),
			)
		})
		heirs[pool] = ranked
		if len(ranked) > 0 {
			owns[ranked[0]]++
		}
	}
	return heirs
}

// load is what one more pool makes a node carry for its processors and link.
func load(n directory.Node, owns int) float64 {
	return float64(owns+1) / n.Capacity()
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
