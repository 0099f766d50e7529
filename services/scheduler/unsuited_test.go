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

// newTestPoolWithAdvice returns a pool whose tasks need tickets.
func newTestPoolWithAdvice(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	d.Configure(config.New(2, []config.Queue{{
		Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, BaseObjective: time.Second,
		Advice: &config.Advice{TicketValidity: time.Hour},
	}}, []config.Pool{{Name: "p"}}, config.Limits{}))
	return d
}

// TestIdleWorkersThatDoNotSuitAreReported guards against a step that waits for ever although the pool has idle
// workers (LOST): the advice service permits it on none of them, and the holder of the role for instances has
// no other instance to give.
func TestIdleWorkersThatDoNotSuitAreReported(t *testing.T) {
	d := newTestPoolWithAdvice(t)
	for _, id := range []worker.ID{"a", "b"} {
		d.listWorker(id)
	}
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{
		{Count: 2, Size: job.Size{CPU: 1000}, LongRunning: true, MaxPerWorker: 1},
	}}, d.now)
	d.persist()
	q, has := d.NextAdviceRequest(d.now)
	assert.Assert(t, has)
	d.HandleAdvice(q, []port.Ticket{{Worker: "a", Text: "t"}}, nil, d.now)
	d.persist()
	r := d.Report(CordonRequest{}, d.now)
	assert.Equal(t, r.MinWorkers, 3)
	assert.Assert(t, !r.reported("b").Unsuited, "an instance may still be on its way")
	d.now = d.now.Add(unsuitedAfter)
	r = d.Report(CordonRequest{}, d.now)
	assert.Assert(t, r.reported("b").Unsuited && !r.reported("a").Unsuited, "%+v", r.Workers)
}

// TestTasksThatNeedALabelAskForTheirWorkers guards against a long-running task that waits for ever (LOST): its step
// needs a label, and may have one task on a worker, or is permitted on no worker that has the label. The size of
// its tasks asks for one worker only.
func TestTasksThatNeedALabelAskForTheirWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		perWorker, want int
	}{"one a worker": {1, 3}, "excluded": {0, 2}} {
		t.Run(name, func(t *testing.T) {
			d := newTestPoolWithAdvice(t)
			d.listWorkerWith("a", 4000, "l")
			d.listWorker("b")
			d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{
				{Count: 3, Size: job.Size{CPU: 100}, LongRunning: true, Label: "l", MaxPerWorker: c.perWorker},
			}}, d.now)
			d.persist()
			q, has := d.NextAdviceRequest(d.now)
			assert.Assert(t, has)
			var tickets []port.Ticket
			if name != "excluded" {
				tickets = append(tickets, port.Ticket{Worker: "a", Text: "t"})
			}
			d.HandleAdvice(q, tickets, nil, d.now)
			d.persist()
			r := d.Report(CordonRequest{}, d.now)
			assert.Equal(t, r.MinLabelled["l"], c.want, "%+v", r)
			_, needed := r.Labels["l"]
			assert.Assert(t, needed)
			assert.Equal(t, r.MinWorkers, 0)
		})
	}
}
