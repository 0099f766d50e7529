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
	"github.com/yardbridge/yardbridge/services/port"
)

// workerStartedAt returns the entry of the worker "w" with a start time.
func workerStartedAt(startedAt int64) worker.Worker {
	return worker.Worker{ID: "w", Instance: "i", Pool: "p", Address: "a", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}, StartedAt: startedAt}
}

// registerStart lists the worker "w" and has one of its incarnations respond to a poll.
func (d *testPool) registerStart(startedAt int64) {
	d.t.Helper()
	d.UpdateWorker(workerStartedAt(startedAt))
	d.confirmStart(startedAt)
}

// confirmStart has an incarnation of the worker "w" respond to polls until it is known.
func (d *testPool) confirmStart(startedAt int64, ends ...worker.EndedRun) {
	d.t.Helper()
	d.confirmListing(startedAt, worker.PollResult{Ends: ends})
}

// confirmListing has an incarnation of the worker "w" respond to polls with a list of runs until it
// is known.
func (d *testPool) confirmListing(startedAt int64, l worker.PollResult) {
	d.t.Helper()
	l.StartedAt = startedAt
	d.poll("w", l, accepted)
	if w := d.workers["w"]; w.restartSuspected {
		d.poll("w", l, accepted)
	}
	assert.Equal(d.t, d.workers["w"].startedAt, startedAt)
}

// sendOrder persists what is planned and sends the next order to the worker "w".
func (d *testPool) sendOrder() Order {
	d.t.Helper()
	d.persist()
	order, has := d.NextOrder("w", d.now)
	assert.Assert(d.t, has)
	d.StartOrder(order, d.now)
	return order
}

// newTestPoolWithRun returns a pool in which the incarnation 1000 of the worker "w" has accepted
// run 1 of the only task of job "1".
func newTestPoolWithRun(t *testing.T) *testPool {
	t.Helper()
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	d.HandleOrderResponse(d.sendOrder(), accepted, d.now)
	return d
}

// TestDoneAfterARestartIsNotStartedAgain guards against a task that starts again after it is done
// (violation TWICE): the numbers of ends start anew with each incarnation of a worker, and an end
// counts even if an end with its number was seen before the restart.
func TestDoneAfterARestartIsNotStartedAgain(t *testing.T) {
	for name, startedAt := range map[string]int64{"later": 2000, "its time of day was set back": 500} {
		t.Run(name, func(t *testing.T) {
			d := newTestPoolWithRun(t)
			d.confirmStart(1000, worker.EndedRun{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done})
			d.persist()
			d.confirmStart(startedAt)
			d.submit("2", 1)
			d.HandleOrderResponse(d.sendOrder(), accepted, d.now)
			d.confirmStart(startedAt, worker.EndedRun{Sequence: 1, Task: "2.0.0.0", Number: 1, Reason: worker.Done})
			assert.Equal(t, d.persistedState("2"), job.Completed)
			starts, _ := d.takeOrders("w")
			assert.Equal(t, starts, 0)
		})
	}
}

// TestFailureAfterARestartUsesAnAttempt guards against a task that is started after it has used up
// its attempts (violation BUDGET): a run that fails at the next incarnation of a worker counts,
// whatever the number of its end.
func TestFailureAfterARestartUsesAnAttempt(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	for n := range 3 {
		d.now = d.now.Add(time.Minute)
		d.HandleOrderResponse(d.sendOrder(), accepted, d.now)
		d.confirmStart(int64(1000+n), worker.EndedRun{Sequence: 1, Task: "1.0.0.0", Number: n + 1, Reason: worker.Failed})
		d.persist()
		d.confirmStart(int64(1001 + n))
	}
	assert.Equal(t, d.persistedState("1"), job.Failed)
}

