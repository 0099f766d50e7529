// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// entryAt returns the entry of the worker "w" with an address.
func entryAt(startedAt int64, address string) worker.Worker {
	w := workerStartedAt(startedAt)
	w.Address = address
	return w
}

// contactedAt returns where the worker "w" is contacted.
func (d *testPool) contactedAt() string {
	d.WorkersToReconnect()
	w, _ := d.Worker("w")
	return w.Address
}

// TestWorkerAtAWrongAddressEndsNoRun guards against a task that runs twice (TWICE): an entry names the
// address of another worker, which responds that it is another one, while the run goes on where it was. At
// the address where the worker has responded, the same response ends its runs.
func TestWorkerAtAWrongAddressEndsNoRun(t *testing.T) {
	for name, startedAt := range map[string]int64{"start time reported": 1000, "not reported": 0} {
		for _, next := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				d := newTestPool(t, 1)
				d.registerStart(startedAt)
				d.submit("1", 1)
				d.HandleOrderResponse(d.sendOrder(), accepted, d.now)
				if next { // the next owner has read only the wrong entry
					d = d.nextOwner()
				}
				d.UpdateWorker(entryAt(startedAt, "b"))
				assert.Equal(t, d.contactedAt(), "b")
				d.poll("w", worker.PollResult{}, otherIncarnation)
				assert.Equal(t, d.waitingTasks("1"), 0, "the run goes on")
				assert.Equal(t, d.contactedAt(), "a")
				d.UpdateWorker(entryAt(startedAt, "b"))
				assert.Equal(t, d.contactedAt(), "a", "the entry is read again")
				d.poll("w", worker.PollResult{StartedAt: startedAt, Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}, accepted)
				assert.Equal(t, d.waitingTasks("1"), 0)
				d.UpdateWorker(entryAt(startedAt, "a"))
				d.poll("w", worker.PollResult{}, otherIncarnation)
				assert.Equal(t, d.waitingTasks("1"), 1, "its life is over")
			})
		}
	}
}

// TestOrderToAWrongAddressIsSentAgain guards against a run that ends since its order went to another worker, and
// against that worker's clock being taken for the clock of the one that was meant.
func TestOrderToAWrongAddressIsSentAgain(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	before := d.workers["w"].clock
	d.UpdateWorker(entryAt(1000, "b"))
	foreign := port.Response{Result: port.OtherIncarnation, Clock: 50 * accepted.Clock}
	order := d.sendOrder()
	assert.Assert(t, d.HandleOrderResponse(order, foreign, d.now))
	assert.Equal(t, d.workers["w"].clock, before)
	assert.Equal(t, d.waitingTasks("1"), 0)
	assert.Equal(t, d.contactedAt(), "a")
	d.Retry(order, d.now)
	d.confirmStart(1000)
	assert.Assert(t, !d.HandleOrderResponse(d.sendOrder(), accepted, d.now))
}

// TestAddressOfAWorkerIsPersistedWhereItResponded guards against a next owner that takes a wrong address for the
// one at which the runs are.
func TestAddressOfAWorkerIsPersistedWhereItResponded(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	d.UpdateWorker(entryAt(1000, "b"))
	d.HandleOrderResponse(d.sendOrder(), accepted, d.now)
	assert.Equal(t, d.nextOwner().contactedAt(), "a")
}
