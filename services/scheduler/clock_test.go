// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
		deadline := d.Start(order, d.now).Deadline
		rate := 1 - clockSlack
		refused := read.Add(time.Duration(float64(deadline-heard.Clock) / rate))
		assert.Assert(t, refused.Sub(kept) <= bound, "sent %s after it was kept, it may be begun until %s after it", d.now.Sub(kept), refused.Sub(kept))
		d.order(d.workers["w"], order) // it had waited a little longer
		d.now = d.now.Add(100 * time.Millisecond)
	}
}
