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

// TestIdleWorkersThatDoNotSuitAreReported guards against a step that waits for ever although the pool has idle
// workers (LOST): the advice service permits it on none of them, and the holder of the role for instances has
// no other instance to give.
func TestIdleWorkersThatDoNotSuitAreReported(t *testing.T) {
	d := newTestPool(t, 1)
	d.Configure(config.New(2, []config.Queue{{
		Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, BaseObjective: time.Second,
		Advice: &config.Advice{TicketValidity: time.Hour},
	}}, []config.Pool{{Name: "p"}}, config.Limits{}))
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
