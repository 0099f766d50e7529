// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/resource"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/journal"
)

// RoleRunner runs a role while this node owns it.
type RoleRunner struct {
	Claim func(ctx context.Context, node string) error // makes this node the owner
	// Terms are what Claim states and checks; nil if it does neither.
	Terms *journal.Terms
	Run   func(ctx context.Context) error // runs until this node is no longer the owner
	Stuck func(least time.Duration) bool  // whether an append has been in progress for this long, or longer if the store is slow
	// PendingFor returns how long an append has been in progress, 0 for none.
	PendingFor func() time.Duration
	// Confirmed returns when the store was last asked to confirm the ownership and did so; nil for a role that
	// does not rely on statements of other nodes.
	Confirmed func() time.Time
	// Published is called once the ownership is in the directory; nil for no call.
	Published func()
	Epoch     func() uint64
	Done      func() <-chan struct{} // closed once this node is no longer the owner
	// Size returns the pool's workers, or the instances of all pools for the role that decides on these; nil
	// for unknown.
	Size func() int

	cancel      context.CancelFunc // ends Run
	peak        peak               // of the size
	publishing  bool               // the size is being published
	handingOver bool               // another node is being asked to take the role over, or has taken it over
	claimedAt   time.Time          // when it was claimed
}

// Manager claims pools that have no owner. Its exported fields are set before Run. Lock order: mu
// before that of the directory, and nothing that blocks is called while it is held.
type Manager struct {
	Directory *directory.Directory
	Clock     clock.Clock
	Logger    log.Logger
	// Config returns the newest configuration, nil before the first.
	Config func() *config.Config
	// Roles returns the roles of a configuration that must have an owner: its pools, and the roles
	// for all of them.
	Roles func(c *config.Config) []string
	// Open returns a role runner, not yet claimed, for a role whose partition is in a slot.
	Open func(role string, slot int) *RoleRunner
	// Demand returns what a role of a size takes; nil for a pool with as many workers.
	Demand func(role string, size int) resource.Roles
	// ProbeTakeOver asks another node whether it could take a pool over, that is, whether the store
	// responds to it, and returns how long the store took.
	ProbeTakeOver func(ctx context.Context, n directory.Node) (time.Duration, error)
	// RequestTakeOver asks another node to take a pool over from this one, its owner at an epoch.
	RequestTakeOver func(ctx context.Context, n directory.Node, pool string, epoch uint64) (directory.Ownership, error)
	// Ask asks another node for a statement; nil if there are no other nodes.
	Ask func(ctx context.Context, n directory.Node, q Question) (Statement, error)

	mu       sync.Mutex
	running  context.Context // of Run; a role taken over at another node's request ends with it
	owned    map[string]*RoleRunner
	claiming map[string]bool
	refused  map[string]error     // reason of the last failed claim of a pool, nil after success
	unowned  map[string]time.Time // since when a pool has no present owner
	probed   map[string]time.Time // the value of unowned for which the preceding successors were last probed
	unable   map[string]time.Time // until when a node is not chosen because it could not take a pool over
	leaving  bool
	short    string // limit that the roles of this node exceed most, as logged, "" for none
	tasks    sync.WaitGroup

	acknowledged acknowledgements
	readingDue   time.Time            // when the next reading of the directory may be published, zero for not determined
	publishing   bool                 // a reading is being published
	putOff       map[string]time.Time // until when a pool is not claimed, since its owner may not know this node
}

// Time constants of the manager.
const (
	checkPeriod   = 250 * time.Millisecond  // between checks while the directory does not change
	settle        = 700 * time.Millisecond  // after this node's start until it claims a pool that never had an owner at the earliest: all nodes start within 0.3 s
	settleMost    = 6 * time.Second         // until it does so at the latest
	settleQuiet   = 300 * time.Millisecond  // how long the number of nodes must have stayed the same, and for each node settleQuietPerNode
	successorTurn = 1500 * time.Millisecond // until a pool's next successor tries
)

// settleQuietPerNode is more than the time between two readings of the directory, for each node.
const settleQuietPerNode = time.Millisecond

// startup is what this node has seen since its start of the nodes that start with it.
type startup struct {
	began     time.Time
	nodes     int       // registered by the newest view
	changedAt time.Time // when that changed last
}

