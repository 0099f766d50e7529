// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// partWriter writes one partition; one append at a time is in progress.
type partWriter struct {
	at      port.Partition
	writer  port.Writer
	pending *pendingAppend // in progress, nil for none
}

// pendingAppend is an append whose outcome is not known yet.
type pendingAppend struct {
	at        port.Partition
	writer    port.Writer
	records   []port.Record
	pause     time.Duration // before it is sent again
	mayGiveUp bool          // when it is rejected
	refusable bool          // given up when the store refuses its records

	began  time.Time
	copies map[string]uint64       // versions of standby records that it copies to the primary partition, by key
	mark   *standbyMark            // the mark among its records, nil for none
	marked bool                    // whether the standby partition was in use before it
	older  map[string]standbyEntry // what was newer in the standby partition before it, by key
	done   chan struct{}           // closed once err is known
	err    error

	// confirmsNothing states that a success does not show that this process is the writer: the append goes to the
	// standby partition, which the next writer need not have fenced, as the mark does not say that it is in use.
	confirmsNothing atomic.Bool
}

func (w *partWriter) idle() bool { return w.pending == nil }

// completed returns a channel that is closed once the outcome of the append in progress is known;
// nil if there is none.
func (w *partWriter) completed() <-chan struct{} {
	if w.pending == nil {
		return nil
	}
	return w.pending.done
}

// takePending returns the append whose outcome is known; none is in progress afterwards.
func (w *partWriter) takePending() *pendingAppend {
	a := w.pending
	w.pending = nil
	return a
}

// claim returns the append that raises the partition's epoch. The first sequence number of the
// epoch is random: of two processes that claim the same epoch only one can append, since the
// other's sequence number does not follow.
func (w *partWriter) claim(at port.Partition, c Claim) (*pendingAppend, error) {
	value, err := codec.Marshal(c)
	if err != nil {
		return nil, err
	}
	w.at, w.writer = at, port.Writer{Epoch: c.Epoch, Sequence: uint64(rand.Uint32())}
	return &pendingAppend{
		at: at, writer: w.writer, records: []port.Record{{Key: keyClaim, Value: value}}, pause: claimRetry, mayGiveUp: true,
	}, nil
}

// confirmation returns an append without records: it uses no sequence number.
func (w *partWriter) confirmation() *pendingAppend {
	a := &pendingAppend{at: w.at, writer: w.writer, pause: appendRetry}
	a.writer.Sequence++
	return a
}

// nextAppend returns the append of records that follows the last one, or a confirmation if there
// are none.
func (w *partWriter) nextAppend(records []port.Record) *pendingAppend {
	a := w.confirmation()
	if a.records = records; len(records) > 0 {
		w.writer.Sequence++
	}
	return a
}

// refuse takes back the sequence number of an append that the store has refused.
func (w *partWriter) refuse(a *pendingAppend) {
	if len(a.records) > 0 {
		w.writer.Sequence--
	}
}

// start sends an append in the background until its outcome is known.
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
