// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"time"
)

// Bounds of what is done for an answer that is on its way at the deadline.
const (
	// lateGrace is how much longer it may take. Once a process gets a processor
	// again, what has come is read within milliseconds; half a second is a
	// quarter of the shortest deadlines in use.
	lateGrace = 500 * time.Millisecond
	// lateNotice is how late a process notices a deadline that was held up; a
	// timer of a busy process is late by some milliseconds.
	lateNotice = 100 * time.Millisecond
)

// hopelessShare is the part of the usual time in a slot with less of which left a
// request is not sent any more. Usual is a mean, and most answers of a pool may
// take less; few take less than a quarter of it.
const hopelessShare = 4

// latest returns until when a request that asks for a slot now may wait for it:
// so long that an answer may still come in time, and half of its time in any
// case, as it may ask for less than usual.
func (c *call) latest(now time.Time) time.Time {
	left := max(c.deadline.Sub(now), 0)
	return c.deadline.Add(-min(c.d.usual.of(c.service.Pool)/hopelessShare, left/2))
}

// expiry ends an attempt at the deadline, or a little later where an answer may
// be on its way.
type expiry struct {
	c      *call
	steps  *steps
	cancel context.CancelCauseFunc
}

// run is called at the deadline.
func (e expiry) run() {
	if e.steps.answered.Load() == 0 && e.c.d.Clock.Now().Sub(e.c.deadline) < lateNotice {
		e.end()
		return
	}
	time.AfterFunc(lateGrace, e.end) // which is harmless for an attempt that has ended
}

func (e expiry) end() { e.cancel(context.DeadlineExceeded) }

// withDeadline returns a context for an attempt that ends when the attempt does,
// at the latest some time after the request's deadline. The target's work goes
// on when the caller goes away, and its slot stays in use until the work is done.
func (c *call) withDeadline(a *answer) context.Context {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(c.r.Context()))
	e := expiry{c, &a.steps, cancel}
	timer := time.AfterFunc(c.deadline.Sub(c.d.Clock.Now()), e.run)
	a.cancel = func() {
		timer.Stop()
		cancel(context.Canceled)
	}
	return a.steps.watch(ctx)
}
