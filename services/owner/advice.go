// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/services/scheduler"
)

// askPause is how long nothing is asked after a question that was not answered.
const askPause = 100 * time.Millisecond

// askAdvice has the advice service asked what there is to ask.
func (o *Owner) askAdvice() {
	select {
	case o.questions <- struct{}{}:
	default:
	}
}

// runAdvice asks the advice service one question after the other: it works on one
// at a time for each node.
func (o *Owner) runAdvice(ctx context.Context) {
	for {
		select {
		case <-o.questions:
		case <-ctx.Done():
			return
		}
		for o.ask(ctx) {
		}
	}
}

// ask asks one question and returns whether there was one.
func (o *Owner) ask(ctx context.Context) bool {
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
		case <-o.Clock.After(askPause):
		case <-ctx.Done():
		}
	}
	return true
}
