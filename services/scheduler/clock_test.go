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

// TestStartOnASlowClockIsSoonTooLate: a worker without runs is not looked at, so its
// clock, which may be slow, was read long ago. An order to it that goes out as late as
// it may must still be refused before work of a cancelled job may not begin any more.
func TestStartOnASlowClockIsSoonTooLate(t *testing.T) {
	const (
		idle  = 30 * time.Second
		bound = 3 * time.Second // the users' bound from a cancelling to the last start
	)
	d := newDesk(t, 1)
	d.serve()
	read := d.now
	d.now = read.Add(idle)
	d.submit("1", 1)
	d.keep()
	kept := d.now
	for {
		order, has := d.NextOrder("w", d.now)
		if !has {
			return
		}
		deadline := d.StartOrder(order, d.now).Deadline
		rate := 1 - clockSlack
		refused := read.Add(time.Duration(float64(deadline-heard.Clock) / rate))
		assert.Assert(t, refused.Sub(kept) <= bound, "sent %s after it was kept, it may be begun until %s after it", d.now.Sub(kept), refused.Sub(kept))
		d.order(d.workers["w"], order) // it had waited a little longer
		d.now = d.now.Add(100 * time.Millisecond)
	}
}

// TestAnAnswerThatWasHeldUpSetsNoClockBack: an answer that was a second on its way
// tells what the worker's clock showed a second ago.
func TestAnAnswerThatWasHeldUpSetsNoClockBack(t *testing.T) {
	d := newDesk(t, 1)
	d.serve()
	d.now = d.now.Add(2 * time.Second)
	d.look("w", worker.PollResult{}, port.Response{Result: port.Accepted, Clock: heard.Clock + time.Second})
	d.submit("1", 1)
	d.keep()
	order, _ := d.NextOrder("w", d.now)
	deadline := d.StartOrder(order, d.now).Deadline
	assert.Assert(t, deadline > heard.Clock+2*time.Second+startTravel/2, "the worker's clock shows at least %s", heard.Clock+1960*time.Millisecond)
}
