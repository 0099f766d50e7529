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

// otherIncarnation is the response of a later incarnation of an instance.
var otherIncarnation = port.Response{Result: port.OtherIncarnation}

// addIncarnation lists a new incarnation of an instance and has it respond to a poll.
func (d *testPool) addIncarnation(instance string, n int) worker.ID {
	d.t.Helper()
	id := worker.ID(fmt.Sprintf("%s-%d", instance, n))
	d.UpdateWorker(worker.Worker{ID: id, Instance: instance, Pool: "p", Address: instance, Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.poll(id, worker.PollResult{}, accepted)
	return id
}

// startAll persists what is planned and has every order to a worker accepted; it returns the tasks
// started there.
func (d *testPool) startAll(id worker.ID) []string {
	d.t.Helper()
	d.persist()
	var started []string
	for {
		order, has := d.NextOrder(id, d.now)
		if !has {
			return started
		}
		if order.isStart() {
			d.StartOrder(order, d.now)
			started = append(started, order.Run.name)
		}
		d.HandleOrderResponse(order, accepted, d.now)
	}
}

// crash has the next poll of a worker not reach it, and some seconds later another incarnation of its
// instance respond.
func (d *testPool) crash(id worker.ID) {
	d.t.Helper()
	d.now = d.now.Add(pollGap)
	d.poll(id, worker.PollResult{}, port.Response{Result: port.Unreachable})
	d.crashUnobserved(id)
}

// crashUnobserved has another incarnation of its instance respond for a worker, some seconds after the
// last contact.
func (d *testPool) crashUnobserved(id worker.ID) {
	d.t.Helper()
	d.now = d.now.Add(3 * time.Second)
	d.poll(id, worker.PollResult{}, otherIncarnation)
}

// disconnect makes a worker unresponsive until its leases have expired.
func (d *testPool) disconnect(id worker.ID) {
	d.t.Helper()
	d.poll(id, worker.PollResult{}, port.Response{Result: port.Unknown})
	d.now = d.now.Add(10 * time.Second)
	d.ExpireLeases(d.now)
}

// persistedState persists what has changed and returns the state that a caller sees.
func (d *testPool) persistedState(id job.ID) job.State {
	d.t.Helper()
	d.persist()
	d.persist()
	state, _ := d.State(id)
	return state
}

// TestTaskThatCrashesItsWorkersFails: a task under which two workers crashed as it started, the
// second time alone, is not started a third time, and its job is reported as failed.
func TestTaskThatCrashesItsWorkersFails(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	for n := range 2 {
		id := d.addIncarnation("a", n)
		assert.DeepEqual(t, d.startAll(id), []string{"1.0.0.0"})
		d.crash(id)
	}
	assert.Equal(t, d.persistedState("1"), job.Failed)
	assert.Equal(t, len(d.startAll(d.addIncarnation("a", 2))), 0)
}

// TestCrashesSurviveAnOwnerChange: the second crash is noticed by a node that has taken over the
// pool since the first one, and by another one that takes it over before that is persisted.
func TestCrashesSurviveAnOwnerChange(t *testing.T) {
	first := newTestPool(t, 1)
	first.submit("1", 1)
	records := map[string]port.Record{}
	persist := func(d *testPool) {
		for _, r := range d.persist() {
			records[r.Key] = r
		}
	}
	restored := func(token uint64) *testPool {
		d := newTestPool(t, token)
		var list []port.Record
		for _, r := range records {
			list = append(list, r)
		}
		assert.NilError(t, d.Restore(list, d.now, time.Minute))
		return d
	}
	persist(first)
	a := first.addIncarnation("a", 1)
	persist(first)
	first.startAll(a)
	first.crash(a)
	persist(first)
	second := restored(2)
	b := second.addIncarnation("b", 1)
	persist(second)
	assert.DeepEqual(t, second.startAll(b), []string{"1.0.0.0"})
	third := restored(3)
	second.crash(b)
	assert.Equal(t, second.persistedState("1"), job.Failed)
	third.crash(b) // its records do not show that the run has ended
	third.persist()
	assert.Equal(t, len(third.firstTask("1").crashes), 2)
}

// TestFinishedJobKeepsNoCrashes: the crashes attributed to the tasks of a finished job are removed.
func TestFinishedJobKeepsNoCrashes(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	a := d.addIncarnation("a", 1)
	d.startAll(a)
	d.crash(a)
	assert.Assert(t, hasRecord(d.persist(), keyCrashes+"1", true))
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	assert.Assert(t, hasRecord(d.persist(), keyCrashes+"1", false))
	assert.Equal(t, len(d.attributed), 0)
}

// hasRecord reports whether records contain one with a key, with or without a value.
func hasRecord(records []port.Record, key string, value bool) bool {
	for _, r := range records {
		if r.Key == key && (len(r.Value) > 0) == value {
			return true
		}
	}
	return false
}

// TestExitsThatAreNoCrashes: a worker that is only cut off, one that is taken down by an order, one
// that drains and one that leaves unannounced may end the runs of a task any number of times, and
// it is started again.
func TestExitsThatAreNoCrashes(t *testing.T) {
	ends := map[string]func(d *testPool, id worker.ID){
		"cut off": func(d *testPool, id worker.ID) {
			d.disconnect(id)
			d.poll(id, worker.PollResult{}, accepted)
			d.EndIncarnations([]worker.Incarnation{{ID: id}}, d.now) // so that the next iteration gets another one
		},
		"order": func(d *testPool, id worker.ID) { d.EndIncarnations([]worker.Incarnation{{ID: id}}, d.now) },
		"drains": func(d *testPool, id worker.ID) {
			leaving, _ := d.Worker(id)
			leaving.Draining = true
			d.UpdateWorker(leaving)
			d.crash(id)
		},
		"leaves": func(d *testPool, id worker.ID) {
			d.UnlistWorker(id)
			d.poll(id, worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: d.firstTask("1").number}}}, accepted)
			d.crash(id)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			d.submit("1", 1)
			for n := range 2 * maxCrashes {
				id := d.addIncarnation("a", n)
				assert.DeepEqual(t, d.startAll(id), []string{"1.0.0.0"})
				end(d, id)
			}
			assert.Equal(t, len(d.firstTask("1").crashes), 0)
		})
	}
}

