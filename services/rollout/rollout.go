// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/pools"
)

// logLimit bounds how long a change waits for the log.
const logLimit = 5 * time.Second

// waitLimit bounds how long an apply waits for each entry.
const waitLimit = 10 * time.Second

// Service applies configuration changes.
type Service struct {
	Clock clock.Clock
	Name  string // of this entry
	State func() state.State
	// Propose puts a record on the log and returns its verdict. Before the append it calls sent with
	// the position of the batch that contains the record; sent must not block.
	Propose func(ctx context.Context, r record.Record, sent func(state.Position)) error
	// Reached waits for a limited time until an entry has folded the log up to a position, and
	// returns whether it has. An error of kind NotFound means that no such entry is running.
	Reached func(ctx context.Context, entry string, m state.Position) (bool, error)
}

// Request is a configuration file to apply.
type Request struct {
	File          manifest.File
	Base          *uint64 // version that the file was written against, nil for the newest
	Operator      string
	Team          string // the only team whose objects may change, empty for all
	AllowShortage bool   // accept a file that asks for more instances than there are
}

// Result is the result of an accepted change.
type Result struct {
	Version uint64        `json:"version"`
	Changed []string      `json:"changed"`
	InForce bool          `json:"in_force"` // on every entry
	Lagging []string      `json:"lagging,omitempty"`
	Preview pools.Preview `json:"preview"`
	// Calendar lists when racks are due for maintenance; only Plan sets it.
	Calendar []pools.RackDue `json:"calendar,omitempty"`
}

// Plan returns what a file would change and what would result, without applying it.
func (v *Service) Plan(q Request) (Result, error) {
	result, p, err := v.plan(q)
	if err != nil {
		return result, err
	}
	result.Calendar = pools.Calendar(v.State(), p.catalog)
	return result, nil
}

// proposal is a computed change.
type proposal struct {
	apply   record.Apply
	catalog state.Catalog // the catalog that would result
}

// plan returns the result of Plan and the change that would be proposed.
func (v *Service) plan(q Request) (Result, proposal, error) {
	s := v.State()
	change, base, err := v.change(s, q)
	if err != nil {
		return Result{}, proposal{}, err
	}
	catalog, err := s.Catalog.With(q.File.Deployment, change, base, s.Catalog.Version)
	if err != nil {
		return Result{}, proposal{}, err
	}
	result := Result{Version: base, Preview: pools.PreviewCatalog(s, catalog, v.Clock.Now())}
	for _, o := range change.Put {
		result.Changed = append(result.Changed, o.Ref().String())
	}
	for _, r := range change.Delete {
		result.Changed = append(result.Changed, r.String()+" (deleted)")
	}
	slices.Sort(result.Changed)
	apply := record.Apply{Deployment: q.File.Deployment, Base: base, Put: change.Put, Delete: change.Delete, Operator: q.Operator}
	return result, proposal{apply, catalog}, nil
}

func (v *Service) change(s state.State, q Request) (state.Change, uint64, error) {
	base := s.Catalog.Version
	if q.Base != nil {
		base = *q.Base
	}
	change, err := s.Catalog.Diff(q.File.Deployment, q.File.Objects(), base)
	if err != nil {
		return change, base, err
	}
	return change, base, allowed(s.Catalog, change, q.Team)
}

// allowed returns a Forbidden error if a team would change objects of others. A team may not raise
// its own quota either.
func allowed(c state.Catalog, change state.Change, team string) error {
	if team == "" {
		return nil
	}
	for _, o := range change.Put {
		before, there := c.Get(o.Ref())
		if o.Team != nil || o.Owner() != team || there && before.Owner() != team {
			return errkind.New(errkind.Forbidden, "team %s may not change %s", team, o.Ref())
		}
	}
	for _, r := range change.Delete {
		before, there := c.Get(r)
		if r.Kind == manifest.KindTeam || there && before.Owner() != team {
			return errkind.New(errkind.Forbidden, "team %s may not delete %s", team, r)
		}
	}
	return nil
}

// Apply puts a complete file on the log and waits until it is in force.
func (v *Service) Apply(ctx context.Context, q Request) (Result, error) {
	result, p, err := v.plan(q)
	if err != nil {
		return result, err
	}
	if !q.AllowShortage && len(result.Preview.Shortages) > 0 {
		shortage := result.Preview.Shortages[0]
		return result, errkind.New(errkind.Infeasible, "pool %s asks for %d instances and would get %d: %s; apply with short=true to accept that",
			shortage.Pool, shortage.Wanted, shortage.Present, shortage.Reason)
	}
	waiting, cancel := context.WithTimeout(ctx, logLimit+waitLimit)
	defer cancel()
	c := &confirmation{v: v}
	if len(p.apply.Put)+len(p.apply.Delete) == 0 {
		c.begin(waiting, state.Position{Offset: v.State().Catalog.Version})
	} else if err := v.propose(waiting, p.apply, c); err != nil {
		return result, err
	}
	// The verdict was read from the log, so this process has folded the change.
	result.Version = v.State().Catalog.Version
	result.Lagging = c.await(waiting)
	result.InForce = len(result.Lagging) == 0
	return result, nil
}

// propose puts a change on the log; the requests to the entries are sent meanwhile.
func (v *Service) propose(ctx context.Context, change record.Apply, c *confirmation) error {
	bounded, cancel := context.WithTimeout(ctx, logLimit)
	defer cancel()
	return v.Propose(bounded, record.Record{Apply: &change}, func(m state.Position) { c.begin(ctx, m) })
}
