// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package monitor

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/directory"
)

// Monitor probes other nodes; its fields are set before Run.
type Monitor struct {
	Directory *directory.Directory
	Clock     clock.Clock
	Logger    log.Logger
	// Probe asks a node whether it is there; the answer names its life.
	Probe func(ctx context.Context, n directory.Node) (uint64, error)
	// ProbeVia has one node probe another.
	ProbeVia func(ctx context.Context, helper, n directory.Node) error
}

// The pace of probes. A node is missed after two probes in a row that failed and
// a confirmation, about 0.8 s after it has gone silent.
const (
	watched      = 2 // successors that a node probes
	helpers      = 2 // nodes that are asked before one is taken out
	probePeriod  = 250 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
	helpTimeout  = 400 * time.Millisecond
	misses       = 2 // failed probes in a row before others are asked
)

// Run probes until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	failed := make(map[string]int)
	for ctx.Err() == nil {
		if v, _ := m.Directory.View(); v != nil {
			for _, n := range successors(v, m.Directory.Self.Name) {
				m.check(ctx, v, n, failed)
			}
		}
		select {
		case <-m.Clock.After(probePeriod):
		case <-ctx.Done():
		}
	}
}

// successors returns the nodes that follow one by name, in a ring.
func successors(v *directory.View, self string) []directory.Node {
	names := make([]string, 0, len(v.Nodes))
	for name := range v.Nodes {
		if name != self {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	from, _ := slices.BinarySearch(names, self)
	var list []directory.Node
	for i := range min(watched, len(names)) {
		list = append(list, v.Nodes[names[(from+i)%len(names)]])
	}
	return list
}

// check probes a node and takes it out of the directory where it has gone.
func (m *Monitor) check(ctx context.Context, v *directory.View, n directory.Node, failed map[string]int) {
	err := m.there(ctx, n)
	if err == nil {
		delete(failed, n.Name)
		return
	}
	failed[n.Name]++
	m.Logger.Info().Str("event", "node").Str("node", n.Name).Uint64("life", n.Incarnation).Int("misses", failed[n.Name]).Err(err).
		Str("outcome", "missed").Msg("a node does not answer a probe")
	if failed[n.Name] < misses || ctx.Err() != nil {
		return
	}
	delete(failed, n.Name)
	if m.reached(ctx, v, n) || ctx.Err() != nil {
		return
	}
	err = m.Directory.Remove(ctx, n.Name)
	m.Logger.Info().Str("event", "node").Str("node", n.Name).Uint64("life", n.Incarnation).AnErr("err", err).Str("outcome", "gone").
		Msg("a node is not reached by any that was asked and is taken out")
}

// there returns nil where a node answers and is the life that is known.
func (m *Monitor) there(ctx context.Context, n directory.Node) error {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	life, err := m.Probe(bounded, n)
	if err == nil && life != n.Incarnation {
		err = errkind.New(errkind.Gone, "another life of the node answers: %d", life)
	}
	return err
}

// reached reports whether one of some other nodes reaches a node.
func (m *Monitor) reached(ctx context.Context, v *directory.View, n directory.Node) bool {
	var others []directory.Node
	for _, o := range v.Nodes {
		if o.Name != n.Name && o.Name != m.Directory.Self.Name {
			others = append(others, o)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	answers := make(chan error, helpers)
	asked := others[:min(helpers, len(others))]
	bounded, cancel := context.WithTimeout(ctx, helpTimeout)
	defer cancel()
	for _, o := range asked {
		go help{m, o, n, answers}.run(bounded)
	}
	for range asked {
		if <-answers == nil {
			return true
		}
	}
	return false
}

// help is one wish that a node probes another.
type help struct {
	m       *Monitor
	helper  directory.Node
	node    directory.Node
	answers chan<- error
}

// run asks the helper.
func (h help) run(ctx context.Context) { h.answers <- h.m.ProbeVia(ctx, h.helper, h.node) }
