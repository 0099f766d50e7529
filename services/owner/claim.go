// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// ownerOverlap is how long, beyond the lease, runs that an earlier owner started may continue on a
// worker that can't be reached: the earlier owner extends leases for unconfirmedLimit after its last
// evidence of ownership, which precedes the claim, and the worker's clock may run slow.
const ownerOverlap = unconfirmedLimit + time.Second

// Claim makes this node the owner of the pool's partition, unless another node claims it at the
// same time, and restores the state that earlier owners have stored.
func (o *Owner) Claim(ctx context.Context, node string) error {
	records, err := o.Journal.Claim(ctx, node)
	if err != nil {
		return err
	}
	o.changed, o.ownedBy = make(chan struct{}, 1), basisStore
	o.owned, o.release = context.WithCancel(context.Background())
	o.adviceDue = make(chan struct{}, 1)
	o.queuesDue = make(chan struct{}, 1)
	o.links = make(map[worker.ID]*link)
	o.waiting = make(map[uint64][]chan struct{})
	o.pool = scheduler.New(o.Pool, o.Epoch(), o.Limits, o.Logger)
	o.pool.Increment, o.pool.Clock, o.pool.SelectPolicy, o.pool.Memory = o.Count, o.Clock, o.SelectPolicy, o.Memory
	if err := o.pool.Restore(records, o.Clock.Now(), o.Limits.Lease+ownerOverlap); err != nil {
		o.pool.Close()
		return err
	}
	o.restoreIntakes()
	o.Logger.Info().Str("event", "claim").Uint64("epoch", o.Epoch()).Int("records", len(records)).Int64("job_bytes", o.pool.Footprint()).Int64("all_job_bytes", o.Memory.Used()).Int64("most_job_bytes", o.Memory.Limit()).
		Str("outcome", "owner").Msg("pool ownership claimed")
	return nil
}
