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

// listWorker lists a worker of four cores and has it respond to a poll.
func (d *testPool) listWorker(id worker.ID) {
	d.t.Helper()
	d.listWorkerWith(id, 4000)
}

// listWorkerWith lists a worker with a capacity and labels and has it respond to a poll.
func (d *testPool) listWorkerWith(id worker.ID, cpu int, labels ...string) {
	d.t.Helper()
	d.UpdateWorker(worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: string(id), Labels: labels, Capacity: job.Size{CPU: cpu, MemoryMB: 4000}})
	d.poll(id, worker.PollResult{}, accepted)
}

// failAll starts what is placed on a worker and has it fail; it returns the tasks.
func (d *testPool) failAll(id worker.ID) []string {
	d.t.Helper()
	started := d.startAll(id)
	d.endAll(id, started, func(string) worker.EndReason { return worker.Failed })
	return started
}

// endAll has runs of a worker end, each for the reason that is given for its task.
func (d *testPool) endAll(id worker.ID, tasks []string, reason func(task string) worker.EndReason) {
	d.t.Helper()
	var l worker.PollResult
	for i, task := range tasks {
		l.Ends = append(l.Ends, worker.EndedRun{Sequence: d.workers[id].lastEnd + i + 1, Task: task, Number: d.workers[id].runs[task].number, Reason: reason(task)})
	}
	d.poll(id, l, accepted)
}

// newTestPoolWithEjectedWorker returns a pool in which two jobs have failed on the worker "a".
func newTestPoolWithEjectedWorker(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	d.submit("2", 1)
	d.listWorker("a")
	d.failAll("a")
	return d
}

// TestNextOwnerRetriesElsewhere guards against a job that is reported as failed although it could be
// completed (LOST): its task has failed on a worker, and the next owner of the pool uses the
// remaining attempts there, while another worker is well but full for now.
func TestNextOwnerRetriesElsewhere(t *testing.T) {
	first := newTestPool(t, 1)
	first.submit("1", 1)
	first.listWorker("a")
	assert.DeepEqual(t, first.failAll("a"), []string{"1.0.0.0"})

	second := first.nextOwner()
	second.listWorker("a")
	second.listWorker("b")
	second.workers["b"].used = second.workers["b"].info.Capacity
	second.now = second.now.Add(time.Second)
	assert.Equal(t, len(second.startAll("a")), 0, "the task is tried again where it has failed")
	second.workers["b"].used = job.Size{}
	second.needsPlan = true
	assert.DeepEqual(t, second.startAll("b"), []string{"1.0.0.0"})
}

// TestNextOwnerKeepsAWorkerEjected guards against the same failure with a worker that fails all: it
// was ejected, and the next owner of the pool must not place tasks there before the ejection ends,
// and then one at a time, also if the worker has restarted meanwhile.
func TestNextOwnerKeepsAWorkerEjected(t *testing.T) {
	first := newTestPoolWithEjectedWorker(t)
	assert.Assert(t, first.workers["a"].ejected(first.now))

	second := first.nextOwner()
	second.submit("3", 2)
	second.listWorker("a")
	assert.Equal(t, len(second.startAll("a")), 0, "a task is placed on an ejected worker")
	second.now = second.now.Add(firstEjection)
	assert.Equal(t, len(second.startAll("a")), 1, "a worker on trial gets one task")

	third := second.nextOwner()
	third.listWorker("a")
	assert.Assert(t, third.workers["a"].health.onTrial)
	third.clearFailures(third.workers["a"])
	third.persist()
	assert.Equal(t, len(first.journal[keyHealth+"a"].Value), 0, "the health of a worker that works is persisted")
}

// TestHealthOfAnUnlistedWorkerIsRemoved guards against records of unhealthy workers that are kept
// forever.
func TestHealthOfAnUnlistedWorkerIsRemoved(t *testing.T) {
	first := newTestPoolWithEjectedWorker(t)
	second := first.nextOwner()
	second.now = second.now.Add(staleHealthAfter)
	second.persist()
	assert.Equal(t, len(first.journal[keyHealth+"a"].Value), 0)
}

// TestRetryAvoidsTheFailingWorker guards against a job that fails on one worker only while others
// are well: the second attempt does not go where the first has failed if another worker suits it.
func TestRetryAvoidsTheFailingWorker(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	d.listWorker("a")
	assert.DeepEqual(t, d.failAll("a"), []string{"1.0.0.0"})
	d.listWorker("b")
	d.workers["b"].used = d.workers["b"].info.Capacity
	assert.DeepEqual(t, d.startAll("a"), []string(nil))
	d.now = d.now.Add(retryElsewhereDelay)
	assert.Equal(t, len(d.startAll("a")), 1, "the task waits too long")
}

// TestRepeatedCrashesOfOneWorkerDoNotFailATask guards against a job that is reported as failed
// although it could be completed (LOST): one worker crashes twice, first under three starting tasks
// and then under one of them alone, which says as much of the worker as of the task.
func TestRepeatedCrashesOfOneWorkerDoNotFailATask(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 3)
	assert.Equal(t, len(d.startAll("w")), 3)
	d.now = d.now.Add(time.Second)
	d.confirmStart(2000)
	d.confirmStart(2000)
	d.persist()
	assert.Equal(t, d.takeStart("w"), 1, "suspects are started together")
	d.now = d.now.Add(time.Second)
	d.confirmStart(3000)
	d.confirmStart(3000)
	assert.Equal(t, d.persistedState("1"), job.Running)
}

// takeStart has one start order to a worker accepted and returns how many tasks were placed there.
func (d *testPool) takeStart(id worker.ID) int {
	d.t.Helper()
	placed := len(d.workers[id].runs)
	o, has := d.NextOrder(id, d.now)
	assert.Assert(d.t, has)
	d.StartOrder(o, d.now)
	d.HandleOrderResponse(o, accepted, d.now)
	return placed
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

// TestLongRunningTaskIsProvenAcrossOwners guards against a long-running job that is reported as
// failed for crashes of other causes (LOST): its task has been running for long, and the pool's
// owners change more often than that.
func TestLongRunningTaskIsProvenAcrossOwners(t *testing.T) {
	d := newTestPoolWithServingTasks(t)
	clock := accepted.Clock
	for range 4 {
		d.now, clock = d.now.Add(time.Second), clock+time.Second
		d.listRuns("a", clock)
		d = d.nextOwner()
		d.poll("b", worker.PollResult{}, port.Response{Result: port.Unknown})
	}
	task := slices.Collect(maps.Keys(d.workers["a"].runs))[0]
	u := d.workers["a"].runs[task]
	d.poll("a", worker.PollResult{}, otherIncarnation) // this owner has not heard from the crashed worker
	assert.Equal(t, len(u.task().crashes), 0, "the crash is attributed to a task that had been running for long")
}
