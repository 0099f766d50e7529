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

// retryPause is the pause after a reading that failed.
const retryPause = 200 * time.Millisecond

// Follower follows a partition; its fields are set before Run.
type Follower struct {
	Store     port.Store
	Partition port.Partition
	Clock     clock.Clock
	Logger    log.Logger
	// Wait is how long a reading waits for a record; 0 reads each Gap.
	Wait time.Duration
	// Gap returns the pause between readings; records that come in it are read
	// together. Nil stands for none.
	Gap func() time.Duration
	// Wake ends a pause early; nil never does.
	Wake <-chan struct{}
	// Idle reports whether nobody needs the partition now: then nothing is read until
	// a hurry, and all of it after that. Nil stands for never.
	Idle func() bool
	// Apply takes records in the order of the partition. Where whole is true
	// they are the newest of all keys, and other keys are no longer there.
	Apply func(records []port.Record, whole bool)

	lost time.Time    // since when readings fail
	read atomic.Int64 // when a reading succeeded last, in nanoseconds since 1970
}

// Age returns how long ago a reading succeeded.
func (f *Follower) Age() time.Duration {
	return f.Clock.Now().Sub(time.Unix(0, f.read.Load()))
}

// Run follows the partition until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.idle() {
			f.rest(ctx)
			continue
		}
		from, err := f.readWhole(ctx)
		for err == nil && ctx.Err() == nil && !f.idle() {
			f.pause(ctx)
			from, err = f.readTail(ctx, from)
		}
		if errkind.Is(err, errkind.Gone) {
			f.Logger.Info().Str("event", "follow").Str("topic", f.Partition.Topic).Uint64("from", from).
				Str("outcome", "history dropped").Msg("the newest records are read again")
			continue
		}
		f.failed(ctx, err)
	}
}

func (f *Follower) idle() bool { return f.Idle != nil && f.Idle() }

// rest waits for a hurry.
func (f *Follower) rest(ctx context.Context) {
	select {
	case <-f.Wake:
	case <-ctx.Done():
	}
}

// readWhole reads the newest records of all keys and returns from where to go
// on. The pages are no snapshot; what changed meanwhile is read after them.
func (f *Follower) readWhole(ctx context.Context) (uint64, error) {
	var records []port.Record
	from := uint64(0)
	after := ""
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
		after = page.Records[len(page.Records)-1].Key
	}
	f.regained()
	f.Apply(records, true)
	return from, nil
}

// readTail reads what has come since an offset and returns from where to go on.
// A failed reading is tried again from there.
func (f *Follower) readTail(ctx context.Context, from uint64) (uint64, error) {
	tail, err := f.Store.Read(ctx, f.Partition, from, f.Wait)
	if err != nil {
		if !errkind.Is(err, errkind.Gone) {
			f.failed(ctx, err)
			err = nil
		}
		return from, err
	}
	f.regained()
	if len(tail.Records) == 0 {
		return from, nil
	}
	f.Apply(tail.Records, false)
	return tail.Records[len(tail.Records)-1].Offset + 1, nil
}

// failed logs the first failure in a row and pauses.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil || err == nil {
		return
	}
	if f.lost.IsZero() {
		f.lost = f.Clock.Now()
		f.Logger.Warn().Str("event", "dependency").Str("topic", f.Partition.Topic).Str("outcome", "lost").Err(err).
			Msg("a topic of the store can't be read")
	}
	f.sleep(ctx, retryPause)
}

func (f *Follower) regained() {
	f.read.Store(f.Clock.Now().UnixNano())
	if f.lost.IsZero() {
		return
	}
	f.Logger.Info().Str("event", "dependency").Str("topic", f.Partition.Topic).Str("outcome", "regained").
		Dur("after", f.Clock.Now().Sub(f.lost)).Msg("a topic of the store is read again")
	f.lost = time.Time{}
}

// pause waits for the gap between readings, or until there is a hurry.
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
