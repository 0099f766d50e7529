// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/services/directory"
)

// A pool must not be handed to a node that the store turns away: to find that out by asking
// it to take the pool over costs most of a second, in which nothing is placed. So nodes are
// first asked whether the store answers them, several at once, and only those that say so are
// asked to take it.

const (
	// offersAtOnce is how many nodes are asked at a time: where the store turns a third of
	// all away, one of six can be reached but for one case in 700.
	offersAtOnce = 6
	// offerTimeout bounds the question where no node is able: one that asks the store anew
	// answers in 10 ms, and on the store's slow days, when pools must be handed over as well,
	// in up to half a second.
	offerTimeout = 800 * time.Millisecond
	// unableFor is for how long a node is not chosen again that could not take a pool over:
	// the store's refusals last for seconds.
	unableFor = 3 * time.Second
)

// offerGrace is how long the others may take once one node has answered that it is able: a
// better one answers in about the same time.
const offerGrace = 40 * time.Millisecond

// offer is a question to a node whether it could take a pool over, and its answer.
type offer struct {
	s       *Manager
	node    directory.Node
	err     error
	answers chan<- *offer
}

// run asks the node.
func (o *offer) run(ctx context.Context) {
	o.err = o.s.ProbeTakeOver(ctx, o.node)
	o.answers <- o
}

// able returns those of some nodes that the store answers, in their order. It does not wait
// for those that are silent once one has answered.
func (s *Manager) able(ctx context.Context, v *directory.View, names []string) []string {
	bounded, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	answers := make(chan *offer, len(names))
	for _, name := range names {
		go (&offer{s: s, node: v.Nodes[name], answers: answers}).run(bounded)
	}
	able, heard := make(map[string]bool), 0
	for heard < len(names) {
		var grace <-chan time.Time
		if len(able) > 0 {
			grace = s.Clock.After(offerGrace)
		}
		select {
		case o := <-answers:
			heard++
			if o.err == nil {
				able[o.node.Name] = true
				continue
			}
			s.Logger.Info().Str("event", "offer").Str("to", o.node.Name).Err(o.err).Str("outcome", "unable").Msg("a node can't take a pool over now")
			s.setUnable(o.node.Name)
		case <-grace:
			heard = len(names)
		}
	}
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !able[name] })
}

// setUnable notes that a node can't take a pool over for now.
func (s *Manager) setUnable(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unable == nil {
		s.unable = make(map[string]time.Time)
	}
	s.unable[name] = s.Clock.Now().Add(unableFor)
}

// isUnable reports whether a node could not take a pool over a moment ago. The lock is held.
func (s *Manager) isUnable(name string, now time.Time) bool { return now.Before(s.unable[name]) }

// heirPatience is how long the nodes that come first for a pool without an owner may take
// until the next one asks whether the store answers them: they take it over in 0.1 s.
const heirPatience = 200 * time.Millisecond

// succession is a question of a pool's heir to those that come before it.
type succession struct {
	s      *Manager
	v      *directory.View
	pool   string
	before []string
}

// run claims the pool where the store answers none of the nodes that come first.
func (q succession) run(ctx context.Context) {
	defer q.s.tasks.Done()
	able := q.s.able(ctx, q.v, q.before)
	q.s.Logger.Info().Str("event", "heir").Str("pool", q.pool).Strs("before", q.before).Strs("able", able).Msg("a pool has no owner, and those that come first are asked for")
	if len(able) == 0 && ctx.Err() == nil {
		q.s.claim(q.pool)
	}
}

// succeed asks the heirs of a pool that come before this node for it, once for each time that
// it has no owner.
func (s *Manager) succeed(ctx context.Context, v *directory.View, pool string, before []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.orphaned[pool]
	if s.asked == nil {
		s.asked = make(map[string]time.Time)
	}
	if s.leaving || s.asked[pool].Equal(since) || s.Clock.Now().Sub(since) < heirPatience {
		return
	}
	s.asked[pool] = since
	s.tasks.Add(1)
	go succession{s, v, pool, before}.run(ctx)
}
