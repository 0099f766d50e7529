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

// granted returns the worker of the slot that a waiter was granted, empty if it has none yet.
func granted(w *waiter) string {
	select {
	case s := <-w.grant:
		return s.worker
	default:
		return ""
	}
}

// retryRequest enqueues a request that has just failed on a target.
func retryRequest(t *testing.T, n *network, h *Holder, failedOn string) *waiter {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	w, err := h.enqueue(h.pool("p"), AcquireRequest{
		Pool: "p", Class: manifest.Interactive, Deadline: n.clock.Now().Add(testDeadline), Limit: 1000, Avoid: failedOn,
	})
	assert.NilError(t, err)
	return w
}

// firstSlot returns a network of one entry that holds a single slot, borrowed on w0 for its first
// request.
func firstSlot(t *testing.T) (*network, *node) {
	t.Helper()
	n := newNetwork(1)
	d := n.nodes["e0"]
	n.catchUp(d, len(n.log))
	d.requestSlot()
	n.exchange(d, "e0")
	d.collect()
	assert.Equal(t, len(d.used), 1)
	assert.Equal(t, d.used[0].worker, "w0")
	return n, d
}

// TestRetryWaitsForAnotherTarget checks that a retry leaves the slot on which the request has
// failed to others, even if that slot is released before the owner has been asked for a slot of
// another target.
func TestRetryWaitsForAnotherTarget(t *testing.T) {
	n, d := firstSlot(t)
	w := retryRequest(t, n, d.holder, "w0")
	d.used[0].Release()
	assert.Equal(t, granted(w), "", "no owner has been asked yet")
	n.exchange(d, "e0")
	assert.Equal(t, granted(w), "w1")
}

// TestRetryDelaysNoOtherRequest checks that the slot which a retry leaves to others serves the next
// request, whether that is queued before or after the release.
func TestRetryDelaysNoOtherRequest(t *testing.T) {
	n, d := firstSlot(t)
	w := retryRequest(t, n, d.holder, "w0")
	plain, err := enqueueRequest(n, d.holder, manifest.Interactive)
	assert.NilError(t, err)
	d.used[0].Release()
	assert.Equal(t, granted(plain), "w0")
	assert.Equal(t, granted(w), "")
	n.exchange(d, "e0")
	assert.Equal(t, granted(w), "w1")
}

// TestRetryUsesFailedTargetWithoutAlternative checks that a retry takes a slot of the failed target
// if the owner has no slot of another target to lend, or if there is no other target.
func TestRetryUsesFailedTargetWithoutAlternative(t *testing.T) {
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
			w := retryRequest(t, n, d.holder, "w0")
			d.used[0].Release()
			n.exchange(d, "e0")
			assert.Equal(t, granted(w), "w0")
		})
	}
}

// TestRetryWaitIsBounded checks that an owner which does not respond keeps a retry from the only
// idle slot for no more than a part of its time.
func TestRetryWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, d := firstSlot(t)
		d.holder.Clock = clock.Clock{} // of the synctest bubble
		d.used[0].Release()
		startedAt := time.Now()
		s, err := d.holder.Acquire(t.Context(), AcquireRequest{
			Pool: "p", Class: manifest.Interactive, Deadline: startedAt.Add(testDeadline), Limit: 1000, Avoid: "w0",
		})
		assert.NilError(t, err)
		assert.Equal(t, s.Worker(), "w0")
		assert.Equal(t, time.Since(startedAt), testDeadline/avoidShare)
		assert.Equal(t, n.nodes["e0"].holder.pool("p").queue.all(), 0)
	})
}

// TestAvoidedTargetIsLentLast checks that the target on which the request failed is lent last,
// although it has the most free slots.
func TestAvoidedTargetIsLentLast(t *testing.T) {
	n, d := firstSlot(t)
	for _, worker := range []string{"w1", "w2"} {
		d.lender.owned[worker].lent[holderKey{"e1", 1}] = testSlots - 1
	}
	w := retryRequest(t, n, d.holder, "w0")
	n.exchange(d, "e0")
	assert.Equal(t, granted(w), "w1")
}
