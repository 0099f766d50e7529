// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// keyClaim is the key of the claim of the partition's owner; it sorts before
// those of jobs.
const keyClaim = "!claim"

// claim is the record of an ownership.
type claim struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Node  string `cbor:"2,keyasint"`
}

// claimRetry is the pause before a claim that got no answer is sent again. It
// goes on until its outcome is known: an epoch that was raised without its
// owner knowing would leave the pool without one.
const claimRetry = 100 * time.Millisecond

// surely is for how long what an earlier owner began may run on a worker that
// can't be reached, beyond the lease: until that owner must have noticed that
// it is one no longer.
const surely = 3 * time.Second

// Claim makes this node the owner of the pool's partition, unless another claims
// it at the same time, and reads what earlier owners have kept.
func (o *Owner) Claim(ctx context.Context, node string) error {
	page, err := o.Store.Newest(ctx, o.Partition, "")
	if err != nil {
		return err
	}
	epoch, err := claimed(page)
	if err != nil {
		return err
	}
	if err := o.fence(ctx, claim{Epoch: epoch + 1, Node: node}); err != nil {
		return err
	}
	records, err := o.readAll(ctx)
	if err != nil {
		return err
	}
	o.changed = make(chan struct{}, 1)
	o.done = make(chan struct{})
	o.links = make(map[worker.ID]*link)
	o.waiting = make(map[uint64][]chan struct{})
	o.pool = scheduler.New(o.Pool, o.writer.Epoch, o.Limits, o.Logger)
	now := o.Clock.Now()
	if err := o.pool.Restore(records, now, o.Limits.Lease+surely); err != nil {
		return err
	}
	o.Logger.Info().Str("event", "claim").Str("pool", o.Pool).Uint64("epoch", o.writer.Epoch).Int("records", len(records)).
		Str("outcome", "owner").Msg("a pool is owned")
	return nil
}

// claimed returns the epoch of the newest claim, 0 for none.
func claimed(page port.Page) (uint64, error) {
	for _, r := range page.Records {
		if r.Key != keyClaim || len(r.Value) == 0 {
			continue
		}
		var c claim
		if err := codec.Unmarshal(r.Value, &c); err != nil {
			return 0, err
		}
		return c.Epoch, nil
	}
	return 0, nil
}

// fence raises the partition's epoch. The first sequence number of the epoch is
// drawn at random: of two that claim the same epoch, only one appends, and the
// other's sequence number does not follow.
func (o *Owner) fence(ctx context.Context, c claim) error {
	value, err := codec.Marshal(c)
	if err != nil {
		return err
	}
	o.writer = port.Writer{Epoch: c.Epoch, Sequence: uint64(rand.Uint32())}
	for {
		err := o.Store.Append(ctx, o.Partition, o.writer, []port.Record{{Key: keyClaim, Value: value}})
		if err == nil || !errkind.Is(err, errkind.OutcomeUnknown) {
			return err
		}
		o.Logger.Warn().Str("event", "claim").Str("pool", o.Pool).Uint64("epoch", c.Epoch).Err(err).Str("outcome", "unknown").
			Msg("a claim got no answer and is sent again")
		select {
		case <-o.Clock.After(claimRetry):
		case <-ctx.Done():
			return err
		}
	}
}

// readAll returns the newest records of all keys.
func (o *Owner) readAll(ctx context.Context) ([]port.Record, error) {
	var records []port.Record
	after := ""
	for {
		page, err := o.readPage(ctx, after)
		if err != nil {
			return nil, err
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return records, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// pageTries bounds the readings of one page.
const pageTries = 20

// readPage reads a page, again where the store does not answer.
func (o *Owner) readPage(ctx context.Context, after string) (port.Page, error) {
	for try := 1; ; try++ {
		page, err := o.Store.Newest(ctx, o.Partition, after)
		if err == nil || try == pageTries || ctx.Err() != nil {
			return page, err
		}
		select {
		case <-o.Clock.After(claimRetry):
		case <-ctx.Done():
		}
	}
}
