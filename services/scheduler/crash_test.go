// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// otherLife is the answer of a later life of an instance.
var otherLife = port.Response{Result: port.OtherIncarnation}

// life lists a fresh life of an instance and has it answer a look.
func (d *desk) life(instance string, n int) worker.ID {
	d.t.Helper()
	id := worker.ID(fmt.Sprintf("%s-%d", instance, n))
	d.UpdateWorker(worker.Worker{ID: id, Instance: instance, Pool: "p", Address: instance, Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.look(id, worker.PollResult{}, heard)
	return id
}

// beginAll keeps what is planned and has every order to a worker taken; it returns what was
// begun there.
func (d *desk) beginAll(id worker.ID) []string {
	d.t.Helper()
	d.keep()
	var begun []string
	for {
		order, has := d.NextOrder(id, d.now)
		if !has {
			return begun
		}
		if order.starts() {
			d.StartOrder(order, d.now)
			begun = append(begun, order.Run.name)
		}
		d.HandleOrderResponse(order, heard, d.now)
	}
}

// crash has a worker answered for by a later life of its instance, some seconds later.
func (d *desk) crash(id worker.ID) {
	d.t.Helper()
	d.now = d.now.Add(3 * time.Second)
	d.look(id, worker.PollResult{}, otherLife)
}

// cutOff has a worker silent until its leases are over.
func (d *desk) cutOff(id worker.ID) {
	d.t.Helper()
	d.look(id, worker.PollResult{}, port.Response{Result: port.Unknown})
	d.now = d.now.Add(10 * time.Second)
	d.ExpireLeases(d.now)
}

// state keeps what has changed and returns what a caller is told.
func (d *desk) state(id job.ID) job.State {
	d.t.Helper()
	d.keep()
	d.keep()
	state, _ := d.State(id)
	return state
}

// TestATaskThatCrashesItsWorkersIsGivenUp: a task under which two workers have crashed as
// it began, the second time alone, is begun no third time, and its job is told as failed.
func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("1", 1)
	for n := range 2 {
		id := d.life("a", n)
		assert.DeepEqual(t, d.beginAll(id), []string{"1.0.0.0"})
		d.crash(id)
	}
	assert.Equal(t, d.state("1"), job.Failed)
	assert.Equal(t, len(d.beginAll(d.life("a", 2))), 0)
}

// TestCrashesOutliveTheirOwner: the second crash is seen by a node that has taken the pool
// over since the first, and by another one that takes it over before that is kept.
func TestCrashesOutliveTheirOwner(t *testing.T) {
	first := newDesk(t, 1)
	first.submit("1", 1)
	records := map[string]port.Record{}
	keep := func(d *desk) {
		for _, r := range d.keep() {
			records[r.Key] = r
		}
	}
	restored := func(token uint64) *desk {
		d := newDesk(t, token)
		var list []port.Record
		for _, r := range records {
			list = append(list, r)
		}
		assert.NilError(t, d.Restore(list, d.now, time.Minute))
		return d
	}
	keep(first)
	a := first.life("a", 1)
	keep(first)
	first.beginAll(a)
	first.crash(a)
	keep(first)
	second := restored(2)
	b := second.life("b", 1)
	keep(second)
	assert.DeepEqual(t, second.beginAll(b), []string{"1.0.0.0"})
	third := restored(3)
	second.crash(b)
	assert.Equal(t, second.state("1"), job.Failed)
	third.crash(b) // that the run has ended is not in its records
	third.keep()
	assert.Equal(t, len(third.firstTask("1").crashes), 2)
}

// TestAJobThatIsOverHoldsNoCrashes: what was held against its tasks is dropped.
func TestAJobThatIsOverHoldsNoCrashes(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("1", 1)
	a := d.life("a", 1)
	d.beginAll(a)
	d.crash(a)
	assert.Assert(t, has(d.keep(), keyCrashes+"1", true))
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	assert.Assert(t, has(d.keep(), keyCrashes+"1", false))
	assert.Equal(t, len(d.blamed), 0)
}

// has reports whether a record with a key, and with a value or without, is among others.
func has(records []port.Record, key string, value bool) bool {
	for _, r := range records {
		if r.Key == key && (len(r.Value) > 0) == value {
			return true
		}
	}
	return false
}

// TestWhatIsNoCrash: a worker that is only cut off, one that was taken down by an order,
// one that drains and one that leaves without saying so end the runs of a task as often as
// they may, and it is begun again.
func TestWhatIsNoCrash(t *testing.T) {
	ends := map[string]func(d *desk, id worker.ID){
		"cut off": func(d *desk, id worker.ID) {
			d.cutOff(id)
			d.look(id, worker.PollResult{}, heard)
			d.EndIncarnations([]worker.Incarnation{{ID: id}}, d.now) // so that the next turn is another's
		},
		"order": func(d *desk, id worker.ID) { d.EndIncarnations([]worker.Incarnation{{ID: id}}, d.now) },
		"drains": func(d *desk, id worker.ID) {
			leaving, _ := d.Worker(id)
			leaving.Draining = true
			d.UpdateWorker(leaving)
			d.crash(id)
		},
		"leaves": func(d *desk, id worker.ID) {
			d.UnlistWorker(id)
			d.look(id, worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: d.firstTask("1").number}}}, heard)
			d.crash(id)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, 1)
			d.submit("1", 1)
			for n := range 2 * crashesMost {
				id := d.life("a", n)
				assert.DeepEqual(t, d.beginAll(id), []string{"1.0.0.0"})
				end(d, id)
			}
			assert.Equal(t, len(d.firstTask("1").crashes), 0)
		})
	}
}

