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

// newTestPoolWithOnePlace returns a pool of four workers. Only "a" has the label "l" and room for a task of four cores.
func newTestPoolWithOnePlace(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	d.Configure(config.New(2, []config.Queue{
		testConfig.Queues[0],
		{Name: "permitted", Host: "h", PathPrefix: "/permitted/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, BaseObjective: time.Second, Advice: &config.Advice{TicketValidity: time.Hour}},
	}, []config.Pool{{Name: "p"}}, config.Limits{}))
	d.listOnePlace()
	return d
}

// listOnePlace lists the workers, each of which responds to a poll.
func (d *testPool) listOnePlace() {
	d.t.Helper()
	d.listWorkerWith("a", 4000, "l")
	for _, id := range []worker.ID{"b", "c", "d"} {
		d.listWorkerWith(id, 2000)
	}
}

// permitOnly answers all requests to the advice service with a ticket for the worker "a".
func (d *testPool) permitOnly() {
	for {
		q, has := d.NextAdviceRequest(d.now)
		if !has {
			return
		}
		d.HandleAdvice(q, []port.Ticket{{Worker: "a", Text: "t"}}, nil, d.now)
	}
}

// TestEjectedWorkerTakesWhatNoOtherCould guards against jobs that wait for half a minute although the only worker that
// they can run on is idle (LOST): hopeless jobs, which could fail nowhere else, get it ejected again and again.
func TestEjectedWorkerTakesWhatNoOtherCould(t *testing.T) {
	for name, c := range map[string]struct {
		queue string
		step  job.Step
	}{
		"a label":  {"q", job.Step{Size: job.Size{CPU: 100}, Label: "l"}},
		"its size": {"q", job.Step{Size: job.Size{CPU: 2001}}},
		"a policy": {"permitted", job.Step{Size: job.Size{CPU: 100}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestPoolWithOnePlace(t)
			c.step.Count, c.step.Estimate = 1, 300*time.Millisecond
			hopeless, waiting := 0, make(map[job.ID]time.Time)
			const step = 100 * time.Millisecond
			for n := range 300 {
				if n%20 == 0 {
					for range 3 {
						hopeless++
						d.submitStepTo(c.queue, job.ID(fmt.Sprint("hopeless-", hopeless)), c.step)
					}
				}
				if n%30 == 7 {
					id := job.ID(fmt.Sprint("sound-", n))
					waiting[id] = d.now
					d.submitStepTo(c.queue, id, c.step)
				}
				d.permitOnly()
				started := d.startAll("a")
				for id, since := range waiting {
					if len(d.jobs[id].active) > 0 {
						delete(waiting, id)
						continue
					}
					if len(d.workers["a"].runs) > 0 && c.step.Size.CPU > 2000 {
						waiting[id] = d.now // there is no capacity for it
						continue
					}
					assert.Assert(t, d.now.Sub(since) < 3*time.Second, "%s waits for %s", id, d.now.Sub(since))
				}
				d.now = d.now.Add(step)
				d.endAll("a", started, func(task string) worker.EndReason {
					if ref, _ := job.ParseTask(task); ref.Job[0] == 's' {
						return worker.Stopped // it says nothing of the worker, and the task waits again
					}
					return worker.Failed
				})
			}
			assert.Equal(t, len(waiting), 0)
		})
	}
}

// TestFallbackLeavesOthersElsewhere guards against an ejected worker that gets tasks which another worker can take, though
// it is full.
func TestFallbackLeavesOthersElsewhere(t *testing.T) {
	d := newTestPoolWithOnePlace(t)
	d.eject(d.workers["a"], maxEjection, d.now, "different jobs fail there", "1.0.0.0")
	for _, id := range []worker.ID{"b", "c", "d"} {
		d.workers[id].used = d.workers[id].info.Capacity
	}
	d.submitStepTo("q", "anywhere", job.Step{Count: 1, Size: job.Size{CPU: 100}, Estimate: time.Second})
	d.submitStepTo("q", "only here", job.Step{Count: 1, Size: job.Size{CPU: 100}, Label: "l", Estimate: time.Second})
	assert.Equal(t, len(d.startAll("a")), 0)
	wake := d.Plan(d.now)
	assert.Equal(t, wake.Sub(d.now), fallbackAfterEjection)
	d.now = wake
	assert.DeepEqual(t, d.startAll("a"), []string{"only here.0.0.0"})
}

// TestFullWorkerOfAnIdlePoolIsNotWaitedFor guards against jobs that wait for as long as a task takes on the other worker
// that suits them, while most of the pool is idle (LOST): for an ejected worker, and for one that is on trial if a task
// is on its last attempt.
func TestFullWorkerOfAnIdlePoolIsNotWaitedFor(t *testing.T) {
	for name, c := range map[string]struct {
		failures int
		prepare  func(d *testPool)
	}{
		"ejected":                {0, func(d *testPool) { d.eject(d.workers["a"], maxEjection, d.now, "different jobs fail there", "1.0.0.0") }},
		"on trial, last attempt": {2, func(d *testPool) { d.workers["a"].health.onTrial = true }},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestPoolWithOnePlace(t)
			b := d.workers["b"]
			b.info.Labels, b.used = []string{"l"}, b.info.Capacity
			c.prepare(d)
			d.submitStepTo("q", "1", job.Step{Count: 1, Size: job.Size{CPU: 100}, Label: "l", Estimate: time.Second})
			first := d.jobs["1"].openRound(0).steps[0].task(0)
			first.failures, first.failedAt = c.failures, d.now
			assert.Equal(t, len(d.startAll("a")), 0)
			d.now = d.now.Add(max(fallbackAfterEjection, retryElsewhereDelay))
			d.needsPlan = true
			assert.Equal(t, len(d.startAll("a")), 1)
		})
	}
}

