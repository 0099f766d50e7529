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

// newTestPoolWithLostRun returns a pool that has started a task on a worker, lost contact with it,
// and declared the run lost once its lease expired.
func newTestPoolWithLostRun(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 1)
	d.persist()
	order, has := d.NextOrder("w", d.now)
	assert.Assert(t, has)
	d.StartOrder(order, d.now)
	d.HandleOrderResponse(order, accepted, d.now)
	d.poll("w", worker.PollResult{}, port.Response{Result: port.Unknown})
	d.now = d.now.Add(10 * time.Second)
	d.ExpireLeases(d.now)
	assert.Equal(t, d.waitingTasks("1"), 1)
	return d
}

// reportEnd polls the worker, which lists the end of run 1 of the task.
func (d *testPool) reportEnd(how worker.EndReason) {
	d.poll("w", worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: how}}}, accepted)
}

// TestLostRunThatWasDone: a worker did not respond for longer than the lease, over a saturated
// link, and lists the end of its run when it responds again. The end counts, so the task must not
// start once more.
func TestLostRunThatWasDone(t *testing.T) {
	d := newTestPoolWithLostRun(t)
	d.reportEnd(worker.Done)
	d.persist()
	starts, _ := d.takeOrders("w")
	assert.Equal(t, starts, 0, "a task that is done starts again")
	d.persist()
	state, _ := d.State("1")
	assert.Equal(t, state, job.Completed)
}

// TestLostRunThatWasDoneWhileAnotherIsPlanned: the later run is stopped, or never starts.
func TestLostRunThatWasDoneWhileAnotherIsPlanned(t *testing.T) {
	d := newTestPoolWithLostRun(t)
	d.UpdateWorker(worker.Worker{ID: "v", Instance: "j", Pool: "p", Address: "b", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.poll("v", worker.PollResult{}, accepted)
	d.persist() // run 2 is persisted, and its order is queued
	d.reportEnd(worker.Done)
	d.persist()
	starts, stops := d.takeOrders("v")
	assert.Equal(t, starts, 0)
	assert.Equal(t, stops, 1)
}

// TestLostRunThatFailed: the failure of a run that was declared lost uses up one attempt of its
// task, even if its end is listed twice.
func TestLostRunThatFailed(t *testing.T) {
	d := newTestPoolWithLostRun(t)
	d.jobs["1"].queue.MaxAttempts = 1
	task := d.firstTask("1")
	d.reportEnd(worker.Failed)
	d.reportEnd(worker.Failed)
	d.persist()
	assert.Equal(t, task.failures, 1)
	d.persist()
	state, _ := d.State("1")
	assert.Equal(t, state, job.Failed)
}

// TestEndThatWasPersistedBefore: a new owner receives ends again that the previous one has
// persisted; a failed run does not use up a second attempt.
func TestEndThatWasPersistedBefore(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 1)
	d.persist()
	d.poll("w", worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 7, Reason: worker.Failed}}}, accepted)
	assert.Equal(t, d.firstTask("1").failures, 0)
}
