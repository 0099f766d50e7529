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

// restartable is what the worker "w" says of itself at one of its starts.
func restartable(born int64) worker.Worker {
	return worker.Worker{ID: "w", Instance: "i", Pool: "p", Address: "a", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}, StartedAt: born}
}

// serveAs lists the worker "w" and has one of its starts answer a look.
func (d *desk) serveAs(born int64) {
	d.t.Helper()
	d.UpdateWorker(restartable(born))
	d.answer(born)
}

// answer has a start of the worker "w" answer looks until it is known.
func (d *desk) answer(born int64, ends ...worker.EndedRun) {
	d.t.Helper()
	d.list(born, worker.PollResult{Ends: ends})
}

// list has a start of the worker "w" answer looks with a list of runs until it is known.
func (d *desk) list(born int64, l worker.PollResult) {
	d.t.Helper()
	l.StartedAt = born
	d.look("w", l, heard)
	if w := d.workers["w"]; w.unproven {
		d.look("w", l, heard)
	}
	assert.Equal(d.t, d.workers["w"].born, born)
}

// give keeps what is planned and has the next order to the worker "w" go out.
func (d *desk) give() Order {
	d.t.Helper()
	d.keep()
	order, has := d.NextOrder("w", d.now)
	assert.Assert(d.t, has)
	d.StartOrder(order, d.now)
	return order
}

// newDeskWithRun returns a desk on which the start 1000 of the worker "w" has taken run 1 of the
// only task of job "1".
func newDeskWithRun(t *testing.T) *desk {
	t.Helper()
	d := newDesk(t, 1)
	d.serveAs(1000)
	d.submit("1", 1)
	d.HandleOrderResponse(d.give(), heard, d.now)
	return d
}

// TestDoneAfterARestartIsNotBegunAgain guards against TWICE: the numbers of ends begin anew
// with a worker's start, and an end of a number that was seen before it counts all the same.
func TestDoneAfterARestartIsNotBegunAgain(t *testing.T) {
	for name, born := range map[string]int64{"later": 2000, "its time of day was set back": 500} {
		t.Run(name, func(t *testing.T) {
			d := newDeskWithRun(t)
			d.answer(1000, worker.EndedRun{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done})
			d.keep()
			d.answer(born)
			d.submit("2", 1)
			d.HandleOrderResponse(d.give(), heard, d.now)
			d.answer(born, worker.EndedRun{Sequence: 1, Task: "2.0.0.0", Number: 1, Reason: worker.Done})
			assert.Equal(t, d.state("2"), job.Completed)
			starts, _ := d.orders("w")
			assert.Equal(t, starts, 0)
		})
	}
}

// TestFailedAfterARestartUsesAttempts guards against BUDGET: a run that has failed at a
// worker's next start uses up an attempt, whatever its end's number.
func TestFailedAfterARestartUsesAttempts(t *testing.T) {
	d := newDesk(t, 1)
	d.serveAs(1000)
	d.submit("1", 1)
	for n := range 3 {
		d.now = d.now.Add(time.Minute)
		d.HandleOrderResponse(d.give(), heard, d.now)
		d.answer(int64(1000+n), worker.EndedRun{Sequence: 1, Task: "1.0.0.0", Number: n + 1, Reason: worker.Failed})
		d.keep()
		d.answer(int64(1001 + n))
	}
	assert.Equal(t, d.state("1"), job.Failed)
}

