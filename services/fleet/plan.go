// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/evacuation"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// view is the input of a plan.
type view struct {
	now             time.Time
	listedAt        time.Time     // when the reading of the instances began
	planTime        time.Duration // that the newest plan took
	instances       map[string]port.Instance
	names           []string // of the instances, in order; nil if they are not sorted yet
	pools           map[string]*poolState
	headroom        string // the pool whose instances are off, "" for none
	evacuated       evacuation.List
	waves           []*waveState
	actions         map[string]*action    // by instance
	maintenanceTime time.Duration         // duration of a maintenance
	moveWorth       time.Duration         // how long an idle instance is kept, 0 for the default
	barred          map[barredMove]string // moves that the platform rejects, and an instance whose order it has rejected
	needed          map[string]time.Time  // until when instances are not moved since their pools can't do without them, by name
	counts          *counts               // of the current or the newest plan

	ordersPerSecond     float64               // that the platform accepts, 0 for no limit
	coming              map[string]arrival    // instances on their way to pools, by name
	moves, maintenances observed              // from an order until its instance serves
	prospects           map[string]*prospects // by pool, of the newest plan
}

// barredMove is a move that the platform rejects: instances of a kind to a pool.
type barredMove struct{ kind, pool string }

// bars reports whether the platform rejects moves of a kind to a pool, as far as is known.
func (v *view) bars(kind, pool string) bool {
	_, barred := v.barred[barredMove{kind, pool}]
	return barred
}

// liftBars admits moves again whose rejected instance is not listed any more: the platform rejects an order in the
// same way if its instance is gone.
func (v *view) liftBars() {
	maps.DeleteFunc(v.barred, func(_ barredMove, instance string) bool {
		_, listed := v.instances[instance]
		return !listed
	})
}

// kind returns an instance's kind, which is its first label.
func kind(i port.Instance) string {
	if len(i.Labels) == 0 {
		return ""
	}
	return i.Labels[0]
}

// plan returns the actions to begin now.
func (v *view) plan() []*action {
	v.liftBars()
	v.count()
	size := v.smallest()
	for name, p := range v.pools {
		n := needsOf(p.report, size, len(v.instances))
		p.follow(n, v.supply(name))
		arrivals := shareOf(p.report.ArrivalLoad, size)
		p.surge.follow(float64(n.hard)-shareOf(p.report.Lasting, size)*spareShare, arrivals, p.report.Rising, v.now)
	}
	v.keep()
	v.expect()
	began := v.maintain()
	began = append(began, v.takeOut()...)
	began = append(began, v.move()...)
	v.foresee()
	return began
}

// begin returns a new action on an instance.
func (v *view) begin(i port.Instance, to string, number int) *action {
	return &action{instance: i.Name, worker: i.Worker, from: i.Pool, to: to, wave: number, began: v.now}
}

// level returns how many instances a pool is to have.
func (v *view) level(pool string) int {
	if p := v.pools[pool]; p != nil {
		return max(p.level, p.expected)
	}
	return 0
}

// move begins moves of instances to the pools that need them. Instances that no pool needs move to
// the pool whose instances are off.
func (v *view) move() []*action {
	var began []*action
	began = append(began, v.fillLabels()...)
	began = append(began, v.fill((*poolState).hardNeed)...)
	began = append(began, v.balance()...)
	began = append(began, v.exchange()...)
	began = append(began, v.fill((*poolState).softNeed)...)
	if v.headroom == "" {
		return began
	}
	pending := v.leavePending()
	for _, pool := range slices.Sorted(maps.Keys(v.pools)) {
		for _, i := range v.free(pool) {
			if v.supply(pool) <= v.level(pool)+v.swaps(pool) || pending <= 0 {
				break
			}
			if !v.canSpare(pool, i) {
				continue
			}
			a := v.begin(i, v.headroom, 0)
			v.add(a)
			began = append(began, a)
			pending--
		}
	}
	return began
}

// leaveAhead is how long the orders of instances that are to be off may take to be sent: while an instance
// waits for its order it serves no pool.
const leaveAhead = 500 * time.Millisecond

// leavePending returns how many more instances may wait for the orders that switch them off.
func (v *view) leavePending() int {
	if v.ordersPerSecond <= 0 {
		return len(v.instances)
	}
	pending := max(1, int(v.ordersPerSecond*leaveAhead.Seconds()))
	for _, a := range v.actions {
		pending -= btoi(a.to == v.headroom && a.stage == emptying)
	}
	return pending
}

// takeOut begins moves of idle instances in data centres under evacuation to the pool whose instances
// are off: they serve no pool until the evacuation ends.
func (v *view) takeOut() []*action {
	var began []*action
	if v.headroom == "" {
		return nil
	}
	for pool := range v.pools {
		for i := range v.each(v.counts.evacuated[pool]) {
			if w := v.worker(i); w == nil || w.Runs > 0 {
				continue
			}
			a := v.begin(i, v.headroom, 0)
			v.add(a)
			began = append(began, a)
		}
	}
	return began
}

