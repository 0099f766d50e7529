// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
)

// Balance returns a handoff of slots that this entry owns to the entry that
// owns the fewest of a pool, and false where the pools are even.
func Balance(s state.State, name string) (record.Handoff, bool) {
	for _, p := range s.Catalog.Pools() {
		poorest := ""
		for _, n := range s.MemberNames() {
			if poorest == "" || s.OwnedCount(n, p.Name) < s.OwnedCount(poorest, p.Name) {
				poorest = n
			}
		}
		if poorest == "" || s.OwnedCount(name, p.Name) < s.OwnedCount(poorest, p.Name)+2 {
			continue
		}
		if h, ok := handoff(s, p, name, poorest); ok {
			return h, true
		}
	}
	return record.Handoff{}, false
}

// handoff picks an instance to hand over, one in the new owner's hall if there
// is one.
func handoff(s state.State, p *manifest.Pool, from, to string) (h record.Handoff, ok bool) {
	e, _ := s.Entries.Get(to)
	for _, i := range s.PoolInstances(p.Name) {
		if i.Owner != from || i.Phase != state.InService {
			continue
		}
		if near := i.Worker.DataCenter == e.DataCenter; !ok || near {
			h, ok = record.Handoff{Worker: i.Worker.ID, Epoch: i.Epoch, To: to}, true
			if near {
				break
			}
		}
	}
	return h, ok
}
