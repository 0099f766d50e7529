// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
)

var testLimits = Limits{Lease: 4 * time.Second, StopTime: 400 * time.Millisecond, Retention: time.Minute}

// testConfig has one queue, of the pool "p".
var testConfig = config.New(1,
	[]config.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, BaseObjective: time.Second}},
	[]config.Pool{{Name: "p"}}, config.Limits{},
)

// testPool is a pool with a clock that a test sets.
type testPool struct {
	*Pool
	t       *testing.T
	now     time.Time
	journal testJournal // everything persisted
}

func newTestPool(t *testing.T, token uint64) *testPool {
	d := &testPool{New("p", token, testLimits, log.Nop()), t, time.Unix(1000, 0), testJournal{}}
	d.Configure(testConfig)
	d.Published = true
	return d
}

// accepted is a worker's response to a poll or an order that it has accepted.
var accepted = port.Response{Result: port.Accepted, Clock: 100 * time.Second}

// registerWorker lists the worker "w" and has it respond to a poll.
func (d *testPool) registerWorker() {
	d.t.Helper()
	d.UpdateWorker(worker.Worker{ID: "w", Instance: "i", Pool: "p", Address: "a", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.poll("w", worker.PollResult{}, accepted)
}

// submit submits a job of one step with tasks of a minute.
func (d *testPool) submit(id job.ID, count int) {
	d.Submit(job.Submission{ID: id, Queue: "h/q/", Steps: []job.Step{{Count: count, Size: job.Size{CPU: 1000}, Estimate: time.Minute}}}, d.now)
}

// firstTask returns the first task of a job of one step.
func (d *testPool) firstTask(id job.ID) *taskState { return d.jobs[id].rounds[0].steps[0].peek(0) }

// poll has a worker respond to one poll.
func (d *testPool) poll(id worker.ID, listing worker.PollResult, a port.Response) {
	d.t.Helper()
	k, _, known := d.BeginPoll(id, 0, d.now)
	assert.Assert(d.t, known)
	d.EndPoll(k, listing, a, d.now)
}

// persist plans, persists what has changed and returns its records.
func (d *testPool) persist() []port.Record {
	d.t.Helper()
	d.Plan(d.now)
	b, err := d.Collect()
	assert.NilError(d.t, err)
	if b == nil {
		return nil
	}
	d.Committed(b, d.now)
	for _, r := range b.Records {
		d.journal[r.Key] = r
	}
	return b.Records
}

// TestLeaseOfAnEarlierOwnerHolds has a new owner contact a worker once, after which it is
// unreachable: a run of the earlier owner may continue until its lease expires.
func TestLeaseOfAnEarlierOwnerHolds(t *testing.T) {
	first := newTestPool(t, 1)
	first.registerWorker()
	first.submit("1", 1)
	records := first.persist()
	order, has := first.NextOrder("w", first.now)
	assert.Assert(t, has)
	first.StartOrder(order, first.now)

	second := newTestPool(t, 2)
	assert.NilError(t, second.Restore(records, second.now, time.Minute))
	running := worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}
	second.poll("w", running, accepted)
	second.poll("w", worker.PollResult{}, port.Response{Result: port.Unreachable})
	second.now = second.now.Add(testLimits.Lease)
	second.ExpireLeases(second.now)
	assert.Equal(t, len(second.firstTask("1").runs), 1, "the run is given up while its lease is valid")
	second.now = second.now.Add(time.Second)
	second.ExpireLeases(second.now)
	assert.Equal(t, len(second.firstTask("1").runs), 0)
}

// TestUnsentPollReversesOnlyItsOwnDeadline has a poll fail to reach a worker after an order with
// the same deadline was sent there.
func TestUnsentPollReversesOnlyItsOwnDeadline(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 1)
	d.persist()
	order, _ := d.NextOrder("w", d.now)
	d.HandleOrderResponse(order, accepted, d.now)
	d.now = d.now.Add(testLimits.Lease) // the deadline of the first poll must be over
	d.submit("2", 1)                    // one that was persisted earlier would be too old to be sent
	d.persist()
	k, _, _ := d.BeginPoll("w", 0, d.now)
	order, _ = d.NextOrder("w", d.now)
	sent := d.StartOrder(order, d.now)
	d.EndPoll(k, worker.PollResult{}, port.Response{Result: port.Unreachable}, d.now)
	assert.Equal(t, d.workers["w"].latestDeadline, sent.Deadline)
}

// TestNoStartOfACancelledJob has a start order get no response, and the job cancelled before the
// order is sent again.
func TestNoStartOfACancelledJob(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 1)
	d.persist()
	order, _ := d.NextOrder("w", d.now)
	d.StartOrder(order, d.now)
	assert.Assert(t, d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now))
	d.Retry(order, d.now)
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.persist()
	d.poll("w", worker.PollResult{}, accepted)
	order, has := d.NextOrder("w", d.now)
	assert.Assert(t, has)
	assert.Assert(t, order.Stop, "a run of a cancelled job is started")
}

// TestTwoUnreachableStarts has two orders fail to reach their worker at the same time: both tasks
// wait for another one.
func TestTwoUnreachableStarts(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 2)
	d.persist()
	first, _ := d.NextOrder("w", d.now)
	d.StartOrder(first, d.now)
	second, _ := d.NextOrder("w", d.now)
	d.StartOrder(second, d.now)
	assert.Assert(t, !d.HandleOrderResponse(first, port.Response{Result: port.Unreachable}, d.now))
	assert.Assert(t, !d.HandleOrderResponse(second, port.Response{Result: port.Unreachable}, d.now))
	assert.Equal(t, d.jobs["1"].rounds[0].steps[0].waiting, 2)
}

// TestResponseToARepeatedStartOfARunningTask has an order get no response, a poll show that its run
// has started, and the repeated order fail: the run continues.
func TestResponseToARepeatedStartOfARunningTask(t *testing.T) {
	for _, v := range []port.Result{port.Unreachable, port.Refused, port.Unknown, port.DeadlinePassed, port.NoCapacity, port.TokenTooLow} {
		d := newTestPool(t, 1)
		d.registerWorker()
		d.submit("1", 1)
		d.persist()
		order, _ := d.NextOrder("w", d.now)
		d.StartOrder(order, d.now)
		assert.Assert(t, d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now))
		d.Retry(order, d.now)
		order, _ = d.NextOrder("w", d.now)
		d.StartOrder(order, d.now)
		d.poll("w", worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}, accepted)
		assert.Assert(t, !d.HandleOrderResponse(order, port.Response{Result: v}, d.now), "%s", v)
		assert.Equal(t, d.jobs["1"].rounds[0].steps[0].waiting, 0, "%s", v)
		d.poll("w", worker.PollResult{}, accepted)
		assert.Equal(t, d.jobs["1"].rounds[0].steps[0].waiting, 1, "%s: a run that is gone is not noticed", v)
	}
}
