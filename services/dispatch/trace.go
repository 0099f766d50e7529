// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
)

// steps notes when an attempt reached each step on its way to the target. The
// library tells of some from goroutines of its own, also after the attempt.
type steps struct {
	clock     clock.Clock
	connected atomic.Int64 // nanoseconds since 1970, 0 for not reached
	written   atomic.Int64
	answered  atomic.Int64
	reused    atomic.Bool
}

// watch returns a context under which the library tells of the steps.
func (s *steps) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			s.reused.Store(i.Reused)
			s.note(&s.connected)
		},
		WroteRequest:         func(httptrace.WroteRequestInfo) { s.note(&s.written) },
		GotFirstResponseByte: func() { s.note(&s.answered) },
	})
}

func (s *steps) note(step *atomic.Int64) { step.Store(s.clock.Now().UnixNano()) }

// after returns the milliseconds from a time to a step, -1 for one that was not
// reached.
func after(begun time.Time, step *atomic.Int64) int64 {
	at := step.Load()
	if at == 0 {
		return -1
	}
	return time.Unix(0, at).Sub(begun).Milliseconds()
}

// tell logs an attempt that came to nothing: how much time it had, up to which
// step it came and when, and how late this process was to notice its end.
func (c *call) tell(a *answer, err error) {
	now := c.d.Clock.Now()
	c.d.Logger.Info().Str("event", "attempt").Str("request", c.id).Uint64("config", c.version).
		Str("pool", c.service.Pool).Str("worker", a.slot.Worker()).Int("attempt", c.attempts).
		Int64("waited_ms", a.sent.Sub(a.asked).Milliseconds()).
		Int64("usual_ms", c.d.usual.of(c.service.Pool).Milliseconds()).
		Int64("left_ms", c.deadline.Sub(a.sent).Milliseconds()).
		Bool("reused", a.steps.reused.Load()).
		Int64("connected_ms", after(a.sent, &a.steps.connected)).
		Int64("written_ms", after(a.sent, &a.steps.written)).
		Int64("answered_ms", after(a.sent, &a.steps.answered)).
		Int64("ended_ms", now.Sub(a.sent).Milliseconds()).
		Int64("late_ms", max(now.Sub(c.deadline).Milliseconds(), 0)).
		Err(err).Msg("attempt failed")
}
