// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pools

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

var begin = time.Date(2026, 3, 2, 1, 0, 0, 0, time.UTC)

// cluster is an in-memory log with workers in racks of four.
type cluster struct {
	s   state.State
	seq uint64
	now time.Time
}

func newCluster(racks int, pools ...manifest.Pool) *cluster {
	y := &cluster{now: begin}
	y.put(record.Record{Join: &record.Join{}})
	g := &record.ListUpdate{Revision: 1}
	for i := range racks * 4 {
		g.Workers = append(g.Workers, fleet.Worker{
			ID: fmt.Sprintf("w%03d", i), DataCenter: fmt.Sprintf("h%d", i/4%3), Rack: fmt.Sprintf("r%d", i/4), Slots: 8, Condition: fleet.Live,
		})
	}
	y.put(record.Record{ListUpdate: g})
	y.apply(pools...)
	return y
}

func (y *cluster) put(records ...record.Record) []state.Verdict {
	y.seq++
	data, err := record.Batch{Writer: "e", Incarnation: 1, Sequence: y.seq, Records: records}.Encode()
	if err != nil {
		panic(err)
	}
	f := y.s.Fold(record.Stored{Offset: y.s.Offset, At: y.now, Data: data})
	y.s = f.State
	return f.Verdicts
}

func (y *cluster) apply(pools ...manifest.Pool) {
	put := []manifest.Object{{Team: &manifest.Team{Name: "t"}}}
	for i := range pools {
		pools[i].Team = "t"
		put = append(put, manifest.Object{Pool: &pools[i]})
	}
	y.put(record.Record{Apply: &record.Apply{Deployment: "d", Base: y.s.Catalog.Version, Put: put}})
}

func (y *cluster) declareMaintenance(period time.Duration) {
	m := &manifest.Maintenance{Name: "m", Period: tomlfile.Duration(period)}
	y.put(record.Record{Apply: &record.Apply{Deployment: "m", Base: y.s.Catalog.Version, Put: []manifest.Object{{Maintenance: m}}}})
}

// runPlan proposes the plan and returns it.
func (y *cluster) runPlan() Plan {
	p := MakePlan(y.s, "e", 1, y.now)
	if len(p.Records) > 0 {
		y.put(p.Records...)
	}
	return p
}

// reportIdle reports every draining instance as idle.
func (y *cluster) reportIdle() {
	for id, i := range y.s.Instances.All() {
		if i.Phase == state.Draining {
			y.put(record.Record{Drained: &record.Drained{Worker: id, Epoch: i.Epoch}})
		}
	}
}

func (y *cluster) updateWorker(id string, change func(*fleet.Worker)) {
	i, _ := y.s.Instances.Get(id)
	change(&i.Worker)
	y.put(record.Record{ListUpdate: &record.ListUpdate{Revision: y.s.ListRevision + 1, Workers: []fleet.Worker{i.Worker}}})
}

func pool(name string, size, available int) manifest.Pool {
	return manifest.Pool{Name: name, Size: size, MinAvailable: available, FailureDomain: manifest.DomainRack}
}

func TestPoolsAreSpreadAcrossRacks(t *testing.T) {
	y := newCluster(6, pool("a", 6, 4), pool("b", 6, 4))
	p := y.runPlan()
	assert.Equal(t, len(p.Shortages), 0)
	for _, name := range []string{"a", "b"} {
		h := y.s.Headroom(y.s.Catalog.Pool(name))
		assert.Equal(t, h.Serving, 6)
		assert.Equal(t, h.LargestDomain, 1, "pool %s has two instances in one rack", name)
	}
	assert.Equal(t, len(y.runPlan().Records), 0, "a second plan moves nothing")
}

func TestShortageIsReported(t *testing.T) {
	y := newCluster(1, pool("a", 9, 1))
	p := y.runPlan()
	assert.Equal(t, len(p.Shortages), 1)
	assert.Equal(t, p.Shortages[0].Present, 4)
}

func TestLostInstanceIsReplacedWhenTheBudgetNeedsIt(t *testing.T) {
	y := newCluster(6, pool("a", 6, 4), pool("b", 6, 5))
	y.runPlan()
	lose := func(name string) {
		i := y.s.PoolInstances(name)[0]
		y.updateWorker(i.Worker.ID, func(w *fleet.Worker) { w.Condition = fleet.Gone })
	}
	lose("a") // 5 instances serve, 4 if a rack is lost: the replacement can wait
	assert.Equal(t, len(y.runPlan().Records), 0)
	lose("b") // 5 instances serve, 4 if a rack is lost: too few
	assert.Equal(t, len(y.runPlan().Records), 1)
	y.now = y.now.Add(2 * MissingGracePeriod)
	assert.Equal(t, len(y.runPlan().Records), 1, "after the grace period it is replaced in any case")
}

