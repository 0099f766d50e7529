// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/standin/world"
)

// registered is a node that is registered in the directory of a model.
type registered struct {
	*directory.Directory
	leave func() // ends the node, which stays registered
}

// register registers a process of a node.
func register(t *testing.T, w *world.World, name string, incarnation uint64) registered {
	ctx, cancel := context.WithCancel(t.Context())
	d := &directory.Directory{Store: w.Store(name), Logger: log.Nop(), Self: directory.Node{Name: name, Address: name, Incarnation: incarnation}}
	go d.Run(ctx)
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
	v, _ := d.View()
	assert.Equal(t, v.Nodes[name].Incarnation, incarnation)
	return registered{d, cancel}
}

// TestStatementsOfAllNodesAreEvidence guards against an owner that extends leases without the store although
// another node may have claimed its pool: one that responds to others only, that is no longer registered as far
// as the owner has read, that is claiming the pool, or another one that responds at an earlier node's address.
func TestStatementsOfAllNodesAreEvidence(t *testing.T) {
	clean := func(n string) (Statement, error) { return Statement{Node: n}, nil }
	silent := func(string) (Statement, error) {
		return Statement{}, errkind.New(errkind.OutcomeUnknown, "no response")
	}
	for _, c := range []struct {
		name    string
		third   func(n string) (Statement, error) // what the third node states
		removed time.Duration                     // for how long the third node has been removed when the store responds last
		states  bool                              // whether the owner has stated since then which nodes it remembers
		epoch   uint64
		holds   bool
	}{
		{name: "all state that they have not claimed it", third: clean, epoch: 4, holds: true},
		{name: "one does not respond", third: silent, epoch: 4},
		{name: "one states a later owner", third: func(n string) (Statement, error) { return Statement{Node: n, Later: []string{"p"}}, nil }, epoch: 4},
		{name: "another node responds at its address", third: func(string) (Statement, error) { return Statement{Node: "other"}, nil }, epoch: 4},
		{name: "the statements are of an earlier ownership", third: clean, epoch: 5},
		{name: "one was removed just before", third: silent, removed: freshFor / 2, epoch: 4},
		{name: "one was removed just before, and the owner has stated what it remembers", third: silent, removed: freshFor / 2, states: true, epoch: 4},
		{name: "one was removed long before, which the owner has not stated", third: silent, removed: 2 * freshFor, epoch: 4},
		{name: "one was removed long before", third: silent, removed: 2 * freshFor, states: true, epoch: 4, holds: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := world.New(1)
				own := register(t, w, "n1", 1)
				register(t, w, "n2", 1)
				third := register(t, w, "n3", 1)
				time.Sleep(time.Second)
				if c.removed > 0 {
					third.leave()
					assert.NilError(t, own.Remove(t.Context(), "n3"))
					time.Sleep(c.removed)
				}
				if c.states {
					r, _ := own.DueReading(0)
					assert.NilError(t, own.PublishReading(t.Context(), r))
					time.Sleep(100 * time.Millisecond)
				}
				confirmed := time.Now()
				s := &Statements{Directory: own.Directory, Unconfirmed: func(than time.Duration) (map[string]uint64, time.Time) {
					if time.Since(confirmed) <= than {
						return nil, confirmed
					}
					return map[string]uint64{"p": 4}, confirmed
				}}
				s.Ask = func(_ context.Context, n directory.Node, q Question) (Statement, error) {
					assert.Equal(t, q.From, "n1")
					if n.Name == "n3" {
						return c.third(n.Name)
					}
					return clean(n.Name)
				}
				go s.Run(t.Context())
				assert.Assert(t, s.Evidence("p", c.epoch, confirmed).Unclaimed.IsZero(), "there are no statements yet")
				time.Sleep(10 * time.Second)
				e := s.Evidence("p", c.epoch, confirmed)
				assert.Equal(t, !e.Unclaimed.IsZero(), c.holds, "%+v", e)
				if c.holds {
					assert.Assert(t, time.Since(e.Unclaimed) <= statementPeriod+statementTimeout, "%s", time.Since(e.Unclaimed))
				}
				w.SetFaults("n1", func(f *world.Faults) { f.StoreUnresponsive = true })
				time.Sleep(statementsFor + 10*time.Second)
				e = s.Evidence("p", c.epoch, confirmed)
				assert.Assert(t, e.Unclaimed.IsZero(), "the directory was read too long ago: %+v", e)
			})
		})
	}
}

// TestStatementsCountFromTheirRequests guards against evidence that covers the time in which a response was on its
// way: the node may have claimed the pool after it had responded.
func TestStatementsCountFromTheirRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		own := register(t, w, "n1", 1)
		register(t, w, "n2", 1)
		time.Sleep(time.Second)
		confirmed := time.Now()
		var sentAt time.Time
		s := &Statements{Directory: own.Directory}
		s.Ask = func(_ context.Context, n directory.Node, _ Question) (Statement, error) {
			sentAt = time.Now()
			time.Sleep(statementTimeout - time.Millisecond)
			return Statement{Node: n.Name}, nil
		}
		assert.Equal(t, s.request(t.Context(), map[string]uint64{"p": 4}, confirmed), 1)
		assert.Equal(t, s.Evidence("p", 4, confirmed).Unclaimed, sentAt)
	})
}

