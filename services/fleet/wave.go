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

// waveState is a wave and its progress.
type waveState struct {
	wave.Wave
	seen     time.Time
	done     map[string]bool // instances whose maintenance has begun
	reported bool            // its completion has been reported
}

// left returns the instances of a wave that exist and whose maintenance has not begun.
func (w *waveState) left(instances map[string]port.Instance) []string {
	var names []string
	for _, n := range w.Instances {
		if _, there := instances[n]; there && !w.done[n] {
			names = append(names, n)
		}
	}
	return names
}

// Time estimates for the progress of a wave.
const (
	emptyTime = 4 * time.Second // typical maximum for emptying a worker
	offTime   = 2 * time.Second // until a maintained instance that is off is listed as such, and another one begins
	waveSlack = 3 * time.Second // how much earlier than required a wave is to be done
)

// maintain begins maintenance for the instances of waves.
func (v *view) maintain() []*action {
	var began []*action
	for _, w := range v.waves {
		began = append(began, v.maintainWave(w)...)
	}
	return began
}

// maintainWave begins maintenance for instances of a wave: first those that are off, then those that their
// pool can spare, and any instance if the time is short. No pool needs those in data centres under
// evacuation.
func (v *view) maintainWave(w *waveState) []*action {
	left, slots := w.left(v.instances), v.slots(w)
	if len(left) == 0 || slots <= 0 {
		return nil
	}
	var began []*action
	short, spare := v.short(w, left), v.spare()
	for _, i := range v.inOrder(left) {
		if slots == len(began) {
			break
		}
		needed := !v.evacuated.Has(i.DataCenter)
		if needed && !short && (spare <= 0 || i.Pool != v.headroom && v.supply(i.Pool) <= v.needs(i.Pool)) {
			continue
		}
		a := v.begin(i, "", w.Number)
		v.add(a)
		began = append(began, a)
		spare -= btoi(needed)
	}
	return began
}

// inOrder returns those of the named instances that are available for maintenance, in the order in which they
// are maintained: idle ones before those with runs, and each by pools, the pool whose instances are off first.
func (v *view) inOrder(names []string) []port.Instance {
	due := make(map[string]bool, len(names))
	for _, n := range names {
		due[n] = true
	}
	var idle, busy []port.Instance
	for _, pool := range v.poolsOf(names) {
		for _, i := range append(slices.Collect(v.each(v.counts.evacuated[pool])), v.free(pool)...) {
			switch {
			case !due[i.Name]:
			case v.busy(i):
				busy = append(busy, i)
			default:
				idle = append(idle, i)
			}
		}
	}
	return append(idle, busy...)
}

// busy reports whether an instance has to be emptied before its maintenance.
func (v *view) busy(i port.Instance) bool {
	w := v.worker(i)
	return i.Worker != "" && (w == nil || w.Runs > 0)
}

// poolsOf returns the pools of instances, the pool whose instances are off first.
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

// slots returns how many more instances of a wave may be emptied or down at once.
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

// spare returns how many instances no pool needs. In a surge there are none and a wave gives way: a
// maintained instance arrives two seconds later.
func (v *view) spare() int {
	spare := v.freeCount(v.headroom)
	for pool, p := range v.pools {
		spare += v.supply(pool) - p.low
	}
	return spare
}

// short reports whether a wave must continue although pools need its instances.
func (v *view) short(w *waveState, left []string) bool {
	off := 0 // or idle, so that they need not be emptied
	for _, name := range left {
		off += btoi(!v.busy(v.instances[name]))
	}
	takes := w.rounds(off)*(v.maintenanceTime+offTime) + w.rounds(len(left)-off)*(v.maintenanceTime+emptyTime) + waveSlack
	return v.now.Sub(w.seen)+takes > w.TimeLimit
}

// rounds returns how many rounds of MaxConcurrent instances are needed for a number of instances.
func (w *waveState) rounds(n int) time.Duration {
	if w.MaxConcurrent <= 0 {
		return time.Duration(btoi(n > 0))
	}
	return time.Duration((n + w.MaxConcurrent - 1) / w.MaxConcurrent)
}
