// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
)

// Balance returns a handoff of a target's slots from this entry to the entry that owns the fewest
// targets of a pool, and false if ownership is balanced.
func Balance(s state.State, name string) (record.Handoff, bool) {
	for _, p := range s.Catalog.Pools() {
		fewest := ""
		for _, n := range s.MemberNames() {
			if fewest == "" || s.OwnedCount(n, p.Name) < s.OwnedCount(fewest, p.Name) {
				fewest = n
			}
		}
		if fewest == "" || s.OwnedCount(name, p.Name) < s.OwnedCount(fewest, p.Name)+2 {
			continue
		}
		if h, ok := handoff(s, p, name, fewest); ok {
			return h, true
		}
	}
	return record.Handoff{}, false
}

// handoff picks an instance to hand over, preferably one in the new owner's data centre.
func handoff(s state.State, p *manifest.Pool, from, to string) (h record.Handoff, ok bool) {
	e, _ := s.Entries.Get(to)
	for _, i := range s.PoolInstances(p.Name) {
		if i.Owner != from || i.Phase != state.InService {
			continue
		}
		if sameDataCenter := i.Worker.DataCenter == e.DataCenter; !ok || sameDataCenter {
			h, ok = record.Handoff{Worker: i.Worker.ID, Epoch: i.Epoch, To: to}, true
			if sameDataCenter {
				break
			}
		}
	}
	return h, ok
}
