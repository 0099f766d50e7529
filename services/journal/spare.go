// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// A store may be away in part. While a journal's partition does not answer, its records are
// kept in the spare one, and copied home once it answers again. What holds:
//
//   - Records go to the spare partition only while a mark that is kept at home says that it is
//     in use. Whoever claims the journal fences the home and, where the mark says so, the spare
//     partition, and reads what was added before that: nothing is added to either afterwards.
//   - A record in the spare partition bears a session, which rises with each append there. One
//     above the session that the mark names is newer than what is kept at home; all others
//     have been copied home, in the append that carries the mark or before it.
//   - An append whose outcome is not known stays under way until it is. Its records are
//     in what is written to the other partition as well, or older than that.
//
// A spare partition that does not answer is taken out of use in the next mark, so that a
// claim does not wait for it.

// keySpare is the key of the mark at home.
const keySpare = "!spare"

// session numbers the appends to the spare partition.
type session struct {
	_      struct{} `cbor:",toarray"`
	Epoch  uint64
	Number uint64
}

func (s session) after(o session) bool {
	return s.Epoch > o.Epoch || s.Epoch == o.Epoch && s.Number > o.Number
}

// spareMark is what is kept at home of the spare partition.
type spareMark struct {
	_      struct{} `cbor:",toarray"`
	InUse  bool
	Copied session // all up to it is kept at home
}

// spareRecord is the value of a record in the spare partition.
type spareRecord struct {
	_       struct{} `cbor:",toarray"`
	Session session
	Value   []byte // empty for a key that was taken away
}

// The times of the spare partition.
const (
	// spareLeast is how long the home may take to answer before records go to the spare
	// partition: the store answers in 4 ms, and an owner refuses what comes after 0.4 s.
	spareLeast = 200 * time.Millisecond
	// sparePeriod is how often the spare partition is asked at the most whether it answers. Where
	// it falls silent and its writer is gone before the mark says so, nobody can claim the
	// journal until it answers again: for as long as this period and spareSilent.
	sparePeriod = 500 * time.Millisecond
	// spareSilent is how long it may take to answer before it is taken out of use.
	spareSilent = 300 * time.Millisecond
)

// copyBytes is how much is copied home in one append; the store takes 2 MiB, and a batch of
// an owner's own goes with the last copies.
const copyBytes = 1 << 20

// spareWriter writes the spare partition.
type spareWriter struct {
	partWriter
	fenced  bool             // this process is its writer
	asked   time.Time        // when it was last asked
	mark    spareMark        // as it is kept at home
	session session          // of the last append
	newer   map[string]spare // what is newer there than at home
	held    map[string]bool  // keys that have a record there
}

// spare is a record in the spare partition.
type spare struct {
	record  port.Record
	version uint64 // of all that this process has put there
}

// add notes that a record in the spare partition is newer than what is kept at home.
func (s *spareWriter) add(r port.Record) {
	s.newer[r.Key] = spare{r, s.newer[r.Key].version + 1}
	s.held[r.Key] = true
}

// maySpare reports whether records may go to the spare partition now.
func (j *Journal) maySpare() bool { return j.spare.mark.InUse && j.spare.fenced && j.spare.idle() }

// spareAfter is how long the home may take to answer: where the store is slow, both are.
func (j *Journal) spareAfter() time.Duration { return j.patience(spareLeast) }

// isLate reports whether the home takes too long for records: an earlier append is under way
// there, or theirs has been for a while.
func (j *Journal) isLate(home *pendingAppend) bool {
	return home == nil || j.Clock.Now().Sub(home.began) >= j.spareAfter()
}

// lateness tells when records are to go to the spare partition; nil for never.
func (j *Journal) lateness(home, spare *pendingAppend) <-chan time.Time {
	if home == nil || spare != nil || !j.maySpare() {
		return nil
	}
	return j.Clock.After(j.spareAfter() - j.Clock.Now().Sub(home.began))
}

// checkSpare asks the spare partition from time to time whether it answers, and for the first
// time makes this process its writer. It does not wait for the answer.
func (j *Journal) checkSpare(ctx context.Context) error {
	s := &j.spare
	if j.Standby == (port.Partition{}) {
		return nil
	}
	if !s.idle() || s.fenced && j.Clock.Now().Sub(s.asked) < max(sparePeriod, j.StandbyProbePeriod) {
		return nil
	}
	s.asked = j.Clock.Now()
	if s.fenced {
		s.start(ctx, j, s.next(s.stale()))
		return nil
	}
	a, err := s.claim(j.Standby, claim{Epoch: j.Epoch()})
	if err != nil {
		return err
	}
	a.mayGiveUp = false
	s.start(ctx, j, a)
	return nil
}

// stale returns records that take away what is kept at home as well.
func (s *spareWriter) stale() []port.Record {
	if len(s.newer) > 0 || s.mark.Copied != s.session {
		return nil
	}
	var records []port.Record
	for _, key := range slices.Sorted(maps.Keys(s.held)) {
		records = append(records, port.Record{Key: key})
	}
	clear(s.held)
	return records
}