// TestCrashCountsOnce: a worker is unresponsive until its leases expire, and then its instance has
// another incarnation.
func TestCrashCountsOnce(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	a := d.addIncarnation("a", 1)
	d.startAll(a)
	d.disconnect(a)
	crashes := func() []crash { return d.firstTask("1").crashes }
	assert.Equal(t, len(crashes()), 1)
	assert.Equal(t, crashes()[0].confirmed, false)
	d.poll(a, worker.PollResult{}, otherIncarnation)
	assert.Equal(t, len(crashes()), 1)
	assert.Equal(t, crashes()[0].confirmed, true)
}

// TestSuspectsAreSeparated: one of four tasks on a worker that crashes is the cause. They are
// started on separate workers, and the others finish even if there is a second crash.
func TestSuspectsAreSeparated(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 4)
	a := d.addIncarnation("a", 1)
	assert.Equal(t, len(d.startAll(a)), 4)
	d.crash(a)
	started := make(map[string]worker.ID)
	for n := range 4 {
		id := d.addIncarnation(fmt.Sprintf("b%d", n), 1)
		for _, name := range d.startAll(id) {
			started[name] = id
		}
	}
	where := make(map[worker.ID]int)
	for _, id := range started {
		where[id]++
	}
	assert.Equal(t, len(started), 4)
	assert.Equal(t, len(where), 4, "suspects share a worker: %v", started)
	d.submit("2", 1)
	d.persist()
	assert.Equal(t, d.waitingTasks("2"), 1, "a task is started beside a suspect that was not seen running")
	d.now = d.now.Add(2 * startupTime)
	for id := range where {
		name := ""
		for task, at := range started {
			if at == id {
				name = task
			}
		}
		d.poll(id, worker.PollResult{Runs: []worker.Run{{Task: name, Number: 2}}}, accepted)
	}
	d.needsPlan = true
	d.persist()
	assert.Equal(t, d.waitingTasks("2"), 0)
}

