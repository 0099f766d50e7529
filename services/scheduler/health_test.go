// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
