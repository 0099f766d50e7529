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

// testConfig has one queue that leads to the pool "p".
var testConfig = config.New(1,
	[]config.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, BaseObjective: time.Second}},
	[]config.Pool{{Name: "p"}}, config.Limits{},
)

// desk is a pool with a clock that a test moves.
type desk struct {
	*Pool
	t   *testing.T
	now time.Time
}

func newDesk(t *testing.T, token uint64) *desk {
	d := &desk{New("p", token, testLimits, log.Nop()), t, time.Unix(1000, 0)}
	d.Configure(testConfig)
	return d
}

// heard is a worker's answer to a look or an order that it has taken.
var heard = port.Response{Result: port.Accepted, Clock: 100 * time.Second}

// serve lists the worker "w" and has it answer a look.
func (d *desk) serve() {
	d.t.Helper()
	d.UpdateWorker(worker.Worker{ID: "w", Instance: "i", Pool: "p", Address: "a", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.look("w", worker.PollResult{}, heard)
}

// submit hands in a job of one step with tasks of a minute.
func (d *desk) submit(id job.ID, count int) {
	d.Submit(job.Submission{ID: id, Queue: "h/q/", Steps: []job.Step{{Count: count, Size: job.Size{CPU: 1000}, Estimate: time.Minute}}}, d.now)
}

// firstTask returns the first task of a job of one step.
func (d *desk) firstTask(id job.ID) *taskState { return &d.jobs[id].rounds[0].steps[0].tasks[0] }

// look has a worker answer one look.
func (d *desk) look(id worker.ID, listing worker.PollResult, a port.Response) {
	d.t.Helper()
	k, _, known := d.BeginPoll(id, 0, d.now)
	assert.Assert(d.t, known)
	d.EndPoll(k, listing, a, d.now)
}

// keep plans and keeps what has changed, and returns its records.
func (d *desk) keep() []port.Record {
	d.t.Helper()
	d.Plan(d.now)
	b, err := d.Collect()
	assert.NilError(d.t, err)
	if b == nil {
		return nil
	}
	d.Committed(b, d.now)
	return b.Records
}

// TestLeaseOfAnEarlierOwnerHolds has a new owner hear a worker once and then find
// no way there: what the earlier owner let run may run on until its lease is over.
func TestLeaseOfAnEarlierOwnerHolds(t *testing.T) {
	first := newDesk(t, 1)
	first.serve()
	first.submit("1", 1)
	records := first.keep()
	order, has := first.NextOrder("w", first.now)
	assert.Assert(t, has)
	first.StartOrder(order, first.now)

	second := newDesk(t, 2)
	assert.NilError(t, second.Restore(records, second.now, time.Minute))
	running := worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}
	second.look("w", running, heard)
	second.look("w", worker.PollResult{}, port.Response{Result: port.Unreachable})
	second.now = second.now.Add(testLimits.Lease)
	second.ExpireLeases(second.now)
	assert.Equal(t, len(second.firstTask("1").runs), 1, "the run is given up while its lease holds")
	second.now = second.now.Add(time.Second)
	second.ExpireLeases(second.now)
	assert.Equal(t, len(second.firstTask("1").runs), 0)
}

// TestLookThatWasNotSentTakesBackOnlyItself has a look find no way to a worker
// after an order with the same deadline went there.
func TestLookThatWasNotSentTakesBackOnlyItself(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.submit("1", 1)
	d.keep()
	order, _ := d.NextOrder("w", d.now)
	d.HandleOrderResponse(order, heard, d.now)
	d.now = d.now.Add(testLimits.Lease) // what the first look found must be over
	d.submit("2", 1)                    // one that was kept earlier would be too old to go out
	d.keep()
	k, _, _ := d.BeginPoll("w", 0, d.now)
	order, _ = d.NextOrder("w", d.now)
	sent := d.StartOrder(order, d.now)
	d.EndPoll(k, worker.PollResult{}, port.Response{Result: port.Unreachable}, d.now)
	assert.Equal(t, d.workers["w"].deadline, sent.Deadline)
}

// TestNoStartOfACancelledJob has an order to begin a run get no answer, and the
// job cancelled before the order is given again.
func TestNoStartOfACancelledJob(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.submit("1", 1)
	d.keep()
	order, _ := d.NextOrder("w", d.now)
	d.StartOrder(order, d.now)
	assert.Assert(t, d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now))
	d.Retry(order, d.now)
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.keep()
	d.look("w", worker.PollResult{}, heard)
	order, has := d.NextOrder("w", d.now)
	assert.Assert(t, has)
	assert.Assert(t, order.Stop, "a run of a cancelled job is begun")
}

// TestTwoStartsThatFindNoWay has two orders find no way to their worker at a time:
// both tasks wait for another.
func TestTwoStartsThatFindNoWay(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.submit("1", 2)
	d.keep()
	first, _ := d.NextOrder("w", d.now)
	d.StartOrder(first, d.now)
	second, _ := d.NextOrder("w", d.now)
	d.StartOrder(second, d.now)
	assert.Assert(t, !d.HandleOrderResponse(first, port.Response{Result: port.Unreachable}, d.now))
	assert.Assert(t, !d.HandleOrderResponse(second, port.Response{Result: port.Unreachable}, d.now))
	assert.Equal(t, d.jobs["1"].rounds[0].steps[0].waiting, 2)
}

// TestAnswerToALaterStartOfARunningTask has an order get no answer, a look show that
// its run has begun, and the order given again come to nothing: the run goes on.
func TestAnswerToALaterStartOfARunningTask(t *testing.T) {
	for _, v := range []port.Result{port.Unreachable, port.Refused, port.Unknown, port.DeadlinePassed, port.NoCapacity, port.TokenTooLow} {
		d := newDesk(t, 1)
		d.serve()
		d.submit("1", 1)
		d.keep()
		order, _ := d.NextOrder("w", d.now)
		d.StartOrder(order, d.now)
		assert.Assert(t, d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now))
		d.Retry(order, d.now)
		order, _ = d.NextOrder("w", d.now)
		d.StartOrder(order, d.now)
		d.look("w", worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}, heard)
		assert.Assert(t, !d.HandleOrderResponse(order, port.Response{Result: v}, d.now), "%s", v)
		assert.Equal(t, d.jobs["1"].rounds[0].steps[0].waiting, 0, "%s", v)
		d.look("w", worker.PollResult{}, heard)
		assert.Equal(t, d.jobs["1"].rounds[0].steps[0].waiting, 1, "%s: a run that is gone is not noticed", v)
	}
}