// TestServingTasksOfAFailedJob: a job with long-running tasks fails because of one of them. The
// others serve users, and none of them may be stopped beside the one that is unavailable until the
// caller cancels the job.
func TestServingTasksOfAFailedJob(t *testing.T) {
	d := newTestPool(t, 1)
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 2, Size: job.Size{CPU: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1}}}, d.now)
	a := d.addIncarnation("a", 1)
	d.startAll(a)
	d.poll(a, worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1, Percent: fullPercent}}}, accepted)
	for n := range 2 {
		b := d.addIncarnation("b", n)
		assert.DeepEqual(t, d.startAll(b), []string{"1.0.0.1"})
		d.crash(b)
	}
	assert.Equal(t, d.persistedState("1"), job.Failed)
	_, stops := d.takeOrders(a)
	assert.Equal(t, stops, 0, "a serving task is stopped")
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.persist()
	_, stops = d.takeOrders(a)
	assert.Equal(t, stops, 1, "a task of a cancelled job continues")
}

// TestFailedJobIsForgotten: serving tasks of a failed job are stopped when its retention is over,
// even if the configured stop time is zero, and the job is forgotten once they have ended.
func TestFailedJobIsForgotten(t *testing.T) {
	d := newTestPool(t, 1)
	d.Limits.StopTime = 0
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 1000}, LongRunning: true, MaxUnavailable: 1}}}, d.now)
	a := d.addIncarnation("a", 1)
	d.startAll(a)
	d.finishJob(d.jobs["1"], job.Failed, d.now, "test")
	d.now = d.now.Add(testLimits.Retention)
	d.persist()
	_, stops := d.takeOrders(a)
	assert.Equal(t, stops, 1)
	d.poll(a, worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Stopped}}}, accepted)
	d.now = d.now.Add(time.Second)
	d.persist()
	assert.Equal(t, d.Has("1"), false)
}

// TestStartForAnotherIncarnationIsNoCrash guards against a job that is reported as failed although
// it could be completed (violation LOST). Many workers exit at one moment, which is not noticed
// yet, and a task of one of them is placed on the others one after another. Each time a later
// incarnation of the instance responds to the start order, or to another order sent with it: the
// run never started, so no crash is attributed to its task. A job failed this way after one crash
// of a worker that it shared with another task, and three start orders to which later incarnations
// responded.
func TestStartForAnotherIncarnationIsNoCrash(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 2)
	for n := range 2 * maxCrashes {
		id := d.addIncarnation("a", n)
		d.persist()
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
			d.HandleOrderResponse(o, otherIncarnation, d.now)
		}
		for _, o := range orders {
			assert.Equal(t, len(o.Run.task().crashes), 0, "incarnation %d", n)
		}
	}
	assert.Equal(t, d.persistedState("1"), job.Queued)
}

// TestStartWithoutResponseMayBeACrash: a run whose first start order got no response may have
// started, whatever the response to the second one is.
func TestStartWithoutResponseMayBeACrash(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	id := d.addIncarnation("a", 1)
	d.persist()
	o, _ := d.NextOrder(id, d.now)
	d.StartOrder(o, d.now)
	assert.Assert(t, d.HandleOrderResponse(o, port.Response{Result: port.Unknown}, d.now))
	d.HandleOrderResponse(o, otherIncarnation, d.now)
	assert.Equal(t, len(o.Run.task().crashes), 1)
}

// TestPossibleCauseIsNotCleared guards against a task that is started too often after crashes
// (violation BUDGET): a task whose run had been restored when its worker crashed may be the cause,
// even though the job of another task under which that worker crashed is failed.
func TestPossibleCauseIsNotCleared(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	d.submit("2", 1)
	a := d.addIncarnation("a", 1)
	d.startAll(a)
	for _, u := range d.workers[a].runs {
		u.restored, u.startedAt = true, time.Time{}
	}
	d.crash(a)
	for n := 1; d.persistedState("2") != job.Failed && n < 2*maxCrashes; n++ {
		b := d.addIncarnation("b", n)
		d.persist()
		d.startAll(b)
		if d.workers[b].runs["1.0.0.0"] != nil {
			d.loseRun(d.workers[b].runs["1.0.0.0"], d.now, "test")
		}
		d.crash(b)
	}
	assert.Equal(t, d.persistedState("2"), job.Failed)
	assert.Equal(t, len(d.firstTask("1").crashes), 1)
}