// TestEndsAreForgottenByTheStartThatListedThem guards against ends of a worker's next start
// that a look has it forget unread: a look names no end once they were told, and none where
// the worker has not listed its runs for so long that a run of another start may have ended.
func TestEndsAreForgottenByTheStartThatListedThem(t *testing.T) {
	seen := func(d *desk) int {
		k, ask, _ := d.BeginPoll("w", 0, d.now)
		d.EndPoll(k, worker.PollResult{StartedAt: 1000, Runs: []worker.Run{{Task: "1.0.0.1", Number: 1}}}, heard, d.now)
		return ask.Acknowledged
	}
	d := newDesk(t, 1)
	d.serveAs(1000)
	d.submit("1", 2)
	d.beginAll("w")
	d.list(1000, worker.PollResult{
		Runs: []worker.Run{{Task: "1.0.0.1", Number: 1}}, Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done}},
	})
	d.keep()
	d.now = d.now.Add(forgetWithin + time.Millisecond)
	assert.Equal(t, seen(d), 0, "an old list")
	d.now = d.now.Add(forgetWithin)
	assert.Equal(t, seen(d), 1, "a fresh list")
	assert.Equal(t, seen(d), 0, "it was told")
}

// TestNothingIsSentBeforeTheStartIsKnown guards against orders to a start of a worker of which
// nothing is known: one that answers as another start gets a look with a higher token first,
// which has it refuse whatever was sent before.
func TestNothingIsSentBeforeTheStartIsKnown(t *testing.T) {
	d := newDesk(t, 7)
	d.serveAs(1000)
	d.submit("1", 1)
	before := d.give()
	token := d.token(before.Run.at)
	d.submit("2", 1)
	d.keep()
	d.look("w", worker.PollResult{StartedAt: 2000}, heard)
	starts, _ := d.orders("w")
	assert.Equal(t, starts, 0)
	k, ask, _ := d.BeginPoll("w", time.Second, d.now)
	assert.Assert(t, ask.Token > token && ask.Deadline == 0 && ask.Wait == 0 && ask.Acknowledged == 0, "%+v", ask)
	d.EndPoll(k, worker.PollResult{StartedAt: 2000}, heard, d.now)
	d.HandleOrderResponse(before, port.Response{Result: port.TokenTooLow, Clock: time.Hour}, d.now)
	assert.Assert(t, d.workers["w"].clock < time.Hour, "the clock of a start is not that of the one before")
	d.keep()
	starts, _ = d.orders("w")
	assert.Assert(t, starts > 0)
}

// TestTokensOfALaterOwnerAreHigher guards against an earlier owner whose raised token a worker
// takes for the higher one.
func TestTokensOfALaterOwnerAreHigher(t *testing.T) {
	first, second := newDesk(t, 2), newDesk(t, 3)
	first.serveAs(1000)
	first.raised = 1<<raiseBits - 2
	for range 3 {
		first.raise(first.workers["w"])
	}
	second.serveAs(1000)
	assert.Assert(t, first.token(first.workers["w"]) < second.token(second.workers["w"]))
}

// TestAnUnansweredOrderRaisesTheToken guards against an order that is carried out seconds late
// by a worker's next start: the first order that this one gets has a higher token.
func TestAnUnansweredOrderRaisesTheToken(t *testing.T) {
	d := newDesk(t, 1)
	d.serveAs(1000)
	d.submit("1", 1)
	order := d.give()
	token := d.token(order.Run.at)
	assert.Assert(t, d.HandleOrderResponse(order, port.Response{Result: port.Unknown}, d.now))
	d.Retry(order, d.now)
	assert.Assert(t, d.token(order.Run.at) > token)
}

// TestARunThatTheNextStartHasTakenGoesOn guards against a second run beside one that a worker's
// next start has taken, or has ended, before the restart was known.
func TestARunThatTheNextStartHasTakenGoesOn(t *testing.T) {
	for name, l := range map[string]worker.PollResult{
		"runs":      {Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}},
		"has ended": {Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, 1)
			d.serveAs(1000)
			d.submit("1", 1)
			d.give()
			d.list(2000, l)
			d.keep()
			starts, stops := d.orders("w")
			assert.Equal(t, starts+stops, 0)
			d.answer(2000, worker.EndedRun{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done})
			assert.Equal(t, d.state("1"), job.Completed)
			assert.Equal(t, len(d.workers["w"].runs), 0)
		})
	}
}

