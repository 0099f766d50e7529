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

// TestStuckMaintenanceAsksForAWorker has two tasks that last on the only worker,
// which must be maintained: one at most may be away, so that they need another.
func TestStuckMaintenanceAsksForAWorker(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 2, Size: job.Size{CPU: 1000}, LongRunning: true, MaxUnavailable: 1}}}, d.now)
	d.keep()
	d.look("w", worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1, Percent: 100}, {Task: "1.0.0.1", Number: 1, Percent: 100}}}, heard)
	cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "w", MaintenanceRequired: true}}})
	d.keep()
	before := d.Report(CordonRequest{}, d.now).MinWorkers
	d.now = d.now.Add(mustPatience + time.Second)
	d.keep()
	assert.Equal(t, d.Report(CordonRequest{}, d.now).MinWorkers, before+1)
}

func cordon(d *desk, asked CordonRequest) {
	d.t.Helper()
	_, err := d.Cordon(asked, d.now)
	assert.NilError(d.t, err)
}

// TestALateQuestionChangesNoCordon: questions of the duty for instances may overtake
// one another, and one of a replaced holder may come late. What an earlier one asks
// for is not wanted any more: the worker is about to be moved.
func TestALateQuestionChangesNoCordon(t *testing.T) {
	for _, late := range []CordonRequest{{Epoch: 2, Number: 4}, {Epoch: 1, Number: 9}} {
		d := newDesk(t, 1)
		d.serve()
		cordon(d, CordonRequest{Epoch: 2, Number: 5, Workers: []CordonedWorker{{ID: "w"}}})
		_, err := d.Cordon(late, d.now)
		assert.Assert(t, errkind.Is(err, errkind.Conflict), "%v", err)
		assert.Assert(t, d.workers["w"].cordoned, "%+v", late)
	}
}
