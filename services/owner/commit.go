// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"
)

// commitGap is the least time between appends. The store's calls are priced and limited for all nodes
// together; what comes within the gap goes into one append.
const commitGap = 20 * time.Millisecond

// confirmAfter is how long an owner that keeps nothing goes on without asking the
// store whether it still is the owner.
const confirmAfter = time.Second

// commits plans and keeps changes, one append at a time, until the pool is not
// owned any more.
func (o *Owner) commits(ctx context.Context) error {
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

// pause waits for a time.
func (o *Owner) pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-o.Clock.After(d):
		return nil
	case <-ctx.Done():
		return errStopped
	}
}

// idle waits until something has changed or a time has come; the zero time
// never does.
func (o *Owner) idle(ctx context.Context, wake time.Time) error {
	d := confirmAfter
	if !wake.IsZero() {
		d = min(d, wake.Sub(o.Clock.Now()))
	}
	select {
	case <-o.changed:
	case <-o.Clock.After(d):
	case <-ctx.Done():
		return errStopped
	}
	return nil
}

// commit plans, and keeps what has changed. It returns when to do so again.
func (o *Owner) commit(ctx context.Context) (time.Time, error) {
	o.mu.Lock()
	now := o.Clock.Now()
	wake := o.pool.Plan(now)
	o.askAdvice()
	batch, err := o.pool.Collect()
	o.attend()
	o.dropLinks()
	o.mu.Unlock()
	if err != nil || batch == nil {
		return wake, err
	}
	if len(batch.Records) > 0 {
		if err := o.Journal.Append(ctx, batch.Records); err != nil {
			return wake, err
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.Committed(batch, o.Journal.LastConfirmed())
	o.kept = batch.Number
	for n, waiting := range o.waiting {
		if n > o.kept {
			continue
		}
		for _, c := range waiting {
			close(c)
		}
		delete(o.waiting, n)
	}
	o.attend()
	return wake, nil
}
