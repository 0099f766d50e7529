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

// Journal is one process's right to write a partition, from Claim until a higher
// epoch is seen; its fields are set before that. While the partition does not answer,
// records are kept in a spare one (spare.go).
type Journal struct {
	Partition port.Partition
	// Standby is another partition of the same writer, the zero value for none.
	Standby port.Partition
	// StandbyProbePeriod is how often the spare partition is asked whether it answers, 0 for as often
	// as is of use.
	StandbyProbePeriod time.Duration
	Store              port.Store
	Clock              clock.Clock
	Logger             log.Logger
	// Count adds one to a counter, nil for none.
	Count func(counter string)

	calls chan struct{} // holds a token while an append is under way; taken before mu
	home  partWriter    // of Partition; who holds the token uses it
	spare spareWriter   // the same, of Spare

	mu        sync.Mutex
	epoch     uint64
	confirmed time.Time     // when the last append that succeeded was sent
	answered  time.Time     // when the last append that succeeded was answered
	took      time.Duration // of that append
	stuck     time.Time     // since when an append is under way, zero for none
}

// isFenced reports whether an error says that another process writes.
func isFenced(err error) bool {
	return errkind.Is(err, errkind.Fenced) || errkind.Is(err, errkind.Conflict)
}

// Confirm makes sure that this process still is the writer; it keeps nothing, and
// takes no sequence number, as the store counts only appends with records. An append
// that was sent after it was asked for tells the same: however many ask at once, the
// records that wait come after one such call. The spare partition's answer tells the same as
// the other's, since nobody is the writer before both are fenced.
func (j *Journal) Confirm(ctx context.Context) error {
	asked := j.Clock.Now()
	select {
	case j.calls <- struct{}{}:
	case <-ctx.Done():
		return errNoAnswer
	}
	defer func() { <-j.calls }()
	if !j.LastConfirmed().Before(asked) {
		return nil
	}
	defer j.begin()()
	return j.ask(ctx)
}

var errNoAnswer = errkind.New(errkind.OutcomeUnknown, "the store has not answered in time")

// ask sends an append without records, to the spare partition where the other does not answer.
func (j *Journal) ask(ctx context.Context) error {
	if err := j.collect(); err != nil {
		return err
	}
	for !j.home.idle() && !j.maySpare() {
		select {
		case <-j.home.landed():
			if err := j.landHome(); err != nil {
				return err
			}
		case <-j.spare.landed():
			if err := j.landSpare(); err != nil {
				return err
			}
		case <-ctx.Done():
			return errNoAnswer
		}
	}
	if j.home.idle() {
		bounded, cancel := ctx, context.CancelFunc(func() {})
		if j.maySpare() {
			bounded, cancel = context.WithTimeout(ctx, j.spareAfter())
		}
		err := j.send(bounded, j.home.question())
		cancel()
		if err == nil || isFenced(err) || ctx.Err() != nil || !j.maySpare() {
			return err
		}
	}
	return j.send(ctx, j.spare.question())
}

// begin notes that an append is under way, until the function that it returns is called.
func (j *Journal) begin() (end func()) {
	note := func(t time.Time) {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.stuck = t
	}
	note(j.Clock.Now())
	return func() { note(time.Time{}) }
}

// PendingFor returns for how long an append has been under way, 0 for none.
func (j *Journal) PendingFor() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.stuck.IsZero() {
		return 0
	}
	return j.Clock.Now().Sub(j.stuck)
}

// slowTimes is how many times as long as the one before an append may take before the
// store counts as away: one that has become slow is not taken for one that is gone.
const slowTimes = 3

// IsStuck reports whether an append has been under way for longer than a time, or
// where the store is slow, for much longer than the one before it took.
func (j *Journal) IsStuck(least time.Duration) bool { return j.PendingFor() > j.patience(least) }

// patience returns how long an append may take: so long at least, and longer where the store
// is slow.
func (j *Journal) patience(least time.Duration) time.Duration {
	return max(least, slowTimes*j.LastDuration())
}

// LastDuration returns how long the last append took that succeeded.
func (j *Journal) LastDuration() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.took
}

// LastResponse returns when an append was last answered that has shown that this process
// still was the writer.
func (j *Journal) LastResponse() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answered
}

// Append keeps records, all or none, and returns once they are kept, or with an
// error of the kind Fenced or Conflict once another process writes. While the
// store does not answer it goes on until the context ends, which is that of the right
// to write: what is under way may outlast the call. Without records it only confirms the
// right, and does what is due for the spare partition.
func (j *Journal) Append(ctx context.Context, records []port.Record) error {
	j.calls <- struct{}{}
	defer func() { <-j.calls }()
	defer j.begin()()
	if err := j.collect(); err != nil {
		return err
	}
	if err := j.checkSpare(ctx); err != nil {
		return err
	}
	var home, spare *pendingAppend // that carry the records
	for {
		var err error
		if home == nil && j.home.idle() {
			home, err = j.startHome(ctx, records)
		}
		if err == nil && spare == nil && j.maySpare() && j.isLate(home) {
			spare, err = j.startSpare(ctx, records)
		}
		if err != nil {
			return err
		}
		select {
		case <-j.home.landed():
			last := j.home.pending
			if err := j.landHome(); err != nil || last == home {
				return err
			}
		case <-j.spare.landed():
			last := j.spare.pending
			if err := j.landSpare(); err != nil || last == spare {
				return err
			}
		case <-j.lateness(home, spare):
		case <-ctx.Done():
			return errNoAnswer
		}
	}
}

// collect takes note of the outcomes that are known of appends that were under way.
func (j *Journal) collect() error {
	if isClosed(j.home.landed()) {
		if err := j.landHome(); err != nil {
			return err
		}
	}
	if isClosed(j.spare.landed()) {
		return j.landSpare()
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

// send appends until the outcome is known. Where it may give up it does so with
// an append that was refused, unless an earlier sending of the same may be
// carried out yet.
func (j *Journal) send(ctx context.Context, a *pendingAppend) error {
	mayGiveUp := a.mayGiveUp
	for try := 1; ; try++ {
		sent := j.Clock.Now()
		err := j.Store.Append(ctx, a.at, a.writer, a.records)
		if err == nil {
			j.note(sent)
			return nil
		}
		j.Logger.Warn().Str("event", "append").Str("topic", a.at.Topic).Int("part", a.at.Index).Uint64("epoch", a.writer.Epoch).
			Uint64("sequence", a.writer.Sequence).Int("records", len(a.records)).Int("try", try).Err(err).Msg("records are not known to be kept")
		mayGiveUp = mayGiveUp && !errkind.Is(err, errkind.OutcomeUnknown)
		if isFenced(err) || mayGiveUp || ctx.Err() != nil {
			return err
		}
		select {
		case <-j.Clock.After(a.pause):
		case <-ctx.Done():
			return err
		}
	}
}

// note notes an append that was sent then and has succeeded now.
func (j *Journal) note(sent time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answered = j.Clock.Now()
	j.took = j.answered.Sub(sent)
	if sent.After(j.confirmed) {
		j.confirmed = sent
	}
}

// Epoch returns the epoch of this process's right.
func (j *Journal) Epoch() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.epoch
}

// LastConfirmed returns when an append was sent that has shown that this process
// still was the writer.
func (j *Journal) LastConfirmed() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.confirmed
}
