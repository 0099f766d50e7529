// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestLatestStartOnASlowClock guards against a late start on a worker without runs, which is not
// polled: its clock may be slow, and was read long ago. An order that is sent as late as possible
// must still be refused in time for the limit on work of a cancelled job.
func TestLatestStartOnASlowClock(t *testing.T) {
	const (
		idle  = 30 * time.Second
		bound = 3 * time.Second // the users' limit from a cancellation to the last start
	)
	d := newTestPool(t, 1)
	d.registerWorker()
	read := d.now
	d.now = read.Add(idle)
	d.submit("1", 1)
	d.persist()
	persistedAt := d.now
	for {
		order, has := d.NextOrder("w", d.now)
		if !has {
			return
		}
		deadline := d.StartOrder(order, d.now).Deadline
		rate := 1 - maxClockDrift
		refused := read.Add(time.Duration(float64(deadline-accepted.Clock) / rate))
		assert.Assert(t, refused.Sub(persistedAt) <= bound, "sent %s after the run was persisted, it may be started until %s after that", d.now.Sub(persistedAt), refused.Sub(persistedAt))
		d.queueOrder(d.workers["w"], order) // it had waited a little longer
		d.now = d.now.Add(100 * time.Millisecond)
	}
}

// TestDelayedResponseDoesNotSetTheClockBack guards against a response that was in transit for a
// second: it shows the worker's clock of a second ago.
func TestDelayedResponseDoesNotSetTheClockBack(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.now = d.now.Add(2 * time.Second)
	d.poll("w", worker.PollResult{}, port.Response{Result: port.Accepted, Clock: accepted.Clock + time.Second})
	d.submit("1", 1)
	d.persist()
	order, _ := d.NextOrder("w", d.now)
	deadline := d.StartOrder(order, d.now).Deadline
	assert.Assert(t, deadline > accepted.Clock+2*time.Second+startTransit/2, "the worker's clock shows at least %s", accepted.Clock+1960*time.Millisecond)
}

// newTestPoolAfterIdle returns a pool with a persisted run whose worker was idle for a while, and when the worker's clock
// was read.
func newTestPoolAfterIdle(t *testing.T, idle time.Duration) (*testPool, time.Time) {
	d := newTestPool(t, 1)
	d.registerWorker()
	read := d.now
	d.now = read.Add(idle)
	d.submit("1", 1)
	d.persist()
	return d, read
}

// idleTimes are times for which a worker is not polled; its clock may fall behind by 36 s in the longest.
var idleTimes = []time.Duration{time.Second, time.Minute, 5 * time.Minute, 10 * time.Minute, 30 * time.Minute}

// TestLeaseOfAStartAfterIdleTimeOnASlowClock guards against a task that runs twice (TWICE): the lease of a start lasts for longer
// than the next owner waits, and against work of a cancelled job that starts late, if no poll has read the worker's clock.
func TestLeaseOfAStartAfterIdleTimeOnASlowClock(t *testing.T) {
	const bound = 3 * time.Second // the users' limit from a cancellation to the last start
	for _, idle := range idleTimes {
		d, read := newTestPoolAfterIdle(t, idle)
		order := d.workers["w"].orders[0]
		ends := func() time.Time {
			deadline := d.StartOrder(order, d.now).Deadline
			return read.Add(time.Duration(float64(deadline-accepted.Clock) / (1 - maxClockDrift)))
		}
		next := d.succeed(1).workers["w"].restoredRunsEndAt // it claims as soon as the run is persisted
		at := d.now
		d.now = at.Add(minStartWindow)
		end := ends()
		assert.Check(t, end.Before(next), "idle for %s: the lease ends %s after the next owner starts the task again", idle, end.Sub(next))
		assert.Check(t, end.Sub(at) <= bound, "idle for %s: it may be started until %s after it was persisted", idle, end.Sub(at))
	}
}

// pollSlowly has the worker "w" respond to the poll that is due, after a new connection was set up.
func (d *testPool) pollSlowly(clock time.Duration) {
	d.t.Helper()
	at, wait, due := d.NextPoll("w")
	assert.Assert(d.t, due && !at.After(d.now), "neither an order nor a poll is due")
	k, request, _ := d.BeginPoll("w", wait, d.now)
	assert.Equal(d.t, request.Wait, time.Duration(0), "the order waits for this poll")
	d.now = d.now.Add(700 * time.Millisecond)
	_, has := d.NextOrder("w", d.now)
	assert.Assert(d.t, !has)
	d.Plan(d.now)
	d.EndPoll(k, worker.PollResult{}, port.Response{Result: port.Accepted, Clock: clock}, d.now)
}

// TestStartAfterIdleTimeIsInTime guards against starts that are withheld, or refused as late by a worker with an exact
// clock that was idle for long: it is polled once before, and the order then has its full time.
func TestStartAfterIdleTimeIsInTime(t *testing.T) {
	for _, idle := range idleTimes {
		d, read := newTestPoolAfterIdle(t, idle)
		exact := func() time.Duration { return accepted.Clock + d.now.Sub(read) }
		order, has := d.NextOrder("w", d.now)
		if !has {
			d.pollSlowly(exact() + 700*time.Millisecond)
			order, has = d.NextOrder("w", d.now)
		}
		assert.Assert(t, has, "idle for %s: the order is not sent after a poll", idle)
		assert.Assert(t, d.StartOrder(order, d.now).Deadline >= exact()+startTransit, "idle for %s: the order may be refused as late", idle)
	}
}

// TestPollThatReadsNoClockHoldsNoStart guards against a start that waits forever for a worker's clock: a response that was
// in transit for too long shows none, and one poll is enough.
func TestPollThatReadsNoClockHoldsNoStart(t *testing.T) {
	d, _ := newTestPoolAfterIdle(t, 10*time.Minute)
	_, has := d.NextOrder("w", d.now)
	assert.Assert(t, !has, "the worker is not polled before")
	d.poll("w", worker.PollResult{}, accepted)
	_, has = d.NextOrder("w", d.now)
	assert.Assert(t, has)
}
