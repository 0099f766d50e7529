// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// partition is one keyed partition.
type partition struct {
	log      []port.Record
	newest   map[string]port.Record
	first    uint64 // oldest retained offset
	epoch    uint64
	sequence uint64
	changed  chan struct{}
	freeAt   time.Time // when the appends that wait have been done
}

// storeTime is how long a call to the store takes.
const storeTime = 4 * time.Millisecond

// maxAppendWait is the wait from which on a partition refuses appends.
const maxAppendWait = 2 * time.Second

// SetAppendTime makes each partition take its appends in turn, each in the given time; without it
// appends do not wait for each other.
func (w *World) SetAppendTime(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appendTime = d
}

// turn waits until a partition takes an append.
func (s *nodeStore) turn(ctx context.Context, at port.Partition) error {
	s.w.mu.Lock()
	p, now := s.w.partition(at), time.Now()
	wait := max(p.freeAt.Sub(now), 0)
	if s.w.appendTime == 0 {
		s.w.mu.Unlock()
		return nil
	}
	if wait > maxAppendWait {
		s.w.mu.Unlock()
		return errkind.New(errkind.LogUnavailable, "too many appends wait")
	}
	wait += s.w.appendTime
	p.freeAt = now.Add(wait)
	s.w.mu.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "the caller has gone away")
	}
}

// Store returns the store as a node reaches it.
func (w *World) Store(node string) port.Store {
	s := &nodeStore{w, node}
	return port.Store{Append: s.append, Put: s.put, AppendAt: s.appendAt, Newest: s.newest, Read: s.read}
}

// nodeStore is the store as one node reaches it.
type nodeStore struct {
	w    *World
	node string
}

// Outage is how a partition is unavailable to all nodes.
type Outage int

// Kinds of outage: calls are refused, or get no response.
const (
	Available Outage = iota
	Refusing
	Unresponsive
)

// SetOutage makes a partition unavailable, or available again, to all nodes.
func (w *World) SetOutage(p port.Partition, a Outage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outages == nil {
		w.outages = make(map[port.Partition]Outage)
	}
	w.outages[p] = a
}

// reach waits as long as a call takes to reach the store, and fails if it does not reach
// it.
func (s *nodeStore) reach(ctx context.Context, at port.Partition) error {
	s.w.mu.Lock()
	f, outage := *s.w.fault(s.node), s.w.outages[at]
	s.w.mu.Unlock()
	if f.StoreUnresponsive || outage == Unresponsive {
		return noResponse(ctx, callTimeout)
	}
	if f.StoreUnavailable || outage == Refusing {
		return errkind.New(errkind.LogUnavailable, "the store refuses calls")
	}
	select {
	case <-time.After(storeTime + f.StoreLatency):
		return nil
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "the caller has gone away")
	}
}

// lost reports whether the response to an append is lost.
func (s *nodeStore) lost() bool {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	return s.w.random.Float64() < s.w.fault(s.node).StoreLostResponses
}

// result returns the result of an append unless its response is lost.
func (s *nodeStore) result(ctx context.Context, err error) error {
	if s.lost() {
		return noResponse(ctx, callTimeout)
	}
	return err
}

func (w *World) partition(p port.Partition) *partition {
	if w.partitions[p] == nil {
		w.partitions[p] = &partition{newest: make(map[string]port.Record), changed: make(chan struct{})}
	}
	return w.partitions[p]
}

// add appends records. The caller holds the world's mu.
func (p *partition) add(records []port.Record) {
	for _, r := range records {
		r.Offset = p.first + uint64(len(p.log))
		p.log = append(p.log, r)
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
		} else {
			p.newest[r.Key] = r
		}
	}
	if len(records) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

func (p *partition) end() uint64 { return p.first + uint64(len(p.log)) }

// Write appends records as the platform or an operator does.
func (w *World) Write(p port.Partition, records ...port.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partition(p).add(records)
}

// CompactLog drops all records but the newest of each key.
func (w *World) CompactLog() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.partitions {
		p.first, p.log = p.end(), nil
	}
}

// dedupWindow is how many of the last sequence numbers get their first response again.
const dedupWindow = 5