// fill begins moves to the pools that lack instances by the given need, from the pool whose
// instances are off and from pools with more than that need.
func (v *view) fill(need func(*poolState) int) []*action {
	var began []*action
	var without []string // pools for which no instance is left
	for {
		pool, lack := v.largestLack(need, without)
		if lack <= 0 {
			return began
		}
		i, found := v.findSource(pool, "", need)
		if !found {
			without = append(without, pool)
			continue
		}
		a := v.begin(i, pool, 0)
		v.add(a)
		began = append(began, a)
	}
}

// fillLabels begins moves of instances with labels to the pools whose tasks require the labels.
func (v *view) fillLabels() []*action {
	var began []*action
	for pool, p := range v.pools {
		for label := range p.report.Labels {
			for range v.lackLabel(pool, label) {
				i, found := v.findSource(pool, label, (*poolState).hardNeed)
				if !found {
					break
				}
				a := v.begin(i, pool, 0)
				v.add(a)
				began = append(began, a)
			}
		}
	}
	return began
}

// lackLabel returns how many more instances with a label a pool needs.
func (v *view) lackLabel(pool, label string) int {
	p := v.pools[pool]
	if p == nil {
		return 0
	}
	capacity, needed := p.report.Labels[label]
	if !needed {
		return 0
	}
	return max(instances(capacity, v.smallest()), p.report.MinLabelled[label], 1) - v.counts.labelled[poolLabel{pool, label}]
}

// canSpare reports whether a pool can spare an instance with regard to its labels and to what may run nowhere else.
func (v *view) canSpare(pool string, i port.Instance) bool {
	if v.now.Before(v.needed[i.Name]) {
		return false
	}
	for _, label := range i.Labels {
		if p := v.pools[pool]; p != nil {
			if _, needed := p.report.Labels[label]; needed && v.lackLabel(pool, label) >= 0 {
				return false
			}
		}
	}
	return true
}

// largestLack returns the pool that lacks the most instances, and how many, among all but some pools.
func (v *view) largestLack(need func(*poolState) int, without []string) (string, int) {
	best, most := "", 0
	for pool, p := range v.pools {
		if slices.Contains(without, pool) {
			continue
		}
		lack := need(p) + v.swaps(pool) - v.supply(pool)
		if lack > most || lack == most && lack > 0 && pool < best {
			best, most = pool, lack
		}
	}
	return best, most
}

// has reports whether an instance has a label.
func has(i port.Instance, label string) bool { return slices.Contains(i.Labels, label) }

// findSource returns the instance to move to a pool, with a label unless that is "": an idle one that another
// pool only keeps, then an instance that is off, otherwise one that another pool does not need now.
func (v *view) findSource(pool, label string, need func(*poolState) int) (port.Instance, bool) {
	if label == "" {
		if i, found := v.findIdle(pool); found {
			return i, true
		}
	}
	if v.headroom != "" {
		if i, found := v.findOffWith(pool, label); found {
			return i, true
		}
	}
	from, most := "", 0
	for other, p := range v.pools {
		more := v.supply(other) - need(p) - keepFrom
		if other != pool && (more > most || more == most && more > 0 && other < from) {
			from, most = other, more
		}
	}
	for i := range v.each(v.counts.free[from]) {
		if v.allowed(i, pool) && v.canSpare(from, i) && (label == "" || has(i, label)) {
			return i, true
		}
	}
	return port.Instance{}, false
}

// findOffWith returns the instance that is off and suits a pool best, with a label unless that is "".
func (v *view) findOffWith(pool, label string) (port.Instance, bool) {
	if label == "" {
		return v.findOff(pool)
	}
	var best port.Instance
	found := false
	for i := range v.each(v.counts.free[v.headroom]) {
		if v.allowed(i, pool) && has(i, label) && (!found || v.better(pool, i, best)) {
			best, found = i, true
		}
	}
	return best, found
}

// allowed reports whether an instance may be moved to a pool, as far as is known.
func (v *view) allowed(i port.Instance, pool string) bool {
	return !v.bars(kind(i), pool)
}

// better reports whether one instance suits a pool better than another: first an instance without
// pending wave maintenance, then one in a rack with fewer instances of the pool.
func (v *view) better(pool string, a, b port.Instance) bool {
	if x, y := v.due(a.Name), v.due(b.Name); x != y {
		return !x
	}
	if x, y := v.inRack(pool, a), v.inRack(pool, b); x != y {
		return x < y
	}
	return a.Name < b.Name
}

func rack(i port.Instance) string {
	w := worker.Worker{Labels: i.Labels}
	return w.Rack()
}

// maxIdleLooked is how many idle instances are compared for one move.
const maxIdleLooked = 8

// findIdle returns an idle instance that another pool keeps beyond its need: it would be off before long, so
// that one move serves in place of two.
func (v *view) findIdle(pool string) (port.Instance, bool) {
	from, most := "", 0
	for other, p := range v.pools {
		more := v.supply(other) - p.softNeed() - v.swaps(other) - keepFrom
		if other != pool && (more > most || more == most && more > 0 && other < from) {
			from, most = other, more
		}
	}
	var best port.Instance
	looked := 0
	for i := range v.each(v.counts.free[from]) {
		if w := v.worker(i); w == nil || w.Runs > 0 || looked == maxIdleLooked {
			break
		}
		looked++
		if v.allowed(i, pool) && v.canSpare(from, i) && (best.Name == "" || v.better(pool, i, best)) {
			best = i
		}
	}
	return best, best.Name != ""
}
