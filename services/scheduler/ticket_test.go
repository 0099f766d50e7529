// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestStartWithAnExpiredTicketIsNotSent: an order waited until its ticket expired. Its worker would
// refuse it, and the call is charged for.
func TestStartWithAnExpiredTicketIsNotSent(t *testing.T) {
	const valid = 500 * time.Millisecond
	d := newTestPool(t, 1)
	d.Configure(config.New(2, []config.Queue{{
		Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, BaseObjective: time.Second,
		Advice: &config.Advice{TicketValidity: valid},
	}}, []config.Pool{{Name: "p"}}, config.Limits{}))
	d.registerWorker()
	d.submit("1", 1)
	d.Plan(d.now)
	q, has := d.NextAdviceRequest(d.now)
	assert.Assert(t, has)
	d.HandleAdvice(q, []port.Ticket{{Worker: "w", Text: "t"}}, nil, d.now)
	d.persist()
	d.now = d.now.Add(valid)
	starts, _ := d.takeOrders("w")
	assert.Equal(t, starts, 0, "a start with an expired ticket is sent")
	assert.Equal(t, d.waitingTasks(job.ID("1")), 1)
}
