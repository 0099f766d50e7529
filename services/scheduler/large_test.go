// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/standin/cputime"
)

// newFullPool returns a pool of 3,000 workers, each with one free core and a run of two hours, and 2,000
// waiting jobs whose tasks need more than that, as in a surge that the pool can't serve yet.
func newFullPool(t *testing.T) *testPool {
	const workers, jobs = 3000, 2000
	d := newTestPool(t, 1)
	d.Logger = log.Nop()
	for n := range workers {
		id := worker.ID(fmt.Sprintf("w-%04d", n))
		d.UpdateWorker(worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: "a", Capacity: job.Size{CPU: 4000, MemoryMB: 8000}})
		d.poll(id, worker.PollResult{}, accepted)
		d.workers[id].used = job.Size{CPU: 3000, MemoryMB: 1000}
	}
	for n := range jobs {
		d.Submit(job.Submission{ID: job.ID(fmt.Sprintf("%016x", n+1)), Queue: "h/q/", Steps: []job.Step{
			{Count: 8, Size: job.Size{CPU: 1001 + n%7*300, MemoryMB: 100 + n%5*200}, Estimate: time.Second},
		}}, d.now)
	}
	return d
}

// maxPlanTime is the processor time that the plan may take, with the race detector as well.
const maxPlanTime = 250 * time.Millisecond

// TestPlanOfAFullPoolIsQuick guards against plans whose time grows with the product of waiting steps and
// workers: one for 2,000 steps that no worker of 3,000 has room for took 0.2 s of a core.
func TestPlanOfAFullPoolIsQuick(t *testing.T) {
	d := newFullPool(t)
	took, err := cputime.Of(func() { d.Plan(d.now) })
	assert.NilError(t, err)
	assert.Assert(t, took < maxPlanTime, "%s", took)
	assert.Equal(t, d.waitingTasks(job.ID(fmt.Sprintf("%016x", 1))), 8)
}

// TestNoRoomIsRememberedForOnePlan guards against tasks that wait although there is room: a larger task
// that fits nowhere says nothing of smaller ones, of those that may use reserved workers, or of the next
// plan.
func TestNoRoomIsRememberedForOnePlan(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	large := job.Step{Count: 1, Size: job.Size{CPU: 4001, MemoryMB: 100}, Estimate: time.Second}
	small := job.Step{Count: 4, Size: job.Size{CPU: 1000, MemoryMB: 500}, Estimate: time.Second}
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{large}}, d.now)
	d.Submit(job.Submission{ID: "2", Queue: "h/q/", Steps: []job.Step{small}}, d.now)
	d.persist()
	assert.Equal(t, d.waitingTasks("1"), 1)
	assert.Equal(t, d.waitingTasks("2"), 0)
	d.resize(9000)
	d.persist()
	assert.Equal(t, d.waitingTasks("1"), 0, "the task is not placed although there is room now")
}
