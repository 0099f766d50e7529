// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"time"
)

// Limits for a response that is in transit at the deadline.
const (
	// lateGrace is how much longer it may take. Once a suspended process runs again, it reads
	// received data within milliseconds; half a second is a quarter of the shortest deadlines in
	// use.
	lateGrace = 500 * time.Millisecond
	// maxTimerDelay is the delay of the deadline's timer from which on the process counts as
	// suspended; in a busy process a timer is late by some milliseconds.
	maxTimerDelay = 100 * time.Millisecond
)

// minTimeShare is the divisor of the typical time in a slot; a request with less time left than
// that part is not sent any more. The typical time is a mean, and most responses of a pool may take
// less, but few take less than a quarter of it.
const minTimeShare = 4

// slotDeadline returns the time until which a request that now requests a slot may wait for it. The
// remaining time must allow a response in time; the wait may take half of the time in any case,
// since the request may need less than the typical time.
func (c *call) slotDeadline(now time.Time) time.Time {
	left := max(c.deadline.Sub(now), 0)
	return c.deadline.Add(-min(c.d.typical.of(c.service.Pool)/minTimeShare, left/2))
}

// deadlineTimer ends an attempt at the deadline, or a little later if a response may be in transit.
type deadlineTimer struct {
	c      *call
	steps  *traceTimes
	cancel context.CancelCauseFunc
}

// run is called at the deadline.
func (e deadlineTimer) run() {
	if e.steps.firstByte.Load() == 0 && e.c.d.Clock.Now().Sub(e.c.deadline) < maxTimerDelay {
		e.end()
		return
	}
	time.AfterFunc(lateGrace, e.end) // harmless for an attempt that has ended
}

func (e deadlineTimer) end() { e.cancel(context.DeadlineExceeded) }

// withDeadline returns a context for an attempt that ends with the attempt, or some time after the
// request's deadline at the latest. The target's work continues when the caller disconnects, and
// its slot stays in use until the work is done.
func (c *call) withDeadline(a *result) context.Context {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(c.r.Context()))
	e := deadlineTimer{c, &a.steps, cancel}
	timer := time.AfterFunc(c.deadline.Sub(c.d.Clock.Now()), e.run)
	a.cancel = func() {
		timer.Stop()
		cancel(context.Canceled)
	}
	return a.steps.withTrace(ctx)
}
