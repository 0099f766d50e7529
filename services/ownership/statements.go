// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/directory"
)

// An owner may extend leases only while it has recent evidence that no other node has claimed its pool, since
// the next owner counts on that. The evidence is a response of the store, which refuses an owner that was
// replaced. While the store does not respond, which may be so for all nodes, it is a statement of each node
// that could have claimed the pool:
//
//   - Each node that has been registered since freshFor before the store's last response states that it knows of
//     no later owner and is not claiming the pool. One node that does not respond may be the next owner. A process
//     that has not read the directory makes no statement: an earlier one of its node may have claimed the pool.
//   - A node that this one does not know, as it has registered since the directory was last read, could claim the
//     pool as well. Such a node claims it only once the owner has acknowledged it, is known to have ended, or
//     has relied on statements for statementsFor at most; see mayReplace.
//   - A node claims pools only while its own view of the directory is not older than freshFor, so it knows when it
//     is no longer registered.
//
// A statement counts from when it was requested: what a node does after it has responded is not covered.

// Times of statements.
const (
	// unconfirmedFor is how long the store may not have confirmed an ownership until statements are requested.
	unconfirmedFor = 1200 * time.Millisecond
	// statementPeriod is the time between two requests to a node; it grows with the number of nodes, up to what
	// leaves time for a statement before the one before is too old.
	statementPeriod        = 500 * time.Millisecond
	statementPeriodPerNode = 2 * time.Millisecond
	maxStatementPeriod     = 1200 * time.Millisecond
	// statementTimeout bounds a request.
	statementTimeout = 300 * time.Millisecond
	// statementsFor is for how long after the last response of the store, and after the directory was last read,
	// statements are evidence.
	statementsFor = time.Minute
	// evidenceKept is for how long evidence is not computed anew: an owner needs it for each poll.
	evidenceKept = 100 * time.Millisecond
	// freshFor is the maximum age of the view of the directory by which a node claims pools.
	freshFor = 5 * time.Second
)

// Statement is a node's response to the question whether pools have later owners.
type Statement struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Later names the pools that have a later owner as far as the node knows, or that it is claiming.
	Later []string `json:"later,omitempty"`
	// Knows reports whether the node that asks is registered as far as the node knows.
	Knows bool `json:"knows,omitempty"`
}

// Question asks a node for a statement.
type Question struct {
	From  string            `json:"from"`            // name of the node that asks
	Pools map[string]uint64 `json:"pools,omitempty"` // epochs of the pools that it owns
}

// Statement returns the statement of this node, and an error if it has not read the directory.
func (s *Manager) Statement(q Question) (Statement, error) {
	a := Statement{Node: s.Directory.Self.Name, Incarnation: s.Directory.Self.Incarnation}
	v, _ := s.Directory.View()
	if v == nil {
		return a, errkind.New(errkind.LogUnavailable, "node %s has not read the directory yet", a.Node)
	}
	s.mu.Lock()
	for pool, epoch := range q.Pools {
		if t := s.owned[pool]; s.claiming[pool] || t != nil && t.Epoch() > epoch {
			a.Later = append(a.Later, pool)
		}
	}
	s.mu.Unlock()
	v, _ = s.Directory.View() // with what was observed before a claim ended
	_, a.Knows = v.Nodes[q.From]
	for pool, epoch := range q.Pools {
		if v.Pools[pool].Epoch > epoch && !slices.Contains(a.Later, pool) {
			a.Later = append(a.Later, pool)
		}
	}
	slices.Sort(a.Later)
	return a, nil
}

// statement is the newest statement of a node.
type statement struct {
	requestedAt time.Time
	asked       map[string]uint64
	later       []string
}

// Statements requests statements of other nodes while the store does not confirm the pools of this node. Its
// exported fields are set before Run.
type Statements struct {
	Directory *directory.Directory
	Clock     clock.Clock
	// Unconfirmed returns the epochs of this node's pools whose last confirmation by the store is older than a
	// duration, and when the earliest of these confirmations was requested.
	Unconfirmed func(than time.Duration) (map[string]uint64, time.Time)
	// Ask asks a node.
	Ask func(ctx context.Context, n directory.Node, q Question) (Statement, error)
	// Count increments a counter; nil for none.
	Count func(counter string)

	mu     sync.Mutex
	newest map[string]statement // by node
	kept   map[string]keptEvidence
}

