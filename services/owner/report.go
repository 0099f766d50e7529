// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// persist applies a change to the pool under the lock and returns once the batch that the change
// names is persisted.
func (o *Owner) persist(ctx context.Context, change func() (batch uint64, err error)) error {
	o.mu.Lock()
	err := o.checkOwned()
	batch := uint64(0)
	if err == nil {
		batch, err = change()
	}
	o.mu.Unlock()
	if err != nil {
		return err
	}
	o.notifyChange()
	return o.await(ctx, batch)
}

// reportWait is how long a report waits for the store to persist the requested cordons, which
// normally takes a few appends of 4 ms each. On a slow store the report is returned without them: a
// worker whose cordon is not persisted does not count as empty, but the report still contains the
// pool's demand.
const reportWait = 100 * time.Millisecond

// Report cordons exactly the requested workers and returns the pool's report.
func (o *Owner) Report(ctx context.Context, cordons scheduler.CordonRequest) (scheduler.Report, error) {
	bounded, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	err := o.persist(bounded, func() (uint64, error) {
		batch, err := o.pool.Cordon(cordons, o.Clock.Now())
		if err == nil {
			o.processPending()
		}
		return batch, err
	})
	if err != nil && (bounded.Err() == nil || ctx.Err() != nil) {
		return scheduler.Report{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkOwned(); err != nil {
		return scheduler.Report{}, err
	}
	return o.pool.Report(cordons, o.Clock.Now()), nil
}

// UpdateAllowances sets the pool's allowances if the query contains any, and returns the quota
// report once the lowered allowances are persisted.
func (o *Owner) UpdateAllowances(ctx context.Context, q quota.Query) (quota.Report, error) {
	err := o.persist(ctx, func() (uint64, error) {
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

// Peek returns the pool's report without changing anything.
func (o *Owner) Peek() scheduler.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.FullReport(scheduler.CordonRequest{}, o.Clock.Now())
}
