// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/services/port"
)

// prospects is what a pool has and will have, as it is reported to the pool's owner.
type prospects struct {
	arriving  []capacity.Change // on its way to the pool
	potential []capacity.Change // what the fleet can bring if it is requested now
	Progress
}

// Progress tells how far the instances of a pool are.
type Progress struct {
	Serving  int // workers on which tasks may be placed
	OnWay    int // instances whose orders were sent, or whose workers are not known yet
	Promised int // instances whose workers are still being emptied
	Kept     int // instances beyond what the pool needs
}

// plus returns the sum of two numbers of instances.
func (p Progress) plus(o Progress) Progress {
	return Progress{p.Serving + o.Serving, p.OnWay + o.OnWay, p.Promised + o.Promised, p.Kept + o.Kept}
}

// arrival is an instance that is to serve a pool and has no worker there on which tasks may be placed.
type arrival struct {
	pool       string
	maintained bool      // by a maintenance, else by a move
	since      time.Time // when its order was first sent, zero before
	dueSince   time.Time // since when its order is due, as its worker is empty, and was not sent; zero for not
	ordered    bool      // since is known, and not only when it was first seen
}

// The time that an instance takes from its order until its worker serves, before it was observed.
const (
	// typicalMoveTime is the time for a move.
	typicalMoveTime = 1700 * time.Millisecond
	// workerTime is the time until a worker that has just started is known to its pool's owner.
	workerTime = 500 * time.Millisecond
	// arrivalGiveUp is how much later than expected an instance still counts as on its way.
	arrivalGiveUp = 3 * time.Second
	// minArrivalTime is the least time that an instance on its way is expected to take still.
	minArrivalTime = 50 * time.Millisecond
)

// observed is the moving mean of observed times.
type observed struct{ mean time.Duration }

// observedWeight is the weight of a new observation.
const observedWeight = 0.1

// add adds an observation to a mean that is the given one before the first.
func (o *observed) add(took, before time.Duration) {
	o.mean = o.or(before)
	o.mean += time.Duration(observedWeight * float64(took-o.mean))
}

// or returns the mean, or the given one before the first observation.
func (o *observed) or(before time.Duration) time.Duration {
	if o.mean == 0 {
		return before
	}
	return o.mean
}

// serveTime returns how long an instance takes from its order until its worker serves.
func (v *view) serveTime(maintained bool) time.Duration {
	if maintained {
		return v.maintenances.or(v.maintenanceTime + workerTime)
	}
	return v.moves.or(typicalMoveTime)
}

// followArrivals updates which instances are on their way to pools.
func (v *view) followArrivals() {
	next := make(map[string]arrival)
	for name, a := range v.actions {
		pool := a.to
		if pool == "" {
			pool = a.from
		}
		if v.pools[pool] == nil || v.evacuated.Has(v.instances[name].DataCenter) {
			continue
		}
		c := arrival{pool: pool, maintained: a.to == ""}
		before := v.coming[name]
		if before.pool != c.pool || before.maintained != c.maintained {
			before = arrival{}
		}
		switch {
		case a.stage != emptying:
			c.since, c.ordered = before.since, true
			if !before.ordered {
				c.since = a.sent
			}
		case v.emptyAfter(v.instances[name]) == 0:
			c.dueSince = before.dueSince
			if c.dueSince.IsZero() {
				c.dueSince = v.now
			}
		}
		next[name] = c
	}
	for name, i := range v.instances {
		if v.actions[name] != nil || v.pools[i.Pool] == nil || i.Condition == port.Down || v.evacuated.Has(i.DataCenter) {
			continue
		}
		c, known := v.coming[name]
		w := v.worker(i)
		if w != nil && (w.Open || !known) {
			v.observeArrival(c, known && w.Open)
			continue
		}
		if !known || c.pool != i.Pool || c.since.IsZero() {
			maintained := i.Condition == port.Maintenance
			c = arrival{pool: i.Pool, maintained: maintained, since: v.now.Add(workerTime - v.serveTime(maintained))}
		}
		next[name] = c
	}
	v.coming = next
}

// observeArrival learns how long an instance took that serves now.
func (v *view) observeArrival(c arrival, serves bool) {
	switch {
	case !serves || !c.ordered:
	case c.maintained:
		v.maintenances.add(v.now.Sub(c.since), v.maintenanceTime+workerTime)
	default:
		v.moves.add(v.now.Sub(c.since), typicalMoveTime)
	}
}

// emptyAfter returns how long the worker of an instance takes until it is empty, as of now.
func (v *view) emptyAfter(i port.Instance) time.Duration {
	if i.Worker == "" {
		return 0
	}
	w := v.worker(i)
	if w == nil {
		return emptyTime
	}
	return max(w.EmptyAfter-v.now.Sub(v.pools[i.Pool].reportedAt), 0)
}

