// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// partWriter writes one partition; one append at a time is under way.
type partWriter struct {
	at      port.Partition
	writer  port.Writer
	pending *pendingAppend // under way, nil for none
}

// pendingAppend is an append whose outcome is not known yet.
type pendingAppend struct {
	at        port.Partition
	writer    port.Writer
	records   []port.Record
	pause     time.Duration // before it is sent again
	mayGiveUp bool          // with one that was refused

	began  time.Time
	copies map[string]uint64 // which versions of spare records it brings home, by key
	mark   *spareMark        // the mark among its records, nil for none
	done   chan struct{}     // closed once err is known
	err    error
}

func (w *partWriter) idle() bool { return w.pending == nil }

// landed is closed once the outcome of the append under way is known; nil without one.
func (w *partWriter) landed() <-chan struct{} {
	if w.pending == nil {
		return nil
	}
	return w.pending.done
}

// take returns the append whose outcome is known; none is under way any more.
func (w *partWriter) take() *pendingAppend {
	a := w.pending
	w.pending = nil
	return a
}

// claim returns the append that raises the partition's epoch. The first sequence number of
// the epoch is drawn at random: of two that claim the same epoch only one appends, since the
// other's sequence number does not follow.
func (w *partWriter) claim(at port.Partition, c claim) (*pendingAppend, error) {
	value, err := codec.Marshal(c)
	if err != nil {
		return nil, err
	}
	w.at, w.writer = at, port.Writer{Epoch: c.Epoch, Sequence: uint64(rand.Uint32())}
	return &pendingAppend{
		at: at, writer: w.writer, records: []port.Record{{Key: keyClaim, Value: value}}, pause: claimRetry, mayGiveUp: true,
	}, nil
}

// question returns an append without records: it takes no sequence number.
func (w *partWriter) question() *pendingAppend {
	a := &pendingAppend{at: w.at, writer: w.writer, pause: appendRetry}
	a.writer.Sequence++
	return a
}

// next returns the append of records that follows the last one, or a question for none.
func (w *partWriter) next(records []port.Record) *pendingAppend {
	a := w.question()
	if a.records = records; len(records) > 0 {
		w.writer.Sequence++
	}
	return a
}

// start has an append sent until its outcome is known.
func (w *partWriter) start(ctx context.Context, j *Journal, a *pendingAppend) {
	a.began, a.done = j.Clock.Now(), make(chan struct{})
	w.pending = a
	go a.run(ctx, j)
}

// run sends the append.
func (a *pendingAppend) run(ctx context.Context, j *Journal) {
	defer close(a.done)
	a.err = j.send(ctx, a)
}
