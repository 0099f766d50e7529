// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/evacuation"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// newTestPoolBeforeCordon returns a pool of the workers "a", the only one with the label l, and "b". A task of 12 s has
// run on "a" for a second.
func newTestPoolBeforeCordon(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	d.listWorkerWith("a", 4000, "l")
	d.listWorker("b")
	d.submitStep("long", job.Step{Count: 1, Size: job.Size{CPU: 500}, Estimate: longTime, Label: "l"})
	assert.DeepEqual(t, d.startAll("a"), []string{"long.0.0.0"})
	d.later(time.Second)
	return d
}

// The run times of the long task and of those that are placed beside it.
const (
	longTime   = 12 * time.Second
	besideTime = 5 * time.Second
)

// later lets time pass, at the end of which "a" lists its runs.
func (d *testPool) later(after time.Duration) {
	d.now = d.now.Add(after)
	d.listOnA("", nil)
}

// listOnA has "a" list its runs but for one, and the ends.
func (d *testPool) listOnA(but string, ends []worker.EndedRun) {
	list := worker.PollResult{Ends: ends}
	for name, u := range d.workers["a"].runs {
		takes := besideTime
		if u.job.sub.ID == "long" {
			takes = longTime
		}
		if u.sent && name != but {
			list.Runs = append(list.Runs, worker.Run{Task: name, Number: u.number, Percent: min(int(fullPercent*d.now.Sub(u.startedAt)/takes), fullPercent-1)})
		}
	}
	d.poll("a", list, accepted)
	d.persist()
}

// placedOn returns the jobs that have runs on a worker, in order.
func (d *testPool) placedOn(id worker.ID) []job.ID {
	var list []job.ID
	for _, u := range d.workers[id].runs {
		list = append(list, u.job.sub.ID)
	}
	slices.Sort(list)
	return list
}

// endOnA ends a run on "a".
func (d *testPool) endOnA(name string, sequence int) {
	d.listOnA(name, []worker.EndedRun{{Sequence: sequence, Task: name, Number: d.workers["a"].runs[name].number, Reason: worker.Done}})
}

// TestCordonedWorkerTakesWhatRunsNowhereElse guards against a job that waits for the whole of a long task (LOST): the only
// worker that it may run on is cordoned, and has room. Nothing is placed there that would delay the worker, that has
// another place, or while the worker leaves for another reason.
func TestCordonedWorkerTakesWhatRunsNowhereElse(t *testing.T) {
	short := job.Step{Count: 1, Size: job.Size{CPU: 500}, Estimate: 300 * time.Millisecond, Label: "l"}
	with := func(change func(s *job.Step)) job.Step {
		s := short
		change(&s)
		return s
	}
	maintained := CordonRequest{Workers: []CordonedWorker{{ID: "a", MaintenanceRequired: true}}}
	moved := CordonRequest{Workers: []CordonedWorker{{ID: "a"}}}
	for _, c := range []struct {
		name    string
		request CordonRequest
		step    job.Step
		before  func(d *testPool)
		placed  bool
	}{
		{name: "it ends before the long task", request: maintained, step: short, placed: true},
		{name: "the instance is to move", request: moved, step: short, placed: true},
		{name: "it would delay the worker", request: maintained, step: with(func(s *job.Step) { s.Estimate = 13 * time.Second })},
		{name: "it has another place", request: maintained, step: with(func(s *job.Step) { s.Label = "" })},
		{name: "it is larger than the other worker", request: maintained, step: with(func(s *job.Step) { s.Label, s.Size.CPU = "", 3500 }), before: func(d *testPool) {
			d.listWorkerWith("b", 2000)
		}, placed: true},
		{name: "a gang", request: maintained, step: with(func(s *job.Step) { s.Gang, s.Count = true, 2 }), placed: true},
		{name: "it continues elsewhere from a checkpoint", request: maintained, step: with(func(s *job.Step) { s.Checkpointing, s.Estimate = true, 8*time.Second }), placed: true},
		{name: "it lasts, and the instance is maintained", request: maintained, step: with(func(s *job.Step) { s.LongRunning = true }), placed: true},
		{name: "it lasts, and the instance is to move", request: moved, step: with(func(s *job.Step) { s.LongRunning = true })},
		{name: "the worker drains as well", request: maintained, step: short, before: func(d *testPool) {
			info := d.workers["a"].info
			info.Draining, info.Remaining = true, time.Minute
			d.UpdateWorker(info)
		}},
		{name: "its data centre is under evacuation", request: maintained, step: short, before: func(d *testPool) {
			info := d.workers["a"].info
			info.DataCenter = "x"
			d.UpdateWorker(info)
			d.SetEvacuated(evacuation.List{DataCenters: []string{"x"}, End: 7})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newTestPoolBeforeCordon(t)
			cordon(d, c.request)
			if c.before != nil {
				c.before(d)
			}
			d.submitStep("1", c.step)
			d.persist()
			assert.Equal(t, slices.Contains(d.placedOn("a"), "1"), c.placed, "%v", d.placedOn("a"))
			if !c.placed {
				return
			}
			assert.Assert(t, len(d.startAll("a")) > 0, "its order is withheld")
			assert.Assert(t, !d.Report(CordonRequest{}, d.now).reported("a").Empty)
			d.later(100 * time.Millisecond)
			assert.Assert(t, slices.Contains(d.placedOn("a"), "1"), "it is stopped to empty the worker")
		})
	}
}