// TestTaskThatLastsUsesAnEjectedWorker guards against a task that lasts and is away for 24 s (LOST): each other worker has
// as many tasks of its step as it may.
func TestTaskThatLastsUsesAnEjectedWorker(t *testing.T) {
	d := newTestPoolWithOnePlace(t)
	d.eject(d.workers["a"], maxEjection, d.now, "different jobs fail there", "1.0.0.0")
	d.submitStepTo("q", "1", job.Step{Count: 4, Size: job.Size{CPU: 100}, LongRunning: true, MaxPerWorker: 1})
	assert.Equal(t, len(d.startEverywhere()), 3)
	d.now = d.now.Add(fallbackAfterEjection)
	assert.Equal(t, len(d.startAll("a")), 1)
}

// TestTrialThatTakesLong guards against jobs that wait for a trial task which runs for a minute (LOST): on the only worker
// that they can run on, or in a pool whose other workers are ejected.
func TestTrialThatTakesLong(t *testing.T) {
	for label, want := range map[string]time.Duration{"l": 0, "": fallbackAfterTrial} {
		t.Run(label, func(t *testing.T) {
			d := newTestPoolWithOnePlace(t)
			for _, id := range d.Workers() {
				d.eject(d.workers[id], maxEjection, d.now, "different jobs fail there", "1.0.0.0")
			}
			d.now = d.now.Add(lastEjection)
			d.submitStepTo("q", "trial", job.Step{Count: 1, Size: job.Size{CPU: 100}, Label: label, Estimate: time.Minute})
			assert.Equal(t, len(d.startEverywhere()), 1)
			d.submitStepTo("q", "next", job.Step{Count: 2, Size: job.Size{CPU: 100}, Label: label, Estimate: time.Minute})
			started := len(d.startEverywhere())
			if want > 0 {
				assert.Equal(t, started, 1, "each job may try a worker")
				d.now = d.now.Add(want - time.Millisecond)
				assert.Equal(t, len(d.startEverywhere()), 0)
				wake := d.Plan(d.now)
				assert.Equal(t, wake.Sub(d.now), time.Millisecond)
				d.now = wake
				started += len(d.startEverywhere())
			}
			assert.Equal(t, started, 2)
		})
	}
}

// TestEachJobMayTryTheLastWorker guards against a job that waits for others to try the only worker of its pool (LOST): many
// hopeless jobs arrive all the time, and each trial takes one, two or four of them.
func TestEachJobMayTryTheLastWorker(t *testing.T) {
	d := newTestPool(t, 1)
	d.listWorker("a")
	small := job.Step{Count: 1, Size: job.Size{CPU: 50}, Estimate: time.Second}
	for n := range 100 {
		if n%5 == 0 {
			for k := range 6 {
				d.submitStepTo("q", job.ID(fmt.Sprint("hopeless-", n, "-", k)), small)
			}
		}
		if n == 33 {
			d.submitStepTo("q", "sound", small)
		}
		started := d.startAll("a")
		if n >= 33 && len(d.jobs["sound"].active) > 0 {
			return
		}
		assert.Assert(t, n < 33+30, "the job waits for 3 s")
		d.now = d.now.Add(100 * time.Millisecond)
		d.endAll("a", started, func(string) worker.EndReason { return worker.Failed })
	}
}

