// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/services/scheduler"
)

// adviceRetryDelay is the pause before the next advice request after one that failed.
const adviceRetryDelay = 100 * time.Millisecond

// requestAdvice notifies runAdvice that there may be advice to request.
func (o *Owner) requestAdvice() {
	select {
	case o.adviceDue <- struct{}{}:
	default:
	}
}

// runAdvice sends advice requests one after the other: the advice service handles one request at a
// time for each node.
func (o *Owner) runAdvice(ctx context.Context) {
	for {
		select {
		case <-o.adviceDue:
		case <-ctx.Done():
			return
		}
		for o.requestNext(ctx) {
		}
	}
}

// requestNext sends one advice request and reports whether one was due.
func (o *Owner) requestNext(ctx context.Context) bool {
	o.mu.Lock()
	q, has := o.pool.NextAdviceRequest(o.Clock.Now())
	o.mu.Unlock()
	if !has || ctx.Err() != nil {
		return false
	}
	tickets, err := o.Advisor.Advise(ctx, q.Step.String(), q.Workers)
	o.change(func(p *scheduler.Pool, now time.Time) { p.HandleAdvice(q, tickets, err, now) })
	if err != nil {
		select {
		case <-o.Clock.After(adviceRetryDelay):
		case <-ctx.Done():
		}
	}
	return true
}
