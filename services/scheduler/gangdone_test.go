// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// TestEndOfOneMemberCountsForItsGang: the members of a gang are done together, and one worker is
// gone before it has listed its own end.
func TestEndOfOneMemberCountsForItsGang(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.UpdateWorker(worker.Worker{ID: "v", Instance: "j", Pool: "p", Address: "b", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.poll("v", worker.PollResult{}, accepted)
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 2, Size: job.Size{CPU: 3000}, Estimate: time.Second, Gang: true}}}, d.now)
	d.persist()
	for _, w := range []worker.ID{"v", "w"} {
		order, has := d.NextOrder(w, d.now)
		assert.Assert(t, has)
		d.StartOrder(order, d.now)
		d.HandleOrderResponse(order, accepted, d.now)
	}
	d.now = d.now.Add(time.Second)
	for _, r := range d.jobs["1"].runs() {
		if r.worker.info.ID == "w" {
			d.poll("w", worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: r.name, Number: 1, Reason: worker.Done}}}, accepted)
		}
	}
	d.persist()
	d.UpdateWorker(worker.Worker{ID: "v2", Instance: "j", Pool: "p", Address: "b", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.now = d.now.Add(10 * time.Second)
	d.ExpireLeases(d.now)
	d.poll("v2", worker.PollResult{}, accepted)
	d.poll("w", worker.PollResult{}, accepted)
	d.persist()
	state, _ := d.State("1")
	assert.Equal(t, state, job.Completed)
}
