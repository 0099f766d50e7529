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

// TestLastAttemptGoesElsewhere: a worker fails all its runs for a second or two, and no other one
// has capacity. A task that has failed there waits with its last attempt for another worker, or
// until it has waited for long.
func TestLastAttemptGoesElsewhere(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	a := d.addIncarnation("a", 1)
	fail := func(n int) {
		d.poll(a, worker.PollResult{Ends: []worker.EndedRun{{Sequence: n, Task: "1.0.0.0", Number: n, Reason: worker.Failed}}}, accepted)
	}
	for n := range 2 {
		assert.DeepEqual(t, d.startAll(a), []string{"1.0.0.0"})
		fail(n + 1)
	}
	d.now = d.now.Add(time.Second)
	d.persist()
	assert.Equal(t, d.waitingTasks("1"), 1, "the last attempt is used where two have failed")
	b := d.addIncarnation("b", 1)
	assert.DeepEqual(t, d.startAll(b), []string{"1.0.0.0"})
}

// TestLastAttemptIsNotDelayedForever: if there is no other worker, the last attempt is made where
// the earlier ones failed.
func TestLastAttemptIsNotDelayedForever(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	a := d.addIncarnation("a", 1)
	for n := range 2 {
		d.startAll(a)
		d.poll(a, worker.PollResult{Ends: []worker.EndedRun{{Sequence: n + 1, Task: "1.0.0.0", Number: n + 1, Reason: worker.Failed}}}, accepted)
	}
	d.persist()
	d.now = d.now.Add(2500 * time.Millisecond)
	assert.DeepEqual(t, d.startAll(a), []string{"1.0.0.0"})
}

// TestLastAttemptTriesAWorkerIfNoOtherIsLeft guards against a job that never ends (LOST): each worker of its pool is on
// trial until something succeeds there, and only tasks on their last attempt wait, which are not used to try a worker.
// While another worker suits, though it is full, they wait for that one.
func TestLastAttemptTriesAWorkerIfNoOtherIsLeft(t *testing.T) {
	for name, another := range map[string]bool{"no other worker": false, "another worker, which is full": true} {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			d.submit("1", 1)
			for range testConfig.Queues[0].MaxAttempts - 1 {
				d.listWorker("a")
				assert.DeepEqual(t, d.failAll("a"), []string{"1.0.0.0"})
			}
			d.eject(d.workers["a"], firstEjection, d.now, "different jobs fail there", "2.0.0.0")
			d.now = d.now.Add(maxEjection)
			d.listWorker("a")
			if another {
				d.listWorker("b")
				d.workers["b"].used = d.workers["b"].info.Capacity
			}
			want := 1
			if another {
				want = 0
			}
			assert.Equal(t, len(d.startAll("a")), want)
		})
	}
}

// TestLastWorkerRestsForTwoSeconds guards against jobs that have nothing running for 3 s while their pool has capacity
// (LOST): the pool has one worker, on which jobs fail that fail always, and it was ejected for up to 24 s at a time. It
// gets tasks two seconds after each failure, and none before.
func TestLastWorkerRestsForTwoSeconds(t *testing.T) {
	d := newTestPool(t, 1)
	for _, id := range []job.ID{"1", "2", "3", "4", "5"} {
		d.submit(id, 1)
	}
	d.listWorker("a")
	d.failAll("a")
	for _, want := range []int{1, 2, 4, 3} { // the worker has room for four, and three jobs are left
		d.now = d.now.Add(lastEjection - time.Millisecond)
		assert.Equal(t, len(d.startAll("a")), 0, "the worker does not rest")
		wake := d.Plan(d.now)
		assert.Assert(t, !wake.IsZero() && !wake.After(d.now.Add(time.Millisecond)), "no plan is due when the rest ends: %v", wake.Sub(d.now))
		d.now = d.now.Add(time.Millisecond)
		assert.Equal(t, len(d.failAll("a")), want)
	}
}

// TestRestOfALongEjectedWorker guards against the same failure where the other workers of a pool rest as well or have
// left it; while another worker takes tasks, an ejection lasts its whole time.
func TestRestOfALongEjectedWorker(t *testing.T) {
	for name, c := range map[string]struct {
		other func(d *testPool)
		want  int // tasks that are started once both have rested for two seconds
	}{
		"the other worker is full": {func(d *testPool) { d.workers["b"].used = d.workers["b"].info.Capacity }, 0},
		"the other worker rests as long": {func(d *testPool) {
			d.eject(d.workers["b"], maxEjection, d.now, "different jobs fail there", "2.0.0.0")
		}, 1},
		"the other worker has left":      {func(d *testPool) { d.UnlistWorker("b") }, 1},
		"the other worker is evacuated":  {func(d *testPool) { d.workers["b"].evacuated = true }, 1},
		"the other worker is on a trial": {func(d *testPool) { d.tryWorker("b") }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			d.listWorker("a")
			d.listWorker("b")
			d.eject(d.workers["a"], maxEjection, d.now, "different jobs fail there", "2.0.0.0")
			c.other(d)
			d.submit("1", 4)
			d.now = d.now.Add(lastEjection)
			assert.Equal(t, len(d.startAll("a"))+len(d.startAll("b")), c.want)
		})
	}
}

// TestLastWorkerTriesMoreEachTime guards against the same failure with many jobs: they took turns, as the pool's only
// worker got one task at a time, and some had nothing running for half a minute. It gets more tasks at once after each
// failed trial, until one succeeds or another worker takes tasks.
func TestLastWorkerTriesMoreEachTime(t *testing.T) {
	for name, c := range map[string]struct {
		another int   // trial before which another worker comes, which is full
		want    []int // tasks of each trial
	}{
		"the only worker":      {9, []int{1, 2, 4}},
		"another worker":       {0, []int{1, 1, 1}},
		"another worker comes": {2, []int{1, 2, 2, 1}}, // it is counted from the next failure on
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			d.listWorker("a")
			d.eject(d.workers["a"], firstEjection, d.now, "different jobs fail there", "0.0.0.0")
			d.submit("1", 12)
			for n, want := range c.want {
				if n == c.another {
					d.listWorker("b")
					d.workers["b"].used = d.workers["b"].info.Capacity
				}
				d.now = d.now.Add(lastEjection)
				if n >= c.another {
					d.now = d.now.Add(maxEjection)
				}
				assert.Equal(t, len(d.failAll("a")), want)
				assert.Equal(t, len(d.startAll("a")), 0, "the worker does not rest")
			}
		})
	}
}

// tryWorker starts a task on a worker whose ejection has ended.
func (d *testPool) tryWorker(id worker.ID) {
	d.t.Helper()
	d.submit("trial", 1)
	assert.Equal(d.t, len(d.startAll(id)), 1)
	d.workers[id].health.onTrial = true
}

// TestNextOwnerEndsALongRest guards against the same failure with a rest of 24 s that an earlier owner has persisted, of
// the pool's only worker.
func TestNextOwnerEndsALongRest(t *testing.T) {
	first := newTestPool(t, 1)
	first.submit("1", 1)
	first.listWorker("a")
	first.eject(first.workers["a"], maxEjection, first.now, "different jobs fail there", "2.0.0.0")
	second := first.nextOwner()
	second.listWorker("a")
	assert.Equal(t, len(second.startAll("a")), 0)
	second.now = second.now.Add(lastEjection)
	assert.Equal(t, len(second.startAll("a")), 1)
}
