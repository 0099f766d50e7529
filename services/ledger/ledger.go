// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/platform"
)

// Peers are the calls to other entries while the log is down or no longer holds the records needed;
// nil functions are not called.
type Peers struct {
	// Relay returns records from an offset on, and the time since the peer's last contact with the
	// log.
	Relay func(ctx context.Context, from uint64) (records []record.Stored, age time.Duration, err error)
	// State returns the newest state of a peer.
	State func(ctx context.Context) (state.State, error)
	// Append appends a batch of this process to the log through a peer. After an error it may still
	// have taken effect.
	Append func(ctx context.Context, data []byte) error
}

// Ledger is one process's view of the log. Lock order: mu is taken last and never held during calls
// to other components.
type Ledger struct {
	Log         platform.Log
	Peers       Peers
	Clock       clock.Clock
	Logger      log.Logger
	Name        string // of the entry
	Incarnation uint64
	Address     string // for peers
	DataCenter  string

	mu      sync.Mutex
	state   state.State
	changed chan struct{} // closed at the next publication; nil without a waiting caller
	recent  []record.Stored
	contact time.Time // last time at which the state was known to be the newest
	started bool
	writer  writer
}

// State returns the newest folded state.
func (l *Ledger) State() state.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Changed returns the newest state and a channel that is closed when a newer one is published.
func (l *Ledger) Changed() (state.State, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.state, l.changed
}

// LastContact returns the last time at which the state was known to be the newest.
func (l *Ledger) LastContact() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contact
}

// WaitFor returns once the state has folded everything up to a position.
func (l *Ledger) WaitFor(ctx context.Context, m state.Position) error {
	for {
		s, changed := l.Changed()
		if s.Reached(m) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errkind.New(errkind.LogUnavailable, "log position %+v was not reached in time; the state is at offset %d", m, s.Offset)
		}
	}
}

// Tail returns the records from an offset on that are cached for peers.
func (l *Ledger) Tail(from uint64) []record.Stored {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.recent) == 0 || from < l.recent[0].Offset {
		return nil
	}
	skip := int(from - l.recent[0].Offset)
	if skip >= len(l.recent) {
		return nil
	}
	tail := l.recent[skip:]
	return tail[:min(len(tail), tailPage)]
}

// Removed reports whether this process is no longer a member: it was replaced, or the platform no
// longer lists it.
func (l *Ledger) Removed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.state.Entries.Get(l.Name)
	if !ok || !l.started {
		return false
	}
	return e.Incarnation > l.Incarnation || e.Incarnation == l.Incarnation && !e.Present
}

// Bounds of the records cached for peers.
const (
	tailLength = 4096
	tailPage   = 512
)

// publish makes a newer state the current one and completes the proposals that it decides; folded
// holds the folded batches that led to it, in order.
func (l *Ledger) publish(s state.State, folded []state.Folded, records []record.Stored, contact time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Offset < l.state.Offset {
		return // a slower caller never replaces a newer state
	}
	l.state = s
	if contact.After(l.contact) {
		l.contact = contact
	}
	l.remember(records)
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
	for _, f := range folded {
		if f.Applied && f.Batch.Writer == l.Name && f.Batch.Incarnation == l.Incarnation {
			l.writer.decide(f.Batch.Sequence, f.Verdicts)
		}
	}
	if e, ok := s.Entries.Get(l.Name); ok && e.Incarnation == l.Incarnation {
		l.writer.skipTo(e.Sequence)
	}
}

// remember caches the newest records for peers; a gap in the offsets clears the cache.
func (l *Ledger) remember(records []record.Stored) {
	if len(records) == 0 {
		return
	}
	if n := len(l.recent); n > 0 && l.recent[n-1].Offset+1 != records[0].Offset {
		l.recent = nil
	}
	l.recent = append(l.recent, records...)
	if excess := len(l.recent) - tailLength; excess > 0 {
		l.recent = append([]record.Stored(nil), l.recent[excess:]...)
	}
}