// TestEndsAreDiscardedByTheIncarnationThatListedThem guards against a poll that makes the next
// incarnation of a worker discard unread ends: a poll acknowledges ends only once, and none if the
// last list of runs is so old that a run of another incarnation may have ended since.
func TestEndsAreDiscardedByTheIncarnationThatListedThem(t *testing.T) {
	acknowledged := func(d *testPool) int {
		k, request, _ := d.BeginPoll("w", 0, d.now)
		d.EndPoll(k, worker.PollResult{StartedAt: 1000, Runs: []worker.Run{{Task: "1.0.0.1", Number: 1}}}, accepted, d.now)
		return request.Acknowledged
	}
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 2)
	d.startAll("w")
	d.confirmListing(1000, worker.PollResult{
		Runs: []worker.Run{{Task: "1.0.0.1", Number: 1}}, Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done}},
	})
	d.persist()
	d.now = d.now.Add(listingFreshFor + time.Millisecond)
	assert.Equal(t, acknowledged(d), 0, "an old list")
	d.now = d.now.Add(listingFreshFor)
	assert.Equal(t, acknowledged(d), 1, "a recent list")
	assert.Equal(t, acknowledged(d), 0, "already acknowledged")
}

// TestAcknowledgementsGoOverTheConnectionOfTheList guards against the same failure with an incarnation that a poll reaches
// before anything shows the restart: acknowledgements name the connection that carried the list, and one that went over
// another connection is repeated.
func TestAcknowledgementsGoOverTheConnectionOfTheList(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 2)
	d.startAll("w")
	running := worker.Run{Task: "1.0.0.1", Number: 1}
	d.confirmListing(1000, worker.PollResult{
		Connection: 5, Runs: []worker.Run{running}, Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done}},
	})
	d.persist()
	poll := func(over uint64) port.Poll {
		k, request, _ := d.BeginPoll("w", 0, d.now)
		d.EndPoll(k, worker.PollResult{StartedAt: 1000, Connection: over, Runs: []worker.Run{running}}, accepted, d.now)
		return port.Poll{Acknowledged: request.Acknowledged, Connection: request.Connection}
	}
	assert.Equal(t, poll(6), port.Poll{Acknowledged: 1, Connection: 5}) // that connection is lost
	assert.Equal(t, poll(6), port.Poll{Acknowledged: 1, Connection: 6})
	assert.Equal(t, poll(6), port.Poll{Connection: 6}, "a deadline names the connection too")
}

// TestDeadlineGoesOverTheConnectionOfTheList guards against a run that outlives its lease (TWICE): a deadline on the clock of an
// earlier incarnation, which a poll carries to the next one, is cut to the longest lease there. A deadline that was not
// delivered is sent again at once.
func TestDeadlineGoesOverTheConnectionOfTheList(t *testing.T) {
	d := newTestPoolWithRun(t)
	running := worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}
	poll := func(over uint64) (uint64, time.Duration) {
		k, request, _ := d.BeginPoll("w", time.Second, d.now)
		assert.Assert(t, request.Deadline > 0)
		listing := running
		listing.StartedAt, listing.Connection = 1000, over
		d.EndPoll(k, listing, accepted, d.now)
		at, _, _ := d.NextPoll("w")
		return request.Connection, max(at.Sub(d.now), 0)
	}
	poll(5)
	over, pause := poll(5)
	assert.Equal(t, over, uint64(5))
	assert.Equal(t, pause, pollGap)
	over, pause = poll(6)
	assert.Equal(t, over, uint64(5))
	assert.Equal(t, pause, time.Duration(0), "the deadline was not delivered")
	over, _ = poll(6)
	assert.Equal(t, over, uint64(6))
}

// TestOrdersAreForOneIncarnation guards against orders that the next incarnation of a worker carries out (TWICE): each order
// names the incarnation that it is for, and one that another incarnation would have got is not repeated there.
func TestOrdersAreForOneIncarnation(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	d.persist()
	order, _ := d.NextOrder("w", d.now)
	assert.Equal(t, d.StartOrder(order, d.now).StartedAt, int64(1000))
	assert.Equal(t, d.StopOrder(order).StartedAt, int64(1000))
	assert.Equal(t, d.CPUShareOrder(order).StartedAt, int64(1000))
	assert.Assert(t, !d.HandleOrderResponse(order, port.Response{Result: port.Restarted}, d.now))
	assert.Equal(t, len(d.workers["w"].runs), 0, "no order was sent, so the task waits again")
	d.persist()
	assert.Assert(t, !d.HasOrder("w"), "only polls are sent until a list shows the incarnation")
	d.confirmStart(2000)
	order = d.sendOrder()
	assert.Equal(t, order.Run.number, 2)
	assert.Equal(t, d.StartOrder(order, d.now).StartedAt, int64(2000))
}

