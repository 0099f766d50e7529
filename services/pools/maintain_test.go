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

// runMaintenance maintains the cluster for some time in steps of a quarter of an hour, and returns
// the number of instances moved.
func (y *cluster) runMaintenance(t *testing.T, d time.Duration) (moves int) {
	t.Helper()
	for end := y.now.Add(d); y.now.Before(end); y.now = y.now.Add(15 * time.Minute) {
		for range 3 {
			for _, r := range y.runPlan().Records {
				if r.Move != nil || r.Drain != nil && r.Drain.To != "" {
					moves++
				}
			}
			y.reportIdle()
		}
		y.completeReboots()
		for _, p := range y.s.Catalog.Pools() {
			assert.Assert(t, y.s.Headroom(p).Spare() >= 0, "pool %s would not survive the loss of another rack", p.Name)
		}
	}
	return moves
}

// tightPools returns pools with one instance beyond those that must stay available.
func tightPools(pools, size int) []manifest.Pool {
	var list []manifest.Pool
	for n := range pools {
		list = append(list, pool(fmt.Sprintf("p%d", n), size, size-1))
	}
	return list
}

// assertMaintained fails unless every instance was rebooted after a time.
func (y *cluster) assertMaintained(t *testing.T, since time.Time) {
	t.Helper()
	for id, i := range y.s.Instances.All() {
		assert.Assert(t, i.MaintainedAt.After(since), "%s of %s was not maintained", id, i.Pool)
	}
}

// TestLentInstanceStaysUntilThePoolIsDone checks that five pools without free capacity share one
// spare worker. Each must be lent that worker, or one that it replaces, and there should be no
// other moves.
func TestLentInstanceStaysUntilThePoolIsDone(t *testing.T) {
	y := newCluster(4, tightPools(5, 3)...)
	y.runPlan()
	y.declareMaintenance(testPeriod)
	y.now = y.now.Add(testPeriod * 8 / 10)
	moves := y.runMaintenance(t, testPeriod*2/10)
	y.assertMaintained(t, begin.Add(time.Hour))
	assert.Assert(t, moves <= 10, "%d moves for five pools", moves)
}

// TestInstanceInSameRackIsNotLent checks that the only spare worker is not lent if it is in the
// same rack as an instance of the pool, since that would not allow a drain.
func TestInstanceInSameRackIsNotLent(t *testing.T) {
	y := newCluster(2, pool("a", 2, 1))
	for id, i := range y.s.Instances.All() {
		if i.Worker.Rack == "r1" && id != "w004" {
			y.updateWorker(id, func(w *fleet.Worker) { w.Condition = fleet.Leaving })
		}
	}
	y.runPlan()
	y.declareMaintenance(testPeriod)
	y.now = y.now.Add(testPeriod * 8 / 10)
	// w000 or another worker in r0 and w004 in r1 serve; the spare workers are in r0.
	p := y.runPlan()
	for _, r := range p.Records {
		assert.Assert(t, r.Move == nil, "%+v was lent without effect", r.Move)
	}
	assert.Assert(t, len(p.Blocked) > 0, "instances that can't be drained must be reported")
}

// TestMoreRacksNearEndOfPeriod checks that near the end of the period several racks are maintained
// at once, so that instances do not become overdue while they wait for one rack after another.
func TestMoreRacksNearEndOfPeriod(t *testing.T) {
	for late, want := range map[float64]int{0.81: 1, 0.86: 2, 0.91: 4, 0.96: 8} {
		y := newCluster(12, pool("a", 2, 0))
		y.runPlan()
		y.declareMaintenance(testPeriod)
		y.now = y.now.Add(time.Duration(float64(testPeriod) * late))
		for range 12 {
			y.runPlan()
		}
		assert.Equal(t, racksOutOfService(y.s), want, "at %g of the period", late)
	}
}

