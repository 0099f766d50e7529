// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// surely is for how long what an earlier owner began may run on a worker that
// can't be reached, beyond the lease: until that owner must have noticed that
// it is one no longer.
const surely = 3 * time.Second

// Claim makes this node the owner of the pool's partition, unless another claims
// it at the same time, and takes over what earlier owners have kept.
func (o *Owner) Claim(ctx context.Context, node string) error {
	records, err := o.Journal.Claim(ctx, node)
	if err != nil {
		return err
	}
	o.changed = make(chan struct{}, 1)
	o.done = make(chan struct{})
	o.questions = make(chan struct{}, 1)
	o.links = make(map[worker.ID]*link)
	o.waiting = make(map[uint64][]chan struct{})
	o.pool = scheduler.New(o.Pool, o.Epoch(), o.Limits, o.Logger)
	o.pool.Increment, o.pool.Clock = o.Count, o.Clock
	if err := o.pool.Restore(records, o.Clock.Now(), o.Limits.Lease+surely); err != nil {
		return err
	}
	o.Logger.Info().Str("event", "claim").Uint64("epoch", o.Epoch()).Int("records", len(records)).
		Str("outcome", "owner").Msg("a pool is owned")
	return nil
}
