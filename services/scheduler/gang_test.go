// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// newTestPoolWithGang returns a pool in which a gang of two is persisted, one member on each of the
// workers "a" and "b", and no order is sent.
func newTestPoolWithGang(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	for _, id := range []worker.ID{"a", "b"} {
		d.UpdateWorker(worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: string(id), Capacity: job.Size{CPU: 1000, MemoryMB: 4000}})
		d.poll(id, worker.PollResult{}, accepted)
	}
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{
		{Count: 2, Size: job.Size{CPU: 1000}, Estimate: time.Minute, Gang: true},
	}}, d.now)
	d.persist()
	assert.Equal(t, len(d.workers["a"].runs), 1)
	assert.Equal(t, len(d.workers["b"].runs), 1)
	return d
}

// startOrders sends the orders of a worker, which accepts each, and returns the number of starts.
func (d *testPool) startOrders(id worker.ID) int {
	starts := 0
	for {
		order, has := d.NextOrder(id, d.now)
		if !has {
			return starts
		}
		if !order.Stop {
			starts++
			d.StartOrder(order, d.now)
		}
		d.HandleOrderResponse(order, accepted, d.now)
	}
}

// continues reports whether a member of the gang is running or will be, and is not to be stopped.
func (d *testPool) continues(id worker.ID) bool {
	for _, u := range d.workers[id].runs {
		if !u.stopping {
			return true
		}
	}
	return false
}

// TestGangWithACordonedWorker: a worker is cordoned, to be moved, after a gang is persisted and
// before its order is sent. The members of the gang must start together or not at all: one that
// waits alone violates the users' rule, and the cordon is this system's own decision.
func TestGangWithACordonedWorker(t *testing.T) {
	d := newTestPoolWithGang(t)
	cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "b"}}})
	d.startOrders("a")
	d.startOrders("b")
	d.persist()
	d.startOrders("a")
	assert.Equal(t, d.continues("a"), d.continues("b"), "a member of a gang starts alone")
}

// TestGangWithADrainingWorker: a worker announces that it drains, after which no start may be sent
// to it: the member that has started is stopped.
func TestGangWithADrainingWorker(t *testing.T) {
	d := newTestPoolWithGang(t)
	assert.Equal(t, d.startOrders("a"), 1)
	draining := d.workers["b"].info
	draining.Draining = true
	d.UpdateWorker(draining)
	assert.Equal(t, d.startOrders("b"), 0)
	d.persist()
	d.startOrders("a")
	assert.Assert(t, !d.continues("a"), "a member of a gang waits for an abandoned one")
}

// TestGangWithAnExpiredOrder: the order of one member waits too long, and the others are abandoned
// with it.
func TestGangWithAnExpiredOrder(t *testing.T) {
	d := newTestPoolWithGang(t)
	assert.Equal(t, d.startOrders("a"), 1)
	d.now = d.now.Add(staleAge)
	assert.Equal(t, d.startOrders("b"), 0)
	d.persist()
	assert.Assert(t, !d.continues("a"), "a member of a gang waits for an abandoned one")
}

// TestGangWithAnUnresponsiveWorker: a member whose order was not sent is released when its worker
// becomes unresponsive, and the others are abandoned with it.
func TestGangWithAnUnresponsiveWorker(t *testing.T) {
	d := newTestPoolWithGang(t)
	assert.Equal(t, d.startOrders("a"), 1)
	d.poll("b", worker.PollResult{}, port.Response{Result: port.Unknown})
	assert.Equal(t, d.startOrders("b"), 0)
	d.persist()
	assert.Assert(t, !d.continues("a"), "a member of a gang waits for an abandoned one")
}

// TestGangWithARefusal: a worker has no capacity for its member after all, and the others are
// abandoned with it.
func TestGangWithARefusal(t *testing.T) {
	d := newTestPoolWithGang(t)
	assert.Equal(t, d.startOrders("a"), 1)
	order, has := d.NextOrder("b", d.now)
	assert.Assert(t, has)
	d.StartOrder(order, d.now)
	assert.Assert(t, !d.HandleOrderResponse(order, port.Response{Result: port.NoCapacity, Clock: accepted.Clock}, d.now))
	d.persist()
	assert.Assert(t, !d.continues("a"), "a member of a gang waits for a refused one")
}
