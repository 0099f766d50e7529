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