// statementOf returns what a node states.
func statementOf(t *testing.T, s *Manager, q Question) Statement {
	a, err := s.Statement(q)
	assert.NilError(t, err)
	return a
}

// TestStatementCoversClaims guards against a node that states that it has not claimed a pool while its claim is on
// its way, or after it has lost the pool again to a later owner.
func TestStatementCoversClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		s := &Manager{Directory: register(t, w, "n1", 1).Directory}
		ask := Question{From: "n2", Pools: map[string]uint64{"p": 4}}
		assert.Equal(t, len(statementOf(t, s, ask).Later), 0)
		s.claiming = map[string]bool{"p": true}
		assert.DeepEqual(t, statementOf(t, s, ask).Later, []string{"p"})
		s.claiming = nil
		s.owned = map[string]*RoleRunner{"p": {Epoch: func() uint64 { return 3 }}}
		assert.Equal(t, len(statementOf(t, s, ask).Later), 0, "it was replaced by the node that asks")
		s.owned = map[string]*RoleRunner{"p": {Epoch: func() uint64 { return 5 }}}
		assert.DeepEqual(t, statementOf(t, s, ask).Later, []string{"p"})
		s.owned = nil
		s.Directory.Observe(directory.Ownership{Pool: "p", Epoch: 6, Node: "n3", Incarnation: 1})
		assert.DeepEqual(t, statementOf(t, s, ask).Later, []string{"p"})
		assert.Assert(t, !statementOf(t, s, ask).Knows)
		register(t, w, "n2", 1)
		time.Sleep(time.Second)
		assert.Assert(t, statementOf(t, s, ask).Knows)
	})
}

// TestProcessWithoutDirectoryMakesNoStatement guards against a process that has just started and states that no node
// has claimed a pool, which an earlier process of its own node has.
func TestProcessWithoutDirectoryMakesNoStatement(t *testing.T) {
	s := &Manager{Directory: &directory.Directory{Store: world.New(1).Store("n1"), Self: directory.Node{Name: "n1"}}}
	_, err := s.Statement(Question{From: "n2", Pools: map[string]uint64{"p": 4}})
	assert.Assert(t, errkind.Is(err, errkind.LogUnavailable), "%v", err)
}

// TestEndedClaimIsStated guards against a node that no longer states its claim once it has ended, while that is not
// published yet.
func TestEndedClaimIsStated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		ended := errkind.New(errkind.Fenced, "another node has the pool")
		s := &Manager{Directory: register(t, w, "n1", 1).Directory, Logger: log.Nop(), running: t.Context()}
		s.Config = func() *config.Config { return config.New(1, nil, []config.Pool{{Name: "p"}}, config.Limits{}) }
		s.Roles = func(*config.Config) []string { return []string{"p"} }
		s.Open = func(string, int) *RoleRunner {
			return &RoleRunner{
				Claim: func(context.Context, string) error {
					w.SetFaults("n1", func(f *world.Faults) { f.StoreUnresponsive = true })
					return nil
				},
				Run: func(context.Context) error { return ended }, Epoch: func() uint64 { return 5 }, Done: func() <-chan struct{} { return nil },
			}
		}
		s.claim("p", 0)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, len(s.Owned()), 0)
		assert.DeepEqual(t, statementOf(t, s, Question{From: "n2", Pools: map[string]uint64{"p": 4}}).Later, []string{"p"})
	})
}

