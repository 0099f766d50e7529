// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
	"github.com/yardbridge/yardbridge/standin/world"
)

// TestRefusalAfterUnknownOutcomeKeepsAction guards against an action that is dropped while its
// order may still be carried out. The first attempt gets no response. The second is refused, which
// only means that this attempt has done nothing: the instance's worker stays cordoned, and its slot
// in the wave stays occupied, until the outcome of the first is known.
func TestRefusalAfterUnknownOutcomeKeepsAction(t *testing.T) {
	for _, refusal := range []errkind.Kind{errkind.LogUnavailable, errkind.Conflict} {
		w := world.New(1)
		m := &Manager{
			Journal: &journal.Journal{Partition: port.Partition{Topic: "t"}, Store: w.Store("n1"), Logger: log.Nop()},
			Clock:   clock.Clock{}, Logger: log.Nop(), Limits: Limits{MaintenanceTime: time.Second, HolderLease: time.Second},
			Config: func() *config.Config { return nil }, Waves: func() []wave.Wave { return nil },
		}
		tries := 0
		m.Instances.Maintain = func(context.Context, port.Issuer, string, int) error {
			tries++
			if tries == 1 {
				return errkind.New(errkind.OutcomeUnknown, "no response")
			}
			return errkind.New(refusal, "not done")
		}
		assert.NilError(t, m.Claim(t.Context(), "n1"))
		m.view.instances = map[string]port.Instance{"i": {Name: "i", Pool: "p", Condition: port.Up}}
		m.view.actions["i"] = &action{instance: "i", from: "p", wave: 1, began: time.Now()}
		assert.NilError(t, m.act(t.Context()))
		assert.NilError(t, m.act(t.Context()))
		assert.Equal(t, tries, 2)
		assert.Assert(t, m.view.actions["i"] != nil, "%s: the action of an order that may still be carried out is removed", refusal)
	}
}

// TestOrdersGoOutOnASlowStore guards against orders that are postponed forever. In a surge the
// store takes 70 times as long as typical, so that an intent is persisted after 0.6 s. Its order
// goes out all the same, and the next holder waits from the latest time at which it could have been
// sent.
func TestOrdersGoOutOnASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const storeLatency = 600 * time.Millisecond
		w := world.New(1)
		ordered := time.Time{}
		claim := func(node string) *Manager {
			m := &Manager{
				Journal: &journal.Journal{Partition: port.Partition{Topic: "t"}, Store: w.Store(node), Logger: log.Nop()},
				Logger:  log.Nop(), Limits: Limits{MaintenanceTime: time.Second, HolderLease: 3 * time.Second},
				Instances: port.Instances{Move: func(context.Context, port.Issuer, string, string) error {
					ordered = time.Now()
					return errkind.New(errkind.OutcomeUnknown, "no response")
				}},
			}
			assert.NilError(t, m.Claim(t.Context(), node))
			return m
		}
		m := claim("n1")
		m.view.instances = map[string]port.Instance{"i": {Name: "i", Pool: "off", Condition: port.Up}}
		w.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = storeLatency })
		for range 2 { // the first append shows how slow the store is
			m.view.actions["i"] = &action{instance: "i", from: "off", to: "p", began: time.Now()}
			assert.NilError(t, m.act(t.Context()))
		}
		assert.Assert(t, !ordered.IsZero(), "no order was sent")
		next := claim("n2")
		least := time.Until(ordered.Add(unsettled - storeLatency))
		assert.Assert(t, next.wait("i") >= least, "the next holder waits %s, not %s", next.wait("i"), least)
	})
}

