// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/worker"
)

// TestRestoredRunsEndByTheirProgress guards against runs of an earlier owner that count as just started
// when their workers are first polled: what they have done is listed.
func TestRestoredRunsEndByTheirProgress(t *testing.T) {
	first := newTestPool(t, 1)
	first.registerWorker()
	first.submit("1", 1) // a minute
	first.startAll("w")
	d := first.nextOwner()
	d.UpdateWorker(first.workers["w"].info)
	list := func(percent int) time.Duration {
		d.poll("w", worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1, Percent: percent}}}, accepted)
		return d.remainingTime(d.firstTask("1").runs[0], d.now)
	}
	assert.Equal(t, list(75), 15*time.Second)
	d.now = d.now.Add(time.Second)
	assert.Equal(t, list(75), 14*time.Second)
	assert.Equal(t, list(80), 12*time.Second)
}
