// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pools

import (
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
)

// Plan holds the records to propose for the instances, and the shortages and blocked instances
// found.
type Plan struct {
	Records   []record.Record
	Shortages []Shortage
	Blocked   []BlockedInstance
}

// MakePlan returns the next records for a state at a time, as an entry would propose them. It is
// deterministic: the same input gives the same plan.
func MakePlan(s state.State, entry string, incarnation uint64, now time.Time) Plan {
	p := &planner{s: s, name: entry, inc: incarnation, now: now}
	p.advance()
	p.assign()
	p.maintain()
	return Plan{Records: p.records, Shortages: p.shortages, Blocked: p.blocked}
}

// Preview is the effect of a changed catalog.
type Preview struct {
	Moves     []MovePreview `json:"moves"`
	Shortages []Shortage    `json:"shortages"`
	Buffer    int           `json:"buffer"` // instances beyond those that must stay available
}

// MovePreview is one move that a changed catalog causes.
type MovePreview struct {
	Worker string `json:"worker"`
	From   string `json:"from"`
	To     string `json:"to"`
}

// PreviewCatalog returns the moves and shortages that a catalog would cause.
func PreviewCatalog(s state.State, c state.Catalog, now time.Time) Preview {
	s.Catalog = c
	before := s
	p := &planner{s: s, now: now}
	p.assign()
	preview := Preview{Shortages: p.shortages}
	for _, r := range p.records {
		var m MovePreview
		switch {
		case r.Move != nil:
			m = MovePreview{Worker: r.Move.Worker, To: r.Move.To}
		case r.Drain != nil:
			m = MovePreview{Worker: r.Drain.Worker, To: r.Drain.To}
		default:
			continue
		}
		i, _ := before.Instances.Get(m.Worker)
		m.From = i.Pool
		preview.Moves = append(preview.Moves, m)
	}
	for _, q := range c.Pools() {
		preview.Buffer += q.Size - q.MinAvailable
	}
	return preview
}
