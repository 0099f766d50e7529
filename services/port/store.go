// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package port

import (
	"context"
	"time"
)

// Partition identifies one partition of a topic of the store.
type Partition struct {
	Topic string
	Index int
}

// Record is one record under a key; a record without a value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64 // in its partition; set on reads
}

// Writer identifies the writer of an append by its epoch.
type Writer struct {
	Epoch    uint64 // appends with a lower epoch than the highest one seen are refused
	Sequence uint64 // of the append within the epoch; a repeated append gets the first response again
}

// Page is a part of the newest records of all keys.
type Page struct {
	Records []Record
	More    bool   // more keys follow the last one
	End     uint64 // the offset of the next append
}

// Tail holds the records read from an offset on.
type Tail struct {
	Records []Record
	End     uint64 // the offset of the next append
}

// Store is the platform's store. Its errors are of these kinds: Fenced for an epoch lower than the
// highest one seen, Conflict for an append out of sequence, Gone for records that are no longer
// retained, LogUnavailable for a call that had no effect, and OutcomeUnknown for a call that may
// have had one.
type Store struct {
	// Append adds all of the records or none. An append without a response may be repeated
	// unchanged.
	Append func(ctx context.Context, p Partition, w Writer, records []Record) error
	// Put adds records without fencing; the newest record under a key counts, whoever wrote it.
	Put func(ctx context.Context, p Partition, records []Record) error
	// AppendAt adds records if the partition ends at the offset, and returns the new end.
	AppendAt func(ctx context.Context, p Partition, at uint64, records []Record) (uint64, error)
	// Newest returns the newest records of the keys after the given one, in key order.
	Newest func(ctx context.Context, p Partition, after string) (Page, error)
	// Read returns records from an offset on and waits for the first of them.
	Read func(ctx context.Context, p Partition, from uint64, wait time.Duration) (Tail, error)
}
