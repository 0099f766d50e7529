// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleetwatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/platform"
)

// ListPeriod is the mean time between two reads of the list by all entries together.
const ListPeriod = 250 * time.Millisecond

// listTimeout bounds one read of the list.
const listTimeout = 2 * time.Second

// Watcher reads the list in turn with the other entries.
type Watcher struct {
	Clock   clock.Clock
	Logger  log.Logger
	Fleet   platform.Fleet
	State   func() state.State
	Propose func(ctx context.Context, records []record.Record) ([]state.Verdict, error)
	// NotifyLeaving receives the workers that are leaving or gone.
	NotifyLeaving func(workers []string)
}

// Run reads the list until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.Refresh(ctx); err != nil {
			w.Logger.Debug().Err(err).Msg("instance list not applied")
		}
		select {
		case <-w.Clock.After(w.pause()):
		case <-ctx.Done():
		}
	}
}

// pause returns the time to the next read. The more entries there are, the less often each of them
// reads, so that the load on the platform stays the same. The time is random, so that the entries
// do not all read at once with a long gap afterwards.
func (w *Watcher) pause() time.Duration {
	mean := ListPeriod * time.Duration(max(len(w.State().MemberNames()), 1))
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}

// Refresh reads the list and proposes the changes.
func (w *Watcher) Refresh(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l, err := w.Fleet.List(bounded, w.State().ListRevision)
	if err != nil {
		return err
	}
	s := w.State()
	if l.Revision <= s.ListRevision {
		return nil
	}
	changes, gone := Diff(s, l)
	w.notify(changes.Workers)
	records := []record.Record{{ListUpdate: &changes}}
	for i := range gone {
		records = append(records, record.Record{Gone: &gone[i]})
	}
	verdicts, err := w.Propose(bounded, records)
	if err != nil {
		return err
	}
	for _, v := range verdicts {
		if v != nil && !errkind.IsErrConflict(v) {
			return v
		}
	}
	return nil
}

// notify reports the workers that are leaving or gone, which must not wait for the log.
func (w *Watcher) notify(changed []fleet.Worker) {
	var leaving []string
	for _, c := range changed {
		if c.Condition != fleet.Live {
			leaving = append(leaving, c.ID)
		}
	}
	if len(leaving) > 0 {
		w.NotifyLeaving(leaving)
	}
}

// Diff returns what a list shows that the state does not, and the entries that it no longer shows.
func Diff(s state.State, l platform.Listing) (record.ListUpdate, []record.Gone) {
	changes := record.ListUpdate{Revision: l.Revision}
	listed := make(map[string]bool, len(l.Workers))
	for _, w := range l.Workers {
		listed[w.ID] = true
		if i, ok := s.Instances.Get(w.ID); !ok || !i.Worker.Equal(w) {
			changes.Workers = append(changes.Workers, w)
		}
	}
	for id, i := range s.Instances.All() {
		if !listed[id] && i.Worker.Condition != fleet.Gone {
			changes.Workers = append(changes.Workers, i.Worker.WithCondition(fleet.Gone))
		}
	}
	var gone []record.Gone
	for name, e := range s.Entries.All() {
		listedNow := slices.Contains(l.Entries, name)
		switch {
		case !e.Present:
		case listedNow && !e.Listed:
			changes.Entries = append(changes.Entries, name)
		case !listedNow && e.Listed:
			gone = append(gone, record.Gone{Entry: name, Incarnation: e.Incarnation})
		}
	}
	return changes, gone
}
