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

// What a start was decided on is old after this, the users' bound for new work on a
// worker that leaves; the one for work of a cancelled job is 3 s.
const decidedLongAgo = 2 * time.Second

// waitingTasks returns how many tasks of a job of one step wait.
func (d *desk) waitingTasks(id job.ID) int { return d.jobs[id].rounds[0].steps[0].waiting }

// unanswered takes the next order of a worker, which must be a start, and lets it
// get no answer.
func (d *desk) unanswered(id worker.ID) {
	d.t.Helper()
	order, has := d.NextOrder(id, d.now)
	assert.Assert(d.t, has && !order.Stop)
	d.StartOrder(order, d.now)
	if d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now) {
		d.Retry(order, d.now)
	}
}

// orders returns what is left of a worker's orders.
func (d *desk) orders(id worker.ID) (starts, stops int) {
	for {
		order, has := d.NextOrder(id, d.now)
		switch {
		case !has:
			return starts, stops
		case order.Stop:
			stops++
		default:
			starts++
		}
	}
}

// TestStartThatWaitedIsNotGiven: a worker was silent while orders to it waited.
// When it answers again, none of them goes out: one that was never sent gives its
// task back, one that may have been carried out is stopped.
func TestStartThatWaitedIsNotGiven(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	for _, id := range []job.ID{"1", "2", "3"} {
		d.submit(id, 1)
	}
	d.keep()
	d.unanswered("w")
	d.unanswered("w") // the second without an answer: the worker counts as silent
	d.now = d.now.Add(decidedLongAgo)
	d.keep()
	d.look("w", worker.PollResult{}, heard)
	starts, stops := d.orders("w")
	assert.Equal(t, starts, 0, "a start is given long after it was decided")
	assert.Equal(t, d.waitingTasks("3"), 1, "a task whose order was never sent does not wait again")
	d.keep()
	_, later := d.orders("w")
	assert.Equal(t, stops+later, 2, "starts that may be carried out yet are not stopped")
}

// TestTasksOfASilentWorkerGoElsewhere: a second order without an answer makes a
// worker silent; what was not sent there is free at once for another one.
func TestTasksOfASilentWorkerGoElsewhere(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	for _, id := range []job.ID{"1", "2", "3"} {
		d.submit(id, 1)
	}
	d.keep()
	d.unanswered("w")
	d.unanswered("w")
	assert.Equal(t, d.waitingTasks("3"), 1)
}

// TestNoStartOnAWorkerThatLeaves: a worker said that it drains after a task was
// placed there and before its order went out.
func TestNoStartOnAWorkerThatLeaves(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.submit("1", 1)
	d.submit("2", 1)
	d.keep()
	d.unanswered("w")
	leaving := d.workers["w"].info
	leaving.Draining = true
	d.UpdateWorker(leaving)
	d.look("w", worker.PollResult{}, heard)
	starts, _ := d.orders("w")
	assert.Equal(t, starts, 0, "a task is begun on a worker that leaves")
	d.keep()
	_, stops := d.orders("w")
	assert.Equal(t, stops, 1, "the start that may be carried out yet is not stopped")
	assert.Equal(t, d.waitingTasks("2"), 1)
}

// TestStartIsSoonTooLate: a worker that gets a start late must refuse it; the order
// says so by its deadline, which is not that of the lease.
func TestStartIsSoonTooLate(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.submit("1", 1)
	d.keep()
	d.now = d.now.Add(500 * time.Millisecond)
	order, has := d.NextOrder("w", d.now)
	assert.Assert(t, has)
	at := heard.Clock + 500*time.Millisecond // the worker's clock now
	deadline := d.StartOrder(order, d.now).Deadline
	assert.Assert(t, deadline > at+time.Second, "it leaves no time for its way and for the first look")
	assert.Assert(t, deadline <= at+2*time.Second, "a worker may begin it %s after it was sent", deadline-at)
}

// TestALookHasTheLease: what a start does not ask for the next look does.
func TestALookHasTheLease(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.submit("1", 1)
	d.keep()
	order, _ := d.NextOrder("w", d.now)
	d.StartOrder(order, d.now)
	d.HandleOrderResponse(order, heard, d.now)
	_, ask, _ := d.BeginPoll("w", 0, d.now)
	assert.Equal(t, ask.Deadline, heard.Clock+testLimits.Lease)
}
