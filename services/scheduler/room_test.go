// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
)

// resize lists the worker "w" with another room.
func (d *desk) resize(cpu int) {
	d.t.Helper()
	info, known := d.Worker("w")
	assert.Assert(d.t, known)
	info.Capacity = job.Size{CPU: cpu, MemoryMB: 4000}
	d.UpdateWorker(info)
}

// TestNothingBeginsInARoomThatHasShrunk: a worker says that it has less room after tasks
// were placed there and before their orders go out. Those that fit no more wait again.
func TestNothingBeginsInARoomThatHasShrunk(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.submit("1", 4)
	d.keep()
	d.resize(2000)
	starts, _ := d.orders("w")
	assert.Equal(t, starts, 2)
	assert.Equal(t, d.waitingTasks("1"), 2)
	d.keep()
	starts, _ = d.orders("w")
	assert.Equal(t, starts, 0)
}

// TestWhatIsStoppedCountsInARoomThatHasShrunk: what has been told to stop takes its room
// until its end is listed.
func TestWhatIsStoppedCountsInARoomThatHasShrunk(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.submit("1", 4)
	assert.Equal(t, len(d.beginAll("w")), 4)
	d.resize(2000)
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.submit("2", 1)
	d.keep()
	_, stops := d.orders("w")
	assert.Equal(t, stops, 4)
	d.keep()
	assert.Equal(t, d.waitingTasks("2"), 1)
}

// TestARoomThatGrowsIsUsed: tasks that wait are placed as soon as the worker says that it
// has more room, though nothing else has changed.
func TestARoomThatGrowsIsUsed(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.resize(1000)
	d.submit("1", 3)
	d.keep()
	assert.Equal(t, d.waitingTasks("1"), 2)
	d.resize(4000)
	d.keep()
	assert.Equal(t, d.waitingTasks("1"), 0)
}
