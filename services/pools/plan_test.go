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

// yard is a log in memory with a fleet in racks of four.
type yard struct {
	s   state.State
	seq uint64
	now time.Time
}

func newYard(racks int, pools ...manifest.Pool) *yard {
	y := &yard{now: begin}
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

func (y *yard) put(records ...record.Record) []state.Verdict {
	y.seq++
	data, err := record.Batch{Writer: "e", Incarnation: 1, Sequence: y.seq, Records: records}.Encode()
	if err != nil {
		panic(err)
	}
	f := y.s.Fold(record.Stored{Offset: y.s.Offset, At: y.now, Data: data})
	y.s = f.State
	return f.Verdicts
}

func (y *yard) apply(pools ...manifest.Pool) {
	put := []manifest.Object{{Team: &manifest.Team{Name: "t"}}}
	for i := range pools {
		pools[i].Team = "t"
		put = append(put, manifest.Object{Pool: &pools[i]})
	}
	y.put(record.Record{Apply: &record.Apply{Deployment: "d", Base: y.s.Catalog.Version, Put: put}})
}

func (y *yard) maintain(period time.Duration) {
	m := &manifest.Maintenance{Name: "m", Period: tomlfile.Duration(period)}
	y.put(record.Record{Apply: &record.Apply{Deployment: "m", Base: y.s.Catalog.Version, Put: []manifest.Object{{Maintenance: m}}}})
}

// step proposes the plan and returns it.
func (y *yard) step() Plan {
	p := MakePlan(y.s, "e", 1, y.now)
	if len(p.Records) > 0 {
		y.put(p.Records...)
	}
	return p
}

// idle reports every draining instance as idle.
func (y *yard) idle() {
	for id, i := range y.s.Instances.All() {
		if i.Phase == state.Draining {
			y.put(record.Record{Drained: &record.Drained{Worker: id, Epoch: i.Epoch}})
		}
	}
}

func (y *yard) see(id string, change func(*fleet.Worker)) {
	i, _ := y.s.Instances.Get(id)
	change(&i.Worker)
	y.put(record.Record{ListUpdate: &record.ListUpdate{Revision: y.s.ListRevision + 1, Workers: []fleet.Worker{i.Worker}}})
}

func pool(name string, size, available int) manifest.Pool {
	return manifest.Pool{Name: name, Size: size, MinAvailable: available, FailureDomain: manifest.DomainRack}
}

func TestPoolsAreSpreadOverRacks(t *testing.T) {
	y := newYard(6, pool("a", 6, 4), pool("b", 6, 4))
	p := y.step()
	assert.Equal(t, len(p.Shortages), 0)
	for _, name := range []string{"a", "b"} {
		h := y.s.Headroom(y.s.Catalog.Pool(name))
		assert.Equal(t, h.Serving, 6)
		assert.Equal(t, h.LargestDomain, 1, "pool %s has two in one rack", name)
	}
	assert.Equal(t, len(y.step().Records), 0, "a plan that is met moves nothing")
}

func TestShortageIsSaid(t *testing.T) {
	y := newYard(1, pool("a", 9, 1))
	p := y.step()
	assert.Equal(t, len(p.Shortages), 1)
	assert.Equal(t, p.Shortages[0].Present, 4)
}

func TestLostInstanceIsReplacedWhenTheBudgetNeedsIt(t *testing.T) {
	y := newYard(6, pool("a", 6, 4), pool("b", 6, 5))
	y.step()
	lose := func(name string) {
		i := y.s.PoolInstances(name)[0]
		y.see(i.Worker.ID, func(w *fleet.Worker) { w.Condition = fleet.Gone })
	}
	lose("a") // 5 serve, 4 through the loss of a rack: it can wait
	assert.Equal(t, len(y.step().Records), 0)
	lose("b") // 5 serve, 4 through the loss of a rack: too few
	assert.Equal(t, len(y.step().Records), 1)
	y.now = y.now.Add(2 * MissingGracePeriod)
	assert.Equal(t, len(y.step().Records), 1, "after the grace it is replaced in any case")
}

func TestMaintenanceOfAWholeFleet(t *testing.T) {
	y := newYard(6, pool("a", 6, 4), pool("b", 6, 4))
	y.step()
	y.maintain(100 * time.Hour)
	y.now = y.now.Add(81 * time.Hour)
	for range 400 {
		y.step()
		assert.Assert(t, racksUnderWork(y.s) <= 1)
		y.idle()
		y.step()
		y.reboot()
		for _, p := range y.s.Catalog.Pools() {
			assert.Assert(t, y.s.Headroom(p).Spare() >= 0, "pool %s would not survive a further rack", p.Name)
		}
		y.now = y.now.Add(time.Minute)
	}
	for id, i := range y.s.Instances.All() {
		assert.Assert(t, i.MaintainedAt.After(begin), "%s was not maintained", id)
		assert.Equal(t, i.Phase, state.InService)
	}
}

func racksUnderWork(s state.State) int {
	racks := make(map[rack]bool)
	for _, i := range s.Instances.All() {
		if i.Phase != state.InService {
			racks[rackOf(i)] = true
		}
	}
	return len(racks)
}

// reboot brings back what is under reboot.
func (y *yard) reboot() {
	for id, i := range y.s.Instances.All() {
		if i.Phase == state.Rebooting {
			y.see(id, func(w *fleet.Worker) { w.BootCount++ })
		}
	}
}

func TestRebootThatNeverComesBack(t *testing.T) {
	y := newYard(6, pool("a", 6, 4))
	y.step()
	y.maintain(100 * time.Hour)
	y.now = y.now.Add(81 * time.Hour)
	y.step()
	y.idle()
	y.step()
	for id, i := range y.s.Instances.All() {
		if i.Phase == state.Rebooting {
			y.see(id, func(w *fleet.Worker) { w.Condition = fleet.Gone })
		}
	}
	y.now = y.now.Add(time.Minute)
	y.step()
	assert.Assert(t, racksUnderWork(y.s) >= 1)
	assert.Assert(t, y.s.Headroom(y.s.Catalog.Pool("a")).Spare() >= 0)
}

// TestMovesAgainstTheBound compares moves with what the pools lack, which no
// plan can go below, over random changes of size.
func TestMovesAgainstTheBound(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		sizes := [3]int{2 + random.IntN(5), 2 + random.IntN(5), 2 + random.IntN(5)}
		y := newYard(5, pool("a", sizes[0], 1), pool("b", sizes[1], 1), pool("c", sizes[2], 1))
		y.step()
		next := [3]int{2 + random.IntN(5), 2 + random.IntN(5), 2 + random.IntN(5)}
		y.apply(pool("a", next[0], 1), pool("b", next[1], 1), pool("c", next[2], 1))
		bound := 0
		for i := range next {
			bound += max(next[i]-sizes[i], 0)
		}
		moves := 0
		for range 3 {
			for _, r := range y.step().Records {
				if r.Move != nil || r.Drain != nil {
					moves++
				}
			}
			y.idle()
		}
		assert.Equal(t, moves, bound, "from %v to %v", sizes, next)
	}
}

