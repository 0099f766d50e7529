// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"cmp"
	"context"
	"time"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// The store refuses a record or an append beyond a size, and may refuse one for what it holds, whenever it is sent. So that
// no such record keeps all others of the pool from being persisted, a batch is divided until the records that are refused
// stand alone: they cost the job that they are of, and nothing else.

// Sizes that a store accepts if nothing else is set, in bytes.
const (
	defaultRecordBytes = 256 << 10
	defaultAppendBytes = 2 << 20
)

// recordOverhead is what a record takes in an append beside its key and its value, also where the journal wraps it.
const recordOverhead = 64

// batchShare is the part of the largest append that records of a batch may take: the journal adds as many that it copies.
const batchShare = 7.0 / 16

// refusedRetry is the time until the next attempt while the store refuses every append.
const refusedRetry = time.Second

// keyProbe is the key of a record that is deleted in order to learn whether the store refuses every append.
const keyProbe = "!probe"

// Sizes are the sizes that the store accepts, in bytes; 0 for the defaults.
type Sizes struct {
	Record int // of a record, with its key
	Append int // of all records of an append
}

// maxRecord returns the size of the largest record.
func (s Sizes) maxRecord() int {
	return cmp.Or(s.Record, defaultRecordBytes) - recordOverhead
}

// maxBatch returns the size of all records of a batch that go into one append.
func (s Sizes) maxBatch() int {
	return int(float64(cmp.Or(s.Append, defaultAppendBytes)) * batchShare)
}

// size returns what records take in an append, and the size of the largest.
func size(records []port.Record) (all, largest int) {
	for _, r := range records {
		n := len(r.Key) + len(r.Value)
		all, largest = all+n+recordOverhead, max(largest, n)
	}
	return all, largest
}

// persistBatch persists the records of a batch, in several appends if they are too many for one. Jobs whose records the
// store refuses have failed then.
func (o *Owner) persistBatch(ctx context.Context, b *scheduler.Batch) error {
	all, largest := size(b.Records)
	if all <= o.Sizes.maxBatch() && largest <= o.Sizes.maxRecord() {
		if err := o.Journal.TryAppend(ctx, b.Records); !journal.IsRefused(err) {
			return err
		}
	}
	groups := b.Groups()
	for len(groups) > 0 {
		n := o.Sizes.prefix(groups)
		if err := o.persistGroups(ctx, groups[:n]); err != nil {
			return err
		}
		groups = groups[n:]
	}
	return nil
}

// prefix returns how many of the first groups go into one append, at least one.
func (s Sizes) prefix(groups []scheduler.Group) int {
	total := 0
	for n, g := range groups {
		all, _ := size(g.Records)
		if total += all; n > 0 && total > s.maxBatch() {
			return n
		}
	}
	return len(groups)
}

// persistGroups persists groups of records in one append, or each for itself if the store refuses that.
func (o *Owner) persistGroups(ctx context.Context, groups []scheduler.Group) error {
	if len(groups) == 1 {
		return o.persistGroup(ctx, groups[0])
	}
	var records []port.Record
	fits := true
	for _, g := range groups {
		_, largest := size(g.Records)
		fits = fits && largest <= o.Sizes.maxRecord()
		records = append(records, g.Records...)
	}
	if fits {
		if err := o.Journal.TryAppend(ctx, records); !journal.IsRefused(err) {
			return err
		}
	}
	half := len(groups) / 2
	if err := o.persistGroups(ctx, groups[:half]); err != nil {
		return err
	}
	return o.persistGroups(ctx, groups[half:])
}

// persistGroup persists one group of records. If they are too many for one append, they go into several, in order.
func (o *Owner) persistGroup(ctx context.Context, g scheduler.Group) error {
	if _, largest := size(g.Records); largest > o.Sizes.maxRecord() {
		return o.giveUp(ctx, g, errkind.New(errkind.TooLarge, "a record has %d bytes; the store accepts %d", largest, o.Sizes.maxRecord()))
	}
	for first := 0; first < len(g.Records); {
		end, total := first, 0
		for end < len(g.Records) {
			all, _ := size(g.Records[end : end+1])
			if total += all; end > first && total > o.Sizes.maxBatch() {
				break
			}
			end++
		}
		err := o.Journal.TryAppend(ctx, g.Records[first:end])
		if journal.IsRefused(err) {
			return o.giveUp(ctx, g, err)
		}
		if err != nil {
			return err
		}
		first = end
	}
	return nil
}

// giveUp gives up records that the store refuses, and with them their job. While the store refuses any other append as
// well, it is the store's fault, and the records are sent again.
func (o *Owner) giveUp(ctx context.Context, g scheduler.Group, cause error) error {
	err := o.Journal.TryAppend(ctx, []port.Record{{Key: keyProbe}})
	if journal.IsRefused(err) {
		o.count("append.refused.all")
		o.Logger.Error().Str("event", "append").Err(err).Str("outcome", "refused").Msg("the store refuses every append")
		if err := o.pause(ctx, refusedRetry); err != nil {
			return err
		}
		return o.persistGroup(ctx, g)
	}
	if err != nil {
		return err
	}
	o.count("append.refused")
	all, largest := size(g.Records)
	o.Logger.Error().Str("event", "append").Str("job", string(g.Job)).Str("key", g.Records[0].Key).Int("records", len(g.Records)).
		Int("bytes", all).Int("largest", largest).Err(cause).Str("outcome", "given up").Msg("the store refuses records for good; all others are persisted")
	if g.Job == "" {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.refusals.add(g.Job, remembered{o.pool.Customer(g.Job), now, errkind.New(errkind.TooLarge, "the job can't be persisted: %v", cause)})
	o.pool.FailRefused(g.Job, now, "the store refuses its records: "+cause.Error())
	return nil
}
