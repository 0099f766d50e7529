// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/services/directory"
)

// relieveAfter is how long an append may be under way before another node is
// asked to take over: the store may turn away this node and serve the others. It
// answers in 4 ms, and 60 times as long on its slow days.
const relieveAfter = 700 * time.Millisecond

// relieve gives the duties whose appends the store does not answer to other nodes, each
// once, and all at once: what their owner can't keep, it refuses.
func (s *Manager) relieve(ctx context.Context, v *directory.View) {
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
	s      *Manager
	v      *directory.View
	duties []string
}

// run asks the other nodes.
func (r relief) run(ctx context.Context) {
	defer r.s.tasks.Done()
	r.s.giveAway(ctx, r.v, r.duties)
}

// kept notes that no other node has taken a duty over, so that another may be asked.
func (s *Manager) kept(duty string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.owned[duty]; t != nil {
		t.giving = false
	}
}

// HandOver gives every pool of this node to another, and claims none any more.
func (s *Manager) HandOver(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	if v, _ := s.Directory.View(); v != nil {
		s.giveAway(ctx, v, s.Owned())
	}
}

// giveAway asks other nodes to take duties over.
func (s *Manager) giveAway(ctx context.Context, v *directory.View, pools []string) {
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
func (s *Manager) settled(duty string) bool {
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
func (s *Manager) give(ctx context.Context, v *directory.View, pool string, heirs []string) bool {
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
func (s *Manager) giveTo(ctx context.Context, v *directory.View, pool string, able []string) bool {
	for _, name := range able {
		bounded, cancel := context.WithTimeout(ctx, giveTimeout)
		o, err := s.RequestTakeOver(bounded, v.Nodes[name], pool)
		cancel()
		if err == nil {
			s.Directory.Observe(o)
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
