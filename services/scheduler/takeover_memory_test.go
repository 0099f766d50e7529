// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// testJournal holds the newest records of a pool, by key.
type testJournal map[string]port.Record

// nextOwner persists what has changed in the pool and returns it as its next owner restores it.
func (d *testPool) nextOwner() *testPool {
	d.t.Helper()
	d.persist()
	n := newTestPool(d.t, d.Token+1)
	n.now, n.journal = d.now, d.journal
	assert.NilError(d.t, n.Restore(slices.Collect(maps.Values(d.journal)), n.now, time.Minute))
	return n
}

// listWorker lists a worker and has it respond to a poll.
func (d *testPool) listWorker(id worker.ID) {
	d.t.Helper()
	d.UpdateWorker(worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: string(id), Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.poll(id, worker.PollResult{}, accepted)
}

// newTestPoolWithServingTasks returns a pool with a job of two long-running tasks, of which one may
// be unavailable, on the workers "a" and "b".
func newTestPoolWithServingTasks(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 2, Size: job.Size{CPU: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1}}}, d.now)
	d.listWorker("a")
	d.listWorker("b")
	d.startAll("a")
	d.startAll("b")
	return d
}

// listRuns has a worker list its runs as working, by its clock.
func (d *testPool) listRuns(id worker.ID, clock time.Duration) {
	d.t.Helper()
	var l worker.PollResult
	for name, u := range d.workers[id].runs {
		l.Runs = append(l.Runs, worker.Run{Task: name, Number: u.number, Percent: fullPercent})
	}
	d.poll(id, l, port.Response{Result: port.Accepted, Clock: clock})
}

// TestRestoredTasksOfAFailedJobServe guards against a serving task that is stopped beside one that
// is unavailable (AVAIL): the job fails under a new owner, which has not heard from the worker of
// the other task yet.
func TestRestoredTasksOfAFailedJobServe(t *testing.T) {
	first := newTestPoolWithServingTasks(t)
	first.listRuns("a", accepted.Clock)
	second := first.nextOwner()
	second.finishJob(second.jobs["1"], job.Failed, second.now, "test")
	second.persist()
	second.listRuns("a", accepted.Clock)
	_, stops := second.takeOrders("a")
	assert.Equal(t, stops, 0, "a serving task is stopped")
}
