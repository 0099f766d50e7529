// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pools

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/platform"
)

// newRebootTest returns a cluster whose process "e" has just written the intent to reboot a rack, a
// decider of that process, and the number of reboot requests by worker; respond returns the
// platform's responses.
func newRebootTest(t *testing.T, respond func() error) (*cluster, *Decider, map[string]int) {
	t.Helper()
	y := newCluster(6, pool("a", 6, 4))
	y.runPlan()
	y.declareMaintenance(100 * time.Hour)
	y.now = y.now.Add(81 * time.Hour)
	y.put(record.Record{Lease: &record.Lease{Role: record.RolePools, TTL: time.Minute}})
	y.runPlan()
	y.reportIdle()
	y.runPlan()
	requests := make(map[string]int)
	d := &Decider{
		Clock: clock.NewFake(y.now).Clock(), Logger: log.Nop(), Name: "e", Incarnation: 1,
		Fleet: platform.Fleet{Reboot: func(_ context.Context, worker string) error {
			requests[worker]++
			return respond()
		}},
		Propose: func(_ context.Context, records []record.Record) ([]state.Verdict, error) {
			return y.put(records...), nil
		},
	}
	return y, d, requests
}

// runDecider does what the decider's loop would do for the newest state.
func runDecider(d *Decider, s state.State) {
	if d.due(s) {
		d.RunOnce(context.Background(), s)
	}
}

// TestRebootAfterTheRoleWasLost checks that the writer of an intent requests the reboot even after
// it has lost the role. No other process may request it, so otherwise the rack would stay drained
// forever and no other rack would be maintained.
func TestRebootAfterTheRoleWasLost(t *testing.T) {
	y, d, requests := newRebootTest(t, func() error { return nil })
	y.now = y.now.Add(2 * time.Minute) // the lease expires
	y.put(record.Record{Submit: &record.Submit{ID: "x"}})
	assert.Assert(t, !d.holds(y.s))
	before := y.s.Offset
	runDecider(d, y.s)
	assert.Assert(t, len(requests) > 0)
	assert.Equal(t, y.s.Offset, before, "it proposes nothing without the role")
}

// TestRefusedRebootIsRequestedAgain checks that a refused reboot is requested again at the next
// run, and one with an unknown outcome is not, since each request that has an effect causes another
// reboot.
func TestRefusedRebootIsRequestedAgain(t *testing.T) {
	refuse := true
	y, d, requests := newRebootTest(t, func() error {
		if refuse {
			return errkind.New(errkind.Overloaded, "later")
		}
		return errkind.New(errkind.OutcomeUnknown, "no response")
	})
	d.RunOnce(context.Background(), y.s)
	refuse = false
	d.RunOnce(context.Background(), y.s)
	d.RunOnce(context.Background(), y.s)
	for worker, n := range requests {
		assert.Equal(t, n, 2, "%s: requested again after the refusal, and not after an unknown outcome", worker)
	}
	assert.Assert(t, len(requests) > 0)
}
