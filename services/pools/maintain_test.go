// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pools

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
)

const testPeriod = 100 * time.Hour

// cycle maintains a fleet for a while in steps of a quarter of an hour, and
// returns how many instances were moved.
func (y *yard) cycle(t *testing.T, d time.Duration) (moves int) {
	t.Helper()
	for end := y.now.Add(d); y.now.Before(end); y.now = y.now.Add(15 * time.Minute) {
		for range 3 {
			for _, r := range y.step().Records {
				if r.Move != nil || r.Drain != nil && r.Drain.To != "" {
					moves++
				}
			}
			y.idle()
		}
		y.reboot()
		for _, p := range y.s.Catalog.Pools() {
			assert.Assert(t, y.s.Headroom(p).Spare() >= 0, "pool %s would not survive a further rack", p.Name)
		}
	}
	return moves
}

// tight returns pools that hold one instance beyond what must stay.
func tight(pools, size int) []manifest.Pool {
	var list []manifest.Pool
	for n := range pools {
		list = append(list, pool(fmt.Sprintf("p%d", n), size, size-1))
	}
	return list
}

// assertMaintained fails unless every instance was rebooted since a time.
func (y *yard) assertMaintained(t *testing.T, since time.Time) {
	t.Helper()
	for id, i := range y.s.Instances.All() {
		assert.Assert(t, i.MaintainedAt.After(since), "%s of %s was not maintained", id, i.Pool)
	}
}

// TestLentInstanceStaysUntilThePoolIsDone: five pools without room share one
// spare worker; each must be lent it, or one that it stands in for, and that
// should be all the moves there are.
func TestLentInstanceStaysUntilThePoolIsDone(t *testing.T) {
	y := newYard(4, tight(5, 3)...)
	y.step()
	y.maintain(testPeriod)
	y.now = y.now.Add(testPeriod * 8 / 10)
	moves := y.cycle(t, testPeriod*2/10)
	y.assertMaintained(t, begin.Add(time.Hour))
	assert.Assert(t, moves <= 10, "%d moves for five pools", moves)
}

// TestInstanceInTheWrongRackIsNotLent: the only spare worker stands beside an
// instance of the pool, so that lending it would make no room.
func TestInstanceInTheWrongRackIsNotLent(t *testing.T) {
	y := newYard(2, pool("a", 2, 1))
	for id, i := range y.s.Instances.All() {
		if i.Worker.Rack == "r1" && id != "w004" {
			y.see(id, func(w *fleet.Worker) { w.Condition = fleet.Leaving })
		}
	}
	y.step()
	y.maintain(testPeriod)
	y.now = y.now.Add(testPeriod * 8 / 10)
	// w000 or its like in r0 and w004 in r1 serve; what is spare is in r0.
	p := y.step()
	for _, r := range p.Records {
		assert.Assert(t, r.Move == nil, "%+v was lent in vain", r.Move)
	}
	assert.Assert(t, len(p.Blocked) > 0, "what can't be drained must be said")
}

// TestMoreRacksNearTheEndOfThePeriod: late instances are not kept waiting by
// one rack after another.
func TestMoreRacksNearTheEndOfThePeriod(t *testing.T) {
	for late, want := range map[float64]int{0.81: 1, 0.86: 2, 0.91: 4, 0.96: 8} {
		y := newYard(12, pool("a", 2, 0))
		y.step()
		y.maintain(testPeriod)
		y.now = y.now.Add(time.Duration(float64(testPeriod) * late))
		for range 12 {
			y.step()
		}
		assert.Equal(t, racksUnderWork(y.s), want, "at %g of the period", late)
	}
}