// TestStreamOfTasksDoesNotKeepACordonedWorker guards against a worker that never becomes empty, and so a wave that never
// ends: tasks that may run nowhere else arrive all the time, and take far longer than expected.
func TestStreamOfTasksDoesNotKeepACordonedWorker(t *testing.T) {
	d := newTestPoolBeforeCordon(t)
	cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "a", MaintenanceRequired: true}}})
	const step = 250 * time.Millisecond
	began, sequence, placed := d.now, 0, 0
	for n := 0; d.now.Sub(began) < time.Minute && !d.Report(CordonRequest{}, d.now).reported("a").Empty; n++ {
		d.submitStep(job.ID(fmt.Sprint("s", n)), job.Step{Count: 1, Size: job.Size{CPU: 50}, Estimate: 300 * time.Millisecond, Label: "l"})
		placed += len(d.startAll("a"))
		clear(d.runTimesByQueue) // nothing is learned of their run times
		d.later(step)
		for name, u := range d.workers["a"].runs {
			takes := besideTime
			if name == "long.0.0.0" {
				takes = longTime
			}
			if !u.startedAt.IsZero() && d.now.Sub(u.startedAt) >= takes {
				sequence++
				d.endOnA(name, sequence)
			}
		}
	}
	took := d.now.Sub(began)
	assert.Assert(t, placed > 10, "%d", placed)
	assert.Assert(t, took <= longTime+2*besideTime, "the worker was empty after %s", took)
}

// TestNeededWorkerIsReported guards against a job that waits for a worker to be emptied (LOST): it may run nowhere else, and
// takes longer than what runs there. A worker that is to be maintained is not reported, nor is one that is not waited for.
func TestNeededWorkerIsReported(t *testing.T) {
	for _, c := range []struct {
		name       string
		maintained bool
		step       job.Step
		needed     bool
	}{
		{name: "it runs nowhere else", step: job.Step{Count: 1, Size: job.Size{CPU: 500}, Estimate: 20 * time.Second, Label: "l"}, needed: true},
		{name: "the instance is maintained", maintained: true, step: job.Step{Count: 1, Size: job.Size{CPU: 500}, Estimate: 20 * time.Second, Label: "l"}},
		{name: "there is no room for it", step: job.Step{Count: 1, Size: job.Size{CPU: 3800}, Estimate: 20 * time.Second, Label: "l"}},
		{name: "it runs elsewhere", step: job.Step{Count: 1, Size: job.Size{CPU: 500}, Estimate: 20 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newTestPoolBeforeCordon(t)
			cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "a", MaintenanceRequired: c.maintained}}})
			d.submitStep("1", c.step)
			d.persist()
			assert.Assert(t, !d.Report(CordonRequest{}, d.now).reported("a").Needed, "it does not wait yet")
			d.later(neededAfter)
			d.later(neededAfter)
			assert.Equal(t, d.Report(CordonRequest{}, d.now).reported("a").Needed, c.needed)
		})
	}
}
