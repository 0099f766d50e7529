// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/services/port"
)

// waveState is a wave and how far it is.
type waveState struct {
	wave.Wave
	seen time.Time
	done map[string]bool // instances that have begun their maintenance
	told bool            // that it is completed
}

// left returns the instances of a wave that are there and have not begun their
// maintenance.
func (w *waveState) left(instances map[string]port.Instance) []string {
	var names []string
	for _, n := range w.Instances {
		if _, there := instances[n]; there && !w.done[n] {
			names = append(names, n)
		}
	}
	return names
}

// The times that a wave is paced by.
const (
	emptyTime = 4 * time.Second // that emptying a worker takes at most as a rule
	waveSlack = 3 * time.Second // that a wave is to be done early
)

// maintain begins the maintenance of instances of waves: first of those that
// are off, then of those that their pool can spare, and where the time runs
// short of any.
func (v *view) maintain() []*action {
	var began []*action
	for _, w := range v.waves {
		left := w.left(v.instances)
		slots := v.slots(w)
		if len(left) == 0 || slots <= 0 {
			continue
		}
		due := make(map[string]bool, len(left))
		for _, n := range left {
			due[n] = v.actions[n] == nil
		}
		short := v.short(w, len(left))
		for _, pool := range v.poolsOf(left) {
			for _, i := range v.free(pool) {
				if slots == 0 || !due[i.Name] {
					continue
				}
				if pool != v.headroom && !short && v.supply(pool) <= v.needs(pool) {
					break
				}
				a := v.begin(i, "", w.Number)
				v.take(a)
				began = append(began, a)
				slots--
			}
		}
	}
	return began
}

// poolsOf returns the pools of instances, the one that is off first.
func (v *view) poolsOf(names []string) []string {
	var pools []string
	for _, n := range names {
		pools = append(pools, v.instances[n].Pool)
	}
	slices.SortFunc(pools, func(a, b string) int {
		return cmp.Or(-cmp.Compare(btoi(a == v.headroom), btoi(b == v.headroom)), cmp.Compare(a, b))
	})
	return slices.Compact(pools)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// slots returns how many more instances of a wave may be emptied or down.
func (v *view) slots(w *waveState) int {
	if w.AtOnce <= 0 {
		return len(w.Instances)
	}
	slots := w.AtOnce
	for _, name := range w.Instances {
		a := v.actions[name]
		if a != nil && a.to == "" || v.instances[name].Condition == port.Maintenance {
			slots--
		}
	}
	return slots
}

// short reports whether a wave must go on though pools need its instances.
func (v *view) short(w *waveState, left int) bool {
	rounds := 1
	if w.AtOnce > 0 {
		rounds = (left + w.AtOnce - 1) / w.AtOnce
	}
	takes := time.Duration(rounds)*(v.repair+emptyTime) + waveSlack
	return v.now.Sub(w.seen)+takes > w.Within
}
