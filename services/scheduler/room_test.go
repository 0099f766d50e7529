// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestPlanLooksAtWorkersWithRoom guards against a plan of a pool in a surge that looks at all full workers for each task
// that fits on one of the others, and against one that leaves out a worker with room for a smaller task.
func TestPlanLooksAtWorkersWithRoom(t *testing.T) {
	const workers, free, tasks, small = 100, 3, 4, 10
	d := newTestPool(t, 1)
	for n := range workers {
		id := worker.ID(fmt.Sprintf("w-%03d", n))
		d.UpdateWorker(worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: "a", Capacity: job.Size{CPU: 1000 * tasks, MemoryMB: 4000}})
		d.poll(id, worker.PollResult{}, port.Response{Result: port.Accepted, Clock: accepted.Clock})
		if n >= free {
			d.workers[id].used = job.Size{CPU: 1000*tasks - 50, MemoryMB: 1000}
		}
	}
	d.workers["w-050"].used = job.Size{CPU: 1000*tasks - 100*small, MemoryMB: 1000}
	before := d.Work()
	step := job.Step{Count: free*tasks + 1, Size: job.Size{CPU: 1000}, Estimate: time.Second}
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{step}}, d.now)
	step.Count, step.Size = small, job.Size{CPU: 100}
	d.Submit(job.Submission{ID: "2", Queue: "h/q/", Steps: []job.Step{step}}, d.now)
	d.Plan(d.now)
	assert.Equal(t, d.waitingTasks("1"), 0)
	assert.Equal(t, d.waitingTasks("2"), small, "the larger task took the room")
	d.Submit(job.Submission{ID: "3", Queue: "h/q/", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 50}, Estimate: time.Second}}}, d.now)
	d.Plan(d.now)
	assert.Equal(t, d.waitingTasks("3"), 0, "a worker with room is left out")
	examined, most := d.Work().Minus(before).Examined, uint64((free+1)*(free*tasks+1)+2*workers) // a task of each small size looks at all
	assert.Assert(t, examined <= most, "%d, at most %d are due", examined, most)
}

// TestPlanSeesTheRoomOfAClaimGivenUp guards against tasks that wait although there is room: a claim that is given up during
// the plan was all that filled its worker.
func TestPlanSeesTheRoomOfAClaimGivenUp(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	step := job.Step{Count: 2, Size: job.Size{CPU: 4000}, Estimate: time.Second}
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{step}}, d.now)
	j, w := d.jobs["1"], d.workers["w"]
	s := &j.openRound(0).steps[0]
	c := &claim{job: j, step: s, task: s.task(0), worker: w, size: step.Size, since: d.now}
	c.count(1)
	d.claims = append(d.claims, c)
	d.room = newPlanRoom(d.Pool, d.candidates(d.now), d.now)
	assert.Equal(t, len(slices.Collect(d.workersWithRoom())), 0)
	assert.Equal(t, d.takeClaim(s, d.now), w)
	assert.Assert(t, slices.Equal(slices.Collect(d.workersWithRoom()), []*workerState{w}))
}