// TestRunThatMayNotHaveStartedDecidesNothing guards against a job that is reported as failed
// although it could be completed (violation LOST): a worker crashed under its task, and another one
// crashed before it had accepted the start.
func TestRunThatMayNotHaveStartedDecidesNothing(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	a := d.addIncarnation("a", 1)
	d.startAll(a)
	d.crash(a)
	b := d.addIncarnation("b", 1)
	d.persist()
	o, _ := d.NextOrder(b, d.now)
	d.StartOrder(o, d.now)
	assert.Assert(t, d.HandleOrderResponse(o, port.Response{Result: port.Unknown}, d.now))
	d.crash(b)
	assert.Equal(t, len(d.firstTask("1").crashes), 2)
	assert.Equal(t, d.persistedState("1"), job.Running)
}

// TestSuspectStartsOnAnotherWorker guards against a task that is failed because one worker crashes
// repeatedly: it is started elsewhere if there is capacity.
func TestSuspectStartsOnAnotherWorker(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	d.registerStart(1000)
	d.startAll("w")
	d.confirmStart(2000)
	x := d.addIncarnation("x", 1)
	d.now = d.now.Add(time.Second)
	d.poll("w", worker.PollResult{StartedAt: 2000}, accepted)
	d.persist()
	assert.Equal(t, d.firstTask("1").runs[0].worker.info.ID, x)
}

// TestUnobservedCrashSaysLittle guards against a job that is failed for two crashes of which one came at
// an unknown time: the owner's machine was suspended just after the task had started, or the worker
// crashed while a poll of it waited. The task may have been running for long, or be done. A task that
// does crash its workers fails with the next one that is observed.
func TestUnobservedCrashSaysLittle(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	id := d.addIncarnation("a", 0)
	assert.DeepEqual(t, d.startAll(id), []string{"1.0.0.0"})
	d.crashUnobserved(id)
	for n, want := range []job.State{job.Running, job.Failed} {
		id := d.addIncarnation("b", n)
		assert.DeepEqual(t, d.startAll(id), []string{"1.0.0.0"})
		d.crash(id)
		assert.Equal(t, d.persistedState("1"), want, "after %d observed crashes", n+1)
	}
}

// TestWorkersThatCrashTogetherFailNoJob guards against a job that is reported as failed although it could
// be completed (violation LOST): each of its tasks loses four workers, each time in one moment with
// another worker, after it had been running for a while.
func TestWorkersThatCrashTogetherFailNoJob(t *testing.T) {
	d := newTestPool(t, 1)
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 2, Size: job.Size{CPU: 1000}, MaxPerWorker: 1}}}, d.now)
	for n := range maxCrashes + 1 {
		d.crashTogether(n, true)
	}
	assert.Equal(t, d.persistedState("1"), job.Running)
}

// TestRestoredRunsThatCrashTogetherCount guards against a task that is started too often after crashes
// (violation BUDGET): the runs were restored, so that they may have been starting each time.
func TestRestoredRunsThatCrashTogetherCount(t *testing.T) {
	d := newTestPool(t, 1)
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 2, Size: job.Size{CPU: 1000}, MaxPerWorker: 1}}}, d.now)
	for n := range maxCrashes {
		d.crashTogether(n, false)
	}
	assert.Equal(t, d.persistedState("1"), job.Failed)
}

// crashTogether starts the two tasks of a job on two workers, which crash in one moment a second later.
// The runs have been seen running, or were restored and have not.
func (d *testPool) crashTogether(n int, seen bool) {
	d.t.Helper()
	ids := []worker.ID{d.addIncarnation("a", n), d.addIncarnation("b", n)}
	for _, id := range ids {
		assert.Equal(d.t, len(d.startAll(id)), 1, "incarnation %d", n)
	}
	d.now = d.now.Add(time.Second)
	for _, id := range ids {
		for task, u := range d.workers[id].runs {
			if u.restored = !seen; u.restored {
				u.startedAt = time.Time{}
			} else {
				d.poll(id, worker.PollResult{Runs: []worker.Run{{Task: task, Number: u.number}}}, accepted)
			}
		}
	}
	for _, id := range ids {
		d.poll(id, worker.PollResult{}, port.Response{Result: port.Unreachable})
	}
	for _, id := range ids {
		d.crashUnobserved(id)
	}
}

