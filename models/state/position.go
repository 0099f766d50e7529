// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

// Position is a position in the log: an offset, or a batch of a process whose offset is not known
// yet.
type Position struct {
	Offset      uint64 `json:"offset,omitempty"` // everything before it; used if Writer is empty
	Writer      string `json:"writer,omitempty"`
	Incarnation uint64 `json:"inc,omitempty"` // of the writer
	Sequence    uint64 `json:"seq,omitempty"` // of its batch
}

// Reached reports whether the state has folded everything up to a position. A batch of a process
// that was replaced since counts as folded: it has no effect any more.
func (s State) Reached(m Position) bool {
	if m.Writer == "" {
		return s.Offset >= m.Offset
	}
	e, _ := s.Entries.Get(m.Writer)
	if e.Incarnation != m.Incarnation {
		return e.Incarnation > m.Incarnation
	}
	return e.Sequence >= m.Sequence
}