// keptEvidence is the evidence of a pool as computed at a time.
type keptEvidence struct {
	at, confirmed time.Time
	epoch         uint64
	evidence      Evidence
}

// Counters of statements.
const (
	statementReceived = "ownership.statement"
	statementMissing  = "ownership.statement.missing"
)

// Run requests statements until the context ends.
func (s *Statements) Run(ctx context.Context) {
	for ctx.Err() == nil {
		nodes := 0
		if pools, confirmed := s.Unconfirmed(unconfirmedFor); len(pools) > 0 {
			nodes = s.request(ctx, pools, confirmed)
		}
		select {
		case <-s.Clock.After(min(max(statementPeriod, time.Duration(nodes)*statementPeriodPerNode), maxStatementPeriod)):
		case <-ctx.Done():
		}
	}
}

// request asks all nodes that could have claimed the pools, and returns how many these are.
func (s *Statements) request(ctx context.Context, pools map[string]uint64, confirmed time.Time) int {
	bounded, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	nodes := s.Directory.Recent(confirmed.Add(-freshFor))
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(func() { s.ask(bounded, n, pools) })
	}
	group.Wait()
	return len(nodes)
}

// ask requests the statement of one node.
func (s *Statements) ask(ctx context.Context, n directory.Node, pools map[string]uint64) {
	requestedAt := s.Clock.Now()
	a, err := s.Ask(ctx, n, Question{s.Directory.Self.Name, pools})
	if err != nil || a.Node != n.Name { // another node may have the address by now
		s.count(statementMissing)
		return
	}
	s.count(statementReceived)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest == nil {
		s.newest = make(map[string]statement)
	}
	s.newest[n.Name] = statement{requestedAt, pools, a.Later}
}

func (s *Statements) count(counter string) {
	if s.Count != nil {
		s.Count(counter)
	}
}

// Evidence is what is known of a pool's ownership from statements.
type Evidence struct {
	Unclaimed time.Time // as of which no other node had claimed the pool; zero for not known
	Missing   string    // a node that could have claimed it and has made no statement
	Later     string    // one that states that there is a later owner
}

// Lack returns what is missing for evidence that is not too old.
func (e Evidence) Lack() string {
	switch {
	case !e.Unclaimed.IsZero():
		return "statements are too old"
	case e.Later != "":
		return "a node states that there is a later owner"
	case e.Missing != "":
		return "a node has made no statement"
	}
	return "the store or the directory was read too long ago"
}

// Evidence returns what statements show of a pool that this node owns at an epoch, which the store has
// confirmed last at a time.
func (s *Statements) Evidence(pool string, epoch uint64, confirmed time.Time) Evidence {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kept[pool]
	if k.epoch != epoch || !k.confirmed.Equal(confirmed) || now.Sub(k.at) >= evidenceKept {
		k = keptEvidence{now, confirmed, epoch, s.evidence(pool, epoch, confirmed, now)}
		if s.kept == nil {
			s.kept = make(map[string]keptEvidence)
		}
		s.kept[pool] = k
	}
	return k.evidence
}

// evidence computes the evidence of a pool. The lock is held.
func (s *Statements) evidence(pool string, epoch uint64, confirmed, now time.Time) Evidence {
	nodes := s.Directory.Recent(confirmed.Add(-freshFor))
	var e Evidence
	oldest := now
	for _, n := range nodes {
		a, made := s.newest[n.Name]
		asked, about := a.asked[pool]
		switch {
		case !made || !about || asked != epoch:
			e.Missing = n.Name
		case slices.Contains(a.later, pool):
			e.Later = n.Name
		case a.requestedAt.Before(oldest):
			oldest = a.requestedAt
		}
	}
	if e.Missing == "" && e.Later == "" && now.Sub(confirmed) <= statementsFor && s.Directory.RequestAge() <= statementsFor {
		e.Unclaimed = oldest
	}
	return e
}
