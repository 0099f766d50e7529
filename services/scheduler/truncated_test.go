// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// The ends of the two tasks of job "1"; a list that is truncated has the first one only.
var (
	firstEnd  = worker.EndedRun{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done}
	secondEnd = worker.EndedRun{Sequence: 2, Task: "1.0.0.1", Number: 1, Reason: worker.Done}
	truncated = worker.PollResult{Ends: []worker.EndedRun{firstEnd}, Truncated: true}
	complete  = worker.PollResult{Ends: []worker.EndedRun{secondEnd}}
)

// TestEndsBeyondATruncatedList guards against tasks that are started again after they are done (TWICE): the list of a
// worker has only the first of the runs that have ended there, and the others are in neither list.
func TestEndsBeyondATruncatedList(t *testing.T) {
	for name, prepare := range map[string]func(d *testPool) *testPool{
		"the same owner": func(d *testPool) *testPool { return d },
		"the first poll of the next owner": func(d *testPool) *testPool {
			n := d.nextOwner()
			n.UpdateWorker(d.workers["w"].info)
			return n
		},
		"a worker that had not responded": func(d *testPool) *testPool {
			d.poll("w", worker.PollResult{}, port.Response{Result: port.Unknown})
			d.now = d.now.Add(time.Second)
			return d
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			d.registerWorker()
			d.submit("1", 2)
			assert.Equal(t, len(d.startAll("w")), 2)
			d = prepare(d)
			d.poll("w", truncated, accepted)
			d.persist()
			starts, stops := d.takeOrders("w")
			assert.Equal(t, starts+stops, 0)
			d.now = d.now.Add(pollGap)
			k, request, _ := d.BeginPoll("w", time.Second, d.now)
			assert.Equal(t, request.Acknowledged, 1, "the worker can't list the other end before")
			assert.Equal(t, request.Wait, time.Duration(0), "the other end is known already")
			d.EndPoll(k, complete, accepted, d.now)
			assert.Equal(t, d.persistedState("1"), job.Completed)
			starts, _ = d.takeOrders("w")
			assert.Equal(t, starts, 0)
		})
	}
}

// TestCompleteListAfterATruncatedOne guards against a task that is never started again: its run was lost, which a
// truncated list can't show.
func TestCompleteListAfterATruncatedOne(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 2)
	d.startAll("w")
	d.poll("w", truncated, accepted)
	d.persist()
	d.poll("w", worker.PollResult{}, accepted)
	assert.DeepEqual(t, d.startAll("w"), []string{"1.0.0.1"})
}

// TestStoppedRunBeyondATruncatedList guards against a second run of a task beside the one that is being stopped (TWICE):
// the task waits until the end of the stopped run is listed.
func TestStoppedRunBeyondATruncatedList(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 2)
	d.startAll("w")
	d.stopRun(d.workers["w"].runs["1.0.0.1"], d.now, "for the test")
	d.persist()
	_, stops := d.takeOrders("w")
	assert.Equal(t, stops, 1)
	d.poll("w", truncated, accepted)
	assert.Equal(t, len(d.startAll("w")), 0)
	d.poll("w", complete, accepted)
	assert.Equal(t, d.persistedState("1"), job.Completed)
}

// TestRestartedWorkerWithATruncatedList guards against the same failure with a worker that has restarted under its ID
// and has carried out orders since: the first list of its new incarnation is truncated.
func TestRestartedWorkerWithATruncatedList(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 2)
	d.startAll("w")
	d.confirmListing(2000, truncated)
	assert.Equal(t, len(d.startAll("w")), 0)
	d.confirmListing(2000, complete)
	assert.Equal(t, d.persistedState("1"), job.Completed)
}

// TestEndsOfUnknownRunsAreListed guards against ends that nobody takes note of: the worker has no run that is known
// here, and lists the other ends only once the first ones are acknowledged.
func TestEndsOfUnknownRunsAreListed(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.poll("w", worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: "2.0.0.0", Number: 1, Reason: worker.Done}}, Truncated: true}, accepted)
	_, _, has := d.NextPoll("w")
	assert.Assert(t, has)
}
