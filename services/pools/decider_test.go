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

// rebooting returns a yard whose process "e" has just written the intent to
// reboot a rack, a decider of that process, and how often each worker was asked
// to reboot; answer gives the platform's answers.
func rebooting(t *testing.T, answer func() error) (*yard, *Decider, map[string]int) {
	t.Helper()
	y := newYard(6, pool("a", 6, 4))
	y.step()
	y.maintain(100 * time.Hour)
	y.now = y.now.Add(81 * time.Hour)
	y.put(record.Record{Lease: &record.Lease{Role: record.RolePools, TTL: time.Minute}})
	y.step()
	y.idle()
	y.step()
	asked := make(map[string]int)
	d := &Decider{
		Clock: clock.NewFake(y.now).Clock(), Logger: log.Nop(), Name: "e", Incarnation: 1,
		Fleet: platform.Fleet{Reboot: func(_ context.Context, worker string) error {
			asked[worker]++
			return answer()
		}},
		Propose: func(_ context.Context, records []record.Record) ([]state.Verdict, error) {
			return y.put(records...), nil
		},
	}
	return y, d, asked
}

// act lets the decider do what its loop would do for the newest state.
func act(d *Decider, s state.State) {
	if d.due(s) {
		d.RunOnce(context.Background(), s)
	}
}

// TestRebootAfterTheRoleWasLost: only the writer of an intent may ask for the
// reboot, so it must, whether it still holds the role or not; or the rack stays
// drained, and no other rack is maintained, for ever.
func TestRebootAfterTheRoleWasLost(t *testing.T) {
	y, d, asked := rebooting(t, func() error { return nil })
	y.now = y.now.Add(2 * time.Minute) // the lease lapses
	y.put(record.Record{Submit: &record.Submit{ID: "x"}})
	assert.Assert(t, !d.holds(y.s))
	before := y.s.Offset
	act(d, y.s)
	assert.Assert(t, len(asked) > 0)
	assert.Equal(t, y.s.Offset, before, "it plans nothing without the role")
}

func TestRefusedRebootIsAskedForAgain(t *testing.T) {
	refuse := true
	y, d, asked := rebooting(t, func() error {
		if refuse {
			return errkind.New(errkind.Overloaded, "later")
		}
		return errkind.New(errkind.OutcomeUnknown, "no answer")
	})
	d.RunOnce(context.Background(), y.s)
	refuse = false
	d.RunOnce(context.Background(), y.s)
	d.RunOnce(context.Background(), y.s)
	for worker, n := range asked {
		assert.Equal(t, n, 2, "%s: asked again after the refusal, and not after an unknown outcome", worker)
	}
	assert.Assert(t, len(asked) > 0)
}
