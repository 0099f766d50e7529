// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pools

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/state"
)

// Due is when a rack comes up for maintenance.
type Due struct {
	Hall      string    `json:"hall"`
	Rack      string    `json:"rack"`
	Instances int       `json:"instances"`
	From      time.Time `json:"from"` // its oldest instance is due
	By        time.Time `json:"by"`   // the end of that instance's period
}

// Calendar returns when each rack comes up for maintenance under a catalog, the
// first one first, and nothing where none is declared.
func Calendar(s state.State, c state.Catalog) []Due {
	m := c.Maintenance()
	if m == nil {
		return nil
	}
	racks := make(map[rack]*Due)
	for _, i := range s.Instances.All() {
		if i.Worker.Condition == fleet.Gone {
			continue
		}
		at := rackOf(i)
		d, ok := racks[at]
		if !ok {
			d = &Due{Hall: at.hall, Rack: at.name}
			racks[at] = d
		}
		d.Instances++
		if by := i.MaintainedAt.Add(m.Period.Std()); d.Instances == 1 || by.Before(d.By) {
			d.From, d.By = i.MaintainedAt.Add(m.PeriodFraction(manifest.DueFraction)), by
		}
	}
	calendar := make([]Due, 0, len(racks))
	for _, d := range racks {
		calendar = append(calendar, *d)
	}
	slices.SortFunc(calendar, func(a, b Due) int {
		return cmp.Or(a.By.Compare(b.By), cmp.Compare(a.Hall, b.Hall), cmp.Compare(a.Rack, b.Rack))
	})
	return calendar
}
