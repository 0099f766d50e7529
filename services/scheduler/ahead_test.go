// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/evacuation"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

const testSlowAppend = 400 * time.Millisecond

// aheadConfig has the queues "q" and, of a higher priority, "u", and a customer with a limit.
func aheadConfig(version uint64, limit int) *config.Config {
	q := testConfig.Queues[0]
	q.Priority = 1
	u := q
	u.Name, u.PathPrefix, u.Priority = "u", "/u/", 0
	c := config.New(version, []config.Queue{q, u}, []config.Pool{{Name: "p"}}, config.Limits{})
	return c.WithCustomers([]config.Customer{{Name: "c", Limit: job.Size{CPU: limit}}})
}

// submitTo submits a job of tasks of a second and of 1,000 thousandths of a core.
func (d *testPool) submitTo(queue string, id job.ID, count int) {
	d.Submit(job.Submission{ID: id, Queue: queue, Customer: "c", Steps: []job.Step{{Count: count, Size: job.Size{CPU: 1000}, Estimate: time.Second}}}, d.now)
}

// newAheadPool returns a pool whose only worker is full of job "1" and, the store being slow, has four
// tasks of job "2" placed ahead.
func newAheadPool(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	d.Configure(aheadConfig(2, 100000))
	d.SetAllowances(quota.Allowances{Epoch: 1, Revision: 1, Version: 2, DefaultFraction: 1})
	d.registerWorker()
	d.submitTo("h/q/", "1", 4)
	d.persist()
	assert.Equal(t, d.startOrders("w"), 4)
	d.now = d.now.Add(500 * time.Millisecond)
	d.SetAppendTime(testSlowAppend, d.now)
	d.submitTo("h/q/", "2", 8)
	d.persist()
	assert.Equal(t, len(d.workers["w"].held), 4)
	assert.Equal(t, d.jobs["2"].rounds[0].steps[0].waiting, 4)
	return d
}

// end has the worker list the ends of the first tasks of job "1", and the others as running.
func (d *testPool) end(count int) {
	var l worker.PollResult
	for i := range 4 {
		name := fmt.Sprintf("1.0.0.%d", i)
		if i < count {
			l.Ends = append(l.Ends, worker.EndedRun{Task: name, Number: 1, Reason: worker.Done, Sequence: i + 1})
		} else {
			l.Runs = append(l.Runs, worker.Run{Task: name, Number: 1})
		}
	}
	d.poll("w", l, port.Response{Result: port.Accepted, Clock: accepted.Clock + d.now.Sub(time.Unix(1000, 0))})
}

// TestHeldOrderGoesOnceItsWorkerHasRoom guards against a worker that waits for an append between two
// runs, and against one that gets more than it has room for.
func TestHeldOrderGoesOnceItsWorkerHasRoom(t *testing.T) {
	d := newAheadPool(t)
	d.end(0)
	assert.Equal(t, d.startOrders("w"), 0, "a worker without room gets an order")
	d.now = d.now.Add(500 * time.Millisecond)
	d.end(2)
	assert.Equal(t, d.startOrders("w"), 2)
	assert.Equal(t, d.workers["w"].free(), job.Size{MemoryMB: 4000})
	d.persist()
	assert.Equal(t, d.startOrders("w"), 0)
}

// TestHeldOrderWaitsForItsRecord guards against a run that no next owner would know of.
func TestHeldOrderWaitsForItsRecord(t *testing.T) {
	d := newAheadPool(t)
	d.submitTo("h/u/", "3", 4) // takes the places of the others
	d.Plan(d.now)
	b, err := d.Collect()
	assert.NilError(t, err)
	d.now = d.now.Add(500 * time.Millisecond)
	d.end(4)
	assert.Equal(t, d.startOrders("w"), 0, "an order precedes its record")
	d.Committed(b, d.now)
	d.SendHeld(d.now)
	assert.Equal(t, d.startOrders("w"), 4)
	assert.Equal(t, len(d.firstTask("3").runs), 1)
	assert.Equal(t, len(d.firstTask("2").runs), 0)
}

