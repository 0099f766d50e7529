// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package record

import (
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/codec"
)

// Schema is the version of the records that this release writes; a reader skips records that it
// does not know.
const Schema = 1

// Batch is the content of one append: records of one writer, in order.
type Batch struct {
	Schema      int      `cbor:"1,keyasint"`
	Writer      string   `cbor:"2,keyasint"` // entry name
	Incarnation uint64   `cbor:"3,keyasint"` // start of the process, increases with each
	Sequence    uint64   `cbor:"4,keyasint"` // from 1, increases with each new batch
	Records     []Record `cbor:"5,keyasint"`
}

// Stored is a batch as the log returns it.
type Stored struct {
	Offset uint64
	At     time.Time // when the log accepted it, by the platform's clock
	Data   []byte
}

// Encode returns the encoded batch.
func (b Batch) Encode() ([]byte, error) {
	data, err := codec.Marshal(b)
	return data, errors.Annotate(err, "encoding a batch")
}

// Decode decodes the batch of a stored append.
func Decode(data []byte) (Batch, error) {
	var b Batch
	if err := codec.Unmarshal(data, &b); err != nil {
		return Batch{}, errors.Annotate(err, "decoding a batch")
	}
	return b, nil
}