// newTestPoolWithRetry returns a pool in which the start order of the only task of job "1", for the incarnation 1000 of the
// worker "w", had a result and was sent again, and that second order.
func newTestPoolWithRetry(t *testing.T, first port.Result) (*testPool, Order) {
	t.Helper()
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	order := d.sendOrder()
	assert.Assert(t, d.HandleOrderResponse(order, port.Response{Result: first}, d.now))
	d.Retry(order, d.now)
	again, has := d.NextOrder("w", d.now)
	assert.Assert(t, has)
	d.StartOrder(again, d.now)
	return d, again
}

// TestUnidentifiedWorkerIsTriedAgain guards against a sound worker that counts as unresponsive since one response was late: an
// order that was not sent counts like one without a response, but its run has not started.
func TestUnidentifiedWorkerIsTriedAgain(t *testing.T) {
	d, again := newTestPoolWithRetry(t, port.Unidentified)
	assert.Assert(t, d.workers["w"].unresponsiveSince.IsZero())
	assert.Assert(t, d.HandleOrderResponse(again, port.Response{Result: port.Unidentified}, d.now))
	d.Retry(again, d.now)
	assert.Assert(t, !d.workers["w"].unresponsiveSince.IsZero())
	assert.Equal(t, len(d.workers["w"].runs), 0, "no order was sent, so the task waits again")
}

// TestRunThatWasSeenIsKeptAtRestart guards against a run that is dropped as never started, with its checkpoint and its crash,
// though a poll has shown it: a try of its order got no response, and a later one finds another incarnation.
func TestRunThatWasSeenIsKeptAtRestart(t *testing.T) {
	d, again := newTestPoolWithRetry(t, port.Unknown)
	d.confirmListing(1000, worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}})
	assert.Assert(t, !d.HandleOrderResponse(again, port.Response{Result: port.Restarted}, d.now))
	assert.Equal(t, len(d.workers["w"].runs), 1)
	assert.Assert(t, d.workers["w"].restartSuspected)
}

// TestUnansweredOrderIsNotRepeatedAtAnotherIncarnation guards against a run that starts on the next incarnation of its worker
// (TWICE), since its order got no response from the one before and is sent again.
func TestUnansweredOrderIsNotRepeatedAtAnotherIncarnation(t *testing.T) {
	d, again := newTestPoolWithRetry(t, port.Unknown)
	assert.Assert(t, !d.HandleOrderResponse(again, port.Response{Result: port.Restarted}, d.now))
	assert.Equal(t, len(d.workers["w"].runs), 1, "it may still run on the earlier incarnation")
	assert.Assert(t, !d.HasOrder("w"))
	d.confirmStart(2000)
	assert.Equal(t, len(d.workers["w"].runs), 0, "that incarnation is over")
}

// TestWorkerThatKeepsNoConnection guards against ends that are never acknowledged, so that others are never listed: each
// poll of the worker goes over a new connection.
func TestWorkerThatKeepsNoConnection(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	d.startAll("w")
	end := worker.EndedRun{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done}
	for n := range maxLostPolls + 2 {
		d.poll("w", worker.PollResult{StartedAt: 1000, Connection: uint64(n + 1), Ends: []worker.EndedRun{end}}, accepted)
		d.persist()
	}
	assert.Equal(t, d.workers["w"].acknowledgedEnd, 1)
}

// TestDeadlinesStayWithTheirConnection guards against a deadline that reaches another incarnation (TWICE) once many polls have
// lost their connections: only acknowledgements go over any connection then, and only one poll carries them so.
func TestDeadlinesStayWithTheirConnection(t *testing.T) {
	d := newTestPoolWithRun(t)
	listing := worker.PollResult{StartedAt: 1000, Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}
	unbound := 0
	for n := range 3 * maxLostPolls {
		if n == maxLostPolls+2 {
			listing.Ends = []worker.EndedRun{{Sequence: 1, Task: "2.0.0.0", Number: 1, Reason: worker.Done}}
		}
		listing.Connection = uint64(n + 1)
		k, request, _ := d.BeginPoll("w", 0, d.now)
		if n > 0 && request.Connection == 0 {
			assert.Equal(t, request.Deadline, time.Duration(0))
			unbound++
		}
		d.EndPoll(k, listing, accepted, d.now)
		d.persist()
	}
	assert.Equal(t, unbound, 1)
	assert.Equal(t, d.workers["w"].acknowledgedEnd, 1)
}