// TestHeldRunIsReleased guards against an order that goes out although what it was based on has changed
// since, and against one that waits in vain.
func TestHeldRunIsReleased(t *testing.T) {
	for name, change := range map[string]func(d *testPool){
		"cancelled": func(d *testPool) {
			_, err := d.Cancel("2", d.now)
			assert.NilError(d.t, err)
		},
		"cordoned": func(d *testPool) {
			_, err := d.Cordon(CordonRequest{Epoch: 1, Number: 1, Workers: []CordonedWorker{{ID: "w"}}}, d.now)
			assert.NilError(d.t, err)
		},
		"draining": func(d *testPool) {
			d.UpdateWorker(worker.Worker{ID: "w", Instance: "i", Pool: "p", Address: "a", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}, Draining: true})
		},
		"evacuated": func(d *testPool) {
			d.workers["w"].info.DataCenter = "dc"
			d.SetEvacuated(evacuation.List{End: 1, DataCenters: []string{"dc"}})
		},
		"unlisted":      func(d *testPool) { d.UnlistWorker("w") },
		"limit lowered": func(d *testPool) { d.Configure(aheadConfig(3, 4000)) },
		"allowance less": func(d *testPool) {
			d.SetAllowances(quota.Allowances{Epoch: 1, Revision: 2, Version: 2, DefaultFraction: 0.04})
		},
		"shrunk": func(d *testPool) {
			d.UpdateWorker(worker.Worker{ID: "w", Instance: "i", Pool: "p", Address: "a", Capacity: job.Size{CPU: 500, MemoryMB: 4000}})
		},
		"store well":  func(d *testPool) { d.SetAppendTime(4*time.Millisecond, d.now) },
		"no room":     func(d *testPool) { d.now = d.now.Add(heldAppends*testSlowAppend + time.Millisecond) },
		"not present": func(d *testPool) { d.poll("w", worker.PollResult{}, port.Response{Result: port.Unreachable}) },
	} {
		t.Run(name, func(t *testing.T) {
			d := newAheadPool(t)
			change(d)
			d.Plan(d.now)
			assert.Equal(t, len(d.workers["w"].held), 0)
			for _, u := range d.workers["w"].runs {
				assert.Assert(t, u.ref.Job == "1", "%s is still there", u.name)
			}
		})
	}
}

// TestHeldOrderAfterAChange guards against an order that goes out before the next plan, which waits for
// the store, although its worker is to be emptied or its job is cancelled.
func TestHeldOrderAfterAChange(t *testing.T) {
	for name, change := range map[string]func(d *testPool){
		"cancelled": func(d *testPool) { _, _ = d.Cancel("2", d.now) },
		"cordoned": func(d *testPool) {
			_, _ = d.Cordon(CordonRequest{Epoch: 1, Number: 1, Workers: []CordonedWorker{{ID: "w"}}}, d.now)
		},
		"limit lowered": func(d *testPool) { d.Configure(aheadConfig(3, 4000)) },
		"isolated":      func(d *testPool) { d.Isolated = true },
		"owner silent":  func(d *testPool) { d.now = d.now.Add(maxStartAge) }, // it may have lost the pool
	} {
		t.Run(name, func(t *testing.T) {
			d := newAheadPool(t)
			change(d)
			d.now = d.now.Add(100 * time.Millisecond)
			d.end(4)
			assert.Equal(t, d.startOrders("w"), 0)
		})
	}
}

// TestHeldOrderAgesFromTheLastConfirmation guards against held orders that are abandoned although every
// append since shows that this node owns the pool and knows of each cancelled job.
func TestHeldOrderAgesFromTheLastConfirmation(t *testing.T) {
	d := newAheadPool(t)
	d.now = d.now.Add(1400 * time.Millisecond)
	d.submitTo("h/q/", "3", 1)
	b, err := d.Collect()
	assert.NilError(t, err)
	d.Committed(b, d.now)
	d.now = d.now.Add(1400 * time.Millisecond)
	d.end(4)
	assert.Equal(t, d.startOrders("w"), 4)
}