// TestACrashCountsOnce: a worker is silent until its leases are over, and then its
// instance has another life.
func TestACrashCountsOnce(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("1", 1)
	a := d.life("a", 1)
	d.beginAll(a)
	d.cutOff(a)
	crashes := func() []crash { return d.firstTask("1").crashes }
	assert.Equal(t, len(crashes()), 1)
	assert.Equal(t, crashes()[0].sure, false)
	d.look(a, worker.PollResult{}, otherLife)
	assert.Equal(t, len(crashes()), 1)
	assert.Equal(t, crashes()[0].sure, true)
}

// TestSuspectsAreToldApart: of four tasks on a worker that crashes one is the cause. They
// are begun on workers of their own, and the others are done, though a second crash comes.
func TestSuspectsAreToldApart(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("1", 4)
	a := d.life("a", 1)
	assert.Equal(t, len(d.beginAll(a)), 4)
	d.crash(a)
	begun := make(map[string]worker.ID)
	for n := range 4 {
		id := d.life(fmt.Sprintf("b%d", n), 1)
		for _, name := range d.beginAll(id) {
			begun[name] = id
		}
	}
	where := make(map[worker.ID]int)
	for _, id := range begun {
		where[id]++
	}
	assert.Equal(t, len(begun), 4)
	assert.Equal(t, len(where), 4, "suspects share a worker: %v", begun)
	d.submit("2", 1)
	d.keep()
	assert.Equal(t, d.waitingTasks("2"), 1, "a task is begun beside a suspect that was not seen at work")
	d.now = d.now.Add(2 * freshTime)
	for id := range where {
		name := ""
		for task, at := range begun {
			if at == id {
				name = task
			}
		}
		d.look(id, worker.PollResult{Runs: []worker.Run{{Task: name, Number: 2}}}, heard)
	}
	d.moved = true
	d.keep()
	assert.Equal(t, d.waitingTasks("2"), 0)
}

// TestWhatServesOnAsAJobFails: a job with tasks that last fails for one of them. The
// others serve their users, and none of them may be ended beside the one that is away,
// until its caller cancels it.
func TestWhatServesOnAsAJobFails(t *testing.T) {
	d := newDesk(t, 1)
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 2, Size: job.Size{CPU: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1}}}, d.now)
	a := d.life("a", 1)
	d.beginAll(a)
	d.look(a, worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1, Percent: fullPace}}}, heard)
	for n := range 2 {
		b := d.life("b", n)
		assert.DeepEqual(t, d.beginAll(b), []string{"1.0.0.1"})
		d.crash(b)
	}
	assert.Equal(t, d.state("1"), job.Failed)
	_, stops := d.orders(a)
	assert.Equal(t, stops, 0, "a task that serves is stopped")
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.keep()
	_, stops = d.orders(a)
	assert.Equal(t, stops, 1, "a task of a cancelled job goes on")
}

// TestAFailedJobIsForgotten: what served on is stopped once the job is told of no longer,
// also where a stop is said to take no time, and the job is forgotten once it has ended.
func TestAFailedJobIsForgotten(t *testing.T) {
	d := newDesk(t, 1)
	d.Limits.StopTime = 0
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 1000}, LongRunning: true, MaxUnavailable: 1}}}, d.now)
	a := d.life("a", 1)
	d.beginAll(a)
	d.finish(d.jobs["1"], job.Failed, d.now, "test")
	d.now = d.now.Add(testLimits.Retention)
	d.keep()
	_, stops := d.orders(a)
	assert.Equal(t, stops, 1)
	d.look(a, worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Stopped}}}, heard)
	d.now = d.now.Add(time.Second)
	d.keep()
	assert.Equal(t, d.Has("1"), false)
}