// TestNodeUnknownToTheOwnerWaits guards against a new node that claims a pool whose owner goes on without the
// store, on statements of the nodes that it knows: the owner does not know the new one.
func TestNodeUnknownToTheOwnerWaits(t *testing.T) {
	type step func(t *testing.T, w *world.World, s *Manager, owner registered)
	answer := func(change func(a *Statement)) step {
		return func(_ *testing.T, _ *world.World, s *Manager, owner registered) {
			s.Ask = func(context.Context, directory.Node, Question) (Statement, error) {
				a := Statement{Node: owner.Self.Name, Incarnation: owner.Self.Incarnation, Knows: true}
				change(&a)
				return a, nil
			}
		}
	}
	acknowledge := answer(func(*Statement) {})
	remove := func(t *testing.T, _ *world.World, s *Manager, _ registered) {
		s.Ask = nil
		assert.NilError(t, s.Directory.Remove(t.Context(), s.Directory.Self.Name))
	}
	restartOwner := func(t *testing.T, w *world.World, _ *Manager, owner registered) {
		owner.leave()
		register(t, w, owner.Self.Name, owner.Self.Incarnation+1)
	}
	cutFromStore := func(_ *testing.T, w *world.World, _ *Manager, _ registered) {
		w.SetFaults("n2", func(f *world.Faults) { f.StoreUnresponsive = true })
		time.Sleep(2 * freshFor)
	}
	wait := func(*testing.T, *world.World, *Manager, registered) { time.Sleep(knownAfter) }
	const all = 1 << 20 // an offset after all records
	for _, c := range []struct {
		name  string
		steps []step
		last  journal.Claim
		may   bool
	}{
		{"there is no owner", nil, journal.Claim{}, true},
		{"it is not acknowledged", nil, journal.Claim{Epoch: 1, Node: "n1", Incarnation: 1}, false},
		{"the owner acknowledges it", []step{acknowledge}, journal.Claim{Epoch: 1, Node: "n1", Incarnation: 1}, true},
		{"the owner does not know it", []step{answer(func(a *Statement) { a.Knows = false })}, journal.Claim{Epoch: 1, Node: "n1", Incarnation: 1}, false},
		{"another process responds", []step{answer(func(a *Statement) { a.Incarnation++ })}, journal.Claim{Epoch: 1, Node: "n1", Incarnation: 1}, false},
		{"another owner has acknowledged it", []step{acknowledge}, journal.Claim{Epoch: 2, Node: "n3", Incarnation: 1}, false},
		{"it was removed since it was acknowledged", []step{acknowledge, remove}, journal.Claim{Epoch: 1, Node: "n1", Incarnation: 1}, false},
		{"the owner had read its entry", nil, journal.Claim{Epoch: 1, Node: "n1", Incarnation: 1, Read: all}, true},
		{"it was removed since the owner had read its entry", []step{remove}, journal.Claim{Epoch: 1, Node: "n1", Incarnation: 1, Read: 2}, false},
		{"the owner has restarted", []step{restartOwner}, journal.Claim{Epoch: 1, Node: "n1", Incarnation: 1}, true},
		{"it was the owner itself", nil, journal.Claim{Epoch: 1, Node: "n2", Incarnation: 1}, true},
		{"it is acknowledged, but has not read the directory", []step{acknowledge, cutFromStore}, journal.Claim{Epoch: 1, Node: "n1", Incarnation: 1}, false},
		{"it has been registered for long", []step{wait}, journal.Claim{Epoch: 1, Node: "n1", Incarnation: 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := world.New(1)
				owner := register(t, w, "n1", 1)
				s := &Manager{Directory: register(t, w, "n2", 7).Directory, Logger: log.Nop()}
				s.Directory.Observe(directory.Ownership{Pool: "p", Epoch: 1, Node: "n1", Incarnation: 1})
				settle := func() {
					for range 4 {
						v, _ := s.Directory.View()
						s.requestAcknowledgements(t.Context(), v)
						time.Sleep(acknowledgePeriod)
						synctest.Wait()
					}
				}
				settle()
				for _, do := range c.steps {
					do(t, w, s, owner)
					settle()
				}
				err := s.mayReplace("p", c.last)
				assert.Equal(t, err == nil, c.may, "%v", err)
			})
		})
	}
}

// TestOwnerByItsClaimAloneIsAsked guards against a pool that stays without an owner: a node whose claim has failed after
// it was persisted is the last owner by the journal, but not by the directory, and a node that has registered since
// is refused until that one has acknowledged it.
func TestOwnerByItsClaimAloneIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		register(t, w, "n1", 1)
		s := &Manager{Directory: register(t, w, "n2", 1).Directory, Logger: log.Nop()}
		s.Ask = func(_ context.Context, n directory.Node, _ Question) (Statement, error) {
			return Statement{Node: n.Name, Incarnation: n.Incarnation, Knows: true}, nil
		}
		last := journal.Claim{Epoch: 3, Node: "n1", Incarnation: 1}
		ask := func() {
			v, _ := s.Directory.View()
			s.requestAcknowledgements(t.Context(), v)
			synctest.Wait()
		}
		ask()
		assert.Assert(t, s.mayReplace("p", last) != nil)
		ask()
		assert.NilError(t, s.mayReplace("p", last))
	})
}

// TestRestartedNodeStaysKnown guards against a fleet without owners after restarts of all nodes one of which does
// not come back: a node that starts again under its name, and again, is known to the owner that has ended.
func TestRestartedNodeStaysKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		owner := register(t, w, "n1", 1)
		n := register(t, w, "n2", 2)
		time.Sleep(time.Second)
		v, _ := owner.View()
		last := journal.Claim{Epoch: 1, Node: "n1", Incarnation: 1, Read: v.End}
		owner.leave()
		for incarnation := range uint64(3) {
			n.leave()
			n = register(t, w, "n2", 3+incarnation)
		}
		s := &Manager{Directory: n.Directory, Logger: log.Nop()}
		assert.NilError(t, s.mayReplace("p", last))
	})
}
