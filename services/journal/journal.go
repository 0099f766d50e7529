// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"context"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
)

// Journal is one process's right to write a partition, from Claim until a higher epoch is seen; its
// fields are set before that. While the partition does not respond, records are written to a
// standby partition (standby.go).
type Journal struct {
	Partition port.Partition
	// Standby is another partition of the same writer, the zero value for none.
	Standby port.Partition
	// StandbyProbePeriod is how often the standby partition is probed, 0 for as often as is useful.
	StandbyProbePeriod time.Duration
	Store              port.Store
	Clock              clock.Clock
	Logger             log.Logger
	Terms              Terms
	// Count increments a counter; nil counts nothing.
	Count func(counter string)

	appending chan struct{} // holds a token while an append is in progress; acquired before mu
	primary   partWriter    // of Partition; used by the holder of the token
	standby   standbyWriter // the same, of Standby

	mu            sync.Mutex
	epoch         uint64
	lastConfirmed time.Time     // when the last successful append was sent
	lastResponse  time.Time     // when the response to the last successful append arrived
	lastDuration  time.Duration // of that append
	pendingSince  time.Time     // since when an append is in progress, zero for none
}

// isFenced reports whether an error means that another process is the writer.
func isFenced(err error) bool {
	return errkind.Is(err, errkind.Fenced) || errkind.Is(err, errkind.Conflict)
}

// Confirm confirms that this process still is the writer; it persists nothing, and uses no sequence
// number, as the store counts only appends with records. An append that was sent after the call to
// Confirm proves the same: however many callers confirm at the same time, waiting records are
// delayed by one such append only. A response of the standby partition is as good as one of the
// primary, since nobody else is the writer before both are fenced.
func (j *Journal) Confirm(ctx context.Context) error {
	called := j.Clock.Now()
	if err := j.acquire(ctx); err != nil {
		return err
	}
	defer func() { <-j.appending }()
	if !j.LastConfirmed().Before(called) {
		return nil
	}
	defer j.beginAppend()()
	return j.confirmWriter(ctx)
}

// acquire waits until no append is in progress, and then holds the token of appends.
func (j *Journal) acquire(ctx context.Context) error {
	select {
	case j.appending <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errNoResponse
	}
}

var errNoResponse = errkind.New(errkind.OutcomeUnknown, "store did not respond in time")

// confirmWriter sends an append without records, to the standby partition if the primary does not
// respond.
func (j *Journal) confirmWriter(ctx context.Context) error {
	if err := j.collectOutcomes(); err != nil {
		return err
	}
	for !j.primary.idle() && !j.standbyReady() {
		select {
		case <-j.primary.completed():
			if err := j.finishPrimary(); err != nil {
				return err
			}
		case <-j.standby.completed():
			if err := j.finishStandby(); err != nil {
				return err
			}
		case <-ctx.Done():
			return errNoResponse
		}
	}
	if j.primary.idle() {
		bounded, cancel := ctx, context.CancelFunc(func() {})
		if j.standbyReady() {
			bounded, cancel = context.WithTimeout(ctx, j.standbyAfter())
		}
		err := j.send(bounded, j.primary.confirmation())
		cancel()
		if err == nil || isFenced(err) || ctx.Err() != nil || !j.standbyReady() {
			return err
		}
	}
	return j.send(ctx, j.standby.confirmation())
}

// beginAppend notes that an append is in progress, until the returned function is called.
func (j *Journal) beginAppend() (end func()) {
	note := func(t time.Time) {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.pendingSince = t
	}
	note(j.Clock.Now())
	return func() { note(time.Time{}) }
}

// PendingFor returns how long an append has been in progress, 0 for none.
func (j *Journal) PendingFor() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.pendingSince.IsZero() {
		return 0
	}
	return j.Clock.Now().Sub(j.pendingSince)
}

// slowFactor is how many times the duration of the previous append an append may take before the
// store counts as unavailable: a store that has become slow is not mistaken for an unavailable one.
const slowFactor = 3

// IsStuck reports whether an append has been in progress for longer than a time or, if the store is
// slow, for much longer than the previous one took.
func (j *Journal) IsStuck(minimum time.Duration) bool { return j.PendingFor() > j.maxWait(minimum) }

// maxWait returns how long an append may take: a minimum, and longer if the store is slow.
func (j *Journal) maxWait(least time.Duration) time.Duration {
	return max(least, slowFactor*j.LastDuration())
}

// LastDuration returns how long the last successful append took.
func (j *Journal) LastDuration() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastDuration
}

// LastResponse returns when the last response to an append arrived that confirmed this process as
// the writer.
func (j *Journal) LastResponse() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastResponse
}

