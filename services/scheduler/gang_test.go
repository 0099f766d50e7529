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

// gangOnTwo returns a desk at which a gang of two is kept, one member on each of the
// workers "a" and "b", and no order has gone out.
func gangOnTwo(t *testing.T) *desk {
	d := newDesk(t, 1)
	for _, id := range []worker.ID{"a", "b"} {
		d.UpdateWorker(worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: string(id), Capacity: job.Size{CPU: 1000, MemoryMB: 4000}})
		d.look(id, worker.PollResult{}, heard)
	}
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{
		{Count: 2, Size: job.Size{CPU: 1000}, Estimate: time.Minute, Gang: true},
	}}, d.now)
	d.keep()
	assert.Equal(t, len(d.workers["a"].runs), 1)
	assert.Equal(t, len(d.workers["b"].runs), 1)
	return d
}

// begin gives the orders of a worker, which takes each, and returns how many were
// starts.
func (d *desk) begin(id worker.ID) int {
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
		d.HandleOrderResponse(order, heard, d.now)
	}
}

// goesOn reports whether a member of the gang is at work or will be, and is not to be
// stopped.
func (d *desk) goesOn(id worker.ID) bool {
	for _, u := range d.workers[id].runs {
		if !u.stopping {
			return true
		}
	}
	return false
}

// TestGangOfWhichAWorkerIsCordoned: a worker is cordoned, to be moved, between the
// keeping of a gang and its order. The gang's members must begin together or not at
// all: one that waits alone for the others breaks the users' rule, and a cordon is our
// own doing.
func TestGangOfWhichAWorkerIsCordoned(t *testing.T) {
	d := gangOnTwo(t)
	cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "b"}}})
	d.begin("a")
	d.begin("b")
	d.keep()
	d.begin("a")
	assert.Equal(t, d.goesOn("a"), d.goesOn("b"), "a member of a gang begins alone")
}

// TestGangOfWhichAWorkerDrains: the same for a worker that has said that it leaves,
// where no start may go out: the member that has begun is stopped.
func TestGangOfWhichAWorkerDrains(t *testing.T) {
	d := gangOnTwo(t)
	assert.Equal(t, d.begin("a"), 1)
	leaving := d.workers["b"].info
	leaving.Draining = true
	d.UpdateWorker(leaving)
	assert.Equal(t, d.begin("b"), 0)
	d.keep()
	d.begin("a")
	assert.Assert(t, !d.goesOn("a"), "a member of a gang waits for one that was given up")
}

// TestGangOfWhichAnOrderIsTooOld: one member's order waits too long. The others are
// given up with it.
func TestGangOfWhichAnOrderIsTooOld(t *testing.T) {
	d := gangOnTwo(t)
	assert.Equal(t, d.begin("a"), 1)
	d.now = d.now.Add(decidedLongAgo)
	assert.Equal(t, d.begin("b"), 0)
	d.keep()
	assert.Assert(t, !d.goesOn("a"), "a member of a gang waits for one that was given up")
}

// TestGangOfWhichAWorkerFallsSilent: a member that was not sent is given back when its
// worker falls silent. The others are given up with it.
func TestGangOfWhichAWorkerFallsSilent(t *testing.T) {
	d := gangOnTwo(t)
	assert.Equal(t, d.begin("a"), 1)
	d.look("b", worker.PollResult{}, port.Response{Result: port.Unknown})
	assert.Equal(t, d.begin("b"), 0)
	d.keep()
	assert.Assert(t, !d.goesOn("a"), "a member of a gang waits for one that was given up")
}

// TestGangOfWhichAWorkerRefuses: a worker has no room for its member after all. The
// others are given up with it.
func TestGangOfWhichAWorkerRefuses(t *testing.T) {
	d := gangOnTwo(t)
	assert.Equal(t, d.begin("a"), 1)
	order, has := d.NextOrder("b", d.now)
	assert.Assert(t, has)
	d.StartOrder(order, d.now)
	assert.Assert(t, !d.HandleOrderResponse(order, port.Response{Result: port.NoCapacity, Clock: heard.Clock}, d.now))
	d.keep()
	assert.Assert(t, !d.goesOn("a"), "a member of a gang waits for one that was refused")
}