// servesAfter returns how long an instance on its way takes until it serves, and whether it is still
// expected to.
func (v *view) servesAfter(name string, c arrival) (time.Duration, bool) {
	takes := v.serveTime(c.maintained)
	if c.since.IsZero() {
		late := time.Duration(0)
		if !c.dueSince.IsZero() {
			late = v.now.Sub(c.dueSince)
		}
		return v.emptyAfter(v.instances[name]) + takes, late <= arrivalGiveUp
	}
	remaining := takes - v.now.Sub(c.since)
	return max(remaining, minArrivalTime), remaining > -arrivalGiveUp
}

// foresee computes what each pool has and will have, after a plan.
func (v *view) foresee() {
	v.followArrivals()
	v.prospects = make(map[string]*prospects, len(v.pools))
	for name, p := range v.pools {
		of := &prospects{Progress: Progress{Kept: max(v.supply(name)-p.softNeed(), 0)}}
		for _, w := range p.report.Workers {
			of.Serving += btoi(w.Open)
		}
		v.prospects[name] = of
	}
	for name, c := range v.coming {
		of := v.prospects[c.pool]
		after, expected := v.servesAfter(name, c)
		if of == nil || !expected {
			continue
		}
		of.arriving = append(of.arriving, capacity.Change{After: after, Size: v.instances[name].Capacity})
		of.OnWay += btoi(!c.since.IsZero())
		of.Promised += btoi(c.since.IsZero())
	}
	off := v.offByKind()
	for pool, of := range v.prospects {
		of.arriving = summarize(of.arriving)
		of.potential = v.potential(pool, off)
	}
}

// offByKind returns the capacity of the instances that are off, by when it would serve, by kind.
func (v *view) offByKind() map[string][]capacity.Change {
	all := make(map[string][]capacity.Change)
	if v.headroom == "" {
		return all
	}
	n := 0
	for i := range v.each(v.counts.free[v.headroom]) {
		n++
		after := v.serveTime(false) + v.orderDelay(n)
		all[kind(i)] = append(all[kind(i)], capacity.Change{After: after, Size: i.Capacity})
	}
	for kind, list := range all {
		all[kind] = summarize(list)
	}
	return all
}

// orderDelay returns how long the order of the n-th instance waits for the platform to accept it.
func (v *view) orderDelay(n int) time.Duration {
	if v.ordersPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / v.ordersPerSecond * float64(time.Second)).Truncate(time.Second / 2)
}

// potential returns what the fleet can bring to a pool if it is requested now: instances that are off or
// that other pools do not need, less what those need that lack instances as well.
func (v *view) potential(pool string, off map[string][]capacity.Change) []capacity.Change {
	var all []capacity.Change
	for kind, list := range off {
		if !v.bars(kind, pool) {
			all = append(all, list...)
		}
	}
	lack, lacks := 0, 0
	for other, p := range v.pools {
		missing := max(p.hard-v.supply(other), 0)
		lacks += missing
		if other == pool {
			lack = missing
			continue
		}
		more := v.supply(other) - max(p.low, p.hard) - keepFrom
		for i := range v.each(v.counts.free[other]) {
			if more <= 0 {
				break
			}
			if v.allowed(i, pool) && v.canSpare(other, i) {
				all = append(all, capacity.Change{After: v.emptyAfter(i) + v.serveTime(false), Size: i.Capacity})
				more--
			}
		}
	}
	available := 0.0
	for _, c := range all {
		available += shareOf(c.Size, v.smallest())
	}
	if available == 0 {
		return nil
	}
	part := max(1-float64(lacks-lack)/available, 0)
	if float64(lacks) > available {
		part = float64(lack) / float64(lacks)
	}
	all = summarize(all)
	for n := range all {
		all[n].Size = all[n].Size.Scale(part)
	}
	return all
}

// progress returns how far the instances of all pools are.
func (v *view) progress() Progress {
	var all Progress
	for _, of := range v.prospects {
		all = all.plus(of.Progress)
	}
	return all
}

// maxChanges is how many changes of its capacity a pool's owner is told of.
const maxChanges = 8

// changeStep is the step to which the times of changes are rounded up.
const changeStep = 50 * time.Millisecond

// summarize returns a few changes in place of many, none of them earlier than the capacity that it
// stands for.
func summarize(list []capacity.Change) []capacity.Change {
	for n := range list {
		list[n].After = (list[n].After + changeStep - 1).Truncate(changeStep)
	}
	slices.SortFunc(list, func(a, b capacity.Change) int { return cmp.Compare(a.After, b.After) })
	var few []capacity.Change
	for n, c := range list {
		last := len(few) - 1
		// A change stands for its part of the list at least, and for all that come at its time.
		if last >= 0 && (few[last].After == c.After || n*maxChanges < (last+1)*len(list)) {
			few[last] = capacity.Change{After: c.After, Size: few[last].Size.Plus(c.Size)}
			continue
		}
		few = append(few, c)
	}
	return few
}

// told returns the prospects of a pool as of a time after the plan.
func (v *view) told(pool string, at time.Time) (arriving, potential []capacity.Change) {
	of := v.prospects[pool]
	if of == nil {
		return nil, nil
	}
	for _, c := range of.arriving {
		arriving = append(arriving, capacity.Change{After: max(c.After-at.Sub(v.now), 0), Size: c.Size})
	}
	return arriving, of.potential
}
