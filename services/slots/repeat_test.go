// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/modules/clock"
)

// granted returns the worker of a waiter's slot, empty where it has none yet.
func granted(w *waiter) string {
	select {
	case s := <-w.grant:
		return s.worker
	default:
		return ""
	}
}

// repeat makes a request wait that has just failed on a target.
func repeat(t *testing.T, n *network, h *Holder, failedOn string) *waiter {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	w, err := h.enqueue(h.pool("p"), AcquireRequest{
		Pool: "p", Class: manifest.Interactive, Deadline: n.clock.Now().Add(testDeadline), Limit: 1000, Avoid: failedOn,
	})
	assert.NilError(t, err)
	return w
}

// firstSlot returns a network of one entry, which holds a single slot: it has
// borrowed that for its first request, on w0.
func firstSlot(t *testing.T) (*network, *node) {
	t.Helper()
	n := newNetwork(1)
	d := n.nodes["e0"]
	n.catchUp(d, len(n.log))
	d.want()
	n.exchange(d, "e0")
	d.collect()
	assert.Equal(t, len(d.used), 1)
	assert.Equal(t, d.used[0].worker, "w0")
	return n, d
}

// TestRepeatWaitsForTheSlotOfAnotherTarget: the slot on which a request has
// failed may come back before the owner has been asked for one of another
// target; the repeat leaves it to others.
func TestRepeatWaitsForTheSlotOfAnotherTarget(t *testing.T) {
	n, d := firstSlot(t)
	w := repeat(t, n, d.holder, "w0")
	d.used[0].Release()
	assert.Equal(t, granted(w), "", "no owner has been asked yet")
	n.exchange(d, "e0")
	assert.Equal(t, granted(w), "w1")
}

// TestRepeatHoldsUpNobody: the slot that a repeat leaves to others serves the
// next request, before it waits and while it does.
func TestRepeatHoldsUpNobody(t *testing.T) {
	n, d := firstSlot(t)
	w := repeat(t, n, d.holder, "w0")
	plain, err := ask(n, d.holder, manifest.Interactive)
	assert.NilError(t, err)
	d.used[0].Release()
	assert.Equal(t, granted(plain), "w0")
	assert.Equal(t, granted(w), "")
	n.exchange(d, "e0")
	assert.Equal(t, granted(w), "w1")
}

// TestRepeatTakesTheFailedTargetWhereNoOtherMayCome: the owner has no other
// target's slot to lend, or there is no other target.
func TestRepeatTakesTheFailedTargetWhereNoOtherMayCome(t *testing.T) {
	for name, leave := range map[string][]string{
		"no other target":        {"w1", "w2"},
		"the owner has lent all": nil,
	} {
		t.Run(name, func(t *testing.T) {
			n, d := firstSlot(t)
			d.holder.MarkLeaving(leave)
			if leave == nil {
				for _, worker := range []string{"w1", "w2"} {
					d.lender.owned[worker].lent[holderKey{"e1", 1}] = testSlots
				}
			}
			w := repeat(t, n, d.holder, "w0")
			d.used[0].Release()
			n.exchange(d, "e0")
			assert.Equal(t, granted(w), "w0")
		})
	}
}

// TestRepeatWaitsAWhileOnly: an owner that does not answer keeps a repeat from
// the one idle slot for a part of its time.
func TestRepeatWaitsAWhileOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := firstSlot(t)
		d.holder.Clock = clock.Clock{} // of the bubble
		d.used[0].Release()
		begun := time.Now()
		s, err := d.holder.Acquire(t.Context(), AcquireRequest{
			Pool: "p", Class: manifest.Interactive, Deadline: begun.Add(testDeadline), Limit: 1000, Avoid: "w0",
		})
		assert.NilError(t, err)
		assert.Equal(t, s.Worker(), "w0")
		assert.Equal(t, time.Since(begun), testDeadline/choosyShare)
		assert.Equal(t, n.nodes["e0"].holder.pool("p").queue.all(), 0)
	})
}

// TestAvoidedTargetIsLentLast: it failed, so it is the emptiest.
func TestAvoidedTargetIsLentLast(t *testing.T) {
	n, d := firstSlot(t)
	for _, worker := range []string{"w1", "w2"} {
		d.lender.owned[worker].lent[holderKey{"e1", 1}] = testSlots - 1
	}
	w := repeat(t, n, d.holder, "w0")
	n.exchange(d, "e0")
	assert.Equal(t, granted(w), "w1")
}
