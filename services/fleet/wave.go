// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
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
	lookAgain = 2 * period      // until the next plan has begun what this one has not
)

// maintain begins the maintenance of instances of waves: first of those that
// are off, then of those that their pool can spare, and of as many others as must begin
// now for the wave to be done in time.
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
		must, spare := v.must(w, left, slots), v.spare()
		for ; slots > 0; slots-- {
			i, found := v.nextDue(due, spare > 0, must > 0)
			if !found {
				break
			}
			a := v.begin(i, "", w.Number)
			v.take(a)
			began = append(began, a)
			due[i.Name] = false
			spare--
			must--
		}
	}
	return began
}

// nextDue returns the instance of a wave to be maintained next: one that is off, else the one
// with the least to move of the pool that is served best. Where none has to be begun now, it is
// one that no pool needs.
func (v *view) nextDue(due map[string]bool, spare, must bool) (port.Instance, bool) {
	if !spare && !must {
		return port.Instance{}, false
	}
	if i, found := firstDue(v.tally.free[v.headroom], due); found && v.headroom != "" {
		return i, true
	}
	var best port.Instance
	from, most := "", 0.0
	for pool := range v.pools {
		if !must && v.supply(pool) <= v.needs(pool) {
			continue
		}
		i, found := firstDue(v.tally.free[pool], due)
		if !found {
			continue
		}
		if s := v.served(pool, -1); from == "" || s > most || s == most && pool < from {
			best, from, most = i, pool, s
		}
	}
	return best, from != ""
}

// firstDue returns the first of some instances whose maintenance a wave asks for yet.
func firstDue(list []port.Instance, due map[string]bool) (port.Instance, bool) {
	for _, i := range list {
		if due[i.Name] {
			return i, true
		}
	}
	return port.Instance{}, false
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

// spare returns how many instances no pool needs. In a rush there are none and a wave
// gives way: an instance that is maintained comes two seconds later.
func (v *view) spare() int {
	spare := len(v.tally.free[v.headroom])
	for pool, p := range v.pools {
		spare += v.supply(pool) - p.need
	}
	return spare
}

// must returns how many instances of a wave have to be begun now, though pools need them: as
// many as could not be done in time if all began with the next plan. Each of its slots is then
// taken by instances that are on, one after the other, and in what is left of the time by
// instances that are off.
func (v *view) must(w *waveState, left []string, slots int) int {
	on, off := 0, 0
	for _, name := range left {
		switch {
		case v.actions[name] != nil && v.actions[name].to == "":
		case v.instances[name].Worker == "":
			off++
		default:
			on++
		}
	}
	all := w.AtOnce
	if all <= 0 {
		all = len(w.Instances)
	}
	within := max(w.Within-v.now.Sub(w.seen)-waveSlack-lookAgain, 0)
	takesOn, takesOff := v.repair+emptyTime, v.repair+offTime
	each := int(within / takesOn)
	fit := max(each*all-(all-slots), 0) // what is under way may last as long again
	mustOn := max(on-fit, 0)
	taken := all
	if each > 0 {
		taken = min(all, (on+each-1)/each)
	}
	fitOff := (all-taken)*int(within/takesOff) + taken*int((within-time.Duration(each)*takesOn)/takesOff)
	return mustOn + max(off-fitOff, 0)
}
