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

// RackDue is the time at which a rack is due for maintenance.
type RackDue struct {
	DataCenter string    `json:"hall"`
	Rack       string    `json:"rack"`
	Instances  int       `json:"instances"`
	From       time.Time `json:"from"` // when its oldest instance becomes due
	By         time.Time `json:"by"`   // end of that instance's period
}

// Calendar returns when each rack is due for maintenance under a catalog, the earliest first, and
// nothing if no maintenance is declared.
func Calendar(s state.State, c state.Catalog) []RackDue {
	m := c.Maintenance()
	if m == nil {
		return nil
	}
	racks := make(map[rack]*RackDue)
	for _, i := range s.Instances.All() {
		if i.Worker.Condition == fleet.Gone {
			continue
		}
		at := rackOf(i)
		d, ok := racks[at]
		if !ok {
			d = &RackDue{DataCenter: at.dataCenter, Rack: at.name}
			racks[at] = d
		}
		d.Instances++
		if by := i.MaintainedAt.Add(m.Period.Std()); d.Instances == 1 || by.Before(d.By) {
			d.From, d.By = i.MaintainedAt.Add(m.PeriodFraction(manifest.DueFraction)), by
		}
	}
	calendar := make([]RackDue, 0, len(racks))
	for _, d := range racks {
		calendar = append(calendar, *d)
	}
	slices.SortFunc(calendar, func(a, b RackDue) int {
		return cmp.Or(a.By.Compare(b.By), cmp.Compare(a.DataCenter, b.DataCenter), cmp.Compare(a.Rack, b.Rack))
	})
	return calendar
}
