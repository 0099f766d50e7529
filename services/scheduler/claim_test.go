// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// report applies a request of a holder that knows the reports up to a number and cordons the given workers,
// and returns the pool's report after the next plan.
func (d *testPool) report(number, known uint64, cordoned ...worker.ID) Report {
	d.t.Helper()
	request := CordonRequest{Epoch: 1, Number: number, Since: &ReportPosition{Epoch: d.Token, Number: known}}
	for _, id := range cordoned {
		request.Workers = append(request.Workers, CordonedWorker{ID: id})
	}
	cordon(d, request)
	d.persist()
	return d.Report(request, d.now)
}

// reported returns the report of a worker.
func (r Report) reported(id worker.ID) WorkerReport {
	return r.Workers[slices.IndexFunc(r.Workers, func(w WorkerReport) bool { return w.ID == id })]
}

// TestTaskStopsOnceItsNextPlaceIsConfirmed guards against a long-running task that is stopped and then waits
// for ever (LOST), and a wave that waits with it: the only worker with a place for it looked idle to the
// holder of the role for instances, and was given to another pool in the same moment.
func TestTaskStopsOnceItsNextPlaceIsConfirmed(t *testing.T) {
	d := newTestPoolWithLongRunning(t)
	here, other := d.runOnA()
	assert.Assert(t, here != nil)
	free := worker.ID("c")
	if other == "c" {
		free = "b"
	}
	first := d.report(1, 0, "a")
	assert.Assert(t, !here.stopping, "the holder does not know yet that the place is needed")
	w := first.reported(free)
	assert.Assert(t, w.Runs == 1 && w.Lasting == 1 && !w.Empty, "the place is reported as free: %+v", w)

	second := d.report(2, first.Number, "a", free)
	assert.Assert(t, !here.stopping, "the place is given to another pool")
	assert.Assert(t, second.reported(free).Empty, "%+v", second.reported(free))

	third := d.report(3, second.Number, "a")
	assert.Assert(t, !here.stopping)
	d.report(4, third.Number, "a")
	assert.Assert(t, here.stopping, "the place is confirmed")
	assert.Equal(t, d.workers[free].free().CPU, 0, "the place is left to others")
}

// TestClaimedPlaceGoesToTheTask guards against a place that others take while the task stops that is to have
// it, and against one that stays taken: the task starts there, or the claim ends.
func TestClaimedPlaceGoesToTheTask(t *testing.T) {
	d := newTestPoolWithLongRunning(t)
	here, other := d.runOnA()
	free := worker.ID("c")
	if other == "c" {
		free = "b"
	}
	d.report(2, d.report(1, 0, "a").Number, "a")
	d.submit("2", 1)
	d.persist()
	assert.Equal(t, d.waitingTasks("2"), 1)
	order, has := d.NextOrder("a", d.now)
	assert.Assert(t, has && order.Stop)
	d.HandleOrderResponse(order, accepted, d.now)
	d.poll("a", worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: here.name, Number: here.number, Reason: worker.Stopped}}}, accepted)
	d.persist()
	assert.Equal(t, here.task().runs[0].worker.info.ID, free)
	assert.Equal(t, len(d.claims), 0)
	assert.Equal(t, d.workers[free].used, here.size, "the claim still counts")
}

// TestClaimEnds guards against capacity that stays out of use: the job of a task that is to move ends, or the
// task does not stop.
func TestClaimEnds(t *testing.T) {
	for name, end := range map[string]func(d *testPool) error{
		"cancelled": func(d *testPool) error { _, err := d.Cancel("1", d.now); return err },
		"too long":  func(d *testPool) error { d.now = d.now.Add(claimTime); return nil },
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestPoolWithLongRunning(t)
			d.report(1, 0, "a")
			assert.Equal(t, len(d.claims), 1)
			c := d.claims[0]
			assert.NilError(t, end(d))
			d.reviewClaims(d.now)
			assert.Equal(t, len(d.claims), 0)
			assert.Equal(t, c.worker.used, job.Size{})
		})
	}
}