// TestNextOwnerOfAHeldRun guards against a next owner that begins elsewhere what the earlier one may still
// send, and against one that never begins it.
func TestNextOwnerOfAHeldRun(t *testing.T) {
	first := newAheadPool(t)
	var records []port.Record
	for _, r := range first.journal {
		records = append(records, r)
	}
	second := newTestPool(t, 2)
	second.Configure(aheadConfig(2, 100000))
	second.now = first.now
	assert.NilError(t, second.Restore(records, second.now, time.Minute))
	second.UpdateWorker(worker.Worker{ID: "v", Instance: "j", Pool: "p", Address: "b", Capacity: job.Size{CPU: 2000, MemoryMB: 4000}})
	second.poll("v", worker.PollResult{}, accepted)
	second.persist()
	assert.Equal(t, len(second.firstTask("2").runs), 1)
	assert.Equal(t, string(second.firstTask("2").runs[0].worker.info.ID), "w", "it is begun elsewhere")
	second.end(0) // the token of this poll makes the worker refuse the earlier owner's orders
	second.persist()
	assert.Equal(t, len(second.workers["v"].runs), 2)
	assert.Equal(t, len(second.workers["w"].runs), 4)
}

// TestCrashOverAHeldRun guards against a crash that counts for a task that never started.
func TestCrashOverAHeldRun(t *testing.T) {
	d := newAheadPool(t)
	d.endIncarnation(d.workers["w"], d.now, exitConfirmed, "test")
	assert.Equal(t, len(d.firstTask("2").crashes), 0)
	assert.Equal(t, d.jobs["2"].rounds[0].steps[0].waiting, 8)
	assert.Equal(t, d.allowances.used["c"], job.Size{})
}

// TestNothingIsPlacedAheadOnAFastStore guards against a cost on days on which the store is as fast as
// usual, and where it is turned off.
func TestNothingIsPlacedAheadOnAFastStore(t *testing.T) {
	for _, off := range []bool{false, true} {
		d := newTestPool(t, 1)
		d.Limits.NoAhead = off
		d.registerWorker()
		d.submitTo("h/q/", "1", 4)
		d.persist()
		d.startOrders("w")
		d.now = d.now.Add(500 * time.Millisecond)
		appendTime := 30 * time.Millisecond
		if off {
			appendTime = testSlowAppend
		}
		d.SetAppendTime(appendTime, d.now)
		d.submitTo("h/q/", "2", 4)
		d.persist()
		assert.Equal(t, len(d.workers["w"].held), 0)
	}
}

// TestPlacingAheadLooksAtEachRunOnce guards against a plan that takes as long as tasks times runs, with the owner's lock
// held: placing a thousand tasks ahead on 180 workers took 0.155 s of a core.
func TestPlacingAheadLooksAtEachRunOnce(t *testing.T) {
	const workers, tasks = 50, 4
	d := newTestPool(t, 1)
	d.Configure(aheadConfig(2, 1000000))
	d.SetAllowances(quota.Allowances{Epoch: 1, Revision: 1, Version: 2, DefaultFraction: 1})
	for n := range workers {
		id := worker.ID(fmt.Sprint("w-", n))
		d.UpdateWorker(worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: "a", Capacity: job.Size{CPU: 1000 * tasks, MemoryMB: 4000}})
		d.poll(id, worker.PollResult{}, port.Response{Result: port.Accepted, Clock: accepted.Clock})
		d.submitTo("h/q/", job.ID(fmt.Sprint("running-", n)), tasks)
	}
	d.persist()
	for n := range workers {
		assert.Equal(t, d.startOrders(worker.ID(fmt.Sprint("w-", n))), tasks)
	}
	d.now = d.now.Add(500 * time.Millisecond)
	d.SetAppendTime(testSlowAppend, d.now)
	for n := range workers {
		d.submitTo("h/q/", job.ID(fmt.Sprint("waiting-", n)), tasks)
	}
	before := d.Work()
	d.Plan(d.now)
	assert.Equal(t, d.countHeld(), workers*tasks)
	const lookedAt = workers*tasks*(workers+1) + workers*tasks // each worker for each task, and each run once
	assert.Assert(t, d.Work().Minus(before).Examined <= lookedAt, "%d, at most %d are due", d.Work().Minus(before).Examined, lookedAt)
}