// TestNextHolderWaitsWhateverTheTimeOfDay guards against two holders that send orders to an instance
// within the lease (ONE). The clock of the first was set back or forward by seconds, so that its
// intent seems older or younger than it is.
func TestNextHolderWaitsWhateverTheTimeOfDay(t *testing.T) {
	for _, step := range []time.Duration{0, -6 * time.Second, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			w := world.New(1)
			claim := func(node string, now func() time.Time) *Manager {
				m := &Manager{
					Journal: &journal.Journal{Partition: port.Partition{Topic: "t"}, Store: w.Store(node), Logger: log.Nop()},
					Logger:  log.Nop(), Limits: Limits{MaintenanceTime: time.Second, HolderLease: 3 * time.Second}, Clock: clock.Clock{NowFunc: now},
					Instances: port.Instances{Move: func(context.Context, port.Issuer, string, string) error { return nil }},
				}
				assert.NilError(t, m.Claim(t.Context(), node))
				return m
			}
			m := claim("n1", func() time.Time { return time.Now().Add(step) })
			m.view.instances = map[string]port.Instance{"i": {Name: "i", Pool: "off", Condition: port.Up}}
			m.view.actions["i"] = &action{instance: "i", from: "off", to: "p", began: time.Now()}
			assert.NilError(t, m.act(t.Context()))
			ordered := time.Now()
			verify := func(n *Manager) {
				wait, least := n.wait("i"), time.Until(ordered.Add(m.Limits.HolderLease))
				assert.Assert(t, wait >= least, "clock set by %s: %s waits %s, not %s", step, n.Node, wait, least)
				assert.Assert(t, wait <= max(least, 0)+orderTransit+intentAge+100*time.Millisecond, "clock set by %s: %s waits %s, not %s", step, n.Node, wait, least)
			}
			verify(claim("n2", time.Now))
			m = claim("n1", func() time.Time { return time.Now().Add(-step) })
			time.Sleep(time.Second)
			assert.NilError(t, m.append(t.Context(), nil)) // as without orders
			verify(claim("n3", time.Now))
		})
	}
}

// TestRejectedMoveOfAGoneInstance guards against a pool that gets no instance any more (LOST): the platform rejects an
// order in the same way if the instance is gone and if the pool doesn't accept its kind, and the kind was kept from the
// pool for good. It is only while the instance is listed.
func TestRejectedMoveOfAGoneInstance(t *testing.T) {
	for name, c := range map[string]struct {
		listed []string // after the order was rejected
		want   int      // moves to the pool
	}{
		"the instance is listed no more": {[]string{"other"}, 1},
		"the instance is listed":         {[]string{"first", "other"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m := &Manager{
				Journal: &journal.Journal{Partition: port.Partition{Topic: "t"}, Store: world.New(1).Store("n1"), Logger: log.Nop()}, Logger: log.Nop(),
			}
			m.Instances.Move = func(context.Context, port.Issuer, string, string) error {
				return errkind.New(errkind.NotFound, "no such instance, or the pool does not accept it")
			}
			assert.NilError(t, m.Claim(t.Context(), "n1"))
			m.view.headroom, m.view.pools["p"] = "off", &poolState{report: scheduler.Report{MinWorkers: 1}}
			m.listOff("first")
			assert.Equal(t, len(m.view.plan()), 1)
			assert.NilError(t, m.act(t.Context()))
			m.listOff(c.listed...)
			for range 2 {
				assert.Equal(t, len(m.view.plan()), c.want)
				clear(m.view.actions)
			}
		})
	}
}

// listOff lists instances of one kind that are off.
func (m *Manager) listOff(names ...string) {
	m.view.instances = make(map[string]port.Instance)
	for _, name := range names {
		m.view.instances[name] = port.Instance{Name: name, Pool: "off", Condition: port.Up, Labels: []string{"a", "r-0"}, Capacity: fleetSize}
	}
}

// TestPoolWithoutASourceHoldsUpNoOther guards against pools that get no instances (LOST) while others are off: the pool
// that lacks most takes instances of another kind, of which there is none.
func TestPoolWithoutASourceHoldsUpNoOther(t *testing.T) {
	m := &Manager{Journal: &journal.Journal{Partition: port.Partition{Topic: "t"}, Store: world.New(1).Store("n1"), Logger: log.Nop()}, Logger: log.Nop()}
	assert.NilError(t, m.Claim(t.Context(), "n1"))
	m.view.headroom = "off"
	m.view.pools["p"] = &poolState{report: scheduler.Report{MinWorkers: 9}}
	m.view.pools["q"] = &poolState{report: scheduler.Report{MinWorkers: 2}}
	m.view.barred[barredMove{"a", "p"}] = "first"
	m.listOff("first", "second", "third")
	moves := 0
	for _, a := range m.view.plan() {
		assert.Equal(t, a.to, "q")
		moves++
	}
	assert.Equal(t, moves, 3)
}
