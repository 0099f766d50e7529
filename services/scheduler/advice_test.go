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
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// adviceCall is how long the advice service of these tests takes for a request.
const adviceCall = 10 * time.Millisecond

// advise handles requests, one after the other, until none is due or a time has passed, and plans after each. Steps
// for which fails returns true get no response; all others get tickets for all workers.
func (d *testPool) advise(lasts time.Duration, fails func(q AdviceRequest) bool) {
	d.t.Helper()
	for end := d.now.Add(lasts); d.now.Before(end); {
		q, has := d.NextAdviceRequest(d.now)
		if !has {
			return
		}
		d.now = d.now.Add(adviceCall)
		if fails(q) {
			d.HandleAdvice(q, nil, errkind.New(errkind.OutcomeUnknown, "no response"), d.now)
			continue
		}
		var tickets []port.Ticket
		for _, id := range q.Workers {
			tickets = append(tickets, port.Ticket{Worker: id, Text: "t"})
		}
		d.HandleAdvice(q, tickets, nil, d.now)
		d.persist()
	}
}

// TestHopelessStepsDoNotTakeAdviceTurns guards against jobs that never start although all workers are idle (LOST): steps
// that can't start are always the most urgent ones, and one of them gets each request to the advice service, or ends
// each look for the next one.
func TestHopelessStepsDoNotTakeAdviceTurns(t *testing.T) {
	const hopeless, valid = 300, time.Second
	never := func(AdviceRequest) bool { return false }
	for name, c := range map[string]struct {
		step  job.Step
		fails func(q AdviceRequest) bool
	}{
		"a label that no worker has":    {job.Step{Size: job.Size{CPU: 1000}, Label: "none"}, never},
		"larger than any worker":        {job.Step{Size: job.Size{CPU: 5000}}, never},
		"a gang that does not fit":      {job.Step{Count: 9, Size: job.Size{CPU: 1000}, Gang: true}, never},
		"its only worker is full":       {job.Step{Size: job.Size{CPU: 1000}, Label: "l"}, never},
		"requests that get no response": {job.Step{Size: job.Size{CPU: 1000}}, func(q AdviceRequest) bool { return q.Step.Job != "sound" }},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			d.Configure(config.New(2, []config.Queue{{
				Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, BaseObjective: time.Second, Advice: &config.Advice{TicketValidity: valid},
			}}, []config.Pool{{Name: "p"}}, config.Limits{}))
			d.listWorkerWith("w-0", 4000, "l")
			d.listWorker("w-1")
			d.workers["w-0"].used = d.workers["w-0"].info.Capacity
			c.step.Count, c.step.Estimate = max(c.step.Count, 1), time.Millisecond
			for n := range hopeless {
				d.submitStepTo("q", job.ID(fmt.Sprint("hopeless-", n)), c.step)
			}
			d.persist()
			for range 20 { // they have been asked for before, and their tickets expire meanwhile
				d.advise(valid, c.fails)
				d.now = d.now.Add(50 * time.Millisecond)
			}
			d.submitStepTo("q", "sound", job.Step{Count: 1, Size: job.Size{CPU: 1000}, Estimate: time.Minute})
			d.persist()
			waited := d.now
			for len(d.jobs["sound"].active) == 0 {
				assert.Assert(t, d.now.Sub(waited) < 500*time.Millisecond, "the job waits for advice")
				d.advise(10*adviceCall, c.fails)
				d.now = d.now.Add(adviceCall)
			}
		})
	}
}

// TestStepsThatFitNowAreAskedForFirst guards against a job that waits although a worker that suits it is idle: the
// requests of more urgent steps, whose worker is full, go first.
func TestStepsThatFitNowAreAskedForFirst(t *testing.T) {
	d := newTestPoolWithAdvice(t)
	for _, id := range []worker.ID{"a", "b"} {
		d.listWorkerWith(id, 4000, string(id))
	}
	d.workers["a"].used = d.workers["a"].info.Capacity
	d.submitStepTo("q", "urgent", job.Step{Count: 1, Size: job.Size{CPU: 1000}, Label: "a", Estimate: time.Minute})
	d.now = d.now.Add(time.Second)
	d.submitStepTo("q", "later", job.Step{Count: 1, Size: job.Size{CPU: 1000}, Label: "b", Estimate: time.Minute})
	d.persist()
	for _, want := range []job.ID{"later", "urgent"} {
		q, has := d.NextAdviceRequest(d.now)
		assert.Assert(t, has)
		assert.Equal(t, q.Step.Job, want)
	}
}

// TestStepAskedForInVainGetsTurns guards against a task that lasts and never starts again (LOST): it has to be asked for
// once more since a worker has come, and steps that have not been asked for arrive all the time.
func TestStepAskedForInVainGetsTurns(t *testing.T) {
	d := newTestPoolWithAdvice(t)
	d.listWorker("a")
	d.submitStepTo("q", "waits", job.Step{Count: 1, Size: job.Size{CPU: 1000}, LongRunning: true})
	d.persist()
	q, _ := d.NextAdviceRequest(d.now)
	d.HandleAdvice(q, nil, nil, d.now)
	d.listWorker("b")
	for n := range 100 {
		d.now = d.now.Add(adviceCall)
		d.submitStepTo("q", job.ID(fmt.Sprint(n)), job.Step{Count: 1, Size: job.Size{CPU: 100}, Estimate: time.Second})
		d.persist()
		q, has := d.NextAdviceRequest(d.now)
		assert.Assert(t, has)
		if q.Step.Job == "waits" {
			return
		}
		d.HandleAdvice(q, nil, nil, d.now)
	}
	t.Fatal("the step is not asked for again")
}
