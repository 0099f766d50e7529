// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
)

// resize lists the worker "w" with another capacity.
func (d *testPool) resize(cpu int) {
	d.t.Helper()
	info, known := d.Worker("w")
	assert.Assert(d.t, known)
	info.Capacity = job.Size{CPU: cpu, MemoryMB: 4000}
	d.UpdateWorker(info)
}

// TestNothingStartsInShrunkCapacity: a worker reports less capacity after tasks were placed there
// and before their orders are sent. Those that no longer fit wait again.
func TestNothingStartsInShrunkCapacity(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 4)
	d.persist()
	d.resize(2000)
	starts, _ := d.takeOrders("w")
	assert.Equal(t, starts, 2)
	assert.Equal(t, d.waitingTasks("1"), 2)
	d.persist()
	starts, _ = d.takeOrders("w")
	assert.Equal(t, starts, 0)
}

// TestStoppingRunsCountInShrunkCapacity: a run that is being stopped occupies its capacity until
// its end is listed.
func TestStoppingRunsCountInShrunkCapacity(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 4)
	assert.Equal(t, len(d.startAll("w")), 4)
	d.resize(2000)
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.submit("2", 1)
	d.persist()
	_, stops := d.takeOrders("w")
	assert.Equal(t, stops, 4)
	d.persist()
	assert.Equal(t, d.waitingTasks("2"), 1)
}

// TestGrownCapacityIsUsed: waiting tasks are placed as soon as a worker reports more capacity, even
// if nothing else has changed.
func TestGrownCapacityIsUsed(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.resize(1000)
	d.submit("1", 3)
	d.persist()
	assert.Equal(t, d.waitingTasks("1"), 2)
	d.resize(4000)
	d.persist()
	assert.Equal(t, d.waitingTasks("1"), 0)
}
