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
	offTime   = 2 * time.Second // until an instance that is off and was maintained is listed as such, and another is begun
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
		short := v.short(w, left)
		spare := v.spare()
		for _, pool := range v.poolsOf(left) {
			for _, i := range v.free(pool) {
				if slots == 0 || !due[i.Name] {
					continue
				}
				if !short && (spare <= 0 || pool != v.headroom && v.supply(pool) <= v.needs(pool)) {
					break
				}
				a := v.begin(i, "", w.Number)
				v.take(a)
				began = append(began, a)
				slots--
				spare--
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
	if w.MaxConcurrent <= 0 {
		return len(w.Instances)
	}
	slots := w.MaxConcurrent
	for _, name := range w.Instances {
		a := v.actions[name]
		if a != nil && a.to == "" || v.instances[name].Condition == port.Maintenance {
			slots--
		}
	}
	return slots
}

// spare returns how many instances no pool needs. In a rush there are none and a wave
// gives way: an instance that is maintained comes two seconds later.
func (v *view) spare() int {
	spare := len(v.tally.free[v.headroom])
	for pool, p := range v.pools {
		spare += v.supply(pool) - p.need
	}
	return spare
}

// short reports whether a wave must go on though pools need its instances.
func (v *view) short(w *waveState, left []string) bool {
	off := 0
	for _, name := range left {
		if v.instances[name].Worker == "" {
			off++
		}
	}
	takes := w.rounds(off)*(v.repair+offTime) + w.rounds(len(left)-off)*(v.repair+emptyTime) + waveSlack
	return v.now.Sub(w.seen)+takes > w.TimeLimit
}

// rounds returns how many times as many instances as may be maintained at once are
// needed for a number of them.
func (w *waveState) rounds(n int) time.Duration {
	if w.MaxConcurrent <= 0 {
		return time.Duration(btoi(n > 0))
	}
	return time.Duration((n + w.MaxConcurrent - 1) / w.MaxConcurrent)
}
