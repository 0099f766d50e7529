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

// traceTimes records when an attempt reached each step on its way to the target. net/http reports
// some of them from its own goroutines, and also after the attempt has ended.
type traceTimes struct {
	clock     clock.Clock
	connected atomic.Int64 // nanoseconds since 1970, 0 if not reached
	written   atomic.Int64
	firstByte atomic.Int64
	reused    atomic.Bool
}

// withTrace returns a context that records the steps.
func (s *traceTimes) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			s.reused.Store(i.Reused)
			s.record(&s.connected)
		},
		WroteRequest:         func(httptrace.WroteRequestInfo) { s.record(&s.written) },
		GotFirstResponseByte: func() { s.record(&s.firstByte) },
	})
}

func (s *traceTimes) record(step *atomic.Int64) { step.Store(s.clock.Now().UnixNano()) }

// millisToStep returns the milliseconds from a time to a step, -1 if the step was not reached.
func millisToStep(startedAt time.Time, step *atomic.Int64) int64 {
	at := step.Load()
	if at == 0 {
		return -1
	}
	return time.Unix(0, at).Sub(startedAt).Milliseconds()
}

// logFailure logs a failed attempt: how much time it had, which steps it reached and when, and how
// late this process noticed its end.
func (c *call) logFailure(a *result, err error) {
	now := c.d.Clock.Now()
	c.d.Logger.Info().Str("event", "attempt").Str("request", c.id).Uint64("config", c.version).
		Str("pool", c.service.Pool).Str("worker", a.slot.Worker()).Int("attempt", c.attempts).
		Int64("waited_ms", a.sentAt.Sub(a.slotRequestedAt).Milliseconds()).
		Int64("usual_ms", c.d.typical.of(c.service.Pool).Milliseconds()).
		Int64("left_ms", c.deadline.Sub(a.sentAt).Milliseconds()).
		Bool("reused", a.steps.reused.Load()).
		Int64("connected_ms", millisToStep(a.sentAt, &a.steps.connected)).
		Int64("written_ms", millisToStep(a.sentAt, &a.steps.written)).
		Int64("answered_ms", millisToStep(a.sentAt, &a.steps.firstByte)).
		Int64("ended_ms", now.Sub(a.sentAt).Milliseconds()).
		Int64("late_ms", max(now.Sub(c.deadline).Milliseconds(), 0)).
		Err(err).Msg("attempt failed")
}
