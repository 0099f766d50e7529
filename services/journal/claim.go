// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"context"
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
// the spare partition it answers as well, or nothing is claimed.
func (j *Journal) Claim(ctx context.Context, node string) ([]port.Record, error) {
	j.calls = make(chan struct{}, 1)
	page, err := j.Store.Newest(ctx, j.Partition, "")
	if err != nil {
		return nil, err
	}
	last, err := find[claim](page.Records, keyClaim)
	if err != nil {
		return nil, err
	}
	if m, err := find[spareMark](page.Records, keySpare); err != nil || m.InUse {
		if err == nil {
			_, err = j.Store.Newest(ctx, j.Spare, "")
		}
		if err != nil {
			return nil, err
		}
	}
	mine := claim{Epoch: last.Epoch + 1, Node: node}
	j.mu.Lock()
	j.epoch = mine.Epoch
	j.mu.Unlock()
	if err := j.fence(ctx, &j.home, j.Partition, mine); err != nil {
		return nil, err
	}
	records, err := j.readAll(ctx, j.Partition)
	if err != nil {
		return nil, err
	}
	if by, err := find[claim](records, keyClaim); err != nil || by != mine {
		return nil, errkind.New(errkind.Conflict, "the partition was claimed by %q at epoch %d (%v)", by.Node, by.Epoch, err)
	}
	return j.claimSpare(ctx, mine, records)
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

// readAll returns the newest records of all keys of a partition.
func (j *Journal) readAll(ctx context.Context, at port.Partition) ([]port.Record, error) {
	var records []port.Record
	after := ""
	for {
		page, err := j.readPage(ctx, at, after)
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
func (j *Journal) readPage(ctx context.Context, at port.Partition, after string) (port.Page, error) {
	for try := 1; ; try++ {
		page, err := j.Store.Newest(ctx, at, after)
		if err == nil || try == pageTries || ctx.Err() != nil {
			return page, err
		}
		select {
		case <-j.Clock.After(claimRetry):
		case <-ctx.Done():
		}
	}
}
