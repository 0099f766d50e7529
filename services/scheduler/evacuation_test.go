// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/evacuation"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// newTestPoolInDataCenters returns a pool with a worker of one core in each of the data centres "x"
// and "y", which have the names of their data centres.
func newTestPoolInDataCenters(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	for _, id := range []worker.ID{"x", "y"} {
		d.UpdateWorker(worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: string(id), DataCenter: string(id), Capacity: job.Size{CPU: 1000, MemoryMB: 4000}})
		d.poll(id, worker.PollResult{}, accepted)
	}
	return d
}

// submitStep submits a job of one step.
func (d *testPool) submitStep(id job.ID, step job.Step) {
	d.Submit(job.Submission{ID: id, Queue: "h/q/", Steps: []job.Step{step}}, d.now)
	d.persist()
}

// TestNothingStartsInAnEvacuatedDataCenter guards against starts in a data centre under evacuation:
// what is not placed yet goes elsewhere, an order that was not sent yet is withheld, and what runs
// there goes on. A worker that comes later is covered too.
func TestNothingStartsInAnEvacuatedDataCenter(t *testing.T) {
	d := newTestPoolInDataCenters(t)
	d.submitStep("1", job.Step{Count: 2, Size: job.Size{CPU: 1000}, Estimate: time.Minute, LongRunning: true, MaxUnavailable: 1})
	d.reportRunning("x")
	d.SetEvacuated(evacuation.List{DataCenters: []string{"x", "y"}, End: 7})
	d.persist()
	_, has := d.NextOrder("y", d.now)
	assert.Assert(t, !has, "an order is sent to a data centre under evacuation")
	assert.Equal(t, len(d.workers["x"].runs), 1)
	_, has = d.NextOrder("x", d.now)
	assert.Assert(t, !has, "what runs in the data centre is stopped")
	assert.Equal(t, len(d.workers["y"].runs), 0)

	d.UpdateWorker(worker.Worker{ID: "later", Instance: "later", Pool: "p", Address: "later", DataCenter: "y", Capacity: job.Size{CPU: 1000, MemoryMB: 4000}})
	d.poll("later", worker.PollResult{}, accepted)
	d.persist()
	assert.Equal(t, len(d.workers["later"].runs), 0)

	d.SetEvacuated(evacuation.List{DataCenters: []string{"x"}, End: 9})
	d.SetEvacuated(evacuation.List{DataCenters: []string{"x", "y"}, End: 8}) // outdated
	d.persist()
	assert.Equal(t, len(d.workers["y"].runs)+len(d.workers["later"].runs), 1, "the task waits although the evacuation has ended")
}

// TestGangIsWithheldByAnEvacuation guards against a gang that waits in vain for a member whose data
// centre was put under evacuation between its placement and its order.
func TestGangIsWithheldByAnEvacuation(t *testing.T) {
	d := newTestPoolInDataCenters(t)
	d.submitStep("1", job.Step{Count: 2, Size: job.Size{CPU: 1000}, Estimate: time.Second, Gang: true})
	sent, has := d.NextOrder("x", d.now)
	assert.Assert(t, has && sent.isStart())
	d.StartOrder(sent, d.now)
	d.HandleOrderResponse(sent, accepted, d.now)
	d.SetEvacuated(evacuation.List{DataCenters: []string{"y"}, End: 1})
	d.persist()
	_, has = d.NextOrder("y", d.now)
	assert.Assert(t, !has, "a member starts in a data centre under evacuation")
	d.persist()
	stop, has := d.NextOrder("x", d.now)
	assert.Assert(t, has && stop.Stop, "the member that was sent waits for the other one")
}

// TestEvacuatedRunsNeedNoCapacity guards against instances that are requested for tasks that run on
// in a data centre under evacuation.
func TestEvacuatedRunsNeedNoCapacity(t *testing.T) {
	d := newTestPoolInDataCenters(t)
	d.submitStep("1", job.Step{Count: 2, Size: job.Size{CPU: 1000}, Estimate: time.Minute, LongRunning: true, MaxUnavailable: 1})
	d.reportRunning("x")
	d.reportRunning("y")
	assert.Equal(t, d.Report(CordonRequest{}, d.now).Lasting.CPU, 2000)
	d.SetEvacuated(evacuation.List{DataCenters: []string{"y"}, End: 1})
	assert.Equal(t, d.Report(CordonRequest{}, d.now).Lasting.CPU, 1000)
}
