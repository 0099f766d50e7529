// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// TestStuckMaintenanceRequestsAWorker has two long-running tasks on the only worker, which must be
// maintained: one at most may be unavailable, so that they need another worker.
func TestStuckMaintenanceRequestsAWorker(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 2, Size: job.Size{CPU: 1000}, LongRunning: true, MaxUnavailable: 1}}}, d.now)
	d.persist()
	d.poll("w", worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1, Percent: 100}, {Task: "1.0.0.1", Number: 1, Percent: 100}}}, accepted)
	cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "w", MaintenanceRequired: true}}})
	d.persist()
	before := d.Report(CordonRequest{}, d.now).MinWorkers
	d.now = d.now.Add(maintenanceGrace + time.Second)
	d.persist()
	assert.Equal(t, d.Report(CordonRequest{}, d.now).MinWorkers, before+1)
}

// TestMaintenanceThatWaitsForOtherTasksRequestsNoWorker guards against a pool that keeps all its
// instances, and one more, throughout a wave while other pools lack some: a long-running task on a
// worker whose instance must be maintained may not be stopped beside another one of its step that is
// away, although a free worker has the capacity for it.
func TestMaintenanceThatWaitsForOtherTasksRequestsNoWorker(t *testing.T) {
	d := newTestPoolWithLongRunning(t)
	here, other := d.runOnA()
	assert.Assert(t, here != nil)
	d.now = d.now.Add(maintenanceGrace)
	d.poll("a", worker.PollResult{Runs: []worker.Run{{Task: here.name, Number: here.number, Percent: 100}}}, accepted)
	cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "a", MaintenanceRequired: true}}})
	for name, u := range d.workers[other].runs {
		d.poll(other, worker.PollResult{Runs: []worker.Run{{Task: name, Number: u.number, Percent: 50}}}, accepted)
	}
	d.persist()
	before := d.Report(CordonRequest{}, d.now).MinWorkers
	d.now = d.now.Add(maintenanceGrace + time.Second)
	d.persist()
	assert.Assert(t, !here.stopping && d.workers["a"].maintenanceOverdue(d.now))
	assert.Equal(t, d.Report(CordonRequest{}, d.now).MinWorkers, before)
}

func cordon(d *testPool, request CordonRequest) {
	d.t.Helper()
	_, err := d.Cordon(request, d.now)
	assert.NilError(d.t, err)
}

// TestOutdatedRequestChangesNoCordon guards against cordon requests that arrive out of order, or
// late from a replaced holder of the instances role: what an earlier request demands is outdated,
// as the worker is about to be moved.
func TestOutdatedRequestChangesNoCordon(t *testing.T) {
	for _, outdated := range []CordonRequest{{Epoch: 2, Number: 4}, {Epoch: 1, Number: 9}} {
		d := newTestPool(t, 1)
		d.registerWorker()
		cordon(d, CordonRequest{Epoch: 2, Number: 5, Workers: []CordonedWorker{{ID: "w"}}})
		_, err := d.Cordon(outdated, d.now)
		assert.Assert(t, errkind.Is(err, errkind.Conflict), "%v", err)
		assert.Assert(t, d.workers["w"].cordoned, "%+v", outdated)
	}
}
