// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"
)

// commitGap is the minimum time between appends. The store's calls are priced and limited for all
// nodes together, so changes that arrive within the gap share one append.
const commitGap = 20 * time.Millisecond

// confirmAfter is how long an owner that appends nothing goes without confirming its ownership with
// the store.
const confirmAfter = time.Second

// commitLoop plans and persists changes, one append at a time, until the pool is no longer owned.
func (o *Owner) commitLoop(ctx context.Context) error {
	for {
		began := o.Clock.Now()
		wake, err := o.commit(ctx)
		if err != nil {
			return err
		}
		if err := o.pause(ctx, commitGap-o.Clock.Now().Sub(began)); err != nil {
			return err
		}
		if err := o.idle(ctx, wake); err != nil {
			return err
		}
		if o.Clock.Now().Sub(o.Journal.LastResponse()) > confirmAfter {
			if err := o.Journal.Append(ctx, nil); err != nil {
				return err
			}
		}
	}
}

// pause waits for a duration.
func (o *Owner) pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	due := o.Clock.Now().Add(d)
	select {
	case <-o.Clock.After(d):
		o.noteLateness(o.Clock.Now().Sub(due))
		return nil
	case <-ctx.Done():
		return errStopped
	}
}

// idle waits until something has changed or until the given time. The zero time means no deadline.
func (o *Owner) idle(ctx context.Context, wake time.Time) error {
	d := confirmAfter
	if !wake.IsZero() {
		d = max(min(d, wake.Sub(o.Clock.Now())), 0)
	}
	due := o.Clock.Now().Add(d)
	select {
	case <-o.changed:
	case <-o.Clock.After(d):
		o.noteLateness(o.Clock.Now().Sub(due))
	case <-ctx.Done():
		return errStopped
	}
	return nil
}

// commit plans and persists the changes. It returns the time of the next planned commit.
func (o *Owner) commit(ctx context.Context) (time.Time, error) {
	o.mu.Lock()
	now := o.Clock.Now()
	o.pool.SetAppendTime(o.storeTime(), now)
	wake := o.pool.Plan(now)
	o.notePlan(now)
	o.requestAdvice()
	batch, err := o.pool.Collect()
	o.processPending()
	o.dropLinks()
	o.mu.Unlock()
	if err != nil || batch == nil {
		return wake, err
	}
	if len(batch.Records) > 0 {
		if err := o.persistBatch(ctx, batch); err != nil {
			return wake, err
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.Committed(batch, o.Journal.LastConfirmed())
	o.pool.SendHeld(o.Clock.Now())
	o.persisted = batch.Number
	for n, waiting := range o.waiting {
		if n > o.persisted {
			continue
		}
		for _, c := range waiting {
			close(c)
		}
		delete(o.waiting, n)
	}
	o.processPending()
	return wake, nil
}
