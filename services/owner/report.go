// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// keep makes a change to the pool under the lock, and returns once the batch is kept that the
// change has named.
func (o *Owner) keep(ctx context.Context, change func() (batch uint64, err error)) error {
	o.mu.Lock()
	err := o.live()
	batch := uint64(0)
	if err == nil {
		batch, err = change()
	}
	o.mu.Unlock()
	if err != nil {
		return err
	}
	o.poke()
	return o.await(ctx, batch)
}

// reportWait is how long a report waits for the store to keep the cordons that it was asked for:
// some appends of 4 ms. On a slow store the report goes without; no worker counts as empty in it
// whose cordon is not kept, and what the pool needs is known all the same.
const reportWait = 100 * time.Millisecond

// Report returns what the pool tells of itself, after it has cordoned just the
// workers that are asked for.
func (o *Owner) Report(ctx context.Context, asked scheduler.CordonRequest) (scheduler.Report, error) {
	bounded, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	err := o.keep(bounded, func() (uint64, error) {
		batch, err := o.pool.Cordon(asked, o.Clock.Now())
		if err == nil {
			o.attend()
		}
		return batch, err
	})
	if err != nil && (bounded.Err() == nil || ctx.Err() != nil) {
		return scheduler.Report{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.live(); err != nil {
		return scheduler.Report{}, err
	}
	return o.pool.Report(asked, o.Clock.Now()), nil
}

// UpdateAllowances gives the pool other allowances, if the question brings some, and returns what it tells
// of them once it has kept what they lower.
func (o *Owner) UpdateAllowances(ctx context.Context, q quota.Query) (quota.Report, error) {
	err := o.keep(ctx, func() (uint64, error) {
		if q.Allowances == nil {
			return 0, nil
		}
		return o.pool.SetAllowances(*q.Allowances), nil
	})
	if err != nil {
		return quota.Report{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.QuotaReport(q, o.Clock.Now()), nil
}

// Peek returns what the pool tells of itself, and changes nothing.
func (o *Owner) Peek() scheduler.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.Report(scheduler.CordonRequest{}, o.Clock.Now())
}