// TestIncarnationsOfOneMillisecond guards against a task that is lost or runs twice since its worker has restarted with the
// same start time: only the clock, which starts anew, shows the restart.
func TestIncarnationsOfOneMillisecond(t *testing.T) {
	d := newTestPoolWithRun(t)
	d.poll("w", worker.PollResult{StartedAt: 1000, Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}, accepted)
	d.now = d.now.Add(time.Second)
	anew := port.Response{Result: port.Accepted, Clock: 10 * time.Millisecond}
	listing := worker.PollResult{StartedAt: 1000, Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done}}}
	for range 2 {
		d.poll("w", listing, anew)
	}
	assert.Equal(t, d.workers["w"].clock, anew.Clock)
	assert.Equal(t, d.persistedState("1"), job.Completed)
}

// TestNothingIsSentBeforeTheIncarnationIsKnown guards against orders to an unknown incarnation of a
// worker: if another one responds, it first gets a poll with a higher token, which makes it refuse
// all earlier orders.
func TestNothingIsSentBeforeTheIncarnationIsKnown(t *testing.T) {
	d := newTestPool(t, 7)
	d.registerStart(1000)
	d.submit("1", 1)
	before := d.sendOrder()
	token := d.token(before.Run.worker)
	d.submit("2", 1)
	d.persist()
	d.poll("w", worker.PollResult{StartedAt: 2000}, accepted)
	starts, _ := d.takeOrders("w")
	assert.Equal(t, starts, 0)
	k, request, _ := d.BeginPoll("w", time.Second, d.now)
	assert.Assert(t, request.Token > token && request.Deadline == 0 && request.Wait == 0 && request.Acknowledged == 0, "%+v", request)
	d.EndPoll(k, worker.PollResult{StartedAt: 2000}, accepted, d.now)
	d.HandleOrderResponse(before, port.Response{Result: port.TokenTooLow, Clock: time.Hour}, d.now)
	assert.Assert(t, d.workers["w"].clock < time.Hour, "the clock of an incarnation is not that of the previous one")
	d.persist()
	starts, _ = d.takeOrders("w")
	assert.Assert(t, starts > 0)
}

// TestTokensOfALaterOwnerAreHigher guards against an earlier owner whose raised token a worker
// considers the higher one.
func TestTokensOfALaterOwnerAreHigher(t *testing.T) {
	first, second := newTestPool(t, 2), newTestPool(t, 3)
	first.registerStart(1000)
	first.tokenRaises = 1<<tokenRaiseBits - 2
	for range 3 {
		first.raiseToken(first.workers["w"])
	}
	second.registerStart(1000)
	assert.Assert(t, first.token(first.workers["w"]) < second.token(second.workers["w"]))
}

// TestUnansweredOrderRaisesTheToken guards against an order that the next incarnation of a worker
// carries out seconds late: the first order that this one gets has a higher token.
func TestUnansweredOrderRaisesTheToken(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	order := d.sendOrder()
	token := d.token(order.Run.worker)
	assert.Assert(t, d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now))
	d.Retry(order, d.now)
	assert.Assert(t, d.token(order.Run.worker) > token)
}

// TestRunAcceptedByTheNextIncarnationContinues guards against a second run beside one that the next
// incarnation of a worker has accepted, or ended, before the restart was known.
func TestRunAcceptedByTheNextIncarnationContinues(t *testing.T) {
	for name, l := range map[string]worker.PollResult{
		"runs":      {Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}},
		"has ended": {Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			d.registerStart(1000)
			d.submit("1", 1)
			d.sendOrder()
			d.confirmListing(2000, l)
			d.persist()
			starts, stops := d.takeOrders("w")
			assert.Equal(t, starts+stops, 0)
			d.confirmStart(2000, worker.EndedRun{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done})
			assert.Equal(t, d.persistedState("1"), job.Completed)
			assert.Equal(t, len(d.workers["w"].runs), 0)
		})
	}
}

