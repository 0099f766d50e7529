// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/worker"
)

// TestTheLastAttemptGoesElsewhere: a worker fails all that begins there, for a second or
// two, and no other has room. A task that has failed there waits with its last attempt for
// another worker, or until it has waited for long.
func TestTheLastAttemptGoesElsewhere(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("1", 1)
	a := d.life("a", 1)
	fail := func(n int) {
		d.look(a, worker.PollResult{Ends: []worker.EndedRun{{Sequence: n, Task: "1.0.0.0", Number: n, Reason: worker.Failed}}}, heard)
	}
	for n := range 2 {
		assert.DeepEqual(t, d.beginAll(a), []string{"1.0.0.0"})
		fail(n + 1)
	}
	d.now = d.now.Add(time.Second)
	d.keep()
	assert.Equal(t, d.waitingTasks("1"), 1, "the last attempt is spent where two have failed")
	b := d.life("b", 1)
	assert.DeepEqual(t, d.beginAll(b), []string{"1.0.0.0"})
}

// TestTheLastAttemptIsNotPutOffForever: where no other worker comes, it is made where the
// others have failed.
func TestTheLastAttemptIsNotPutOffForever(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("1", 1)
	a := d.life("a", 1)
	for n := range 2 {
		d.beginAll(a)
		d.look(a, worker.PollResult{Ends: []worker.EndedRun{{Sequence: n + 1, Task: "1.0.0.0", Number: n + 1, Reason: worker.Failed}}}, heard)
	}
	d.keep()
	d.now = d.now.Add(2500 * time.Millisecond)
	assert.DeepEqual(t, d.beginAll(a), []string{"1.0.0.0"})
}
