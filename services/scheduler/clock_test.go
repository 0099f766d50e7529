// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestLatestStartOnASlowClock guards against a late start on a worker without runs, which is not
// polled: its clock may be slow, and was read long ago. An order that is sent as late as possible
// must still be refused in time for the limit on work of a cancelled job.
func TestLatestStartOnASlowClock(t *testing.T) {
	const (
		idle  = 30 * time.Second
		bound = 3 * time.Second // the users' limit from a cancellation to the last start
	)
	d := newTestPool(t, 1)
	d.registerWorker()
	read := d.now
	d.now = read.Add(idle)
	d.submit("1", 1)
	d.persist()
	persistedAt := d.now
	for {
		order, has := d.NextOrder("w", d.now)
		if !has {
			return
		}
		deadline := d.StartOrder(order, d.now).Deadline
		rate := 1 - maxClockDrift
		refused := read.Add(time.Duration(float64(deadline-accepted.Clock) / rate))
		assert.Assert(t, refused.Sub(persistedAt) <= bound, "sent %s after the run was persisted, it may be started until %s after that", d.now.Sub(persistedAt), refused.Sub(persistedAt))
		d.queueOrder(d.workers["w"], order) // it had waited a little longer
		d.now = d.now.Add(100 * time.Millisecond)
	}
}

// TestDelayedResponseDoesNotSetTheClockBack guards against a response that was in transit for a
// second: it shows the worker's clock of a second ago.
func TestDelayedResponseDoesNotSetTheClockBack(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.now = d.now.Add(2 * time.Second)
	d.poll("w", worker.PollResult{}, port.Response{Result: port.Accepted, Clock: accepted.Clock + time.Second})
	d.submit("1", 1)
	d.persist()
	order, _ := d.NextOrder("w", d.now)
	deadline := d.StartOrder(order, d.now).Deadline
	assert.Assert(t, deadline > accepted.Clock+2*time.Second+startTransit/2, "the worker's clock shows at least %s", accepted.Clock+1960*time.Millisecond)
}
