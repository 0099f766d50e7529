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

// lastingOnTwo returns a desk at which two tasks that last, of which one may be away,
// are at work on the workers "a" and "b", and "c" is free.
func lastingOnTwo(t *testing.T) *desk {
	d := newDesk(t, 1)
	for _, id := range []worker.ID{"a", "b", "c"} {
		d.UpdateWorker(worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: string(id), Capacity: job.Size{CPU: 1000, MemoryMB: 4000}})
		d.look(id, worker.PollResult{}, heard)
	}
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{
		{Count: 2, Size: job.Size{CPU: 1000}, Estimate: time.Minute, LongRunning: true, MaxUnavailable: 1},
	}}, d.now)
	d.keep()
	for _, id := range []worker.ID{"a", "b", "c"} {
		d.atWork(id)
	}
	return d
}

// atWork gives the starts of a worker and lets what runs there be at work.
func (d *desk) atWork(id worker.ID) {
	d.t.Helper()
	d.begin(id)
	var listing worker.PollResult
	for name, u := range d.workers[id].runs {
		listing.Runs = append(listing.Runs, worker.Run{Task: name, Number: u.number, Percent: fullPace})
	}
	d.look(id, listing, heard)
}

// onA returns the run on the worker "a", and the worker of the other task.
func (d *desk) onA() (*run, worker.ID) {
	var here *run
	var other worker.ID
	for _, u := range d.jobs["1"].runs() {
		if u.at.info.ID == "a" {
			here = u
			continue
		}
		other = u.at.info.ID
	}
	return here, other
}

// TestAStopForAMoveWaitsWhileAnotherTaskIsAway: a task that lasts is to leave its
// worker, and the order to stop it got no answer. Meanwhile the worker of the other task
// says that it drains, so that this one has to go. The first must not be ended beside
// it: its stop goes out again once the other is at work.
func TestAStopForAMoveWaitsWhileAnotherTaskIsAway(t *testing.T) {
	d := lastingOnTwo(t)
	u, other := d.onA()
	if u == nil {
		t.Fatal("no task was placed on the worker a")
	}
	cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "a"}}})
	d.keep()
	order, has := d.NextOrder("a", d.now)
	assert.Assert(t, has && order.Stop)
	assert.Assert(t, d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now))
	d.Retry(order, d.now)

	leaving := d.workers[other].info
	leaving.Draining = true
	d.UpdateWorker(leaving)
	d.keep()
	_, has = d.NextOrder("a", d.now)
	assert.Assert(t, !has, "a task is stopped for a move while another of its step goes")

	order, has = d.NextOrder(other, d.now)
	assert.Assert(t, has && order.Stop)
	d.HandleOrderResponse(order, heard, d.now)
	ended := worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: order.Run.name, Number: 1, Reason: worker.Stopped}}}
	d.look(other, ended, heard)
	d.keep()
	_, has = d.NextOrder("a", d.now)
	assert.Assert(t, !has, "a task is stopped for a move while another of its step is away")
	for _, id := range []worker.ID{"b", "c"} {
		if id != other {
			d.atWork(id)
		}
	}
	order, has = d.NextOrder("a", d.now)
	assert.Assert(t, has && order.Stop, "the stop is forgotten")
}

// TestAStopOfACancelledJobWaitsForNothing: the same, and the job is cancelled.
func TestAStopOfACancelledJobWaitsForNothing(t *testing.T) {
	d := lastingOnTwo(t)
	_, other := d.onA()
	cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "a"}}})
	d.keep()
	order, _ := d.NextOrder("a", d.now)
	d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now)
	d.Retry(order, d.now)
	leaving := d.workers[other].info
	leaving.Draining = true
	d.UpdateWorker(leaving)
	d.keep()
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.keep()
	order, has := d.NextOrder("a", d.now)
	assert.Assert(t, has && order.Stop)
}
