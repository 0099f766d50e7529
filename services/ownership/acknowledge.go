// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"maps"
	"time"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/journal"
)

const (
	// knownAfter is for how long a node must have been registered until owners that don't know it rely on
	// statements no longer: statementsFor, and for how long an entry may have been on its way.
	knownAfter = statementsFor + 10*time.Second
	// acknowledgePeriod is the time between two requests to owners that have not acknowledged this node.
	acknowledgePeriod = time.Second
	// claimRetry is the time until a claim is tried again that was put off.
	claimRetry = 500 * time.Millisecond
)

// process is one process of a node.
type process struct {
	name        string
	incarnation uint64
}

// acknowledgements are the owners that have acknowledged this node since it registered without interruption.
type acknowledgements struct {
	first   uint64    // First of this node's entry, 0 for none
	since   time.Time // since when it has been that
	owners  map[process]bool
	wanted  map[process]bool // owners by their claims that have not acknowledged it, whatever the directory says
	askedAt time.Time        // when owners were last asked
}

// mayReplace returns an error if this node must not replace the last owner of a pool, by its claim. That owner may go
// on without the store as long as the nodes that it knows state that they have not claimed the pool; so this node
// must be one of them, or the owner must have ended.
func (s *Manager) mayReplace(pool string, last journal.Claim) error {
	v, _ := s.Directory.View()
	if age := s.Directory.RequestAge(); v == nil || age > freshFor {
		return errkind.New(errkind.LogUnavailable, "the directory was read %s ago", age)
	}
	self, registered := v.Nodes[s.Directory.Self.Name]
	switch {
	case !registered:
		return errkind.New(errkind.LogUnavailable, "this node is not registered")
	case last.Node == "" || last.Node == self.Name:
		return nil
	case v.Nodes[last.Node].Incarnation > last.Incarnation: // the owner's process has ended
		return nil
	case v.KnownBy(self.Name, readingOf(last)):
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, a := process{last.Node, last.Incarnation}, &s.acknowledged
	if a.first == self.First && (a.owners[owner] || s.Clock.Now().Sub(a.since) >= knownAfter) {
		return nil
	}
	if a.wanted != nil {
		a.wanted[owner], a.askedAt = true, time.Time{}
	}
	read := v.Reading(readingOf(last))
	return errkind.New(errkind.Conflict, "node %s, the owner of pool %s at epoch %d, may not know this node, registered from %d on and %v before: it has read from %d to %d",
		last.Node, pool, last.Epoch, self.First, v.Earlier[self.Name].Periods, read.From, read.Read)
}

// readingOf returns the reading that a process has stated in its claim.
func readingOf(c journal.Claim) directory.Reading {
	return directory.Reading{Node: c.Node, Incarnation: c.Incarnation, From: c.From, Read: c.Read}
}

// requestAcknowledgements asks each owner of a pool that has not acknowledged this node, until this one has been registered
// for knownAfter. A node whose claim has failed after it was persisted is the last owner by the journal only.
func (s *Manager) requestAcknowledgements(ctx context.Context, v *directory.View) {
	self := v.Nodes[s.Directory.Self.Name]
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &s.acknowledged
	if a.first != self.First {
		*a = acknowledgements{first: self.First, since: now, owners: make(map[process]bool), wanted: make(map[process]bool)}
	}
	if s.Ask == nil || a.first == 0 || now.Sub(a.since) >= knownAfter || now.Sub(a.askedAt) < acknowledgePeriod {
		return
	}
	a.askedAt = now
	owners := maps.Clone(a.wanted)
	for _, o := range v.Pools {
		owners[process{o.Node, o.Incarnation}] = true
	}
	for p := range owners {
		if n, registered := v.Nodes[p.name]; registered && n.Incarnation == p.incarnation && p.name != self.Name && !a.owners[p] {
			s.tasks.Add(1)
			go acknowledgement{s, n, a.first}.run(ctx)
		}
	}
}

// acknowledgement is the request to one owner to acknowledge this node.
type acknowledgement struct {
	s     *Manager
	owner directory.Node
	first uint64 // First of this node's entry when it was sent
}

// run sends the request.
func (t acknowledgement) run(ctx context.Context) {
	defer t.s.tasks.Done()
	bounded, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	a, err := t.s.Ask(bounded, t.owner, Question{From: t.s.Directory.Self.Name})
	if err != nil || !a.Knows || a.Node != t.owner.Name || a.Incarnation != t.owner.Incarnation {
		return // the next request is due within acknowledgePeriod
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	if p := (process{t.owner.Name, t.owner.Incarnation}); t.s.acknowledged.first == t.first {
		t.s.acknowledged.owners[p] = true
		delete(t.s.acknowledged.wanted, p)
	}
}