// TestARunToBeStoppedIsStoppedAtTheNextStart guards against a run that goes on at a worker's
// next start after its stop was sent to the one before.
func TestARunToBeStoppedIsStoppedAtTheNextStart(t *testing.T) {
	d := newDeskWithRun(t)
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.keep()
	d.list(2000, worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}})
	d.keep()
	_, stops := d.orders("w")
	assert.Equal(t, stops, 1)
}

// TestAStopRefusedForItsTokenIsSentAgain guards against a run that is taken for stopped though
// its stop was overtaken by a look with a higher token.
func TestAStopRefusedForItsTokenIsSentAgain(t *testing.T) {
	d := newDeskWithRun(t)
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.keep()
	stop, has := d.NextOrder("w", d.now)
	assert.Assert(t, has && stop.Stop)
	d.raise(stop.Run.at)
	assert.Assert(t, !d.HandleOrderResponse(stop, port.Response{Result: port.TokenTooLow}, d.now))
	_, stops := d.orders("w")
	assert.Equal(t, stops, 1)
}

// TestAnEntryOfAnotherStartOnlyHasItLookedAt guards against what an earlier start of a worker
// has said of itself and is listed late.
func TestAnEntryOfAnotherStartOnlyHasItLookedAt(t *testing.T) {
	d := newDesk(t, 1)
	d.serveAs(1000)
	d.answer(2000)
	old := restartable(500)
	old.Draining, old.Address, old.Capacity = true, "b", job.Size{CPU: 1}
	d.UpdateWorker(old)
	assert.Assert(t, !d.workers["w"].open(d.now))
	assert.DeepEqual(t, d.PendingWorkers(), []worker.ID{"w"})
	d.answer(2000)
	assert.Assert(t, d.workers["w"].open(d.now))
	d.UpdateWorker(old)
	assert.Assert(t, d.workers["w"].open(d.now), "it was looked at for that start before")
	d.UpdateWorker(worker.Worker{ID: "w", Pool: "p"})
	assert.Equal(t, d.workers["w"].info.Address, "a", "an entry without a start where others had one")
}

// TestAnEntryOfTheNextStartIsUsedOnceThatAnswers guards against the room, the labels and the
// address of the start before.
func TestAnEntryOfTheNextStartIsUsedOnceThatAnswers(t *testing.T) {
	d := newDesk(t, 1)
	d.serveAs(1000)
	d.WorkersToReconnect()
	next := restartable(2000)
	next.Address, next.Capacity = "b", job.Size{CPU: 1000}
	d.UpdateWorker(next)
	assert.Equal(t, d.workers["w"].info.Address, "a")
	d.answer(2000)
	w, _ := d.Worker("w")
	assert.Assert(t, w.Address == "b" && w.Capacity == next.Capacity, "%+v", w)
	assert.DeepEqual(t, d.WorkersToReconnect(), []worker.ID{"w"})
	next.Address = "c"
	d.UpdateWorker(next)
	assert.DeepEqual(t, d.WorkersToReconnect(), []worker.ID{"w"})
}

// TestTheNextStartIsReachedAtItsOwnAddress guards against a worker that is never reached again: its
// next start has another address, and nothing answers at the one before. An address of another
// worker ends nothing.
func TestTheNextStartIsReachedAtItsOwnAddress(t *testing.T) {
	d := newDeskWithRun(t)
	at := func() string {
		d.WorkersToReconnect()
		w, _ := d.Worker("w")
		return w.Address
	}
	next := restartable(2000)
	next.Address = "b"
	d.UpdateWorker(next)
	assert.Equal(t, at(), "b")
	d.look("w", worker.PollResult{}, port.Response{Result: port.Unreachable})
	assert.Equal(t, at(), "a")
	d.look("w", worker.PollResult{}, port.Response{Result: port.Unreachable})
	assert.Equal(t, at(), "b")
	d.look("w", worker.PollResult{}, otherLife)
	assert.Equal(t, at(), "a")
	assert.Equal(t, d.waitingTasks("1"), 0, "another worker ends no run")
	next.StartedAt = 3000
	d.UpdateWorker(next)
	d.answer(3000)
	assert.Equal(t, at(), "b")
	assert.Equal(t, d.waitingTasks("1"), 1)
}

