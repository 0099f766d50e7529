// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// keyClaim is the key of the claim of a partition's writer; it sorts before all others.
const keyClaim = "!claim"

// Claim is the record of a process that has become the writer.
type Claim struct {
	Epoch       uint64 `cbor:"1,keyasint"`
	Node        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"` // of the node's process, 0 if unknown
	Read        uint64 `cbor:"4,keyasint,omitempty"` // offset up to which the process had read the directory, 0 if unknown
	From        uint64 `cbor:"5,keyasint,omitempty"` // offset of the directory from which on it remembers nodes, 0 if unknown
}

// Terms are what a process states in its claim, and the condition under which it claims; the zero value states
// nothing and has none.
type Terms struct {
	Incarnation uint64
	Read        uint64
	From        uint64
	// Check returns an error if the process may not replace the last writer, whose claim has epoch 0 if there is
	// none. It is called just before the partition is fenced; nil permits any.
	Check func(last Claim) error
}

// The pauses before an unsuccessful call is repeated. A claim is sent until its outcome is known: if
// an epoch were raised without its writer knowing, the partition would be left without a writer.
const (
	claimRetry  = 100 * time.Millisecond
	appendRetry = 50 * time.Millisecond
)

// Claim makes this process the writer, unless another one claims the partition at the same time,
// and returns the newest records of all keys. If records may be in the standby partition, that must
// respond as well, or nothing is claimed. Everything is read before the last writer is fenced, so
// that only what it has added since is read while there is no writer.
func (j *Journal) Claim(ctx context.Context, node string) ([]port.Record, error) {
	j.appending = make(chan struct{}, 1)
	before, err := j.read(ctx, j.Partition)
	if err != nil {
		return nil, err
	}
	last, err := decodeRecord[Claim](before.records, keyClaim)
	if err != nil {
		return nil, err
	}
	inUse, err := j.standbyInUse(ctx, before)
	if err != nil {
		return nil, err
	}
	if j.Terms.Check != nil {
		if err := j.Terms.Check(last); err != nil {
			return nil, err
		}
	}
	own := Claim{Epoch: last.Epoch + 1, Node: node, Incarnation: j.Terms.Incarnation, Read: j.Terms.Read, From: j.Terms.From}
	j.mu.Lock()
	j.epoch = own.Epoch
	j.mu.Unlock()
	j.standby.reset(own.Epoch)
	var standby standbyClaim
	var tasks sync.WaitGroup
	standbyCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if inUse {
		tasks.Go(func() { standby.run(standbyCtx, j, own) })
	}
	records, err := j.claimPrimary(ctx, own, before)
	if err != nil {
		cancel() // another process has the journal, or will have it
	}
	tasks.Wait()
	if err != nil {
		return nil, err
	}
	return j.withStandby(ctx, own, records, &standby)
}

// claimPrimary fences the primary partition and returns its newest records.
func (j *Journal) claimPrimary(ctx context.Context, own Claim, before reading) ([]port.Record, error) {
	if err := j.fence(ctx, &j.primary, j.Partition, own); err != nil {
		return nil, err
	}
	records, err := j.readSince(ctx, before)
	if err != nil {
		return nil, err
	}
	if by, err := decodeRecord[Claim](records, keyClaim); err != nil || by != own {
		return nil, errkind.New(errkind.Conflict, "partition was claimed by %q at epoch %d (%v)", by.Node, by.Epoch, err)
	}
	return records, nil
}

// decodeRecord returns the decoded record of a key, the zero value for none.
func decodeRecord[T any](records []port.Record, key string) (T, error) {
	var v T
	for _, r := range records {
		if r.Key == key && len(r.Value) > 0 {
			return v, codec.Unmarshal(r.Value, &v)
		}
	}
	return v, nil
}

// fence raises a partition's epoch.
func (j *Journal) fence(ctx context.Context, w *partWriter, at port.Partition, c Claim) error {
	a, err := w.claim(at, c)
	if err != nil {
		return err
	}
	return j.send(ctx, a)
}

// reading is the result of reading a partition.
type reading struct {
	at      port.Partition
	records []port.Record // newest of all keys
	end     uint64        // of the partition, when the first page was read
}

// read returns the newest records of all keys of a partition.
func (j *Journal) read(ctx context.Context, at port.Partition) (reading, error) {
	r := reading{at: at}
	for after := ""; ; {
		page, err := j.Store.Newest(ctx, at, after)
		if err != nil {
			return reading{}, err
		}
		if after == "" {
			r.end = page.End
		}
		r.records = append(r.records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return r, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// readTries bounds how often a read of a fenced partition is tried.
const readTries = 20

// retry repeats a call until it succeeds, a limited number of times.
func (j *Journal) retry(ctx context.Context, call func() error) error {
	for try := 1; ; try++ {
		err := call()
		if err == nil || errkind.Is(err, errkind.Gone) || try == readTries || ctx.Err() != nil {
			return err
		}
		select {
		case <-j.Clock.After(claimRetry):
		case <-ctx.Done():
		}
	}
}

// readSince returns the newest records of all keys of a partition that was read before it was
// fenced: what was added in between is taken from its history, and everything is read again only if
// the history is gone.
func (j *Journal) readSince(ctx context.Context, before reading) ([]port.Record, error) {
	newest := newestOf(before.records)
	for from := before.end; ; {
		var tail port.Tail
		err := j.retry(ctx, func() (err error) {
			tail, err = j.Store.Read(ctx, before.at, from, 0)
			return err
		})
		if errkind.Is(err, errkind.Gone) {
			return j.readAll(ctx, before.at)
		}
		if err != nil {
			return nil, err
		}
		for _, r := range tail.Records {
			newest.put(r)
		}
		if from += uint64(len(tail.Records)); from >= tail.End || len(tail.Records) == 0 {
			return newest.inOrder(), nil
		}
	}
}

// newestRecords holds the newest records of all keys, by key.
type newestRecords map[string]port.Record

// newestOf returns an index of records with distinct keys.
func newestOf(records []port.Record) newestRecords {
	n := make(newestRecords, len(records))
	for _, r := range records {
		n[r.Key] = r
	}
	return n
}

// put adds a newer record; a record without a value removes its key.
func (n newestRecords) put(r port.Record) {
	if len(r.Value) == 0 {
		delete(n, r.Key)
		return
	}
	n[r.Key] = r
}

// inOrder returns the records in the order of their keys.
func (n newestRecords) inOrder() []port.Record {
	records := make([]port.Record, 0, len(n))
	for _, key := range slices.Sorted(maps.Keys(n)) {
		records = append(records, n[key])
	}
	return records
}

// readAll returns the newest records of all keys of a fenced partition.
func (j *Journal) readAll(ctx context.Context, at port.Partition) ([]port.Record, error) {
	var r reading
	err := j.retry(ctx, func() (err error) {
		r, err = j.read(ctx, at)
		return err
	})
	return r.records, err
}
