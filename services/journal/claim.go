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

// keyClaim is the key of the claim of a partition's writer; it sorts before
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
// the same time, and returns the newest records of all keys. Where records may be in
// the spare partition it answers as well, or nothing is claimed. All is read before the
// last writer is fenced, so that only what it has added since is read while nobody writes.
func (j *Journal) Claim(ctx context.Context, node string) ([]port.Record, error) {
	j.calls = make(chan struct{}, 1)
	before, err := j.read(ctx, j.Partition)
	if err != nil {
		return nil, err
	}
	last, err := find[claim](before.records, keyClaim)
	if err != nil {
		return nil, err
	}
	inUse, err := j.spareAnswers(ctx, before)
	if err != nil {
		return nil, err
	}
	mine := claim{Epoch: last.Epoch + 1, Node: node}
	j.mu.Lock()
	j.epoch = mine.Epoch
	j.mu.Unlock()
	j.spare.reset(mine.Epoch)
	var spare spareClaim
	var tasks sync.WaitGroup
	spareCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if inUse {
		tasks.Go(func() { spare.run(spareCtx, j, mine) })
	}
	records, err := j.claimHome(ctx, mine, before)
	if err != nil {
		cancel() // another process has the journal, or will have
	}
	tasks.Wait()
	if err != nil {
		return nil, err
	}
	return j.withSpare(ctx, mine, records, &spare)
}

// claimHome fences the partition and returns its newest records.
func (j *Journal) claimHome(ctx context.Context, mine claim, before reading) ([]port.Record, error) {
	if err := j.fence(ctx, &j.home, j.Partition, mine); err != nil {
		return nil, err
	}
	records, err := j.readOn(ctx, before)
	if err != nil {
		return nil, err
	}
	if by, err := find[claim](records, keyClaim); err != nil || by != mine {
		return nil, errkind.New(errkind.Conflict, "the partition was claimed by %q at epoch %d (%v)", by.Node, by.Epoch, err)
	}
	return records, nil
}

// find returns what the record under a key holds, the zero value for none.
func find[T any](records []port.Record, key string) (T, error) {
	var v T
	for _, r := range records {
		if r.Key == key && len(r.Value) > 0 {
			return v, codec.Unmarshal(r.Value, &v)
		}
	}
	return v, nil
}

// fence raises a partition's epoch.
func (j *Journal) fence(ctx context.Context, w *partWriter, at port.Partition, c claim) error {
	a, err := w.claim(at, c)
	if err != nil {
		return err
	}
	return j.send(ctx, a)
}

// reading is what was read of a partition.
type reading struct {
	at      port.Partition
	records []port.Record // newest of all keys
	end     uint64        // of the partition, as the first page was read
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

// readTries bounds how often a call is made that reads what a fenced partition holds.
const readTries = 20

// again makes a call until it is answered, a number of times at most.
func (j *Journal) again(ctx context.Context, call func() error) error {
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

// readOn returns the newest records of all keys of a partition that was read before it was
// fenced: what was added meanwhile is taken from its history, and all is read again only where
// that is gone.
func (j *Journal) readOn(ctx context.Context, before reading) ([]port.Record, error) {
	newest := newestOf(before.records)
	for from := before.end; ; {
		var tail port.Tail
		err := j.again(ctx, func() (err error) {
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

// newestRecords are the newest records of all keys, by key.
type newestRecords map[string]port.Record

// newestOf returns records of which each has another key.
func newestOf(records []port.Record) newestRecords {
	n := make(newestRecords, len(records))
	for _, r := range records {
		n[r.Key] = r
	}
	return n
}

// put adds a newer record; one without a value takes its key away.
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
	err := j.again(ctx, func() (err error) {
		r, err = j.read(ctx, at)
		return err
	})
	return r.records, err
}