// TestAStartThatALaterLifeAnswersIsNoCrash: many workers are gone in one moment, which nobody has
// seen yet, and a task whose worker was among them is placed on one after the other of them. Each
// time a later life of the instance answers the order, or the one beside it: the run has never
// begun, so no crash is held against its task, and its job is not given up. Seen on a bench day as
// LOST, a job told as failed after one crash that it was beside and three orders that reached
// nobody; its log has the three starts answered by other lives.
func TestAStartThatALaterLifeAnswersIsNoCrash(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("1", 2)
	for n := range 2 * crashesMost {
		id := d.life("a", n)
		d.keep()
		var orders []Order
		for {
			o, has := d.NextOrder(id, d.now)
			if !has {
				break
			}
			d.StartOrder(o, d.now)
			orders = append(orders, o)
		}
		assert.Equal(t, len(orders), 2)
		for _, o := range orders {
			d.HandleOrderResponse(o, otherLife, d.now)
		}
		for _, o := range orders {
			assert.Equal(t, len(o.Run.task().crashes), 0, "life %d", n)
		}
	}
	assert.Equal(t, d.state("1"), job.Queued)
}

// TestAStartThatGotNoAnswerMayBeACrash: a start whose first order got no answer may have begun,
// whatever answers the second.
func TestAStartThatGotNoAnswerMayBeACrash(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("1", 1)
	id := d.life("a", 1)
	d.keep()
	o, _ := d.NextOrder(id, d.now)
	d.StartOrder(o, d.now)
	assert.Assert(t, d.HandleOrderResponse(o, port.Response{Result: port.Unknown}, d.now))
	d.HandleOrderResponse(o, otherLife, d.now)
	assert.Equal(t, len(o.Run.task().crashes), 1)
}

// TestACrashThatMayBeATasksOwnIsNotExplained guards against BUDGET: a task that had been taken over
// when its worker crashed may be the cause, though another under which that worker crashed is
// given up.
func TestACrashThatMayBeATasksOwnIsNotExplained(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("1", 1)
	d.submit("2", 1)
	a := d.life("a", 1)
	d.beginAll(a)
	for _, u := range d.workers[a].runs {
		u.restored, u.began = true, time.Time{}
	}
	d.crash(a)
	for n := 1; d.state("2") != job.Failed && n < 2*crashesMost; n++ {
		b := d.life("b", n)
		d.keep()
		d.beginAll(b)
		if d.workers[b].runs["1.0.0.0"] != nil {
			d.lose(d.workers[b].runs["1.0.0.0"], d.now, "test")
		}
		d.crash(b)
	}
	assert.Equal(t, d.state("2"), job.Failed)
	assert.Equal(t, len(d.firstTask("1").crashes), 1)
}

// TestARunThatMayNotHaveBegunConvictsNobody guards against LOST: a job that could be done is told
// as failed since a worker crashed under its task and another did before it had taken the start.
func TestARunThatMayNotHaveBegunConvictsNobody(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("1", 1)
	a := d.life("a", 1)
	d.beginAll(a)
	d.crash(a)
	b := d.life("b", 1)
	d.keep()
	o, _ := d.NextOrder(b, d.now)
	d.StartOrder(o, d.now)
	assert.Assert(t, d.HandleOrderResponse(o, port.Response{Result: port.Unknown}, d.now))
	d.crash(b)
	assert.Equal(t, len(d.firstTask("1").crashes), 2)
	assert.Equal(t, d.state("1"), job.Running)
}

// TestASuspectIsBegunOnAnotherWorker guards against a task that is given up since one worker
// crashes again and again: it is begun elsewhere where there is room.
func TestASuspectIsBegunOnAnotherWorker(t *testing.T) {
	d := newDesk(t, 1)
	d.submit("1", 1)
	d.serveAs(1000)
	d.beginAll("w")
	d.answer(2000)
	x := d.life("x", 1)
	d.now = d.now.Add(time.Second)
	d.look("w", worker.PollResult{StartedAt: 2000}, heard)
	d.keep()
	assert.Equal(t, d.firstTask("1").runs[0].at.info.ID, x)
}
