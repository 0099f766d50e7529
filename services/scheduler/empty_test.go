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

// newTestPoolWithLongRunning returns a pool in which two long-running tasks, one of which may be
// unavailable, run on the workers "a" and "b", while "c" is free.
func newTestPoolWithLongRunning(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	for _, id := range []worker.ID{"a", "b", "c"} {
		d.UpdateWorker(worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: string(id), Capacity: job.Size{CPU: 1000, MemoryMB: 4000}})
		d.poll(id, worker.PollResult{}, accepted)
	}
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{
		{Count: 2, Size: job.Size{CPU: 1000}, Estimate: time.Minute, LongRunning: true, MaxUnavailable: 1},
	}}, d.now)
	d.persist()
	for _, id := range []worker.ID{"a", "b", "c"} {
		d.reportRunning(id)
	}
	return d
}

// reportRunning sends the starts of a worker and has it list its runs as serving.
func (d *testPool) reportRunning(id worker.ID) {
	d.t.Helper()
	d.startOrders(id)
	var listing worker.PollResult
	for name, u := range d.workers[id].runs {
		listing.Runs = append(listing.Runs, worker.Run{Task: name, Number: u.number, Percent: fullPercent})
	}
	d.poll(id, listing, accepted)
}

// runOnA returns the run on the worker "a", and the worker of the other task.
func (d *testPool) runOnA() (*run, worker.ID) {
	var here *run
	var other worker.ID
	for _, u := range d.jobs["1"].runs() {
		if u.worker.info.ID == "a" {
			here = u
			continue
		}
		other = u.worker.info.ID
	}
	return here, other
}

// TestStopForAMoveWaitsWhileAnotherTaskIsUnavailable: a long-running task is to leave its worker,
// and the order to stop it got no response. Meanwhile the worker of the other task announces that
// it drains, so that this task has to stop. The first one must not stop at the same time: its stop
// is sent again once the other one is serving.
func TestStopForAMoveWaitsWhileAnotherTaskIsUnavailable(t *testing.T) {
	d := newTestPoolWithLongRunning(t)
	u, other := d.runOnA()
	if u == nil {
		t.Fatal("no task was placed on the worker a")
	}
	cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "a"}}})
	d.persist()
	order, has := d.NextOrder("a", d.now)
	assert.Assert(t, has && order.Stop)
	assert.Assert(t, d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now))
	d.Retry(order, d.now)

	draining := d.workers[other].info
	draining.Draining = true
	d.UpdateWorker(draining)
	d.persist()
	_, has = d.NextOrder("a", d.now)
	assert.Assert(t, !has, "a task is stopped for a move while another one of its step is stopped")

	order, has = d.NextOrder(other, d.now)
	assert.Assert(t, has && order.Stop)
	d.HandleOrderResponse(order, accepted, d.now)
	ended := worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: order.Run.name, Number: 1, Reason: worker.Stopped}}}
	d.poll(other, ended, accepted)
	d.persist()
	_, has = d.NextOrder("a", d.now)
	assert.Assert(t, !has, "a task is stopped for a move while another one of its step is unavailable")
	for _, id := range []worker.ID{"b", "c"} {
		if id != other {
			d.reportRunning(id)
		}
	}
	order, has = d.NextOrder("a", d.now)
	assert.Assert(t, has && order.Stop, "the stop is forgotten")
}

// TestStopOfACancelledJobDoesNotWait: as before, but the job is cancelled.
func TestStopOfACancelledJobDoesNotWait(t *testing.T) {
	d := newTestPoolWithLongRunning(t)
	_, other := d.runOnA()
	cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "a"}}})
	d.persist()
	order, _ := d.NextOrder("a", d.now)
	d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now)
	d.Retry(order, d.now)
	draining := d.workers[other].info
	draining.Draining = true
	d.UpdateWorker(draining)
	d.persist()
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.persist()
	order, has := d.NextOrder("a", d.now)
	assert.Assert(t, has && order.Stop)
}

// TestStopWaitsForARecentListOfTheOtherTask guards against a serving task that is stopped beside one
// that is away (AVAIL): the owner's machine was suspended, and the worker of the other task has
// crashed meanwhile without having been polled since.
func TestStopWaitsForARecentListOfTheOtherTask(t *testing.T) {
	d := newTestPoolWithLongRunning(t)
	here, other := d.runOnA()
	d.now = d.now.Add(5 * time.Second)
	d.reportRunning("a")
	d.reportRunning("c")
	d.cordons["a"], d.workers["a"].cordoned = true, true
	d.persist()
	assert.Assert(t, !here.stopping, "a serving task is stopped, and the other one was last seen 5 s ago")
	d.reportRunning(other)
	d.persist()
	assert.Assert(t, here.stopping)
}
