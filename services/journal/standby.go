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

// Part of the store may be unavailable. While a journal's partition (the primary) does not respond,
// its records are written to the standby partition, and copied back once the primary responds
// again. The invariants:
//
//   - Records go to the standby partition only while a mark in the primary states that it is in
//     use. Whoever claims the journal fences the primary and, if the mark says so, the standby
//     partition, and reads what was added before that: nothing is added to either afterwards.
//   - A record in the standby partition carries a session, which increases with each append there.
//     A record with a session above the one in the mark is newer than the primary's; all others
//     have been copied to the primary, in the append that carries the mark or before it.
//   - An append with an unknown outcome stays in progress until the outcome is known. Its records
//     are also in what is written to the other partition, or are older than that.
//
// A standby partition that does not respond is marked as not in use by the next mark, so that a
// claim does not wait for it.

// keyStandby is the key of the mark in the primary partition.
const keyStandby = "!spare"

// session numbers the appends to the standby partition.
type session struct {
	_      struct{} `cbor:",toarray"`
	Epoch  uint64
	Number uint64
}

func (s session) after(o session) bool {
	return s.Epoch > o.Epoch || s.Epoch == o.Epoch && s.Number > o.Number
}

// standbyMark is the state of the standby partition as persisted in the primary.
type standbyMark struct {
	_      struct{} `cbor:",toarray"`
	InUse  bool
	Copied session // everything up to it is in the primary
}

// standbyRecord is the value of a record in the standby partition.
type standbyRecord struct {
	_       struct{} `cbor:",toarray"`
	Session session
	Value   []byte // empty for a removed key
}

// The timing of the standby partition.
const (
	// standbyMinDelay is the minimum time that the primary has to respond before records go to the
	// standby partition: the store responds in 4 ms, and an owner rejects requests that wait longer
	// than 0.4 s.
	standbyMinDelay = 200 * time.Millisecond
	// standbyMinPeriod is the minimum interval between probes of the standby partition. If it
	// becomes unresponsive and its writer is gone before the mark says so, nobody can claim the
	// journal until it responds again. It takes up to the interval between two probes plus
	// standbyTimeout until the mark says so.
	standbyMinPeriod = 500 * time.Millisecond
	// standbyTimeout is how long the standby partition may take to respond before it is marked as
	// not in use.
	standbyTimeout = 300 * time.Millisecond
)

// maxCopyBytes is how much is copied to the primary in one append; the store accepts 2 MiB, and a
// batch of an owner goes with the last copies.
const maxCopyBytes = 7 << 17

// copyOverhead is what a record takes in an append beside its key and its value, in bytes.
const copyOverhead = 64

// maxDeletions is how many keys are deleted from the standby partition in one append.
const maxDeletions = 5000

// standbyWriter writes the standby partition.
type standbyWriter struct {
	partWriter
	fenced    bool                    // this process is its writer
	lastProbe time.Time               // when it was last probed
	mark      standbyMark             // as persisted in the primary
	session   session                 // of the last append
	newer     map[string]standbyEntry // records that are newer than in the primary
	keys      map[string]bool         // keys that have a record there
}

// standbyEntry is a record in the standby partition.
type standbyEntry struct {
	record  port.Record
	version uint64 // counts the records of the key that this process has written there
}

// add notes that a record in the standby partition is newer than the primary's.
func (s *standbyWriter) add(r port.Record) {
	s.newer[r.Key] = standbyEntry{r, s.newer[r.Key].version + 1}
	s.keys[r.Key] = true
}

// standbyReady reports whether records may go to the standby partition now.
func (j *Journal) standbyReady() bool {
	return j.standby.mark.InUse && j.standby.fenced && j.standby.idle()
}

// standbyAfter returns how long the primary may take to respond: a slow store slows both
// partitions.
func (j *Journal) standbyAfter() time.Duration { return j.maxWait(standbyMinDelay) }

// isLate reports whether the primary takes too long for records: an earlier append is in progress
// there, or theirs has been for a while.
func (j *Journal) isLate(primary *pendingAppend) bool {
	return primary == nil || j.Clock.Now().Sub(primary.began) >= j.standbyAfter()
}

