// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/services/port"
)

// fleetOrders are the orders a second that a platform takes, by the size of its fleet.
var fleetOrders = map[int]float64{30: 64, 300: 215, 1000: 310, 6000: 590}

// servedDay is a scripted day of a fleet with four pools and the pool whose instances are off, all of the
// same size.
type servedDay struct {
	*scriptedLoad
	began time.Time
	steps int
	idle  float64 // seconds of instances in pools without a task
	late  float64 // seconds that tasks have waited
}

// newServedDay returns a day of a fleet of a number of instances.
func newServedDay(instances int) *servedDay {
	pools := map[string]int{"off": instances / 5}
	for p := range 4 {
		pools[fmt.Sprint("p", p)] = instances / 5
	}
	d := &servedDay{scriptedLoad: newScriptedFleet(1, pools)}
	d.slack, d.ordersPerSecond, d.began = 0, fleetOrders[instances], d.now
	return d
}

// play plays the day for a time: each pool gets a part of the work that a fifth of the fleet can do.
func (d *servedDay) play(takes time.Duration, part func(pool string) float64, eachStep func()) {
	full := float64(len(d.instances)/5*tasksAWorker*taskCPU) / 1000 / meanTaskTime
	for end := d.now.Add(takes); d.now.Before(end); d.now = d.now.Add(loadStep) {
		for _, pool := range slices.Sorted(maps.Keys(d.pools)) {
			if p := part(pool); p > 0 {
				d.arrive(pool, p*full)
			}
			d.late += float64(d.waiting[pool]) * loadStep.Seconds()
		}
		d.run()
		if d.steps%3 == 0 {
			d.plan()
		}
		d.steps++
		for name, w := range d.workers {
			d.idle += float64(btoi(d.instances[name].Pool != d.headroom && len(w.tasks) == 0)) * loadStep.Seconds()
		}
		if eachStep != nil {
			eachStep()
		}
	}
}

// setEverySecond sets the condition of every second instance.
func (d *servedDay) setEverySecond(c port.Condition) {
	for n, name := range d.names {
		i := d.instances[name]
		if n%2 == 0 {
			i.Condition = c
		}
		d.instances[name] = i
	}
}

// ready returns the workers of a pool on which tasks may be placed.
func (d *servedDay) ready(pool string) int {
	n := 0
	for name, w := range d.workers {
		n += btoi(d.instances[name].Pool == pool && !w.cordon)
	}
	return n
}

// noCalls is a time in which no work arrives.
func noCalls(string) float64 { return 0 }

// surgeOf returns a time in which a pool gets a part of what a fifth of the fleet can do, and the others a
// twentieth of that.
func surgeOf(surging string, part float64) func(string) float64 {
	return func(pool string) float64 {
		if pool == surging {
			return part
		}
		return part / 20
	}
}

// eachFleet runs a test for each size of fleet.
func eachFleet(t *testing.T, test func(t *testing.T, d *servedDay, stood int)) {
	for _, instances := range []int{30, 300, 1000, 6000} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) { test(t, newServedDay(instances), instances/5) })
	}
}

// TestDayThatBeginsInASurge guards against pools that are emptied before their first call. The holder
// begins twelve seconds before it; then one pool at once gets 0.9 of what its instances can do, and the
// others a twentieth of that. Half of the instances come up two seconds after the holder's first plan.
func TestDayThatBeginsInASurge(t *testing.T) {
	eachFleet(t, func(t *testing.T, d *servedDay, stood int) {
		d.setEverySecond(port.Down)
		d.play(2*time.Second, noCalls, nil)
		d.setEverySecond(port.Up)
		d.play(10*time.Second, noCalls, nil)
		sum, steps, before := 0.0, 0.0, d.late
		d.play(time.Second, surgeOf("p0", 0.9), func() { sum, steps = sum+float64(d.ready("p0")), steps+1 })
		t.Logf("%.0f of %d ready in the first second, tasks have waited for %.0f s, %d moves", sum/steps, stood, d.late-before, d.moves)
		assert.Assert(t, sum/steps >= 0.95*float64(stood), "%.0f of %d instances are ready in the first second", sum/steps, stood)
	})
}

// TestDayThatBeginsInATrough guards against pools that keep what they do not need: twelve seconds after
// the holder began, each pool gets a twentieth of what its instances can do.
func TestDayThatBeginsInATrough(t *testing.T) {
	eachFleet(t, func(t *testing.T, d *servedDay, stood int) {
		d.play(12*time.Second, noCalls, nil)
		before, moves := d.idle, d.moves
		d.play(8*time.Second, surgeOf("", 1), nil)
		t.Logf("%.1f s idle for each of %d, %d moves before and %d after", (d.idle-before)/float64(4*stood), 4*stood, moves, d.moves-moves)
		const overhead = 2 * period // until the next plan, and until its worker is cordoned
		leaves := learnTime + typicalMoveTime + overhead + d.orderDelay(4*stood)/2
		spare := 8 * max(maxSpare, spareOfFleet*float64(5*stood)) * 4
		assert.Assert(t, d.idle-before <= leaves.Seconds()*float64(4*stood)+spare, "%.0f s of %d instances", d.idle-before, 4*stood)
	})
}

// TestPoolWithoutCallsLetsGo guards against instances that idle without end: no work arrives at all.
func TestPoolWithoutCallsLetsGo(t *testing.T) {
	eachFleet(t, func(t *testing.T, d *servedDay, stood int) {
		d.play(unknownTimes*DefaultMoveWorth-time.Second, noCalls, nil)
		assert.Equal(t, d.moves, 0)
		d.play(2*time.Second, noCalls, nil)
		assert.Assert(t, d.supply("p0") <= int(max(maxSpare, spareOfFleet*float64(5*stood)))+1, "%d of %d", d.supply("p0"), stood)
	})
}