// settled reports whether the nodes that start together have registered, as far as can be known. All
// nodes then see the same ones and agree on who claims a pool that never had an owner.
func (u *startup) settled(nodes int, now time.Time) bool {
	if nodes != u.nodes {
		u.nodes, u.changedAt = nodes, now
	}
	quiet := settleQuiet + time.Duration(nodes)*settleQuietPerNode
	since := now.Sub(u.began)
	return since > settle && now.Sub(u.changedAt) > quiet || since > settleMost
}

// Run claims pools until the context ends.
func (s *Manager) Run(ctx context.Context) {
	start := startup{began: s.Clock.Now()}
	s.mu.Lock()
	s.running = ctx
	s.mu.Unlock()
	for ctx.Err() == nil {
		v, changed := s.Directory.View()
		if v != nil && v.Nodes[s.Directory.Self.Name].Incarnation == s.Directory.Self.Incarnation {
			s.check(ctx, v, start.settled(len(v.Nodes), s.Clock.Now()))
		}
		select {
		case <-changed:
		case <-s.Clock.After(checkPeriod):
		case <-ctx.Done():
		}
	}
	s.tasks.Wait()
}

// Owned returns the roles that this node owns, in order.
func (s *Manager) Owned() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.owned))
}

// check claims the pools without an owner whose successor is this node.
func (s *Manager) check(ctx context.Context, v *directory.View, settled bool) {
	c := s.Config()
	if c == nil {
		return
	}
	s.endReplaced(v)
	s.requestAcknowledgements(ctx, v)
	s.publishReading(ctx, v)
	s.handOverStuck(ctx, v)
	s.publishSizes(ctx, v)
	s.improve(ctx, v)
	pools := s.unownedPools(c, v)
	successors := s.rankClaimants(v, pools)
	for _, pool := range pools {
		_, known := v.Pools[pool]
		if !known && !settled {
			continue
		}
		rank := slices.Index(successors[pool], s.Directory.Self.Name)
		switch {
		case s.isPutOff(pool): // the next successor claims it
		case rank >= 0 && s.unownedFor(pool) >= time.Duration(rank)*successorTurn:
			s.claim(pool, 0)
		case rank > 0 && rank <= probesAtOnce:
			s.probePreceding(ctx, v, pool, successors[pool][:rank])
		}
	}
}

// endReplaced ends the roles that another node has taken over, as shown by a higher epoch in the
// directory. A runner that appends nothing would not detect it otherwise.
func (s *Manager) endReplaced(v *directory.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for role, t := range s.owned {
		if o := v.Pools[role]; o.Epoch > t.Epoch() {
			s.Logger.Info().Str("event", "yield").Str("pool", role).Uint64("epoch", t.Epoch()).Uint64("newer", o.Epoch).
				Str("to", o.Node).Msg("another node has taken a pool over")
			t.cancel()
		}
	}
}

// Unconfirmed returns the epochs of the pools of this node whose last confirmation by the store is older than
// a duration, and when the earliest of these confirmations was requested.
func (s *Manager) Unconfirmed(than time.Duration) (map[string]uint64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	earliest, pools := now, make(map[string]uint64)
	for role, t := range s.owned {
		if t.Confirmed == nil {
			continue
		}
		confirmed := t.Confirmed()
		if now.Sub(confirmed) <= than {
			continue
		}
		pools[role] = t.Epoch()
		if confirmed.Before(earliest) {
			earliest = confirmed
		}
	}
	return pools, earliest
}

// unownedPools returns the pools without a present owner, in order.
func (s *Manager) unownedPools(c *config.Config, v *directory.View) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unowned == nil {
		s.unowned = make(map[string]time.Time)
	}
	var list []string
	for _, role := range s.Roles(c) {
		n, _, present := v.Owner(role)
		if present && (n.Name != s.Directory.Self.Name || s.owned[role] != nil || s.claiming[role]) {
			delete(s.unowned, role)
			continue
		}
		list = append(list, role)
		if s.unowned[role].IsZero() {
			s.unowned[role] = s.Clock.Now()
		}
	}
	slices.Sort(list)
	return list
}

func (s *Manager) unownedFor(pool string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock.Now().Sub(s.unowned[pool])
}
