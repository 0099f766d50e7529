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

// staleAge is the users' limit for new work on a worker that leaves, after which a start is
// outdated; the one for work of a cancelled job is 3 s.
const staleAge = 2 * time.Second

// waitingTasks returns the number of waiting tasks of a job with one step.
func (d *testPool) waitingTasks(id job.ID) int { return d.jobs[id].rounds[0].steps[0].waiting }

// loseResponse sends the next order of a worker, which must be a start and gets no response.
func (d *testPool) loseResponse(id worker.ID) {
	d.t.Helper()
	order, has := d.NextOrder(id, d.now)
	assert.Assert(d.t, has && !order.Stop)
	d.StartOrder(order, d.now)
	if d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now) {
		d.Retry(order, d.now)
	}
}

// takeOrders takes the remaining orders of a worker and counts them.
func (d *testPool) takeOrders(id worker.ID) (starts, stops int) {
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

// TestStartThatWaitedIsNotSent: a worker was unresponsive while orders to it were queued. When it
// responds again, no start is sent: the task of one that was never sent waits again, and one that
// may have been carried out is stopped.
func TestStartThatWaitedIsNotSent(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	for _, id := range []job.ID{"1", "2", "3"} {
		d.submit(id, 1)
	}
	d.persist()
	d.loseResponse("w")
	d.loseResponse("w") // the second one without a response: the worker counts as unresponsive
	d.now = d.now.Add(staleAge)
	d.persist()
	d.poll("w", worker.PollResult{}, accepted)
	starts, stops := d.takeOrders("w")
	assert.Equal(t, starts, 0, "a start is sent long after it was decided")
	assert.Equal(t, d.waitingTasks("3"), 1, "a task whose order was never sent does not wait again")
	d.persist()
	_, more := d.takeOrders("w")
	assert.Equal(t, stops+more, 2, "starts that may still be carried out are not stopped")
}

// TestTasksOfAnUnresponsiveWorkerGoElsewhere: a second order without a response makes a worker
// unresponsive; tasks whose orders were not sent there are available at once for another one.
func TestTasksOfAnUnresponsiveWorkerGoElsewhere(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	for _, id := range []job.ID{"1", "2", "3"} {
		d.submit(id, 1)
	}
	d.persist()
	d.loseResponse("w")
	d.loseResponse("w")
	assert.Equal(t, d.waitingTasks("3"), 1)
}

// TestNoStartOnAWorkerThatLeaves: a worker announces that it drains after a task was placed there
// and before its order is sent.
func TestNoStartOnAWorkerThatLeaves(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 1)
	d.submit("2", 1)
	d.persist()
	d.loseResponse("w")
	draining := d.workers["w"].info
	draining.Draining = true
	d.UpdateWorker(draining)
	d.poll("w", worker.PollResult{}, accepted)
	starts, _ := d.takeOrders("w")
	assert.Equal(t, starts, 0, "a task is started on a worker that leaves")
	d.persist()
	_, stops := d.takeOrders("w")
	assert.Equal(t, stops, 1, "the start that may still be carried out is not stopped")
	assert.Equal(t, d.waitingTasks("2"), 1)
}

// TestStartHasAnEarlyDeadline: a worker that receives a start late must refuse it; the order's
// deadline ensures that, and is not the one of the lease.
func TestStartHasAnEarlyDeadline(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 1)
	d.persist()
	d.now = d.now.Add(500 * time.Millisecond)
	order, has := d.NextOrder("w", d.now)
	assert.Assert(t, has)
	at := accepted.Clock + 500*time.Millisecond // the worker's clock now
	deadline := d.StartOrder(order, d.now).Deadline
	assert.Assert(t, deadline > at+time.Second, "it leaves no time for the transit and for the first poll")
	assert.Assert(t, deadline <= at+2*time.Second, "a worker may start it %s after it was sent", deadline-at)
}

// TestPollExtendsTheLease: a start order does not ask for a lease, the next poll does.
func TestPollExtendsTheLease(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 1)
	d.persist()
	order, _ := d.NextOrder("w", d.now)
	d.StartOrder(order, d.now)
	d.HandleOrderResponse(order, accepted, d.now)
	_, request, _ := d.BeginPoll("w", 0, d.now)
	assert.Equal(t, request.Deadline, accepted.Clock+testLimits.Lease)
}
