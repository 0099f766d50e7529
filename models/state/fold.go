// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// Verdict is the result of folding one record: nil if it was accepted, and otherwise the reason why
// it was rejected.
type Verdict error

// Folded is the result of folding one stored append.
type Folded struct {
	State    State
	Batch    record.Batch
	Verdicts []Verdict // one per record, none for a duplicate or unreadable batch
	Applied  bool      // false for duplicates and unreadable batches
}

// Fold returns the state after one stored append. Appends must come in the order of their offsets;
// an append that can't be read changes nothing but the offset and the count of unreadable records.
func (s State) Fold(stored record.Stored) Folded {
	s.Offset = stored.Offset + 1
	if stored.At.After(s.Now) {
		s.Now = stored.At
	}
	b, err := record.Decode(stored.Data)
	if err != nil {
		s.Unreadable++
		return Folded{State: s.expire()}
	}
	s, fresh := s.acceptBatch(b)
	if !fresh {
		return Folded{State: s.expire(), Batch: b}
	}
	f := Folded{Batch: b, Applied: true, Verdicts: make([]Verdict, len(b.Records))}
	from := author{name: b.Writer, incarnation: b.Incarnation}
	for i, r := range b.Records {
		next, err := s.foldRecord(from, r)
		if err != nil {
			f.Verdicts[i] = err
			continue
		}
		s = next
	}
	f.State = s.expire()
	return f
}

// author is the process that wrote a record.
type author struct {
	name        string
	incarnation uint64
}

// acceptBatch drops duplicates, and batches of processes that are not, or no longer, members.
func (s State) acceptBatch(b record.Batch) (State, bool) {
	e, known := s.Entries.Get(b.Writer)
	if !known || b.Incarnation > e.Incarnation {
		if !startsWithJoin(b) {
			return s, false
		}
		return s, true
	}
	if b.Incarnation < e.Incarnation || !e.Present || b.Sequence <= e.Sequence {
		return s, false
	}
	e.Sequence = b.Sequence
	s.Entries = s.Entries.With(b.Writer, e)
	return s, true
}

func startsWithJoin(b record.Batch) bool {
	return len(b.Records) > 0 && b.Records[0].Join != nil
}

// foldRecord returns the state after one record, or the reason for its rejection.
func (s State) foldRecord(from author, r record.Record) (State, error) {
	switch {
	case r.Join != nil:
		return s.foldJoin(from, *r.Join)
	case r.Leave != nil:
		return s.foldLeave(from)
	case r.Gone != nil:
		return s.foldGone(*r.Gone)
	case r.Lease != nil:
		return s.foldLease(from, *r.Lease)
	case r.Apply != nil:
		return s.foldApply(*r.Apply)
	case r.Claim != nil:
		return s.foldClaim(from, *r.Claim)
	case r.Result != nil:
		return s.foldResult(from, *r.Result)
	case r.Snapshot != nil:
		return s.foldSnapshot(*r.Snapshot), nil
	}
	if next, known, err := s.foldInstanceRecord(from, r); known {
		return next, err
	}
	if next, known, err := s.foldJobRecord(from, r); known {
		return next, err
	}
	s.Unreadable++
	return s, nil
}

// DryRun returns the state as it would be after a record of a process, and the outcome that the
// record would have now, without appending anything.
func (s State) DryRun(entry string, incarnation uint64, r record.Record) (State, Verdict) {
	next, err := s.foldRecord(author{entry, incarnation}, r)
	if err != nil {
		return s, err
	}
	return next, nil
}

// foldSnapshot notes when a snapshot is complete, which delays the next one.
func (s State) foldSnapshot(c record.Snapshot) State {
	if c.Index == c.Count-1 && c.Offset > s.SnapshotOffset {
		s.SnapshotOffset = c.Offset
		s.SnapshotAt = s.Now
	}
	return s
}

// foldApply accepts a change of configuration completely or not at all.
func (s State) foldApply(a record.Apply) (State, error) {
	next, err := s.Catalog.With(a.Deployment, Change{Put: a.Put, Delete: a.Delete}, a.Base, s.Offset)
	if err != nil {
		return s, err
	}
	s.Catalog = next
	return s, nil
}

// foldLease renews a role for its holder, or passes it to another process once it is free.
func (s State) foldLease(from author, l record.Lease) (State, error) {
	current, ok := s.Leases.Get(string(l.Role))
	same := current.Holder == from.name && current.Incarnation == from.incarnation
	if ok && !same && current.Until.After(s.Now) && s.present(current.Holder, current.Incarnation) {
		return s, errkind.New(errkind.Conflict, "role %s is held by %s until %s", l.Role, current.Holder, current.Until.UTC().Format(time.RFC3339Nano))
	}
	s.Leases = s.Leases.With(string(l.Role), Lease{
		Holder:      from.name,
		Incarnation: from.incarnation,
		Until:       s.Now.Add(l.TTL),
	})
	return s, nil
}

func (s State) present(entry string, incarnation uint64) bool {
	e, ok := s.Entries.Get(entry)
	return ok && e.Present && e.Incarnation == incarnation
}
