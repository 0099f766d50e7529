// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/services/directory"
)

// A pool must not be handed over to a node that the store refuses: a failing take-over takes most
// of a second, in which the pool places nothing. So several nodes at once are first probed for
// whether the store responds to them, and only those that succeed are asked to take the pool over.

const (
	// probesAtOnce is how many nodes are probed at a time. If the store refuses a third of all
	// nodes, at least one of six is served except in one case in 700.
	probesAtOnce = 6
	// probeTimeout bounds the probes if no node succeeds. A node that queries the store gets a
	// response within 10 ms, or within up to half a second when the store is slow, which is when
	// pools must be handed over as well.
	probeTimeout = 800 * time.Millisecond
	// unableFor is how long a node that could not take a pool over is not chosen again: the store
	// refuses a node for seconds.
	unableFor = 3 * time.Second
)

// probeGrace is how long the other nodes may take once one node has succeeded: a better node
// responds in about the same time.
const probeGrace = 40 * time.Millisecond

// probe is the request to a node to check whether it could take a pool over, and its result.
type probe struct {
	s       *Manager
	node    directory.Node
	took    time.Duration
	err     error
	results chan<- *probe
}

// run sends the request.
func (o *probe) run(ctx context.Context) {
	o.took, o.err = o.s.ProbeTakeOver(ctx, o.node)
	o.results <- o
}

// ableNode is a node that the store serves.
type ableNode struct {
	name string
	took time.Duration // the store's response to it
}

// able returns those of the given nodes that the store serves, in the same order. It does not wait
// for unresponsive nodes once one has succeeded.
func (s *Manager) able(ctx context.Context, v *directory.View, names []string) []ableNode {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan *probe, len(names))
	for _, name := range names {
		go (&probe{s: s, node: v.Nodes[name], results: results}).run(bounded)
	}
	took, received := make(map[string]time.Duration), 0
	for received < len(names) {
		var grace <-chan time.Time
		if len(took) > 0 {
			grace = s.Clock.After(probeGrace)
		}
		select {
		case o := <-results:
			received++
			if o.err == nil {
				took[o.node.Name] = o.took
				continue
			}
			s.Logger.Info().Str("event", "offer").Str("to", o.node.Name).Err(o.err).Str("outcome", "unable").Msg("a node can't take a pool over now")
			s.setUnable(o.node.Name)
		case <-grace:
			received = len(names)
		}
	}
	var able []ableNode
	for _, name := range names {
		if d, is := took[name]; is {
			able = append(able, ableNode{name, d})
		}
	}
	return able
}

// setUnable records that a node can't take a pool over for now.
func (s *Manager) setUnable(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unable == nil {
		s.unable = make(map[string]time.Time)
	}
	s.unable[name] = s.Clock.Now().Add(unableFor)
}

// isUnable reports whether a node could not take a pool over recently. The lock is held.
func (s *Manager) isUnable(name string, now time.Time) bool { return now.Before(s.unable[name]) }

// successorWait is how long the first successors of a pool without an owner may take until the next
// one probes whether the store serves them: a take-over takes 0.1 s.
const successorWait = 200 * time.Millisecond

// succession probes the successors of a pool that precede this node.
type succession struct {
	s         *Manager
	v         *directory.View
	pool      string
	preceding []string
}

// run claims the pool if the store serves none of the preceding nodes.
func (q succession) run(ctx context.Context) {
	defer q.s.tasks.Done()
	able := q.s.able(ctx, q.v, q.preceding)
	q.s.Logger.Info().Str("event", "heir").Str("pool", q.pool).Strs("before", q.preceding).Int("able", len(able)).Msg("a pool has no owner; the preceding successors were probed")
	if len(able) == 0 && ctx.Err() == nil {
		q.s.claim(q.pool, 0)
	}
}

// probePreceding probes the successors of a pool that precede this node, once each time the pool
// loses its owner.
func (s *Manager) probePreceding(ctx context.Context, v *directory.View, pool string, before []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.unowned[pool]
	if s.probed == nil {
		s.probed = make(map[string]time.Time)
	}
	if s.leaving || s.probed[pool].Equal(since) || s.Clock.Now().Sub(since) < successorWait {
		return
	}
	s.probed[pool] = since
	s.tasks.Add(1)
	go succession{s, v, pool, before}.run(ctx)
}
