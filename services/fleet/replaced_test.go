// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

// claimTestRole has a node claim the role for instances; its moves get the response of a function.
func claimTestRole(t *testing.T, w *world.World, node string, move func() error) *Manager {
	t.Helper()
	m := &Manager{
		Journal: &journal.Journal{Partition: port.Partition{Topic: "t"}, Store: w.Store(node), Logger: log.Nop()},
		Logger:  log.Nop(), Limits: Limits{MaintenanceTime: time.Second, HolderLease: 3 * time.Second},
		Instances: port.Instances{Move: func(context.Context, port.Issuer, string, string) error { return move() }},
	}
	assert.NilError(t, m.Claim(t.Context(), node))
	return m
}

// TestNextHolderWaitsForARepeatedOrder guards against two holders that send orders to an instance within the lease
// (ONE): the first attempt of an order gets no response and the second one succeeds. The first may still be carried
// out, so the next holder waits for it although the outcome of the order is known.
func TestNextHolderWaitsForARepeatedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		tries := 0
		m := claimTestRole(t, w, "n1", func() error {
			if tries++; tries == 1 {
				return errkind.New(errkind.OutcomeUnknown, "no response")
			}
			return nil
		})
		m.view.instances = map[string]port.Instance{"i": {Name: "i", Pool: "off", Condition: port.Up}}
		m.view.actions["i"] = &action{instance: "i", from: "off", to: "p", began: time.Now()}
		assert.NilError(t, m.act(t.Context()))
		unknown := time.Now()
		assert.NilError(t, m.act(t.Context()))
		assert.Equal(t, tries, 2)
		next := claimTestRole(t, w, "n2", func() error { return nil })
		assert.Equal(t, len(next.view.actions), 0, "the outcome is known")
		least := time.Until(unknown.Add(unsettled))
		assert.Assert(t, next.wait("i") >= least, "the next holder waits %s, not %s", next.wait("i"), least)
	})
}

// TestNextHolderDoesNotWaitForAnOldAttempt guards against a wait that is of no use: the attempt without a response is
// so old that it can't be carried out any more.
func TestNextHolderDoesNotWaitForAnOldAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		tries := 0
		m := claimTestRole(t, w, "n1", func() error {
			if tries++; tries == 1 {
				return errkind.New(errkind.OutcomeUnknown, "no response")
			}
			return nil
		})
		m.view.instances = map[string]port.Instance{"i": {Name: "i", Pool: "off", Condition: port.Up}}
		m.view.actions["i"] = &action{instance: "i", from: "off", to: "p", began: time.Now()}
		assert.NilError(t, m.act(t.Context()))
		time.Sleep(unsettled)
		assert.NilError(t, m.act(t.Context()))
		next := claimTestRole(t, w, "n2", func() error { return nil })
		assert.Assert(t, next.wait("i") <= m.Limits.HolderLease+orderTransit+intentAge, "%s", next.wait("i"))
	})
}
