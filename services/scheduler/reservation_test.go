// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// newTestPoolWithPriorities returns a pool of four workers, each with room for four tasks of a core, with a queue that
// comes first and one that comes after it. The worker "w-0" has the label "l".
func newTestPoolWithPriorities(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	queues := []config.Queue{
		{Name: "first", Host: "h", PathPrefix: "/first/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, BaseObjective: time.Second},
		{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Priority: 1, Stretch: 1.5, BaseObjective: time.Second},
		{Name: "permitted", Host: "h", PathPrefix: "/permitted/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, BaseObjective: time.Second, Advice: &config.Advice{TicketValidity: time.Hour}},
	}
	d.Configure(config.New(2, queues, []config.Pool{{Name: "p"}}, config.Limits{}))
	for n := range 4 {
		var labels []string
		if n == 0 {
			labels = []string{"l"}
		}
		d.listWorkerWith(worker.ID(fmt.Sprint("w-", n)), 4000, labels...)
	}
	return d
}

// submitStepTo submits a job of one step to a queue.
func (d *testPool) submitStepTo(queue string, id job.ID, step job.Step) {
	d.t.Helper()
	d.Submit(job.Submission{ID: id, Queue: "h/" + queue + "/", Steps: []job.Step{step}}, d.now)
}

// startEverywhere starts what is placed on all workers, and returns the tasks.
func (d *testPool) startEverywhere() []string {
	d.t.Helper()
	var started []string
	for _, id := range d.Workers() {
		started = append(started, d.startAll(id)...)
	}
	return started
}

// TestGangThatNeverFitsReservesNothing guards against jobs that never start although all workers are idle (LOST): a
// gang of a queue that comes first does not fit, for whatever reason, and has workers reserved without an end.
func TestGangThatNeverFitsReservesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		queue string
		gang  job.Step
	}{
		"processors":           {"first", job.Step{Count: 17, Size: job.Size{CPU: 1000}}},
		"memory":               {"first", job.Step{Count: 5, Size: job.Size{CPU: 10, MemoryMB: 3000}}},
		"too few with a label": {"first", job.Step{Count: 5, Size: job.Size{CPU: 1000}, Label: "l"}},
		"tasks on each worker": {"first", job.Step{Count: 5, Size: job.Size{CPU: 1000}, MaxPerWorker: 1}},
		"policy":               {"permitted", job.Step{Count: 16, Size: job.Size{CPU: 1000}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestPoolWithPriorities(t)
			c.gang.Gang, c.gang.Estimate = true, time.Second
			d.submitStepTo(c.queue, "gang", c.gang)
			d.persist()
			if q, has := d.NextAdviceRequest(d.now); has {
				d.HandleAdvice(q, []port.Ticket{{Worker: "w-1", Text: "t"}}, nil, d.now)
			}
			d.now = d.now.Add(time.Minute)
			d.needsPlan = true
			assert.Equal(t, len(d.startEverywhere()), 0)
			d.submitStepTo("q", "small", job.Step{Count: 4, Size: job.Size{CPU: 1000}, Estimate: time.Minute})
			assert.Equal(t, len(d.startEverywhere()), 4)
		})
	}
}

// TestReservationOfAnIdlePoolEnds guards against the same failure with gangs that would fit and don't start, here
// because a task runs for long on one worker: of other jobs, none waits for 3 s while most of the pool is idle, however
// many gangs take turns.
func TestReservationOfAnIdlePoolEnds(t *testing.T) {
	d := newTestPoolWithPriorities(t)
	d.submitStepTo("first", "long", job.Step{Count: 1, Size: job.Size{CPU: 1000}, Estimate: time.Second})
	assert.Equal(t, len(d.startEverywhere()), 1)
	for n := range 3 {
		d.submitStepTo("first", job.ID(fmt.Sprint("gang-", n)), job.Step{Count: 16, Size: job.Size{CPU: 1000}, Estimate: time.Second, Gang: true})
	}
	const step = 100 * time.Millisecond
	waiting := make(map[job.ID]time.Time)
	for n := range 300 {
		if n%7 == 0 && len(waiting) < 3 { // a pool in which most is in use may keep what is free for the gang
			id := job.ID(fmt.Sprint("small-", n))
			waiting[id] = d.now
			d.submitStepTo("q", id, job.Step{Count: 1, Size: job.Size{CPU: 10}, Estimate: time.Minute})
		}
		d.startEverywhere()
		for id, since := range waiting {
			if len(d.jobs[id].active) > 0 {
				delete(waiting, id)
				continue
			}
			assert.Assert(t, d.now.Sub(since) < 3*time.Second, "%s waits for %s", id, d.now.Sub(since))
		}
		d.now = d.now.Add(step)
	}
}

// TestGangOfABusyPoolStarts guards against a gang that never starts (LOST): other tasks take what becomes free before it
// is enough for all members.
func TestGangOfABusyPoolStarts(t *testing.T) {
	d := newTestPoolWithPriorities(t)
	d.submitStepTo("q", "small", job.Step{Count: 1000, Size: job.Size{CPU: 1000}, Estimate: time.Second})
	d.startEverywhere()
	d.submitStepTo("first", "gang", job.Step{Count: 8, Size: job.Size{CPU: 1000}, Estimate: time.Second, Gang: true})
	for n := 0; len(d.jobs["gang"].active) == 0; n++ {
		assert.Assert(t, n < 50, "the gang has not started")
		d.now = d.now.Add(100 * time.Millisecond)
		d.finishOne()
		d.finishOne()
		d.startEverywhere()
	}
}

// TestShortTasksRunBeforeAGang guards against workers that are idle for a gang which can't start soon: a task that is
// expected to end before runs there, and one that would delay the gang does not.
func TestShortTasksRunBeforeAGang(t *testing.T) {
	d := newTestPoolWithPriorities(t)
	d.submitStepTo("first", "half", job.Step{Count: 9, Size: job.Size{CPU: 1000}, Estimate: 10 * time.Second})
	assert.Equal(t, len(d.startEverywhere()), 9)
	d.submitStepTo("first", "gang", job.Step{Count: 16, Size: job.Size{CPU: 1000}, Estimate: time.Second, Gang: true})
	d.now = d.now.Add(2 * time.Second)
	d.submitStepTo("q", "long", job.Step{Count: 1, Size: job.Size{CPU: 1000}, Estimate: 20 * time.Second})
	d.submitStepTo("q", "short", job.Step{Count: 1, Size: job.Size{CPU: 1000}, Estimate: time.Second})
	assert.DeepEqual(t, d.startEverywhere(), []string{"short.0.0.0"})
}