// TestAWorkerThatIsListedAgainIsNotForgotten guards against an instance that nobody uses or
// maintains any more: its worker was listed no longer, has restarted and is listed again, all
// while it is not reached.
func TestAWorkerThatIsListedAgainIsNotForgotten(t *testing.T) {
	d := newDeskWithRun(t)
	d.look("w", worker.PollResult{}, port.Response{Result: port.Unknown})
	d.UnlistWorker("w")
	d.UpdateWorker(restartable(2000))
	d.now = d.now.Add(time.Minute)
	d.ExpireLeases(d.now)
	d.answer(2000)
	assert.Assert(t, d.workers["w"].open(d.now))
}

// TestAListWithoutItsStartIsNotTaken guards against an answer that can't be told from that of
// another start, where the worker has told its start before.
func TestAListWithoutItsStartIsNotTaken(t *testing.T) {
	d := newDeskWithRun(t)
	d.look("w", worker.PollResult{}, heard)
	assert.Equal(t, d.waitingTasks("1"), 0)
	assert.Assert(t, !d.workers["w"].silent.IsZero())
}

// TestATicketOfTheStartBeforeIsNotUsed guards against a ticket that was asked for before a
// worker has restarted: it holds for the start that it was given for.
func TestATicketOfTheStartBeforeIsNotUsed(t *testing.T) {
	d := newDesk(t, 1)
	d.serveAs(1000)
	d.submit("1", 1)
	d.jobs["1"].queue.Advice = &config.Advice{TicketValidity: time.Hour}
	d.Plan(d.now)
	s := &d.jobs["1"].rounds[0].steps[0]
	q, has := d.NextAdviceRequest(d.now)
	assert.Assert(t, has)
	d.answer(2000)
	d.HandleAdvice(q, []port.Ticket{{Worker: "w", Text: "t"}}, nil, d.now)
	assert.Assert(t, !s.admits(d.workers["w"], d.now))
}

// TestEachStartThatCrashesCountsOnce guards against a task that crashes its workers without
// end: a worker that comes back under its id has crashed, and does so anew.
func TestEachStartThatCrashesCountsOnce(t *testing.T) {
	d := newDesk(t, 1)
	d.serveAs(1000)
	d.submit("1", 1)
	for n := range 2 {
		d.now = d.now.Add(10 * time.Second)
		d.HandleOrderResponse(d.give(), heard, d.now)
		d.answer(int64(1001 + n))
		d.answer(int64(1001 + n))
		assert.Equal(t, len(d.firstTask("1").crashes), n+1)
	}
	assert.Equal(t, d.state("1"), job.Failed)
}

// TestAStartThatTheNextStartRefusesIsNoCrash guards against LOST: a start of a run reaches a worker
// that has restarted and been looked at since, so the run has never begun.
func TestAStartThatTheNextStartRefusesIsNoCrash(t *testing.T) {
	d := newDesk(t, 1)
	d.serveAs(1000)
	d.submit("1", 1)
	order := d.give()
	d.answer(2000)
	assert.Equal(t, len(d.firstTask("1").crashes), 1)
	d.HandleOrderResponse(order, port.Response{Result: port.TokenTooLow}, d.now)
	assert.Equal(t, len(d.firstTask("1").crashes), 0)
}

