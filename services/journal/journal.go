// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
)

// Journal is one process's right to write a partition, from Claim until a higher
// epoch is seen; its fields are set before that.
type Journal struct {
	Partition port.Partition
	Store     port.Store
	Clock     clock.Clock
	Logger    log.Logger

	calls chan struct{} // holds a token while an append is under way; taken before mu

	mu        sync.Mutex
	writer    port.Writer
	confirmed time.Time     // when the last append that succeeded was sent
	answered  time.Time     // when the last append that succeeded was answered
	took      time.Duration // of that append
	stuck     time.Time     // since when an append is under way, zero for none
}

// keyClaim is the key of the claim of the partition's writer; it sorts before
// all others.
const keyClaim = "!claim"

// claim is the record of a right to write.
type claim struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Node  string `cbor:"2,keyasint"`
}

// The pauses before a call is made again that got no answer. A claim is sent
// until its outcome is known: an epoch that was raised without its writer
// knowing would leave the partition without one.
const (
	claimRetry  = 100 * time.Millisecond
	appendRetry = 50 * time.Millisecond
)

// Claim makes this process the writer, unless another claims the partition at
// the same time, and returns the newest records of all keys.
func (j *Journal) Claim(ctx context.Context, node string) ([]port.Record, error) {
	j.calls = make(chan struct{}, 1)
	page, err := j.Store.Newest(ctx, j.Partition, "")
	if err != nil {
		return nil, err
	}
	last, err := claimant(page.Records)
	if err != nil {
		return nil, err
	}
	mine := claim{Epoch: last.Epoch + 1, Node: node}
	if err := j.fence(ctx, mine); err != nil {
		return nil, err
	}
	records, err := j.readAll(ctx)
	if err != nil {
		return nil, err
	}
	if by, err := claimant(records); err != nil || by != mine {
		return nil, errkind.New(errkind.Conflict, "the partition was claimed by %q at epoch %d (%v)", by.Node, by.Epoch, err)
	}
	return records, nil
}

// claimant returns the newest claim among the records, the zero one for none.
func claimant(records []port.Record) (claim, error) {
	var c claim
	for _, r := range records {
		if r.Key == keyClaim && len(r.Value) > 0 {
			return c, codec.Unmarshal(r.Value, &c)
		}
	}
	return c, nil
}

// fence raises the partition's epoch. The first sequence number of the epoch is
// drawn at random: of two that claim the same epoch only one appends, since the
// other's sequence number does not follow.
func (j *Journal) fence(ctx context.Context, c claim) error {
	value, err := codec.Marshal(c)
	if err != nil {
		return err
	}
	j.mu.Lock()
	j.writer = port.Writer{Epoch: c.Epoch, Sequence: uint64(rand.Uint32())}
	j.mu.Unlock()
	return j.send(ctx, []port.Record{{Key: keyClaim, Value: value}}, claimRetry, true)
}

// isFenced reports whether an error says that another process writes.
func isFenced(err error) bool {
	return errkind.Is(err, errkind.Fenced) || errkind.Is(err, errkind.Conflict)
}

// Confirm makes sure that this process still is the writer; it keeps nothing, and
// takes no sequence number, as the store counts only appends with records. An append
// that was sent after it was asked for tells the same: however many ask at once, the
// records that wait come after one such call.
func (j *Journal) Confirm(ctx context.Context) error {
	asked := j.Clock.Now()
	select {
	case j.calls <- struct{}{}:
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "the store has not answered in time")
	}
	defer func() { <-j.calls }()
	if !j.Confirmed().Before(asked) {
		return nil
	}
	return j.append(ctx, nil)
}

// Stuck returns for how long an append has been under way, 0 for none.
func (j *Journal) Stuck() time.Duration {
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

// StuckFor reports whether an append has been under way for longer than a time, or
// where the store is slow, for much longer than the one before it took.
func (j *Journal) StuckFor(least time.Duration) bool {
	stuck := j.Stuck()
	j.mu.Lock()
	defer j.mu.Unlock()
	return stuck > max(least, slowTimes*j.took)
}

// Answered returns when an append was last answered that has shown that this process
// still was the writer.
func (j *Journal) Answered() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answered
}

// Append keeps records, all or none, and returns once they are kept, or with an
// error of the kind Fenced or Conflict once another process writes. While the
// store does not answer it goes on until the context ends.
func (j *Journal) Append(ctx context.Context, records []port.Record) error {
	j.calls <- struct{}{}
	defer func() { <-j.calls }()
	j.mu.Lock()
	j.writer.Sequence++
	j.mu.Unlock()
	return j.append(ctx, records)
}

// append sends records and notes since when that is under way.
func (j *Journal) append(ctx context.Context, records []port.Record) error {
	j.mu.Lock()
	j.stuck = j.Clock.Now()
	j.mu.Unlock()
	err := j.send(ctx, records, appendRetry, false)
	j.mu.Lock()
	j.stuck = time.Time{}
	j.mu.Unlock()
	return err
}

// send appends until the outcome is known. Where it may give up it does so with
// an append that was refused, unless an earlier sending of the same may be
// carried out yet.
func (j *Journal) send(ctx context.Context, records []port.Record, pause time.Duration, mayGiveUp bool) error {
	for try := 1; ; try++ {
		j.mu.Lock()
		w := j.writer
		j.mu.Unlock()
		if len(records) == 0 {
			w.Sequence++
		}
		sent := j.Clock.Now()
		err := j.Store.Append(ctx, j.Partition, w, records)
		if err == nil {
			j.mu.Lock()
			j.confirmed, j.answered = sent, j.Clock.Now()
			j.took = j.answered.Sub(sent)
			j.mu.Unlock()
			return nil
		}
		j.Logger.Warn().Str("event", "append").Str("topic", j.Partition.Topic).Int("part", j.Partition.Part).Uint64("epoch", w.Epoch).
			Uint64("sequence", w.Sequence).Int("records", len(records)).Int("try", try).Err(err).Msg("records are not known to be kept")
		mayGiveUp = mayGiveUp && !errkind.Is(err, errkind.OutcomeUnknown)
		if isFenced(err) || mayGiveUp || ctx.Err() != nil {
			return err
		}
		select {
		case <-j.Clock.After(pause):
		case <-ctx.Done():
			return err
		}
	}
}

// Epoch returns the epoch of this process's right.
func (j *Journal) Epoch() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.writer.Epoch
}

// Confirmed returns when an append was sent that has shown that this process
// still was the writer.
func (j *Journal) Confirmed() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.confirmed
}

// readAll returns the newest records of all keys.
func (j *Journal) readAll(ctx context.Context) ([]port.Record, error) {
	var records []port.Record
	after := ""
	for {
		page, err := j.readPage(ctx, after)
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
func (j *Journal) readPage(ctx context.Context, after string) (port.Page, error) {
	for try := 1; ; try++ {
		page, err := j.Store.Newest(ctx, j.Partition, after)
		if err == nil || try == pageTries || ctx.Err() != nil {
			return page, err
		}
		select {
		case <-j.Clock.After(claimRetry):
		case <-ctx.Done():
		}
	}
}