func (s *nodeStore) append(ctx context.Context, at port.Partition, wr port.Writer, records []port.Record) error {
	if err := s.reach(ctx, at); err != nil {
		return err
	}
	if err := s.turn(ctx, at); err != nil {
		return err
	}
	return s.result(ctx, s.w.fencedAppend(at, wr, records))
}

// The sizes that the store accepts, in bytes.
const (
	maxRecordBytes = 256 << 10
	maxAppendBytes = 2 << 20
	recordHeader   = 5 // of a record in an append
)

// checkSizes returns an error for records that the store does not accept.
func checkSizes(records []port.Record) error {
	all := 0
	for _, r := range records {
		size := 1 + len(r.Key) + len(r.Value)
		if size > maxRecordBytes {
			return errkind.New(errkind.BadRequest, "record %q has %d bytes; at most %d are accepted", r.Key, size, maxRecordBytes)
		}
		all += recordHeader + size
	}
	if all > maxAppendBytes {
		return errkind.New(errkind.BadRequest, "append has %d bytes; at most %d are accepted", all, maxAppendBytes)
	}
	return nil
}

func (w *World) fencedAppend(at port.Partition, wr port.Writer, records []port.Record) error {
	if err := checkSizes(records); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.partition(at)
	switch {
	case wr.Epoch < p.epoch:
		return errkind.New(errkind.Fenced, "a higher epoch has been seen")
	case wr.Epoch > p.epoch:
		p.epoch = wr.Epoch
	case wr.Sequence <= p.sequence && wr.Sequence+dedupWindow > p.sequence && len(records) > 0:
		return nil
	case wr.Sequence != p.sequence+1:
		return errkind.New(errkind.Conflict, "append is out of sequence")
	}
	if len(records) > 0 {
		p.sequence = wr.Sequence
	}
	p.add(records)
	return nil
}

func (s *nodeStore) put(ctx context.Context, at port.Partition, records []port.Record) error {
	if err := s.reach(ctx, at); err != nil {
		return err
	}
	if err := s.turn(ctx, at); err != nil {
		return err
	}
	s.w.Write(at, records...)
	return s.result(ctx, nil)
}

func (s *nodeStore) appendAt(ctx context.Context, at port.Partition, end uint64, records []port.Record) (uint64, error) {
	if err := s.reach(ctx, at); err != nil {
		return 0, err
	}
	if err := s.turn(ctx, at); err != nil {
		return 0, err
	}
	s.w.mu.Lock()
	p := s.w.partition(at)
	if p.end() != end {
		defer s.w.mu.Unlock()
		return p.end(), errkind.New(errkind.Conflict, "the partition ends at %d", p.end())
	}
	p.add(records)
	end = p.end()
	s.w.mu.Unlock()
	return end, s.result(ctx, nil)
}

// pageRecords is the size of a page of newest records.
const pageRecords = 500

func (s *nodeStore) newest(ctx context.Context, at port.Partition, after string) (port.Page, error) {
	if err := s.reach(ctx, at); err != nil {
		return port.Page{}, err
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	p := s.w.partition(at)
	page := port.Page{End: p.end()}
	for _, k := range slices.Sorted(maps.Keys(p.newest)) {
		if k <= after && after != "" {
			continue
		}
		if len(page.Records) == pageRecords {
			page.More = true
			break
		}
		page.Records = append(page.Records, p.newest[k])
	}
	return page, nil
}

func (s *nodeStore) read(ctx context.Context, at port.Partition, from uint64, wait time.Duration) (port.Tail, error) {
	if err := s.reach(ctx, at); err != nil {
		return port.Tail{}, err
	}
	until := time.After(wait)
	for {
		s.w.mu.Lock()
		p := s.w.partition(at)
		tail, changed, err := p.tail(from), p.changed, error(nil)
		if from < p.first {
			err = errkind.New(errkind.Gone, "the records begin at %d", p.first)
		}
		s.w.mu.Unlock()
		if err != nil || len(tail.Records) > 0 || wait == 0 {
			return tail, err
		}
		select {
		case <-changed:
		case <-until:
			return tail, nil
		case <-ctx.Done():
			return tail, errkind.New(errkind.OutcomeUnknown, "the caller has gone away")
		}
	}
}

func (p *partition) tail(from uint64) port.Tail {
	t := port.Tail{End: p.end()}
	if from >= p.first && from < p.end() {
		t.Records = slices.Clone(p.log[from-p.first:])
	}
	return t
}