// TestOneOfManyStartingTasksIsNotFailedByTheNextCrash guards against a job that is reported as failed
// although it could be completed (violation LOST): a worker crashes under eight starting tasks, and the next
// worker of one of them crashes as well, for other causes. A task that does crash its workers fails with
// the third (violation BUDGET), also if its owner changes after each crash.
func TestOneOfManyStartingTasksIsNotFailedByTheNextCrash(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner changes %t", changes), func(t *testing.T) {
			const tasks = 8
			d := newTestPool(t, 1)
			d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: tasks, Size: job.Size{CPU: 500}}}}, d.now)
			a := d.addIncarnation("a", 1)
			assert.Equal(t, len(d.startAll(a)), tasks)
			d.crash(a)
			d.persist()
			for n, want := range []job.State{job.Running, job.Failed} {
				if changes {
					d = d.nextOwner()
				}
				id := d.addIncarnation("b", n)
				assert.DeepEqual(t, d.startOne(id), "1.0.0.0")
				d.crash(id)
				assert.Equal(t, d.persistedState("1"), want, "after %d workers", n+2)
			}
		})
	}
}

// startOne has the only start order to a worker accepted, and returns its task.
func (d *testPool) startOne(id worker.ID) string {
	d.t.Helper()
	started := d.startAll(id)
	assert.Equal(d.t, len(started), 1, "%v", started)
	return started[0]
}

// TestRunThatMayNotHaveStartedFailsNoTask guards against a job that is reported as failed after one worker has
// crashed under its task (violation LOST): on an earlier worker that crashed, its start order got no response, and
// the task never started. A task that crashes its workers is failed with the next one, before it is started a
// second time after the third.
func TestRunThatMayNotHaveStartedFailsNoTask(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	id := d.addIncarnation("a", 0)
	d.persist()
	o, has := d.NextOrder(id, d.now)
	assert.Assert(t, has && o.isStart())
	d.StartOrder(o, d.now)
	d.HandleOrderResponse(o, port.Response{Result: port.Unknown}, d.now)
	d.crash(id)
	assert.Equal(t, len(d.firstTask("1").crashes), 1)
	for n, want := range []job.State{job.Running, job.Failed} {
		id := d.addIncarnation("b", n)
		d.startOne(id)
		d.crash(id)
		assert.Equal(t, d.persistedState("1"), want, "after %d workers under the task", n+1)
	}
}

// TestRunningTaskThatLastsOutlivesCrashes guards against a job of tasks that last that is failed for crashes of
// other causes (violation LOST): four workers are gone some seconds after its task has started there. Twice as
// many fail it, so that a task which crashes its workers while it runs ends as well, and any other task is
// failed as before.
func TestRunningTaskThatLastsOutlivesCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		step job.Step
		want int
	}{
		"lasts": {job.Step{Count: 1, Size: job.Size{CPU: 1000}, LongRunning: true}, 2 * maxCrashes},
		"ends":  {job.Step{Count: 1, Size: job.Size{CPU: 1000}, Estimate: time.Minute}, maxCrashes},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{c.step}}, d.now)
			crashes := 0
			for d.persistedState("1") != job.Failed && crashes < 4*maxCrashes {
				id := d.addIncarnation("a", crashes)
				task := d.startOne(id)
				d.now = d.now.Add(provenAfter / 2)
				d.poll(id, worker.PollResult{Runs: []worker.Run{{Task: task, Number: crashes + 1, Percent: 50}}}, accepted)
				d.crash(id)
				crashes++
			}
			assert.Equal(t, crashes, c.want)
		})
	}
}

// TestGangThatCrashesItsWorkersFails guards against a gang that crashes four workers, where a single task crashes
// two, and whose job ends as much later: its members start together, and each had only its share of a crash.
func TestGangThatCrashesItsWorkersFails(t *testing.T) {
	const members = 4
	d := newTestPool(t, 1)
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{
		{Count: members, Size: job.Size{CPU: 500}, Estimate: time.Minute, Gang: true},
	}}, d.now)
	for n, want := range []job.State{job.Running, job.Failed} {
		id := d.addIncarnation("a", n)
		assert.Equal(t, len(d.startAll(id)), members)
		d.crash(id)
		assert.Equal(t, d.persistedState("1"), want, "after %d workers", n+1)
	}
}
