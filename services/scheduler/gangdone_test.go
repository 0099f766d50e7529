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

// TestDoneOfOneMemberStandsForItsGang: the members of a gang end as done together, and
// one worker is gone before it has listed its own end.
func TestDoneOfOneMemberStandsForItsGang(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.UpdateWorker(worker.Worker{ID: "v", Instance: "j", Pool: "p", Address: "b", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.look("v", worker.PollResult{}, heard)
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 2, Size: job.Size{CPU: 3000}, Estimate: time.Second, Gang: true}}}, d.now)
	d.keep()
	for _, w := range []worker.ID{"v", "w"} {
		order, has := d.NextOrder(w, d.now)
		assert.Assert(t, has)
		d.StartOrder(order, d.now)
		d.HandleOrderResponse(order, heard, d.now)
	}
	d.now = d.now.Add(time.Second)
	for _, r := range d.jobs["1"].runs() {
		if r.at.info.ID == "w" {
			d.look("w", worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: r.name, Number: 1, Reason: worker.Done}}}, heard)
		}
	}
	d.keep()
	d.UpdateWorker(worker.Worker{ID: "v2", Instance: "j", Pool: "p", Address: "b", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.now = d.now.Add(10 * time.Second)
	d.ExpireLeases(d.now)
	d.look("v2", worker.PollResult{}, heard)
	d.look("w", worker.PollResult{}, heard)
	d.keep()
	state, _ := d.State("1")
	assert.Equal(t, state, job.Completed)
}