// standbyTimer returns a channel that fires when records are to go to the standby partition; nil
// for never.
func (j *Journal) standbyTimer(primary, standby *pendingAppend) <-chan time.Time {
	if primary == nil || standby != nil || !j.standbyReady() {
		return nil
	}
	return j.Clock.After(j.standbyAfter() - j.Clock.Now().Sub(primary.began))
}

// checkStandby probes the standby partition from time to time, and the first time makes this
// process its writer. It does not wait for the response.
func (j *Journal) checkStandby(ctx context.Context) error {
	s := &j.standby
	if j.Standby == (port.Partition{}) {
		return nil
	}
	if !s.idle() || s.fenced && j.Clock.Now().Sub(s.lastProbe) < max(standbyMinPeriod, j.StandbyProbePeriod) {
		return nil
	}
	s.lastProbe = j.Clock.Now()
	var a *pendingAppend
	if s.fenced {
		a = s.nextAppend(s.deletions())
	} else {
		var err error
		if a, err = s.claim(j.Standby, Claim{Epoch: j.Epoch()}); err != nil {
			return err
		}
		a.mayGiveUp = false
	}
	a.confirmsNothing.Store(!s.mark.InUse)
	s.start(ctx, j, a)
	return nil
}

// deletions returns records that delete from the standby partition what is in the primary as well.
func (s *standbyWriter) deletions() []port.Record {
	if len(s.newer) > 0 || s.mark.Copied != s.session {
		return nil
	}
	var records []port.Record
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if len(records) == maxDeletions {
			break
		}
		records = append(records, port.Record{Key: key})
		delete(s.keys, key)
	}
	return records
}

// startStandby starts to write records to the standby partition.
func (j *Journal) startStandby(ctx context.Context, records []port.Record, refusable bool) (*pendingAppend, error) {
	s := &j.standby
	if len(records) > 0 {
		s.session.Number++
	}
	wrapped := make([]port.Record, len(records))
	for i, r := range records {
		value, err := codec.Marshal(standbyRecord{Session: s.session, Value: r.Value})
		if err != nil {
			return nil, err
		}
		wrapped[i] = port.Record{Key: r.Key, Value: value}
	}
	if len(s.newer) == 0 && len(records) > 0 {
		j.Logger.Warn().Str("event", "spare").Str("topic", j.Standby.Topic).Int("part", j.Standby.Index).Uint64("session", s.session.Number).
			Str("outcome", "used").Msg("primary partition does not respond; records go to the standby partition")
		j.count(standbyUsed)
	}
	a := s.nextAppend(wrapped)
	a.refusable, a.older = refusable, make(map[string]standbyEntry, len(records))
	s.lastProbe = j.Clock.Now()
	s.start(ctx, j, a)
	for _, r := range records {
		if _, twice := a.older[r.Key]; !twice {
			a.older[r.Key] = s.newer[r.Key]
		}
		s.add(r)
	}
	return a, nil
}

// refuse takes back an append that the store has refused.
func (s *standbyWriter) refuse(a *pendingAppend) {
	s.partWriter.refuse(a)
	s.undo(a)
}

// undo takes back the records of an append that the store refuses: what was newer before it still is.
func (s *standbyWriter) undo(a *pendingAppend) {
	for key, older := range a.older {
		if older.version == 0 {
			delete(s.newer, key)
			continue
		}
		s.newer[key] = older
	}
	a.older = nil
}

// finishStandby processes the outcome of an append to the standby partition.
func (j *Journal) finishStandby() error {
	a := j.standby.takePending()
	if IsRefused(a.err) {
		j.standby.refuse(a)
	}
	if a.err != nil {
		return a.err
	}
	j.standby.fenced = true
	return nil
}