// TestJobThatHasFailedTriesAWorkerInTheEnd guards against a job that leaves each trial to others for ever, which are untried
// and can't start: their customer is at its limit.
func TestJobThatHasFailedTriesAWorkerInTheEnd(t *testing.T) {
	d := newTestPoolAtLimit(t, 10)
	d.submitStepTo("q", "1", job.Step{Count: 2, Size: job.Size{CPU: 3000}, Estimate: time.Second})
	assert.Equal(t, len(d.failAll("a")), 1)
	d.eject(d.workers["a"], firstEjection, d.now, "different jobs fail there", "0.0.0.0")
	d.submitFor("untried", 1, false)
	began := d.now
	for len(d.startAll("a")) == 0 {
		assert.Assert(t, d.now.Sub(began) <= trialYield, "the job does not start")
		wake := d.Plan(d.now)
		assert.Assert(t, !wake.IsZero(), "no plan is due")
		d.now = wake
	}
}

// TestLastAttemptIsNotMadeOnATrial guards against a job that is reported as failed although it could be completed: its last
// attempt is made on the only worker that it can run on, which fails all for some seconds. It waits until something succeeds
// there, or for as long as an ejection may last.
func TestLastAttemptIsNotMadeOnATrial(t *testing.T) {
	for name, succeeds := range map[string]bool{"nothing succeeds": false, "another task succeeds": true} {
		t.Run(name, func(t *testing.T) {
			d := newTestPoolWithOnePlace(t)
			d.submitStepTo("q", "1", job.Step{Count: 1, Size: job.Size{CPU: 100}, Label: "l", Estimate: time.Second})
			for range testConfig.Queues[0].MaxAttempts - 1 {
				assert.Equal(t, len(d.failAll("a")), 1)
			}
			failed := d.now
			d.eject(d.workers["a"], firstEjection, d.now, "different jobs fail there", "2.0.0.0")
			for _, after := range []time.Duration{fallbackAfterEjection, firstEjection, maxEjection - time.Millisecond} {
				d.now = failed.Add(after)
				d.needsPlan = true
				assert.Equal(t, len(d.startAll("a")), 0)
			}
			if succeeds {
				d.clearFailures(d.workers["a"])
				d.needsPlan = true
			} else {
				d.now = d.Plan(d.now)
				assert.Equal(t, d.now.Sub(failed), maxEjection)
			}
			assert.Equal(t, len(d.startAll("a")), 1)
		})
	}
}

// TestNextOwnerUsesAFallback guards against the same failures after a take-over: an earlier owner has ejected the worker
// for 24 s.
func TestNextOwnerUsesAFallback(t *testing.T) {
	first := newTestPoolWithOnePlace(t)
	first.eject(first.workers["a"], maxEjection, first.now, "different jobs fail there", "1.0.0.0")
	first.submitStepTo("q", "1", job.Step{Count: 1, Size: job.Size{CPU: 100}, Label: "l", Estimate: time.Second})
	second := first.nextOwner()
	second.listOnePlace()
	assert.Equal(t, len(second.startAll("a")), 0)
	second.now = second.now.Add(fallbackAfterEjection)
	assert.Equal(t, len(second.startAll("a")), 1)
}

// TestFailuresThatCouldHappenNowhereElse guards against a worker that all other work loses for 24 s: jobs that could fail
// nowhere else lengthen no ejection, and jobs that could do.
func TestFailuresThatCouldHappenNowhereElse(t *testing.T) {
	for label, want := range map[string]time.Duration{"l": firstEjection, "": 4 * firstEjection} {
		t.Run(label, func(t *testing.T) {
			d := newTestPoolWithOnePlace(t)
			for n := range 4 {
				d.submitStepTo("q", job.ID(fmt.Sprint(n)), job.Step{Count: 1, Size: job.Size{CPU: 100}, Label: label, Estimate: time.Second})
			}
			assert.Equal(t, len(d.failAll("a")), 4)
			assert.Equal(t, d.workers["a"].health.ejectedUntil.Sub(d.now), want)
		})
	}
}
