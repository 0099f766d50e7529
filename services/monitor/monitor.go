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
	// Probe probes a node; the response contains its incarnation.
	Probe func(ctx context.Context, n directory.Node) (uint64, error)
	// ProbeVia makes one node probe another.
	ProbeVia func(ctx context.Context, helper, n directory.Node) error

	restarted map[string]time.Time // since when another incarnation of a node responds
}

// The timing of probes. A failed node is detected after two failed probes in a row and a
// confirmation, about 0.8 s after it became unresponsive.
const (
	watchedSuccessors = 2 // successors that a node probes
	helpers           = 2 // nodes that probe a node before it is removed
	probePeriod       = 250 * time.Millisecond
	probeTimeout      = 250 * time.Millisecond
	helpTimeout       = 400 * time.Millisecond
	maxMisses         = 2 // failed probes in a row before helpers probe the node

	// How long a node that has started again may take to register, by the number of nodes: an append to
	// the directory takes 4 ms.
	registrationTime        = 3 * time.Second
	registrationTimePerNode = 5 * time.Millisecond
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

// successors returns the nodes that follow a node by name, in a ring.
func successors(v *directory.View, self string) []directory.Node {
	following := func(a, b string) bool { // whether a comes before b on the way from self
		if (a > self) != (b > self) {
			return a > self
		}
		return a < b
	}
	names := make([]string, 0, watchedSuccessors+1) // the first ones, in order
	for name := range v.Nodes {
		at := len(names)
		for at > 0 && following(name, names[at-1]) {
			at--
		}
		if name != self && at < watchedSuccessors {
			names = slices.Insert(names, at, name)
			names = names[:min(len(names), watchedSuccessors)]
		}
	}
	list := make([]directory.Node, 0, len(names))
	for _, name := range names {
		list = append(list, v.Nodes[name])
	}
	return list
}

// check probes a node and removes it from the directory if it is gone.
func (m *Monitor) check(ctx context.Context, v *directory.View, n directory.Node, failed map[string]int) {
	err := m.probe(ctx, n)
	if err == nil || m.mayRegister(v, n, err) {
		delete(failed, n.Name)
		return
	}
	failed[n.Name]++
	m.Logger.Info().Str("event", "node").Str("node", n.Name).Uint64("life", n.Incarnation).Int("misses", failed[n.Name]).Err(err).
		Str("outcome", "missed").Msg("node does not respond to a probe")
	if failed[n.Name] < maxMisses || ctx.Err() != nil {
		return
	}
	delete(failed, n.Name)
	if m.reachable(ctx, v, n) || ctx.Err() != nil {
		return
	}
	err = m.Directory.Remove(ctx, n.Name)
	m.Logger.Info().Str("event", "node").Str("node", n.Name).Uint64("life", n.Incarnation).AnErr("err", err).Str("outcome", "gone").
		Msg("no helper reaches the node; it is removed from the directory")
}

// mayRegister reports whether a failed probe shows that a node has just started again and may still
// register: where many nodes start together, their registrations wait for each other at the store.
func (m *Monitor) mayRegister(v *directory.View, n directory.Node, err error) bool {
	if !errkind.Is(err, errkind.Gone) {
		delete(m.restarted, n.Name)
		return false
	}
	now := m.Clock.Now()
	if m.restarted == nil {
		m.restarted = make(map[string]time.Time)
	}
	if m.restarted[n.Name].IsZero() {
		m.restarted[n.Name] = now
	}
	return now.Sub(m.restarted[n.Name]) < registrationTime+time.Duration(len(v.Nodes))*registrationTimePerNode
}

// probe returns nil if a node responds and is the known incarnation.
func (m *Monitor) probe(ctx context.Context, n directory.Node) error {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	incarnation, err := m.Probe(bounded, n)
	if err == nil && incarnation == n.Incarnation {
		delete(m.restarted, n.Name)
	}
	if err == nil && incarnation != n.Incarnation {
		err = errkind.New(errkind.Gone, "another incarnation of the node responds: %d", incarnation)
	}
	return err
}

// reachable reports whether any of some other nodes reaches a node.
func (m *Monitor) reachable(ctx context.Context, v *directory.View, n directory.Node) bool {
	var others []directory.Node
	for _, o := range v.Nodes {
		if o.Name != n.Name && o.Name != m.Directory.Self.Name {
			others = append(others, o)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	results := make(chan error, helpers)
	selected := others[:min(helpers, len(others))]
	bounded, cancel := context.WithTimeout(ctx, helpTimeout)
	defer cancel()
	for _, o := range selected {
		go helperProbe{m, o, n, results}.run(bounded)
	}
	for range selected {
		if <-results == nil {
			return true
		}
	}
	return false
}

// helperProbe is a request to a node to probe another one.
type helperProbe struct {
	m       *Monitor
	helper  directory.Node
	node    directory.Node
	results chan<- error
}

// run sends the request to the helper.
func (h helperProbe) run(ctx context.Context) { h.results <- h.m.ProbeVia(ctx, h.helper, h.node) }
