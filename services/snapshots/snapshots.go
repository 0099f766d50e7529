// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package snapshots

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
)

// The timing of snapshots.
const (
	checkPeriod = 5 * time.Second
	putTimeout  = 2 * time.Minute
	// maxAppends is the maximum number of appends between two snapshots.
	maxAppends = 200_000
)

// Snapshotter takes snapshots while its entry holds the role.
type Snapshotter struct {
	Clock       clock.Clock
	Logger      log.Logger
	Name        string
	Incarnation uint64
	Retention   time.Duration // of the log
	State       func() state.State
	Propose     func(ctx context.Context, records []record.Record) ([]state.Verdict, error)
}

// Run takes snapshots when they are due until the context ends.
func (t *Snapshotter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s := t.State(); s.HoldsRole(record.RoleSnapshots, t.Name, t.Incarnation) && t.due(s) {
			if err := t.Take(ctx, s); err != nil {
				t.Logger.Warn().Err(err).Msg("could not take a snapshot")
			}
		}
		select {
		case <-t.Clock.After(checkPeriod):
		case <-ctx.Done():
		}
	}
}

// due reports whether a quarter of the log's retention has passed since the last snapshot, or
// maxAppends appends have been made.
func (t *Snapshotter) due(s state.State) bool {
	return s.Now.Sub(s.SnapshotAt) >= t.Retention/4 || s.Offset-s.SnapshotOffset >= maxAppends
}

// Take writes a state to the log, one chunk per append.
func (t *Snapshotter) Take(ctx context.Context, s state.State) error {
	data, err := s.Encode()
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	for _, c := range state.Chunks(s.Offset, data) {
		if _, err := t.Propose(bounded, []record.Record{{Snapshot: &c}}); err != nil {
			return err
		}
	}
	t.Logger.Info().Uint64("offset", s.Offset).Int("bytes", len(data)).Msg("snapshot taken")
	return nil
}