// TestSpreadAgainstTheBound: pools of no more instances than there are racks,
// and no more in all than there are workers, can each have one instance a rack;
// so it must be, or more spare capacity is held than the budget needs.
func TestSpreadAgainstTheBound(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for range 300 {
		racks := 3 + random.IntN(6)
		var pools []manifest.Pool
		for left := racks * 4; left > 0; {
			size := min(1+random.IntN(racks), left)
			pools = append(pools, pool(fmt.Sprintf("p%d", len(pools)), size, 0))
			left -= size
		}
		y := newYard(racks, pools...)
		assert.Equal(t, len(y.step().Shortages), 0)
		for _, p := range y.s.Catalog.Pools() {
			assert.Equal(t, y.s.Headroom(p).LargestDomain, 1, "pool %s of %d in %d racks, with %+v", p.Name, p.Size, racks, pools)
		}
	}
}

// TestSpreadOverHalls: halls of five, four and four racks, and five pools of
// ten, which leave two workers over; no hall may hold half of a pool.
func TestSpreadOverHalls(t *testing.T) {
	var pools []manifest.Pool
	for n := range 5 {
		pools = append(pools, pool(fmt.Sprintf("p%d", n), 10, 8))
	}
	y := newYard(13)
	for id, i := range y.s.Instances.All() {
		hall := "h0"
		switch i.Worker.Rack {
		case "r0", "r1", "r2", "r3":
			hall = "h1"
		case "r4", "r5", "r6", "r7":
			hall = "h2"
		}
		y.see(id, func(w *fleet.Worker) { w.DataCenter = hall })
	}
	y.apply(pools...)
	y.step()
	for _, p := range y.s.Catalog.Pools() {
		halls := make(map[string]int)
		for _, i := range y.s.PoolInstances(p.Name) {
			halls[i.Worker.DataCenter]++
			assert.Assert(t, halls[i.Worker.DataCenter] <= 4, "pool %s: %v", p.Name, halls)
		}
		assert.Equal(t, y.s.Headroom(p).LargestDomain, 1)
	}
}
