// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package steward

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/rendezvous"
	"github.com/yardbridge/yardbridge/services/directory"
)

// Tenant is what does a duty while this node owns it.
type Tenant struct {
	Claim func(ctx context.Context, node string) error // makes this node the owner
	Run   func(ctx context.Context) error              // until it is the owner no longer
	Stuck func(least time.Duration) bool               // whether an append has been under way for so long, or longer where the store is slow
	Epoch func() uint64
	Done  func() <-chan struct{} // closed once it is the owner no longer

	cancel context.CancelFunc // ends Run
	giving bool               // another node is being asked to take it over, or has
	since  time.Time          // when it was claimed
}

// Steward claims pools that have no owner; its fields are set before Run. Lock
// order: mu is the only lock, and nothing that waits is called under it.
type Steward struct {
	Directory *directory.Directory
	Clock     clock.Clock
	Logger    log.Logger
	// Config returns the newest configuration, nil before the first.
	Config func() *config.Config
	// Duties returns what must have an owner by a configuration: its pools, and
	// what is done for all of them.
	Duties func(c *config.Config) []string
	// Open returns a tenant for a duty whose partition lies in a slot, not yet
	// claimed.
	Open func(duty string, slot int) *Tenant
	// Offer asks another node whether it could take a pool over: the store answers it.
	Offer func(ctx context.Context, n directory.Node) error
	// Take asks another node to take a pool over.
	Take func(ctx context.Context, n directory.Node, pool string) (directory.Ownership, error)

	mu       sync.Mutex
	running  context.Context // of Run; a duty that another node has asked to take over ends with it
	owned    map[string]*Tenant
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
func (s *Steward) Run(ctx context.Context) {
	began := s.Clock.Now()
	s.mu.Lock()
	s.running = ctx
	s.mu.Unlock()
	for ctx.Err() == nil {
		v, changed := s.Directory.View()
		if v != nil && v.Nodes[s.Directory.Self.Name].Life == s.Directory.Self.Life {
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
func (s *Steward) Owned() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.owned))
}

// look claims the pools without an owner that this node is the heir of.
func (s *Steward) look(ctx context.Context, v *directory.View, settled bool) {
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
func (s *Steward) yield(v *directory.View) {
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

// relieveAfter is how long an append may be under way before another node is
// asked to take over: the store may turn away this node and serve the others. It
// answers in 4 ms, and 60 times as long on its slow days.
const relieveAfter = 700 * time.Millisecond

// relieve gives the duties whose appends the store does not answer to other nodes, each
// once, and all at once: what their owner can't keep, it refuses.
func (s *Steward) relieve(ctx context.Context, v *directory.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stuck []string
	for _, duty := range slices.Sorted(maps.Keys(s.owned)) {
		if t := s.owned[duty]; !t.giving && t.Stuck(relieveAfter) {
			t.giving = true
			stuck = append(stuck, duty)
		}
	}
	if len(stuck) > 0 {
		s.tasks.Add(1)
		go relief{s, v, stuck}.run(ctx)
	}
}

// relief is one wish that other nodes take duties over.
type relief struct {
	s      *Steward
	v      *directory.View
	duties []string
}

// run asks the other nodes.
func (r relief) run(ctx context.Context) {
	defer r.s.tasks.Done()
	r.s.giveAway(ctx, r.v, r.duties)
}

// kept notes that no other node has taken a duty over, so that another may be asked.
func (s *Steward) kept(duty string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.owned[duty]; t != nil {
		t.giving = false
	}
}

// orphans returns the pools without an owner that is present, in order.
func (s *Steward) orphans(c *config.Config, v *directory.View) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orphaned == nil {
		s.orphaned = make(map[string]time.Time)
	}
	var list []string
	for _, d := range s.Duties(c) {
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

func (s *Steward) since(pool string) time.Duration {
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

// claim begins to claim a pool unless that is under way.
func (s *Steward) claim(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.running == nil || s.running.Err() != nil || s.Config() == nil || s.owned[pool] != nil || s.claiming[pool] {
		return
	}
	if s.claiming == nil {
		s.claiming = make(map[string]bool)
		s.refused = make(map[string]error)
		s.owned = make(map[string]*Tenant)
	}
	s.claiming[pool] = true
	s.tasks.Add(1)
	go tenure{s, pool}.run(s.running)
}

// tenure is the ownership of one pool by this node, from the claim to the end.
type tenure struct {
	s    *Steward
	pool string
}

// run claims the pool and serves it until it is not owned any more.
func (t tenure) run(ctx context.Context) {
	defer t.s.tasks.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o, err := t.claim(ctx)
	t.s.mu.Lock()
	delete(t.s.claiming, t.pool)
	t.s.refused[t.pool] = err
	if err == nil {
		o.cancel, o.since = cancel, t.s.Clock.Now()
		t.s.owned[t.pool] = o
	}
	t.s.mu.Unlock()
	if err != nil {
		t.s.Logger.Info().Str("event", "claim").Str("pool", t.pool).Err(err).Str("outcome", "not owner").Msg("a pool was not claimed")
		return
	}
	err = o.Run(ctx)
	t.s.mu.Lock()
	delete(t.s.owned, t.pool)
	t.s.mu.Unlock()
	t.s.Logger.Info().Str("event", "ownership-end").Str("pool", t.pool).Uint64("epoch", o.Epoch()).AnErr("why", err).
		Msg("a pool is not owned any more")
}

// claim claims the pool and tells all nodes.
func (t tenure) claim(ctx context.Context) (*Tenant, error) {
	self := t.s.Directory.Self
	slot, err := t.s.Directory.Slot(ctx, t.pool, t.s.Duties(t.s.Config()))
	if err != nil {
		return nil, err
	}
	o := t.s.Open(t.pool, slot)
	if err := o.Claim(ctx, self.Name); err != nil {
		return nil, err
	}
	go telling{t.s, directory.Ownership{Pool: t.pool, Slot: slot, Epoch: o.Epoch(), Node: self.Name, Life: self.Life}, o}.run(ctx)
	return o, nil
}

// telling publishes an ownership until that has succeeded.
type telling struct {
	s         *Steward
	ownership directory.Ownership
	tenant    *Tenant
}

// run publishes the ownership.
func (t telling) run(ctx context.Context) {
	for {
		err := t.s.Directory.Publish(ctx, t.ownership)
		if err == nil {
			return
		}
		t.s.Logger.Warn().Str("event", "publish").Str("pool", t.ownership.Pool).Err(err).Msg("an ownership could not be told")
		select {
		case <-t.s.Clock.After(lookPeriod):
		case <-t.tenant.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// Assume claims a pool at the wish of its owner, and returns the ownership once
// it is owned here.
func (s *Steward) Assume(ctx context.Context, pool string) (directory.Ownership, error) {
	s.claim(pool)
	for {
		s.mu.Lock()
		t, claiming, refused := s.owned[pool], s.claiming[pool], s.refused[pool]
		s.mu.Unlock()
		if t != nil {
			return s.ownership(pool, t), nil
		}
		if !claiming && errkind.Is(refused, errkind.LogUnavailable) {
			return directory.Ownership{}, errkind.New(errkind.LogUnavailable, "pool %s was not claimed: %v", pool, refused)
		}
		if !claiming {
			return directory.Ownership{}, errkind.New(errkind.Fenced, "pool %s was not claimed", pool)
		}
		select {
		case <-s.Clock.After(assumePoll):
		case <-ctx.Done():
			return directory.Ownership{}, errkind.New(errkind.OutcomeUnknown, "pool %s is being claimed", pool)
		}
	}
}

// ownership returns what the directory is to say of a duty that this node owns.
func (s *Steward) ownership(duty string, t *Tenant) directory.Ownership {
	self := s.Directory.Self
	o := directory.Ownership{Pool: duty, Epoch: t.Epoch(), Node: self.Name, Life: self.Life}
	if v, _ := s.Directory.View(); v != nil {
		o.Slot = v.Pools[duty].Slot
	}
	return o
}

// assumePoll is how often a node that was asked to take a pool over looks
// whether it has.
const assumePoll = 5 * time.Millisecond

// HandOver gives every pool of this node to another, and claims none any more.
func (s *Steward) HandOver(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	if v, _ := s.Directory.View(); v != nil {
		s.giveAway(ctx, v, s.Owned())
	}
}

// giveAway asks other nodes to take duties over.
func (s *Steward) giveAway(ctx context.Context, v *directory.View, pools []string) {
	rest := *v
	rest.Nodes = make(map[string]directory.Node, len(v.Nodes))
	for name, n := range v.Nodes {
		if name != s.Directory.Self.Name {
			rest.Nodes[name] = n
		}
	}
	heirs := inherit(&rest, pools)
	var gifts sync.WaitGroup
	for _, pool := range pools {
		gifts.Go(func() {
			if !s.give(ctx, &rest, pool, heirs[pool]) {
				s.kept(pool)
			}
		})
	}
	gifts.Wait()
}

// settled reports whether a duty is not owned here any more, or goes on.
func (s *Steward) settled(duty string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.owned[duty]
	return t == nil || !s.leaving && !t.Stuck(relieveAfter)
}

// giveTimeout bounds the wish that one node takes a pool over.
const giveTimeout = time.Second

// give asks the nodes that the store answers, the best first, to take a pool over, and reports
// whether one has. Where none of those that are asked at once is answered, the store is away for
// all, and whichever node is asked when it comes back would get the pool: the best are asked
// again as long as the store does not answer.
func (s *Steward) give(ctx context.Context, v *directory.View, pool string, heirs []string) bool {
	for len(heirs) > 0 {
		n := min(len(heirs), offersAtOnce)
		able := s.able(ctx, v, heirs[:n])
		if s.giveTo(ctx, v, pool, able) {
			return true
		}
		if len(able) == 0 || ctx.Err() != nil || s.settled(pool) {
			return false
		}
		heirs = heirs[n:]
	}
	return false
}

// giveTo asks nodes that the store answers, one after the other, to take a pool over.
func (s *Steward) giveTo(ctx context.Context, v *directory.View, pool string, able []string) bool {
	for _, name := range able {
		bounded, cancel := context.WithTimeout(ctx, giveTimeout)
		o, err := s.Take(bounded, v.Nodes[name], pool)
		cancel()
		if err == nil {
			s.Directory.Learn(o)
		}
		s.Logger.Info().Str("event", "hand-over").Str("pool", pool).Str("to", name).AnErr("err", err).Msg("a pool is handed over")
		if err == nil {
			return true
		}
		s.setUnable(name)
		if ctx.Err() != nil || s.settled(pool) {
			return false
		}
	}
	return false
}