// startSpare has records kept in the spare partition.
func (j *Journal) startSpare(ctx context.Context, records []port.Record) (*pendingAppend, error) {
	s := &j.spare
	if len(records) > 0 {
		s.session.Number++
	}
	wrapped := make([]port.Record, len(records))
	for i, r := range records {
		value, err := codec.Marshal(spareRecord{Session: s.session, Value: r.Value})
		if err != nil {
			return nil, err
		}
		wrapped[i] = port.Record{Key: r.Key, Value: value}
	}
	if len(s.newer) == 0 && len(records) > 0 {
		j.Logger.Warn().Str("event", "spare").Str("topic", j.Standby.Topic).Int("part", j.Standby.Index).Uint64("session", s.session.Number).
			Str("outcome", "used").Msg("the partition does not answer; records go to the spare one")
		j.count(spareUsed)
	}
	a := s.next(wrapped)
	s.asked = j.Clock.Now()
	s.start(ctx, j, a)
	for _, r := range records {
		s.add(r)
	}
	return a, nil
}

// landSpare takes note of the outcome of an append to the spare partition.
func (j *Journal) landSpare() error {
	a := j.spare.take()
	if a.err != nil {
		return a.err
	}
	j.spare.fenced = true
	return nil
}

// wanted is the mark that is to be kept at home once all is there.
func (j *Journal) wanted() spareMark {
	s := &j.spare
	silent := !s.idle() && j.Clock.Now().Sub(s.pending.began) > j.patience(spareSilent)
	return spareMark{InUse: s.fenced && !silent, Copied: s.session}
}

// startHome has records kept at home, with what is newer in the spare partition. Where that is
// too much for one append, a part of it goes alone, and nil is returned.
func (j *Journal) startHome(ctx context.Context, records []port.Record) (*pendingAppend, error) {
	s, m := &j.spare, j.wanted()
	if j.Standby == (port.Partition{}) || m == s.mark {
		a := j.home.next(records)
		j.home.start(ctx, j, a)
		return a, nil
	}
	copies, all := s.copies(records)
	if !all {
		a := j.home.next(copies)
		a.copies = s.versions(copies)
		j.home.start(ctx, j, a)
		return nil, nil
	}
	value, err := codec.Marshal(m)
	if err != nil {
		return nil, err
	}
	a := j.home.next(slices.Concat(copies, records, []port.Record{{Key: keySpare, Value: value}}))
	a.copies, a.mark = s.versions(copies, records), &m
	s.mark.InUse = s.mark.InUse && m.InUse // what is on its way out of use is used no more
	j.home.start(ctx, j, a)
	return a, nil
}

// versions returns which versions of records are newer in the spare partition, by key.
func (s *spareWriter) versions(lists ...[]port.Record) map[string]uint64 {
	versions := make(map[string]uint64)
	for _, r := range slices.Concat(lists...) {
		if n, has := s.newer[r.Key]; has {
			versions[r.Key] = n.version
		}
	}
	return versions
}

// copies returns what is newer in the spare partition than at home and not among records
// that are to be kept, as much as one append may bring, and whether that is all.
func (s *spareWriter) copies(records []port.Record) ([]port.Record, bool) {
	if len(s.newer) == 0 {
		return nil, true
	}
	again := make(map[string]bool, len(records))
	for _, r := range records {
		again[r.Key] = true
	}
	var copies []port.Record
	size := 0
	for _, key := range slices.Sorted(maps.Keys(s.newer)) {
		if again[key] {
			continue
		}
		r := s.newer[key].record
		if size += len(key) + len(r.Value); size > copyBytes {
			return copies, false
		}
		copies = append(copies, r)
	}
	return copies, true
}

// landHome takes note of the outcome of an append to the home.
func (j *Journal) landHome() error {
	a := j.home.take()
	if a.err != nil {
		return a.err
	}
	s := &j.spare
	before := len(s.newer)
	for key, version := range a.copies {
		if s.newer[key].version == version {
			delete(s.newer, key)
		}
	}
	if a.mark != nil {
		if a.mark.InUse != s.mark.InUse {
			j.Logger.Info().Str("event", "spare").Bool("in_use", a.mark.InUse).Uint64("session", a.mark.Copied.Number).
				Str("outcome", "marked").Msg("whether the spare partition may be used has changed")
		}
		s.mark = *a.mark
	}
	if before > 0 && len(s.newer) == 0 {
		j.count(spareCopied)
		j.Logger.Info().Str("event", "spare").Int("records", before).Str("outcome", "copied").Msg("the partition answers again; it has all records")
	}
	return nil
}

// The counters of a journal.
const (
	spareUsed   = "spare.used"   // records began to go to a spare partition
	spareCopied = "spare.copied" // all of them were at home again
)

// count adds one to a counter.
func (j *Journal) count(counter string) {
	if j.Count != nil {
		j.Count(counter)
	}
}