// nextMark returns the mark that the primary is to have once it has all records.
func (j *Journal) nextMark() standbyMark {
	s := &j.standby
	unresponsive := !s.idle() && j.Clock.Now().Sub(s.pending.began) > j.maxWait(standbyTimeout)
	return standbyMark{InUse: s.fenced && !unresponsive, Copied: s.session}
}

// startPrimary starts to write records to the primary partition, with what is newer in the standby
// partition. If that is too much for one append, a part of it is written alone, and nil is
// returned.
func (j *Journal) startPrimary(ctx context.Context, records []port.Record, refusable bool) (*pendingAppend, error) {
	s, m := &j.standby, j.nextMark()
	if j.Standby == (port.Partition{}) || m == s.mark {
		a := j.primary.nextAppend(records)
		a.refusable, a.marked = refusable, s.mark.InUse
		j.primary.start(ctx, j, a)
		return a, nil
	}
	copies, all := s.copies(records)
	if !all {
		a := j.primary.nextAppend(copies)
		a.copies = s.versions(copies)
		j.primary.start(ctx, j, a)
		return nil, nil
	}
	value, err := codec.Marshal(m)
	if err != nil {
		return nil, err
	}
	a := j.primary.nextAppend(slices.Concat(copies, records, []port.Record{{Key: keyStandby, Value: value}}))
	a.copies, a.mark = s.versions(copies, records), &m
	a.refusable, a.marked = refusable, s.mark.InUse
	s.mark.InUse = s.mark.InUse && m.InUse // a standby partition that is being disabled is no longer used
	if !m.InUse && !s.idle() {
		s.pending.confirmsNothing.Store(true)
	}
	j.primary.start(ctx, j, a)
	return a, nil
}

// versions returns which versions of records are newer in the standby partition, by key.
func (s *standbyWriter) versions(lists ...[]port.Record) map[string]uint64 {
	versions := make(map[string]uint64)
	for _, r := range slices.Concat(lists...) {
		if n, has := s.newer[r.Key]; has {
			versions[r.Key] = n.version
		}
	}
	return versions
}

// copies returns what is newer in the standby partition than in the primary and not among the
// records to be written, up to the maximum of one append, and whether that is everything.
func (s *standbyWriter) copies(records []port.Record) ([]port.Record, bool) {
	if len(s.newer) == 0 {
		return nil, true
	}
	replaced := make(map[string]bool, len(records))
	for _, r := range records {
		replaced[r.Key] = true
	}
	var copies []port.Record
	size := 0
	for _, key := range slices.Sorted(maps.Keys(s.newer)) {
		if replaced[key] {
			continue
		}
		r := s.newer[key].record
		if size += len(key) + len(r.Value) + copyOverhead; size > maxCopyBytes {
			return copies, false
		}
		copies = append(copies, r)
	}
	return copies, true
}

// finishPrimary processes the outcome of an append to the primary partition.
func (j *Journal) finishPrimary() error {
	a := j.primary.takePending()
	s := &j.standby
	if IsRefused(a.err) {
		j.primary.refuse(a)
		s.mark.InUse = a.marked
	}
	if a.err != nil {
		return a.err
	}
	before := len(s.newer)
	for key, version := range a.copies {
		if s.newer[key].version == version {
			delete(s.newer, key)
		}
	}
	if a.mark != nil {
		if a.mark.InUse != s.mark.InUse {
			j.Logger.Info().Str("event", "spare").Bool("in_use", a.mark.InUse).Uint64("session", a.mark.Copied.Number).
				Str("outcome", "marked").Msg("use of the standby partition was enabled or disabled")
		}
		s.mark = *a.mark
	}
	if before > 0 && len(s.newer) == 0 {
		j.count(standbyCopied)
		j.Logger.Info().Str("event", "spare").Int("records", before).Str("outcome", "copied").Msg("primary partition responds again and has all records")
	}
	return nil
}

// The counters of a journal.
const (
	standbyUsed   = "spare.used"   // records began to go to a standby partition
	standbyCopied = "spare.copied" // all of them were in the primary again
)

// count increments a counter.
func (j *Journal) count(counter string) {
	if j.Count != nil {
		j.Count(counter)
	}
}
