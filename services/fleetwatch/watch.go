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

// ListPeriod is how often the entries together read the list.
const ListPeriod = 250 * time.Millisecond

// listTimeout bounds one reading of the list.
const listTimeout = 2 * time.Second

// Watcher reads the list in turn with the other entries.
type Watcher struct {
	Clock   clock.Clock
	Logger  log.Logger
	Fleet   platform.Fleet
	State   func() state.State
	Propose func(ctx context.Context, records []record.Record) ([]state.Verdict, error)
	// NotifyLeaving is told which workers leave or are gone.
	NotifyLeaving func(workers []string)
}

// Run reads the list until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.Refresh(ctx); err != nil {
			w.Logger.Debug().Err(err).Msg("instance list not taken over")
		}
		select {
		case <-w.Clock.After(w.pause()):
		case <-ctx.Done():
		}
	}
}

// pause is the time to the next reading. Each entry reads less often the more
// there are, so that the platform sees the same load, and at random times, so
// that they do not all read at once and then none for long.
func (w *Watcher) pause() time.Duration {
	mean := ListPeriod * time.Duration(max(len(w.State().MemberNames()), 1))
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}

// Refresh reads the list and proposes what changed.
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
	sighting, gone := Diff(s, l)
	w.tell(sighting.Workers)
	records := []record.Record{{ListUpdate: &sighting}}
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

// tell passes on what must not wait for the log.
func (w *Watcher) tell(changed []fleet.Worker) {
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

// Diff returns what a list shows that the state does not, and the entries
// that it no longer shows.
func Diff(s state.State, l platform.Listing) (record.ListUpdate, []record.Gone) {
	g := record.ListUpdate{Revision: l.Revision}
	listed := make(map[string]bool, len(l.Workers))
	for _, w := range l.Workers {
		listed[w.ID] = true
		if i, ok := s.Instances.Get(w.ID); !ok || !i.Worker.Equal(w) {
			g.Workers = append(g.Workers, w)
		}
	}
	for id, i := range s.Instances.All() {
		if !listed[id] && i.Worker.Condition != fleet.Gone {
			g.Workers = append(g.Workers, i.Worker.WithCondition(fleet.Gone))
		}
	}
	var gone []record.Gone
	for name, e := range s.Entries.All() {
		shown := slices.Contains(l.Entries, name)
		switch {
		case !e.Present:
		case shown && !e.Listed:
			g.Entries = append(g.Entries, name)
		case !shown && e.Listed:
			gone = append(gone, record.Gone{Entry: name, Incarnation: e.Incarnation})
		}
	}
	return g, gone
}
