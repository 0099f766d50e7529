// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"bytes"
	"crypto/sha256"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/table"
)

// ChunkBytes is the size of one snapshot chunk on the log.
const ChunkBytes = 64 << 10

// stored is the encoded form of a state.
type stored struct {
	Offset       uint64
	Now          time.Time
	Version      uint64
	Objects      map[string]Entity
	Entries      map[string]Entry
	Leases       map[string]Lease
	Instances    map[string]Instance
	OwnersAt     uint64
	ListRevision uint64
	Claims       map[string]Claim
	Runs         map[string]Run
	LastDaily    map[string]string
	Unreadable   uint64
	SnapshotAt   time.Time
	SnapshotOf   uint64
}

// Encode returns the encoded state; equal states have equal encodings.
func (s State) Encode() ([]byte, error) {
	data, err := codec.Marshal(stored{
		Offset:       s.Offset,
		Now:          s.Now,
		Version:      s.Catalog.Version,
		Objects:      s.Catalog.Objects.Map(),
		Entries:      s.Entries.Map(),
		Leases:       s.Leases.Map(),
		Instances:    s.Instances.Map(),
		OwnersAt:     s.OwnersChangedAt,
		ListRevision: s.ListRevision,
		Claims:       s.Claims.Map(),
		Runs:         s.Runs.Map(),
		LastDaily:    s.LastDaily.Map(),
		Unreadable:   s.Unreadable,
		SnapshotAt:   s.SnapshotAt,
		SnapshotOf:   s.SnapshotOffset,
	})
	return data, errors.Annotate(err, "encoding the state")
}

// Decode decodes a state.
func Decode(data []byte) (State, error) {
	var d stored
	if err := codec.Unmarshal(data, &d); err != nil {
		return State{}, errors.Annotate(err, "decoding a state")
	}
	s := State{
		Offset:          d.Offset,
		Now:             d.Now,
		Catalog:         Catalog{Version: d.Version, Objects: table.Of(d.Objects)},
		Entries:         table.Of(d.Entries),
		Leases:          table.Of(d.Leases),
		Instances:       table.Of(d.Instances),
		OwnersChangedAt: d.OwnersAt,
		ListRevision:    d.ListRevision,
		Claims:          table.Of(d.Claims),
		Runs:            table.Of(d.Runs),
		LastDaily:       table.Of(d.LastDaily),
		Unreadable:      d.Unreadable,
		SnapshotAt:      d.SnapshotAt,
		SnapshotOffset:  d.SnapshotOf,
	}
	return s.Reindex(), nil
}

// Chunks splits an encoded state into the records that carry it on the log.
func Chunks(offset uint64, data []byte) []record.Snapshot {
	sum := sha256.Sum256(data)
	count := (len(data) + ChunkBytes - 1) / ChunkBytes
	chunks := make([]record.Snapshot, 0, count)
	for i := range count {
		part := data[i*ChunkBytes : min((i+1)*ChunkBytes, len(data))]
		chunks = append(chunks, record.Snapshot{Offset: offset, Index: i, Count: count, Sum: sum[:], Data: part})
	}
	return chunks
}

// Assembler reassembles snapshots from the chunks on the log; its zero value is ready to use.
type Assembler struct {
	parts map[partKey][]byte
}

// partKey identifies a chunk; two writers may write a snapshot of the same offset, and their bytes
// are the same only if their sums are.
type partKey struct {
	offset uint64
	sum    string
	index  int
}

// Add adds a chunk and returns the complete state once its last chunk has arrived; ok is false
// until then, and for chunks that do not match their sum.
func (a *Assembler) Add(c record.Snapshot) (s State, ok bool) {
	if a.parts == nil {
		a.parts = make(map[partKey][]byte)
	}
	a.parts[partKey{c.Offset, string(c.Sum), c.Index}] = c.Data
	var buffer bytes.Buffer
	for i := range c.Count {
		part, found := a.parts[partKey{c.Offset, string(c.Sum), i}]
		if !found {
			return State{}, false
		}
		buffer.Write(part)
	}
	for i := range c.Count {
		delete(a.parts, partKey{c.Offset, string(c.Sum), i})
	}
	if sum := sha256.Sum256(buffer.Bytes()); !bytes.Equal(sum[:], c.Sum) {
		return State{}, false
	}
	s, err := Decode(buffer.Bytes())
	return s, err == nil
}