// TestStopIsSentToTheNextIncarnation guards against a run that continues at the next incarnation of
// a worker after its stop was sent to the previous one.
func TestStopIsSentToTheNextIncarnation(t *testing.T) {
	d := newTestPoolWithRun(t)
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.persist()
	d.confirmListing(2000, worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}})
	d.persist()
	_, stops := d.takeOrders("w")
	assert.Equal(t, stops, 1)
}

// TestStopRefusedForItsTokenIsSentAgain guards against a run that counts as stopped although its
// stop was overtaken by a poll with a higher token.
func TestStopRefusedForItsTokenIsSentAgain(t *testing.T) {
	d := newTestPoolWithRun(t)
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.persist()
	stop, has := d.NextOrder("w", d.now)
	assert.Assert(t, has && stop.Stop)
	d.raiseToken(stop.Run.worker)
	assert.Assert(t, !d.HandleOrderResponse(stop, port.Response{Result: port.TokenTooLow}, d.now))
	_, stops := d.takeOrders("w")
	assert.Equal(t, stops, 1)
}

// TestEntryOfAnotherIncarnationOnlyCausesAPoll guards against an entry of an earlier incarnation of
// a worker that is listed late.
func TestEntryOfAnotherIncarnationOnlyCausesAPoll(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.confirmStart(2000)
	old := workerStartedAt(500)
	old.Draining, old.Address, old.Capacity = true, "b", job.Size{CPU: 1}
	d.UpdateWorker(old)
	assert.Assert(t, !d.workers["w"].schedulable(d.now))
	assert.DeepEqual(t, d.PendingWorkers(), []worker.ID{"w"})
	d.confirmStart(2000)
	assert.Assert(t, d.workers["w"].schedulable(d.now))
	d.UpdateWorker(old)
	assert.Assert(t, d.workers["w"].schedulable(d.now), "that start time was checked by a poll before")
	d.UpdateWorker(worker.Worker{ID: "w", Pool: "p"})
	assert.Equal(t, d.workers["w"].info.Address, "a", "an entry without a start time where others had one")
}

// TestEntryOfTheNextIncarnationIsUsedOnceItResponds guards against using the capacity, the labels
// and the address of the previous incarnation.
func TestEntryOfTheNextIncarnationIsUsedOnceItResponds(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.WorkersToReconnect()
	next := workerStartedAt(2000)
	next.Address, next.Capacity = "b", job.Size{CPU: 1000}
	d.UpdateWorker(next)
	assert.Equal(t, d.workers["w"].info.Address, "a")
	d.confirmStart(2000)
	w, _ := d.Worker("w")
	assert.Assert(t, w.Address == "b" && w.Capacity == next.Capacity, "%+v", w)
	assert.DeepEqual(t, d.WorkersToReconnect(), []worker.ID{"w"})
	next.Address = "c"
	d.UpdateWorker(next)
	assert.DeepEqual(t, d.WorkersToReconnect(), []worker.ID{"w"})
}

// TestNextIncarnationIsContactedAtItsAddress guards against a worker that is never contacted again:
// its next incarnation has another address, and nothing responds at the previous one. A response
// from another worker's address ends no run.
func TestNextIncarnationIsContactedAtItsAddress(t *testing.T) {
	d := newTestPoolWithRun(t)
	at := func() string {
		d.WorkersToReconnect()
		w, _ := d.Worker("w")
		return w.Address
	}
	next := workerStartedAt(2000)
	next.Address = "b"
	d.UpdateWorker(next)
	assert.Equal(t, at(), "b")
	d.poll("w", worker.PollResult{}, port.Response{Result: port.Unreachable})
	assert.Equal(t, at(), "a")
	d.poll("w", worker.PollResult{}, port.Response{Result: port.Unreachable})
	assert.Equal(t, at(), "b")
	d.poll("w", worker.PollResult{}, otherIncarnation)
	assert.Equal(t, at(), "a")
	assert.Equal(t, d.waitingTasks("1"), 0, "another worker ends no run")
	next.StartedAt = 3000
	d.UpdateWorker(next)
	d.confirmStart(3000)
	assert.Equal(t, at(), "b")
	assert.Equal(t, d.waitingTasks("1"), 1)
}

