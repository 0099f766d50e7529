// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package port

import (
	"context"
	"time"
)

// Partition names one partition of a topic of the store.
type Partition struct {
	Topic string
	Index int
}

// Record is one record under a key; one without a value takes the key away.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64 // in its partition, where it was read
}

// Writer names who appends, and with which right.
type Writer struct {
	Epoch    uint64 // appends with a lower one than the store has seen are refused
	Sequence uint64 // of the append within the epoch; a repeated one gets its first answer
}

// Page is a part of the newest records of all keys.
type Page struct {
	Records []Record
	More    bool   // there are keys after the last
	End     uint64 // the offset of the next append
}

// Tail is what was read from an offset on.
type Tail struct {
	Records []Record
	End     uint64 // the offset of the next append
}

// Store is the platform's store. Its errors are of these kinds: Fenced for a
// lower epoch than seen, Conflict for an append that does not follow, Gone for
// records that are kept no longer, LogUnavailable for a call that has done
// nothing, and OutcomeUnknown for one that may have.
type Store struct {
	// Append adds records, all or none. One that got no answer may be sent again
	// as it was.
	Append func(ctx context.Context, p Partition, w Writer, records []Record) error
	// Put adds records of which the newest under a key counts, whoever wrote it.
	Put func(ctx context.Context, p Partition, records []Record) error
	// AppendAt adds records if the partition ends at the offset, and returns
	// where it ends.
	AppendAt func(ctx context.Context, p Partition, at uint64, records []Record) (uint64, error)
	// Newest returns the newest records of the keys after one, in their order.
	Newest func(ctx context.Context, p Partition, after string) (Page, error)
	// Read returns records from an offset on, and waits for the first of them.
	Read func(ctx context.Context, p Partition, from uint64, wait time.Duration) (Tail, error)
}