func TestMaintenanceOfAllRacks(t *testing.T) {
	y := newCluster(6, pool("a", 6, 4), pool("b", 6, 4))
	y.runPlan()
	y.declareMaintenance(100 * time.Hour)
	y.now = y.now.Add(81 * time.Hour)
	for range 400 {
		y.runPlan()
		assert.Assert(t, racksOutOfService(y.s) <= 1)
		y.reportIdle()
		y.runPlan()
		y.completeReboots()
		for _, p := range y.s.Catalog.Pools() {
			assert.Assert(t, y.s.Headroom(p).Spare() >= 0, "pool %s would not survive the loss of another rack", p.Name)
		}
		y.now = y.now.Add(time.Minute)
	}
	for id, i := range y.s.Instances.All() {
		assert.Assert(t, i.MaintainedAt.After(begin), "%s was not maintained", id)
		assert.Equal(t, i.Phase, state.InService)
	}
}

func racksOutOfService(s state.State) int {
	racks := make(map[rack]bool)
	for _, i := range s.Instances.All() {
		if i.Phase != state.InService {
			racks[rackOf(i)] = true
		}
	}
	return len(racks)
}

// completeReboots brings back the workers that are rebooting.
func (y *cluster) completeReboots() {
	for id, i := range y.s.Instances.All() {
		if i.Phase == state.Rebooting {
			y.updateWorker(id, func(w *fleet.Worker) { w.BootCount++ })
		}
	}
}

func TestWorkerLostDuringReboot(t *testing.T) {
	y := newCluster(6, pool("a", 6, 4))
	y.runPlan()
	y.declareMaintenance(100 * time.Hour)
	y.now = y.now.Add(81 * time.Hour)
	y.runPlan()
	y.reportIdle()
	y.runPlan()
	for id, i := range y.s.Instances.All() {
		if i.Phase == state.Rebooting {
			y.updateWorker(id, func(w *fleet.Worker) { w.Condition = fleet.Gone })
		}
	}
	y.now = y.now.Add(time.Minute)
	y.runPlan()
	assert.Assert(t, racksOutOfService(y.s) >= 1)
	assert.Assert(t, y.s.Headroom(y.s.Catalog.Pool("a")).Spare() >= 0)
}

// TestMoveCountIsMinimal checks over random changes of size that the number of moves equals the
// number of instances that the pools are short of, which no plan can go below.
func TestMoveCountIsMinimal(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		sizes := [3]int{2 + random.IntN(5), 2 + random.IntN(5), 2 + random.IntN(5)}
		y := newCluster(5, pool("a", sizes[0], 1), pool("b", sizes[1], 1), pool("c", sizes[2], 1))
		y.runPlan()
		next := [3]int{2 + random.IntN(5), 2 + random.IntN(5), 2 + random.IntN(5)}
		y.apply(pool("a", next[0], 1), pool("b", next[1], 1), pool("c", next[2], 1))
		bound := 0
		for i := range next {
			bound += max(next[i]-sizes[i], 0)
		}
		moves := 0
		for range 3 {
			for _, r := range y.runPlan().Records {
				if r.Move != nil || r.Drain != nil {
					moves++
				}
			}
			y.reportIdle()
		}
		assert.Equal(t, moves, bound, "from %v to %v", sizes, next)
	}
}

// TestOneInstancePerRack checks that pools get at most one instance in each rack if none has more
// instances than there are racks and together they need no more than there are workers. Otherwise
// more spare capacity would be kept than the budget needs.
func TestOneInstancePerRack(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for range 300 {
		racks := 3 + random.IntN(6)
		var pools []manifest.Pool
		for left := racks * 4; left > 0; {
			size := min(1+random.IntN(racks), left)
			pools = append(pools, pool(fmt.Sprintf("p%d", len(pools)), size, 0))
			left -= size
		}
		y := newCluster(racks, pools...)
		assert.Equal(t, len(y.runPlan().Shortages), 0)
		for _, p := range y.s.Catalog.Pools() {
			assert.Equal(t, y.s.Headroom(p).LargestDomain, 1, "pool %s of %d in %d racks, with %+v", p.Name, p.Size, racks, pools)
		}
	}
}

// TestPoolsAreSpreadAcrossDataCenters checks that no data centre has half of a pool, with data
// centres of five, four and four racks and five pools of ten instances, which leave two workers
// spare.
func TestPoolsAreSpreadAcrossDataCenters(t *testing.T) {
	var pools []manifest.Pool
	for n := range 5 {
		pools = append(pools, pool(fmt.Sprintf("p%d", n), 10, 8))
	}
	y := newCluster(13)
	for id, i := range y.s.Instances.All() {
		dataCenter := "h0"
		switch i.Worker.Rack {
		case "r0", "r1", "r2", "r3":
			dataCenter = "h1"
		case "r4", "r5", "r6", "r7":
			dataCenter = "h2"
		}
		y.updateWorker(id, func(w *fleet.Worker) { w.DataCenter = dataCenter })
	}
	y.apply(pools...)
	y.runPlan()
	for _, p := range y.s.Catalog.Pools() {
		perDataCenter := make(map[string]int)
		for _, i := range y.s.PoolInstances(p.Name) {
			perDataCenter[i.Worker.DataCenter]++
			assert.Assert(t, perDataCenter[i.Worker.DataCenter] <= 4, "pool %s: %v", p.Name, perDataCenter)
		}
		assert.Equal(t, y.s.Headroom(p).LargestDomain, 1)
	}
}