// TestWorkerThatIsListedAgainIsKept guards against an instance that is neither used nor maintained
// any more: its worker was no longer listed, has restarted and is listed again, all while it is
// unreachable.
func TestWorkerThatIsListedAgainIsKept(t *testing.T) {
	d := newTestPoolWithRun(t)
	d.poll("w", worker.PollResult{}, port.Response{Result: port.Unknown})
	d.UnlistWorker("w")
	d.UpdateWorker(workerStartedAt(2000))
	d.now = d.now.Add(time.Minute)
	d.ExpireLeases(d.now)
	d.confirmStart(2000)
	assert.Assert(t, d.workers["w"].schedulable(d.now))
}

// TestListingWithoutAStartTimeIsIgnored guards against a response that may be from another
// incarnation, if the worker has reported its start time before.
func TestListingWithoutAStartTimeIsIgnored(t *testing.T) {
	d := newTestPoolWithRun(t)
	d.poll("w", worker.PollResult{}, accepted)
	assert.Equal(t, d.waitingTasks("1"), 0)
	assert.Assert(t, !d.workers["w"].unresponsiveSince.IsZero())
}

// TestTicketOfThePreviousIncarnationIsNotUsed guards against a ticket that was requested before a
// worker restarted: it is valid for the incarnation that it was issued for.
func TestTicketOfThePreviousIncarnationIsNotUsed(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	d.jobs["1"].queue.Advice = &config.Advice{TicketValidity: time.Hour}
	d.Plan(d.now)
	s := &d.jobs["1"].rounds[0].steps[0]
	q, has := d.NextAdviceRequest(d.now)
	assert.Assert(t, has)
	d.confirmStart(2000)
	d.HandleAdvice(q, []port.Ticket{{Worker: "w", Text: "t"}}, nil, d.now)
	assert.Assert(t, !s.allowedOn(d.workers["w"], d.now))
}

// TestEachIncarnationThatCrashesCountsOnce guards against a task that crashes its workers
// endlessly: a worker that returns under the same ID has crashed, and may crash again.
func TestEachIncarnationThatCrashesCountsOnce(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	for n := range 2 {
		d.now = d.now.Add(10 * time.Second)
		d.HandleOrderResponse(d.sendOrder(), accepted, d.now)
		d.confirmStart(int64(1001 + n))
		d.confirmStart(int64(1001 + n))
		assert.Equal(t, len(d.firstTask("1").crashes), n+1)
	}
	assert.Equal(t, d.persistedState("1"), job.Failed)
}

// TestStartRefusedByTheNextIncarnationIsNoCrash guards against a job that is reported as failed
// although it could be completed (violation LOST): a start order reaches a worker that has
// restarted and been polled since, so the run never started, and no crash is attributed to its
// task.
func TestStartRefusedByTheNextIncarnationIsNoCrash(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	order := d.sendOrder()
	d.confirmStart(2000)
	assert.Equal(t, len(d.firstTask("1").crashes), 1)
	d.HandleOrderResponse(order, port.Response{Result: port.TokenTooLow}, d.now)
	assert.Equal(t, len(d.firstTask("1").crashes), 0)
}

// TestUnresponsiveWorkerThatReturns guards against a crash that is cleared because a worker with
// the same ID responds, and against one that counts although the worker was only cut off.
func TestUnresponsiveWorkerThatReturns(t *testing.T) {
	for startedAt, crashes := range map[int64]int{1000: 0, 2000: 1} {
		for name, listed := range map[string]bool{"listed": true, "no longer listed": false} {
			d := newTestPoolWithRun(t)
			if !listed {
				d.UnlistWorker("w")
			}
			d.disconnect("w")
			d.persist()
			assert.Equal(t, len(d.firstTask("1").crashes), 1)
			d.registerStart(startedAt)
			assert.Equal(t, len(d.firstTask("1").crashes), crashes, "start time %d, %s", startedAt, name)
			if crashes > 0 {
				assert.Assert(t, d.firstTask("1").crashes[0].confirmed)
			}
		}
	}
}

