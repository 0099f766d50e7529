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

// lostOne returns a pool that has begun a task on a worker, heard nothing more from it,
// and taken the run for lost once its lease was over.
func lostOne(t *testing.T) *desk {
	d := newDesk(t, 1)
	d.serve()
	d.submit("1", 1)
	d.keep()
	order, has := d.NextOrder("w", d.now)
	assert.Assert(t, has)
	d.StartOrder(order, d.now)
	d.HandleOrderResponse(order, heard, d.now)
	d.look("w", worker.PollResult{}, port.Response{Result: port.Unknown})
	d.now = d.now.Add(10 * time.Second)
	d.ExpireLeases(d.now)
	assert.Equal(t, d.waitingTasks("1"), 1)
	return d
}

// ended is a look that tells how run 1 of the task has ended.
func (d *desk) ended(how worker.EndReason) {
	d.look("w", worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: how}}}, heard)
}

// TestALostRunThatWasDone: its worker did not answer for longer than the lease, over a
// link that was full, and lists the end when it answers again. That is taken note of, so
// the task must not begin once more.
func TestALostRunThatWasDone(t *testing.T) {
	d := lostOne(t)
	d.ended(worker.Done)
	d.keep()
	starts, _ := d.orders("w")
	assert.Equal(t, starts, 0, "a task that is done begins again")
	d.keep()
	state, _ := d.State("1")
	assert.Equal(t, state, job.Completed)
}

// TestALostRunThatWasDoneWhileAnotherIsPlanned: the later run is stopped, or never
// begins.
func TestALostRunThatWasDoneWhileAnotherIsPlanned(t *testing.T) {
	d := lostOne(t)
	d.UpdateWorker(worker.Worker{ID: "v", Instance: "j", Pool: "p", Address: "b", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.look("v", worker.PollResult{}, heard)
	d.keep() // run 2 is kept, and its order waits
	d.ended(worker.Done)
	d.keep()
	starts, stops := d.orders("v")
	assert.Equal(t, starts, 0)
	assert.Equal(t, stops, 1)
}

// TestALostRunThatFailed counts among the attempts of its task, once.
func TestALostRunThatFailed(t *testing.T) {
	d := lostOne(t)
	d.jobs["1"].queue.MaxAttempts = 1
	d.ended(worker.Failed)
	d.ended(worker.Failed)
	d.keep()
	assert.Equal(t, d.firstTask("1").fails, 1)
	d.keep()
	state, _ := d.State("1")
	assert.Equal(t, state, job.Failed)
}

// TestAnEndThatWasKeptBefore: an owner that takes over hears again of ends that the one
// before it has kept; a failed one counts for no second attempt.
func TestAnEndThatWasKeptBefore(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.submit("1", 1)
	d.keep()
	d.look("w", worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 7, Reason: worker.Failed}}}, heard)
	assert.Equal(t, d.firstTask("1").fails, 0)
}