// TestHangingRebootDelaysNoOtherRack checks that a worker which is listed but never returns from
// its reboot does not keep the other racks from maintenance.
func TestHangingRebootDelaysNoOtherRack(t *testing.T) {
	y := newCluster(3, pool("a", 2, 0))
	y.runPlan()
	y.declareMaintenance(testPeriod)
	y.now = y.now.Add(testPeriod * 81 / 100)
	y.runPlan()
	y.reportIdle()
	y.runPlan()
	hung := make(map[string]bool)
	for id, i := range y.s.Instances.All() {
		hung[id] = i.Phase == state.Rebooting
	}
	assert.Equal(t, racksOutOfService(y.s), 1)
	y.runPlan()
	assert.Equal(t, racksOutOfService(y.s), 1)
	y.now = y.now.Add(rebootLimit + time.Minute)
	y.runPlan()
	assert.Equal(t, racksOutOfService(y.s), 2)
	for id, i := range y.s.Instances.All() {
		assert.Assert(t, !hung[id] || i.Phase == state.Rebooting)
	}
}

// placeJob places a repeatable job on a worker.
func (y *cluster) placeJob(worker string) {
	i, _ := y.s.Instances.Get(worker)
	id := "job-on-" + worker + "@"
	y.put(record.Record{Submit: &record.Submit{ID: id, Job: manifest.Job{Name: id, Team: "t", Pool: i.Pool, Repeatable: true}}},
		record.Record{Place: &record.Place{ID: id, Attempt: 1, Worker: worker}})
}

// TestInstancesWithJobsComeLast checks that among equal instances those without job runs are moved
// and maintained first, and that a worker with a job is not maintained before it is nearly overdue.
func TestInstancesWithJobsComeLast(t *testing.T) {
	y := newCluster(1, pool("a", 4, 0))
	y.runPlan()
	for _, id := range []string{"w000", "w001", "w003"} {
		y.placeJob(id)
	}
	y.apply(pool("a", 3, 0), pool("b", 1, 0))
	p := y.runPlan()
	assert.Equal(t, len(p.Records), 1)
	assert.Equal(t, p.Records[0].Drain.Worker, "w002", "the idle worker is moved")

	y = newCluster(3, pool("a", 12, 0))
	y.runPlan()
	y.declareMaintenance(testPeriod)
	for n := range 8 { // r0 and r1
		y.placeJob(fmt.Sprintf("w%03d", n))
	}
	y.now = y.now.Add(testPeriod * 81 / 100)
	y.runPlan()
	for _, i := range y.s.OutOfService() {
		assert.Equal(t, i.Worker.Rack, "r2", "the other racks run jobs")
	}
	assert.Equal(t, racksOutOfService(y.s), 1)
}

func TestCalendar(t *testing.T) {
	y := newCluster(2, pool("a", 2, 0))
	assert.Equal(t, len(Calendar(y.s, y.s.Catalog)), 0)
	y.declareMaintenance(testPeriod)
	y.now = y.now.Add(10 * time.Hour)
	for n := range 4 { // r0
		y.updateWorker(fmt.Sprintf("w%03d", n), func(w *fleet.Worker) { w.BootCount++ })
	}
	y.now = y.now.Add(time.Hour)
	y.updateWorker("w001", func(w *fleet.Worker) { w.BootCount++ })
	y.updateWorker("w007", func(w *fleet.Worker) { w.Condition = fleet.Gone })
	assert.DeepEqual(t, Calendar(y.s, y.s.Catalog), []RackDue{
		{DataCenter: "h1", Rack: "r1", Instances: 3, From: begin.Add(80 * time.Hour), By: begin.Add(100 * time.Hour)},
		{DataCenter: "h0", Rack: "r0", Instances: 4, From: begin.Add(90 * time.Hour), By: begin.Add(110 * time.Hour)},
	})
}

// TestPlanIsDeterministic checks that the same state always gives the same plan. Otherwise two
// entries that plan on one state would invalidate each other's records.
func TestPlanIsDeterministic(t *testing.T) {
	y := newCluster(12, pool("a", 22, 18), pool("b", 22, 18))
	y.runPlan()
	y.declareMaintenance(testPeriod)
	y.now = y.now.Add(testPeriod * 96 / 100)
	most := 0
	for n := range 60 {
		want := MakePlan(y.s, "e", 1, y.now)
		for range 10 {
			assert.DeepEqual(t, MakePlan(y.s, "e", 1, y.now), want)
		}
		y.runPlan()
		most = max(most, racksOutOfService(y.s))
		if n%3 == 2 {
			y.reportIdle()
			y.completeReboots()
		}
		y.now = y.now.Add(time.Minute)
	}
	assert.Assert(t, most > 1, "racks must compete for the budget")
}
