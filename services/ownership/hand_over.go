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

// stuckAfter is how long an append may be in progress before another node is asked to take over:
// the store may refuse this node and serve the others. It usually responds in 4 ms, and takes up to
// 60 times as long when it is slow.
const stuckAfter = 700 * time.Millisecond

// handOverStuck hands over the roles whose appends get no response from the store, each once and
// all at the same time: their owner rejects what it can't persist.
func (s *Manager) handOverStuck(ctx context.Context, v *directory.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stuck []string
	for _, role := range slices.Sorted(maps.Keys(s.owned)) {
		if t := s.owned[role]; !t.handingOver && t.Stuck(stuckAfter) {
			t.handingOver = true
			stuck = append(stuck, role)
		}
	}
	if len(stuck) > 0 {
		s.tasks.Add(1)
		go handOverTask{s, v, stuck}.run(ctx)
	}
}

// handOverTask hands over stuck roles.
type handOverTask struct {
	s     *Manager
	v     *directory.View
	roles []string
}

// run hands over the roles.
func (r handOverTask) run(ctx context.Context) {
	defer r.s.tasks.Done()
	r.s.handOverAll(ctx, r.v, r.roles)
}

// clearHandingOver records that no other node has taken a role over, so that the hand-over can be
// tried again.
func (s *Manager) clearHandingOver(role string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.owned[role]; t != nil {
		t.handingOver = false
	}
}

// HandOver hands every pool of this node over to other nodes and stops claiming pools.
func (s *Manager) HandOver(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	if v, _ := s.Directory.View(); v != nil {
		s.handOverAll(ctx, v, s.Owned())
	}
}

// handOverAll hands roles over to other nodes.
func (s *Manager) handOverAll(ctx context.Context, v *directory.View, pools []string) {
	others := *v
	others.Nodes = make(map[string]directory.Node, len(v.Nodes))
	for name, n := range v.Nodes {
		if name != s.Directory.Self.Name {
			others.Nodes[name] = n
		}
	}
	successors := s.rankSuccessors(&others, pools)
	var group sync.WaitGroup
	for _, pool := range pools {
		group.Go(func() {
			if !s.handOver(ctx, &others, pool, successors[pool]) {
				s.clearHandingOver(pool)
			}
		})
	}
	group.Wait()
}

// resolved reports whether a role is no longer owned here or its appends succeed again.
func (s *Manager) resolved(role string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.owned[role]
	return t == nil || !s.leaving && !t.Stuck(stuckAfter)
}

// isStuck reports whether a role is handed over because its appends are stuck.
func (s *Manager) isStuck(role string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.owned[role]
	return t != nil && !s.leaving && t.Stuck(stuckAfter)
}

// epoch returns the epoch at which this node owns a role, 0 if it does not.
func (s *Manager) epoch(role string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.owned[role]; t != nil {
		return t.Epoch()
	}
	return 0
}

// takeOverTimeout bounds the request to one node to take a pool over, where the store is not slow. The
// next node is asked after it, which moves the pool once more if the first one was only slow.
const takeOverTimeout = time.Second

// clearlyFaster is how many times as fast as the append in progress the store must respond to another
// node for that node to get a role whose appends are stuck. A probe is one reading of the store, which
// takes a third of an append, and a hand-over takes two appends. On a store that is slow for all nodes
// the role stays; one that refuses this node responds to the others in a hundredth of stuckAfter.
const clearlyFaster = 8

// takeOverSteps is how many times as long as a probe a take-over may take: it reads the store three
// times and appends to it once.
const takeOverSteps = 8

// keepFaster returns the nodes that the store serves clearly faster than this one, whose append for a
// role is stuck.
func (s *Manager) keepFaster(role string, able []ableNode) []ableNode {
	s.mu.Lock()
	t := s.owned[role]
	s.mu.Unlock()
	if t == nil {
		return nil
	}
	pending := t.PendingFor()
	faster := slices.DeleteFunc(slices.Clone(able), func(o ableNode) bool { return o.took*clearlyFaster >= pending })
	if len(faster) == 0 && len(able) > 0 {
		s.Logger.Info().Str("event", "hand-over").Str("pool", role).Dur("pending", pending).Dur("probe", able[0].took).
			Str("outcome", "stays").Msg("the store serves no other node clearly faster")
	}
	return faster
}

// handOver asks the nodes that the store serves, the best first, to take a pool over, and reports
// whether one has. If none of the nodes probed together gets a response, the store is down for all
// of them, and whichever node is probed when it recovers would get the pool. So no other nodes are
// probed, and the next check probes the best ones again as long as the store does not respond. A pool
// whose appends are stuck goes only to a node that the store serves clearly faster.
func (s *Manager) handOver(ctx context.Context, v *directory.View, pool string, successors []string) bool {
	stuck := s.isStuck(pool)
	for len(successors) > 0 {
		n := min(len(successors), probesAtOnce)
		able := s.able(ctx, v, successors[:n])
		if stuck && s.resolved(pool) {
			return false
		}
		if stuck {
			able = s.keepFaster(pool, able)
		}
		if s.handOverTo(ctx, v, pool, able) {
			return true
		}
		if len(able) == 0 || ctx.Err() != nil || s.resolved(pool) {
			return false
		}
		successors = successors[n:]
	}
	return false
}

// handOverTo asks nodes that the store serves, one after the other, to take a pool over.
func (s *Manager) handOverTo(ctx context.Context, v *directory.View, pool string, able []ableNode) bool {
	for _, to := range able {
		name, epoch := to.name, s.epoch(pool)
		bounded, cancel := context.WithTimeout(ctx, max(takeOverTimeout, takeOverSteps*to.took))
		o, err := s.RequestTakeOver(bounded, v.Nodes[name], pool, epoch)
		cancel()
		if err == nil {
			s.Directory.Observe(o)
		}
		s.Logger.Info().Str("event", "hand-over").Str("pool", pool).Str("to", name).AnErr("err", err).Msg("pool hand-over attempted")
		if err == nil {
			return true
		}
		s.setUnable(name)
		if ctx.Err() != nil || s.resolved(pool) {
			return false
		}
	}
	return false
}