// TestCrashIsNoticedByTheNextOwner guards against a crash that nobody counts: a worker restarts
// under the same ID while its pool changes owners. One that the previous owner has counted is not
// counted again.
func TestCrashIsNoticedByTheNextOwner(t *testing.T) {
	for name, c := range map[string]struct {
		counted   bool
		startedAt int64
		crashes   int
	}{"not counted": {false, 2000, 1}, "counted": {true, 2000, 1}, "no restart": {false, 1000, 0}} {
		t.Run(name, func(t *testing.T) {
			persisted := map[string]port.Record{}
			first := newTestPool(t, 1)
			persist := func() {
				for _, r := range first.persist() {
					persisted[r.Key] = r
				}
			}
			first.registerStart(1000)
			first.submit("1", 1)
			persist()
			first.startAll("w")
			if c.counted {
				first.confirmStart(2000)
				persist()
			}
			var records []port.Record
			for _, r := range persisted {
				records = append(records, r)
			}
			second := newTestPool(t, 2)
			assert.NilError(t, second.Restore(records, second.now, time.Minute))
			second.registerStart(c.startedAt)
			assert.Equal(t, len(second.firstTask("1").crashes), c.crashes)
		})
	}
}

// TestStartTimesAreKeptAsLongAsTheirWorkers guards against records of workers that are gone.
func TestStartTimesAreKeptAsLongAsTheirWorkers(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	d.submit("1", 1)
	assert.Assert(t, hasRecord(d.persist(), keyStart+"w", true))
	d.startAll("w")
	d.confirmStart(1000, worker.EndedRun{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done})
	assert.Assert(t, !hasRecord(d.persist(), keyStart+"w", true))
	d.UnlistWorker("w")
	assert.Assert(t, hasRecord(d.persist(), keyStart+"w", false))
}

// TestOrderToAnInstanceEndsOnlyItsIncarnation guards against an incarnation of a worker that counts
// as ended, and whose runs start elsewhere, because its instance was maintained before.
func TestOrderToAnInstanceEndsOnlyItsIncarnation(t *testing.T) {
	for startedAt, ended := range map[int64]bool{1000: true, 999: false, 0: false} {
		d := newTestPoolWithRun(t)
		d.EndIncarnations([]worker.Incarnation{{ID: "w", StartedAt: startedAt}}, d.now)
		assert.Equal(t, d.workers["w"] == nil, ended, "start time %d", startedAt)
		if !ended {
			assert.DeepEqual(t, d.PendingWorkers(), []worker.ID{"w"})
		}
	}
}

// TestCordonSurvivesARestart guards against placing tasks on a worker that has restarted under the
// same ID while its instance is being emptied.
func TestCordonSurvivesARestart(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerStart(1000)
	request := CordonRequest{Epoch: 1, Number: 1, Workers: []CordonedWorker{{ID: "w", MaintenanceRequired: true}}}
	_, err := d.Cordon(request, d.now)
	assert.NilError(t, err)
	d.persist()
	d.confirmStart(2000)
	assert.Assert(t, !d.workers["w"].schedulable(d.now) && !d.workers["w"].maintenanceSince.IsZero())
	assert.Assert(t, d.Report(request, d.now).Workers[0].Empty)
}

// TestNewOwnerExtendsByItsLeaseOnly guards against a task that runs twice (TWICE): a new owner assumes
// that a run may have the longest lease that the worker accepts, and must not give it that lease. The
// next owner would start the task again before it is over.
func TestNewOwnerExtendsByItsLeaseOnly(t *testing.T) {
	d := newTestPoolWithRun(t)
	n := d.nextOwner()
	n.Limits.MaxLease = 10 * time.Second
	n.UpdateWorker(workerStartedAt(1000))
	listing := worker.PollResult{StartedAt: 1000, Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}
	n.poll("w", listing, accepted)
	_, request, _ := n.BeginPoll("w", 0, n.now)
	assert.Equal(t, request.Deadline, accepted.Clock+testLimits.Lease)
	assert.Assert(t, !n.workers["w"].leasesExpireAt().Before(n.now.Add(n.Limits.MaxLease)), "the longest lease is not reserved for")
}