// TestAWorkerThatWasSilentAndComesBack guards against a crash that is taken back since a worker
// of that id answers, and against one that is counted though it was only cut off.
func TestAWorkerThatWasSilentAndComesBack(t *testing.T) {
	for born, crashes := range map[int64]int{1000: 0, 2000: 1} {
		for name, listed := range map[string]bool{"listed": true, "listed no longer": false} {
			d := newDeskWithRun(t)
			if !listed {
				d.UnlistWorker("w")
			}
			d.cutOff("w")
			d.keep()
			assert.Equal(t, len(d.firstTask("1").crashes), 1)
			d.serveAs(born)
			assert.Equal(t, len(d.firstTask("1").crashes), crashes, "start %d, %s", born, name)
			if crashes > 0 {
				assert.Assert(t, d.firstTask("1").crashes[0].sure)
			}
		}
	}
}

// TestACrashIsSeenByTheNextOwner guards against a crash that nobody counts: a worker restarts
// under its id while its pool changes owners. One that the owner before has counted is not
// counted again.
func TestACrashIsSeenByTheNextOwner(t *testing.T) {
	for name, c := range map[string]struct {
		counted bool
		born    int64
		crashes int
	}{"not counted": {false, 2000, 1}, "counted": {true, 2000, 1}, "no restart": {false, 1000, 0}} {
		t.Run(name, func(t *testing.T) {
			kept := map[string]port.Record{}
			first := newDesk(t, 1)
			keep := func() {
				for _, r := range first.keep() {
					kept[r.Key] = r
				}
			}
			first.serveAs(1000)
			first.submit("1", 1)
			keep()
			first.beginAll("w")
			if c.counted {
				first.answer(2000)
				keep()
			}
			var records []port.Record
			for _, r := range kept {
				records = append(records, r)
			}
			second := newDesk(t, 2)
			assert.NilError(t, second.Restore(records, second.now, time.Minute))
			second.serveAs(c.born)
			assert.Equal(t, len(second.firstTask("1").crashes), c.crashes)
		})
	}
}

// TestStartsAreKeptAsLongAsTheirWorkers guards against records of workers that are gone.
func TestStartsAreKeptAsLongAsTheirWorkers(t *testing.T) {
	d := newDesk(t, 1)
	d.serveAs(1000)
	d.submit("1", 1)
	assert.Assert(t, has(d.keep(), keyStart+"w", true))
	d.beginAll("w")
	d.answer(1000, worker.EndedRun{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done})
	assert.Assert(t, !has(d.keep(), keyStart+"w", true))
	d.UnlistWorker("w")
	assert.Assert(t, has(d.keep(), keyStart+"w", false))
}

// TestAnOrderToAnInstanceEndsItsStartOnly guards against a start of a worker that is taken for
// ended, and whose runs begin elsewhere, since its instance was maintained before.
func TestAnOrderToAnInstanceEndsItsStartOnly(t *testing.T) {
	for born, ended := range map[int64]bool{1000: true, 999: false, 0: false} {
		d := newDeskWithRun(t)
		d.EndIncarnations([]worker.Incarnation{{ID: "w", StartedAt: born}}, d.now)
		assert.Equal(t, d.workers["w"] == nil, ended, "start %d", born)
		if !ended {
			assert.DeepEqual(t, d.PendingWorkers(), []worker.ID{"w"})
		}
	}
}

// TestACordonOutlivesARestart guards against placing on a worker whose instance is being
// emptied, since it has restarted under its id.
func TestACordonOutlivesARestart(t *testing.T) {
	d := newDesk(t, 1)
	d.serveAs(1000)
	asked := CordonRequest{Epoch: 1, Number: 1, Workers: []CordonedWorker{{ID: "w", MaintenanceRequired: true}}}
	_, err := d.Cordon(asked, d.now)
	assert.NilError(t, err)
	d.keep()
	d.answer(2000)
	assert.Assert(t, !d.workers["w"].open(d.now) && !d.workers["w"].must.IsZero())
	assert.Assert(t, d.Report(asked, d.now).Workers[0].Empty)
}
