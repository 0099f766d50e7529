// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
)

// retryPause is the pause after a failed read.
const retryPause = 200 * time.Millisecond

// Follower follows a partition; its fields are set before Run.
type Follower struct {
	Store     port.Store
	Partition port.Partition
	Clock     clock.Clock
	Logger    log.Logger
	// Wait is how long a read waits for a record; 0 reads at each Gap. Each read without one doubles
	// the wait of the next, up to MaxWait if that is higher: a record that arrives while a read begins
	// may be returned by the next one only, and another record often follows soon.
	Wait    time.Duration
	MaxWait time.Duration
	// Gap returns the pause between reads; records that arrive in it are read together. Nil means
	// no pause.
	Gap func() time.Duration
	// Wake ends a pause early; nil never does.
	Wake <-chan struct{}
	// Idle reports whether nobody needs the partition now: then nothing is read until a wake-up,
	// and everything after it. Nil means never.
	Idle func() bool
	// Apply receives records in the order of the partition, and the offset up to which it has been
	// read with them. If complete is true they are the newest records of all keys, and other keys no
	// longer exist.
	Apply func(records []port.Record, end uint64, complete bool)

	wait         time.Duration // of the next read
	failingSince time.Time     // since when reads fail
	lastRead     atomic.Int64  // when the last successful read was, in nanoseconds since 1970
	requested    atomic.Int64  // when that read was requested, the same
}

// Age returns how long ago the last successful read was.
func (f *Follower) Age() time.Duration {
	return f.Clock.Now().Sub(time.Unix(0, f.lastRead.Load()))
}

// RequestAge returns how long ago the last successful read was requested: what was added since may not be in it,
// however late its response was read.
func (f *Follower) RequestAge() time.Duration {
	return f.Clock.Now().Sub(time.Unix(0, f.requested.Load()))
}

// Run follows the partition until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.idle() {
			f.waitForWake(ctx)
			continue
		}
		from, err := f.readNewest(ctx)
		for err == nil && ctx.Err() == nil && !f.idle() {
			f.pause(ctx)
			from, err = f.readTail(ctx, from)
		}
		if errkind.Is(err, errkind.Gone) {
			f.Logger.Info().Str("event", "follow").Str("topic", f.Partition.Topic).Uint64("from", from).
				Str("outcome", "history dropped").Msg("history of the topic is gone; reading all newest records again")
			continue
		}
		f.failed(ctx, err)
	}
}

func (f *Follower) idle() bool { return f.Idle != nil && f.Idle() }

// waitForWake waits for a wake-up.
func (f *Follower) waitForWake(ctx context.Context) {
	select {
	case <-f.Wake:
	case <-ctx.Done():
	}
}

// readNewest reads the newest records of all keys and returns the offset to continue from. The pages
// are no snapshot; changes in between are read after them.
func (f *Follower) readNewest(ctx context.Context) (uint64, error) {
	var records []port.Record
	from := uint64(0)
	after, requestedAt := "", f.Clock.Now()
	for first := true; ; first = false {
		page, err := f.Store.Newest(ctx, f.Partition, after)
		if err != nil {
			return 0, err
		}
		if first {
			from = page.End
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		last := page.Records[len(page.Records)-1].Key
		if last <= after {
			// A key that is not UTF-8 is spelled otherwise in a page, so that the next page after it would be the same
			// one for ever. Such keys sort after all others.
			f.Logger.Error().Str("event", "follow").Str("topic", f.Partition.Topic).Str("key", last).Int("records", len(records)).
				Str("outcome", "list cut off").Msg("the newest records do not go on after a key; the keys after it are not read")
			break
		}
		after = last
	}
	f.succeeded(requestedAt)
	f.wait = f.Wait
	f.Apply(records, from, true)
	return from, nil
}

// readTail reads the records from an offset on and returns the offset to continue from. A failed
// read is retried from there.
func (f *Follower) readTail(ctx context.Context, from uint64) (uint64, error) {
	requestedAt := f.Clock.Now()
	tail, err := f.Store.Read(ctx, f.Partition, from, f.wait)
	if err != nil {
		f.wait = f.Wait
		if !errkind.Is(err, errkind.Gone) {
			f.failed(ctx, err)
			err = nil
		}
		return from, err
	}
	f.succeeded(requestedAt)
	if len(tail.Records) == 0 {
		f.wait = max(f.Wait, min(2*f.wait, f.MaxWait))
		return from, nil
	}
	f.wait = f.Wait
	end := tail.Records[len(tail.Records)-1].Offset + 1
	f.Apply(tail.Records, end, false)
	return end, nil
}

// failed logs the first of consecutive failures and pauses.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil || err == nil {
		return
	}
	if f.failingSince.IsZero() {
		f.failingSince = f.Clock.Now()
		f.Logger.Warn().Str("event", "dependency").Str("topic", f.Partition.Topic).Str("outcome", "lost").Err(err).
			Msg("topic of the store can't be read")
	}
	f.sleep(ctx, retryPause)
}

func (f *Follower) succeeded(requestedAt time.Time) {
	f.lastRead.Store(f.Clock.Now().UnixNano())
	f.requested.Store(requestedAt.UnixNano())
	if f.failingSince.IsZero() {
		return
	}
	f.Logger.Info().Str("event", "dependency").Str("topic", f.Partition.Topic).Str("outcome", "regained").
		Dur("after", f.Clock.Now().Sub(f.failingSince)).Msg("topic of the store can be read again")
	f.failingSince = time.Time{}
}

// pause waits for the gap between reads, or until a wake-up.
func (f *Follower) pause(ctx context.Context) {
	if f.Gap == nil {
		return
	}
	select {
	case <-f.Clock.After(f.Gap()):
	case <-f.Wake:
	case <-ctx.Done():
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-f.Clock.After(d):
	case <-ctx.Done():
	}
}