// TestRebootThatHangsHoldsUpNothing: a worker that is listed and never comes
// back from its reboot must not keep the rest of the fleet from maintenance.
func TestRebootThatHangsHoldsUpNothing(t *testing.T) {
	y := newYard(3, pool("a", 2, 0))
	y.step()
	y.maintain(testPeriod)
	y.now = y.now.Add(testPeriod * 81 / 100)
	y.step()
	y.idle()
	y.step()
	hung := make(map[string]bool)
	for id, i := range y.s.Instances.All() {
		hung[id] = i.Phase == state.Rebooting
	}
	assert.Equal(t, racksUnderWork(y.s), 1)
	y.step()
	assert.Equal(t, racksUnderWork(y.s), 1)
	y.now = y.now.Add(rebootLimit + time.Minute)
	y.step()
	assert.Equal(t, racksUnderWork(y.s), 2)
	for id, i := range y.s.Instances.All() {
		assert.Assert(t, !hung[id] || i.Phase == state.Rebooting)
	}
}

// occupy makes a job that may be repeated run on a worker.
func (y *yard) occupy(worker string) {
	i, _ := y.s.Instances.Get(worker)
	id := "job-on-" + worker + "@"
	y.put(record.Record{Submit: &record.Submit{ID: id, Job: manifest.Job{Name: id, Team: "t", Pool: i.Pool, Repeatable: true}}},
		record.Record{Place: &record.Place{ID: id, Attempt: 1, Worker: worker}})
}

// TestJobsAreLeftAlone: of alike instances those on which nothing runs are
// moved and maintained first, and a job's worker not before it is due.
func TestJobsAreLeftAlone(t *testing.T) {
	y := newYard(1, pool("a", 4, 0))
	y.step()
	for _, id := range []string{"w000", "w001", "w003"} {
		y.occupy(id)
	}
	y.apply(pool("a", 3, 0), pool("b", 1, 0))
	p := y.step()
	assert.Equal(t, len(p.Records), 1)
	assert.Equal(t, p.Records[0].Drain.Worker, "w002", "the idle one is moved")

	y = newYard(3, pool("a", 12, 0))
	y.step()
	y.maintain(testPeriod)
	for n := range 8 { // r0 and r1
		y.occupy(fmt.Sprintf("w%03d", n))
	}
	y.now = y.now.Add(testPeriod * 81 / 100)
	y.step()
	for _, i := range y.s.OutOfService() {
		assert.Equal(t, i.Worker.Rack, "r2", "jobs run in the other racks")
	}
	assert.Equal(t, racksUnderWork(y.s), 1)
}

func TestCalendar(t *testing.T) {
	y := newYard(2, pool("a", 2, 0))
	assert.Equal(t, len(Calendar(y.s, y.s.Catalog)), 0)
	y.maintain(testPeriod)
	y.now = y.now.Add(10 * time.Hour)
	for n := range 4 { // r0
		y.see(fmt.Sprintf("w%03d", n), func(w *fleet.Worker) { w.BootCount++ })
	}
	y.now = y.now.Add(time.Hour)
	y.see("w001", func(w *fleet.Worker) { w.BootCount++ })
	y.see("w007", func(w *fleet.Worker) { w.Condition = fleet.Gone })
	assert.DeepEqual(t, Calendar(y.s, y.s.Catalog), []RackDue{
		{DataCenter: "h1", Rack: "r1", Instances: 3, From: begin.Add(80 * time.Hour), By: begin.Add(100 * time.Hour)},
		{DataCenter: "h0", Rack: "r0", Instances: 4, From: begin.Add(90 * time.Hour), By: begin.Add(110 * time.Hour)},
	})
}

// TestPlanIsTheSameForTheSameInput: two entries that plan on one state must not
// differ, or each would overtake the other.
func TestPlanIsTheSameForTheSameInput(t *testing.T) {
	y := newYard(12, pool("a", 22, 18), pool("b", 22, 18))
	y.step()
	y.maintain(testPeriod)
	y.now = y.now.Add(testPeriod * 96 / 100)
	most := 0
	for n := range 60 {
		want := MakePlan(y.s, "e", 1, y.now)
		for range 10 {
			assert.DeepEqual(t, MakePlan(y.s, "e", 1, y.now), want)
		}
		y.step()
		most = max(most, racksUnderWork(y.s))
		if n%3 == 2 {
			y.idle()
			y.reboot()
		}
		y.now = y.now.Add(time.Minute)
	}
	assert.Assert(t, most > 1, "racks must compete for the budget")
}