// Append persists records, all or none, and returns once they are persisted, or with an error of
// the kind Fenced or Conflict once another process is the writer. While the store does not respond
// it continues until the context ends, which is that of the right to write: an append in progress
// may outlast the call. Without records it only confirms the right, and does what is due for the
// standby partition.
//
// An append that the store refuses for its records is repeated as well.
func (j *Journal) Append(ctx context.Context, records []port.Record) error {
	return j.append(ctx, records, false)
}

// TryAppend is like Append, but returns the error if the store refuses the append for its records, which IsRefused
// reports: none of them is persisted then, and others can be.
func (j *Journal) TryAppend(ctx context.Context, records []port.Record) error {
	return j.append(ctx, records, true)
}

// IsRefused reports whether an error means that the store refuses an append for its records, whenever it is sent.
func IsRefused(err error) bool {
	return errkind.Is(err, errkind.BadRequest) || errkind.Is(err, errkind.TooLarge)
}

// append persists records; refusable means that a refusal is returned.
func (j *Journal) append(ctx context.Context, records []port.Record, refusable bool) error {
	if err := j.acquire(ctx); err != nil {
		return err
	}
	defer func() { <-j.appending }()
	defer j.beginAppend()()
	if err := j.collectOutcomes(); err != nil {
		return err
	}
	if err := j.checkStandby(ctx); err != nil {
		return err
	}
	var primary, standby *pendingAppend // that carry the records
	for {
		var err error
		if primary == nil && j.primary.idle() {
			primary, err = j.startPrimary(ctx, records, refusable)
		}
		if err == nil && standby == nil && j.standbyReady() && j.isLate(primary) {
			standby, err = j.startStandby(ctx, records, refusable)
		}
		if err != nil {
			return err
		}
		select {
		case <-j.primary.completed():
			last := j.primary.pending
			err := j.finishPrimary()
			if IsRefused(err) && last == primary && standby != nil {
				j.standby.undo(standby) // it will be refused as well
			}
			if last == primary || err != nil && !IsRefused(err) {
				return err
			}
		case <-j.standby.completed():
			last := j.standby.pending
			if err := j.finishStandby(); last == standby || err != nil && !IsRefused(err) {
				return err
			}
		case <-j.standbyTimer(primary, standby):
		case <-ctx.Done():
			return errNoResponse
		}
	}
}

// collectOutcomes processes the known outcomes of appends that were in progress.
func (j *Journal) collectOutcomes() error {
	if isClosed(j.primary.completed()) {
		if err := j.finishPrimary(); err != nil && !IsRefused(err) { // its records were refused, or are in the standby partition
			return err
		}
	}
	if isClosed(j.standby.completed()) {
		if err := j.finishStandby(); err != nil && !IsRefused(err) {
			return err
		}
	}
	return nil
}

// isClosed reports whether a channel is closed; nil is not.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// send sends an append until its outcome is known. An append that may be given up is given up when
// it is rejected, and a refusable one when it is refused, unless an earlier attempt of the same append may still
// take effect: the next owner is the first to know then that it is refused.
func (j *Journal) send(ctx context.Context, a *pendingAppend) error {
	mayGiveUp, refusable := a.mayGiveUp, a.refusable
	for try := 1; ; try++ {
		sent, confirms := j.Clock.Now(), !a.confirmsNothing.Load()
		err := j.Store.Append(ctx, a.at, a.writer, a.records)
		if err == nil && confirms {
			j.noteSuccess(sent)
		}
		if err == nil {
			return nil
		}
		j.Logger.Warn().Str("event", "append").Str("topic", a.at.Topic).Int("part", a.at.Index).Uint64("epoch", a.writer.Epoch).
			Uint64("sequence", a.writer.Sequence).Int("records", len(a.records)).Int("try", try).Err(err).Msg("append failed or has an unknown outcome")
		mayGiveUp = mayGiveUp && !errkind.Is(err, errkind.OutcomeUnknown)
		refusable = refusable && !mayTakeEffect(err)
		if isFenced(err) || mayGiveUp || refusable && IsRefused(err) || ctx.Err() != nil {
			return err
		}
		select {
		case <-j.Clock.After(a.pause):
		case <-ctx.Done():
			return err
		}
	}
}

// mayTakeEffect reports whether an append that failed with an error may be carried out all the same.
func mayTakeEffect(err error) bool {
	return !IsRefused(err) && !errkind.Is(err, errkind.LogUnavailable)
}

// noteSuccess records the success of an append that was sent at a time and confirms this process as the writer.
func (j *Journal) noteSuccess(sent time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastResponse = j.Clock.Now()
	j.lastDuration = j.lastResponse.Sub(sent)
	if sent.After(j.lastConfirmed) {
		j.lastConfirmed = sent
	}
}

// Epoch returns the epoch of this process's right to write.
func (j *Journal) Epoch() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.epoch
}

// LastConfirmed returns when the last append was sent that confirmed this process as the writer.
func (j *Journal) LastConfirmed() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastConfirmed
}
