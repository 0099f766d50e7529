// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/platform"
)

// Time limits of the reader.
const (
	readWait    = 10 * time.Second
	readTimeout = 15 * time.Second
	readPause   = 200 * time.Millisecond
)

// Start loads the state up to the end of the log, or the newest state of a peer while the log is
// down.
func (l *Ledger) Start(ctx context.Context) error {
	page, err := l.Log.Read(ctx, 0, 0)
	if err == nil {
		if page.First > 0 {
			return l.restore(ctx, page.First)
		}
		return l.readToEnd(ctx)
	}
	if l.Peers.State == nil {
		return errors.Trace(err)
	}
	s, peerErr := l.Peers.State(ctx)
	if peerErr != nil {
		return errors.Annotatef(err, "no state from a peer either (%v)", peerErr)
	}
	l.publish(s, nil, nil, time.Time{})
	return nil
}

// readToEnd folds the log up to its current end.
func (l *Ledger) readToEnd(ctx context.Context) error {
	for {
		page, err := l.Log.Read(ctx, l.State().Offset, 0)
		if err != nil {
			return errors.Trace(err)
		}
		l.apply(page)
		if l.State().Offset >= page.Next {
			return nil
		}
	}
}

// restore starts from the newest complete snapshot that the log still holds, or from a peer if
// there is none.
func (l *Ledger) restore(ctx context.Context, first uint64) error {
	s, err := l.findSnapshot(ctx, first)
	if err != nil && l.Peers.State != nil {
		l.Logger.Warn().Err(err).Msg("no snapshot on the log, requesting the state from peers")
		s, err = l.Peers.State(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	l.publish(s, nil, nil, time.Time{})
	return l.readToEnd(ctx)
}

// findSnapshot reads the log from its oldest record on and returns the newest complete snapshot.
func (l *Ledger) findSnapshot(ctx context.Context, first uint64) (state.State, error) {
	var assembler state.Assembler
	var newest state.State
	found := false
	for at := first; ; {
		page, err := l.Log.Read(ctx, at, 0)
		if err != nil {
			return newest, errors.Trace(err)
		}
		for _, r := range page.Records {
			for _, s := range snapshotsIn(&assembler, r) {
				newest, found = s, true
			}
			at = r.Offset + 1
		}
		if at >= page.Next || len(page.Records) == 0 {
			break
		}
	}
	if !found || newest.Offset < first {
		return newest, errkind.New(errkind.LogUnavailable, "the log begins at %d and holds no complete snapshot after that", first)
	}
	return newest, nil
}

func snapshotsIn(a *state.Assembler, r record.Stored) []state.State {
	b, err := record.Decode(r.Data)
	if err != nil {
		return nil // the fold reports it
	}
	var complete []state.State
	for _, p := range b.Records {
		if p.Snapshot == nil {
			continue
		}
		if s, ok := a.Add(*p.Snapshot); ok {
			complete = append(complete, s)
		}
	}
	return complete
}

// apply folds a page; records before the state's offset are skipped.
func (l *Ledger) apply(page platform.Page) {
	l.fold(page.Records, l.Clock.Now())
}

// fold folds records in order and publishes the resulting state. With a zero contact, that state is
// not known to be the newest.
func (l *Ledger) fold(records []record.Stored, contact time.Time) {
	s := l.State()
	var folded []state.Folded
	var applied []record.Stored
	for _, r := range records {
		if r.Offset != s.Offset {
			continue
		}
		f := s.Fold(r)
		if f.State.Unreadable > s.Unreadable {
			l.Logger.Warn().Uint64("offset", r.Offset).Msg("log record can't be read by this release")
		}
		s = f.State
		folded = append(folded, f)
		applied = append(applied, r)
	}
	l.publish(s, folded, applied, contact)
}

// run reads the log until the context ends.
func (l *Ledger) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.readOnce(ctx); err != nil {
			l.Logger.Debug().Err(err).Msg("reading the log failed")
			l.relayOnce(ctx)
			l.pause(ctx, readPause)
		}
	}
}

// readOnce waits for one page of the log and folds it.
func (l *Ledger) readOnce(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := l.Log.Read(bounded, l.State().Offset, readWait)
	if err != nil {
		return errors.Trace(err)
	}
	if page.First > l.State().Offset {
		return l.restore(bounded, page.First)
	}
	l.apply(page)
	return nil
}

// relayOnce reads newer records from a peer.
func (l *Ledger) relayOnce(ctx context.Context) {
	if l.Peers.Relay == nil {
		return
	}
	records, age, err := l.Peers.Relay(ctx, l.State().Offset)
	if err != nil {
		return
	}
	l.fold(records, l.Clock.Now().Add(-age))
}

func (l *Ledger) pause(ctx context.Context, d time.Duration) {
	select {
	case <-l.Clock.After(d):
	case <-ctx.Done():
	}
}
