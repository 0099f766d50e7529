// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package benchmarks

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/tomlfile"
	"github.com/yardbridge/yardbridge/services/jobs"
	"github.com/yardbridge/yardbridge/services/pools"
)

// maintenanceRun is a simulation of maintenance over one period.
type maintenanceRun struct {
	y            *stateBuilder
	random       *rand.Rand
	returnsAt    map[string]time.Time // by worker, end of a reboot or of a failure
	failures     int
	budgetBreaks int
	moves        int
	reboots      int
	slack        float64 // spare instances in pools and outside them, summed over steps
	steps        int
	idle         int             // steps without an instance in maintenance
	overdue      map[string]bool // workers that were overdue at some step

	longJobs  bool                 // whether long jobs run
	submitted int                  // number of submitted jobs
	jobMoves  int                  // runs that were stopped for a drain
	runEnds   map[string]time.Time // end times of runs, by ID and attempt
}

// simulateMaintenance simulates a period with failures at the rates of the users' plan for 3,000
// workers, scaled to the fleet: 35 fail and 260 are replaced each day.
func simulateMaintenance(z size, period, step time.Duration) *maintenanceRun {
	return simulateMaintenanceOf(newState(z), z, period, step)
}

func simulateMaintenanceOf(y *stateBuilder, z size, period, step time.Duration) *maintenanceRun {
	return newMaintenanceRun(y).simulate(z, period, step)
}

func newMaintenanceRun(y *stateBuilder) *maintenanceRun {
	return &maintenanceRun{
		y: y, random: rand.New(rand.NewPCG(3, 4)),
		returnsAt: make(map[string]time.Time), overdue: make(map[string]bool), runEnds: make(map[string]time.Time),
	}
}

// simulate simulates a time with maintenance every six weeks.
func (c *maintenanceRun) simulate(z size, period, step time.Duration) *maintenanceRun {
	y := c.y
	y.plan()
	m := &manifest.Maintenance{Name: "m"}
	m.Period = tomlfile.Duration(cyclePeriod)
	y.fold(record.Record{Apply: &record.Apply{Deployment: "m", Base: y.s.Catalog.Version, Put: []manifest.Object{{Maintenance: m}}}})
	perStep := 35.0 / 3000 * float64(z.workers) * step.Hours() / 24
	for at := time.Duration(0); at < period; at += step {
		y.now = y.now.Add(step)
		c.fail(perStep)
		c.restore()
		for range 3 { // drain, idle, reboot
			c.applyPlan(y.plan())
		}
		if c.longJobs {
			c.runJobs(z)
		}
		c.count()
	}
	return c
}

// fail removes random workers from the list for an hour.
func (c *maintenanceRun) fail(mean float64) {
	for c.random.Float64() < mean {
		mean--
		id := fmt.Sprintf("w%04d", c.random.IntN(c.y.s.Instances.Len()))
		i, ok := c.y.s.Instances.Get(id)
		if !ok || i.Worker.Condition != fleet.Live || i.Phase != state.InService {
			continue
		}
		c.failures++
		c.updateWorker(i.Worker.WithCondition(fleet.Gone))
		c.returnsAt[id] = c.y.now.Add(50 * time.Minute)
	}
}

func (c *maintenanceRun) updateWorker(w fleet.Worker) {
	c.y.fold(record.Record{ListUpdate: &record.ListUpdate{Revision: c.y.s.ListRevision + 1, Workers: []fleet.Worker{w}}})
}

// restore returns workers that have rebooted or recovered.
func (c *maintenanceRun) restore() {
	for id, at := range c.returnsAt {
		if c.y.now.Before(at) {
			continue
		}
		delete(c.returnsAt, id)
		if i, ok := c.y.s.Instances.Get(id); ok {
			w := i.Worker.WithCondition(fleet.Live)
			w.BootCount++
			c.updateWorker(w)
		}
	}
}

// applyPlan performs what the plan's records require of owners and platform.
func (c *maintenanceRun) applyPlan(p pools.Plan) {
	c.moves += countMoves(p)
	for worker := range c.y.s.OutOfService() {
		for id, r := range c.y.s.RunsOn(worker) {
			c.jobMoves++
			c.y.fold(record.Record{Progress: &record.Progress{ID: id, Attempt: r.Attempt, State: record.Pending}})
		}
	}
	for id, i := range c.y.s.Instances.All() {
		if i.Phase == state.Draining {
			c.y.fold(record.Record{Drained: &record.Drained{Worker: id, Epoch: i.Epoch}})
		}
	}
	for _, r := range p.Records {
		if r.Reboot != nil {
			c.reboots++
			c.returnsAt[r.Reboot.Worker] = c.y.now.Add(10 * time.Minute)
		}
	}
}

// count checks every budget and sums the spare instances.
func (c *maintenanceRun) count() {
	c.steps++
	under := 0
	for range c.y.s.OutOfService() {
		under++
	}
	if under == 0 {
		c.idle++
	}
	for id, i := range c.y.s.Instances.All() {
		if c.y.now.Sub(i.MaintainedAt) > cyclePeriod {
			c.overdue[id] = true
		}
	}
	for _, p := range c.y.s.Catalog.Pools() {
		h := c.y.s.Headroom(p)
		if h.Serving < p.MinAvailable {
			c.budgetBreaks++
		}
		c.slack += float64(h.Serving - p.MinAvailable)
	}
	c.slack += float64(len(c.y.s.PoolInstances(manifest.SparePool)))
}

// cyclePeriod is the maintenance period of six weeks. simulatedTime is a quarter longer, so that every
// instance becomes due at least once.
const (
	cyclePeriod   = 6 * 7 * 24 * time.Hour
	simulatedTime = cyclePeriod * 5 / 4
)

// BenchmarkMaintain simulates maintenance for one and a quarter of its periods.
func BenchmarkMaintain(b *testing.B) {
	for _, z := range []size{currentSize, {400, 16, 10, 0, 0}} {
		b.Run(z.String(), func(b *testing.B) {
			var last *maintenanceRun
			for range b.N {
				last = simulateMaintenance(z, simulatedTime, 30*time.Minute)
			}
			last.report(b)
		})
	}
}

func (c *maintenanceRun) report(b *testing.B) {
	workers := float64(c.y.s.Instances.Len())
	b.ReportMetric(float64(c.budgetBreaks), "budget-breaks")
	b.ReportMetric(float64(c.moves), "moves")
	b.ReportMetric(float64(c.reboots), "reboots")
	b.ReportMetric(float64(c.failures), "failures")
	b.ReportMetric(1-float64(len(c.overdue))/workers, "in-time-share")
	b.ReportMetric(c.slack/float64(c.steps)/workers, "spare-share")
	b.ReportMetric(float64(c.steps-c.idle)/float64(c.steps), "busy-share")
}

// runJobs keeps a long job running or waiting for every third worker; a run that was stopped starts
// again.
func (c *maintenanceRun) runJobs(z size) {
	const length = 6 * time.Hour
	waitingOrRunning := 0
	for id, r := range c.y.s.ActiveRuns() {
		if end, ok := c.runEnds[fmt.Sprint(id, r.Attempt)]; r.Active() && ok && !c.y.now.Before(end) {
			c.y.fold(record.Record{Progress: &record.Progress{ID: id, Attempt: r.Attempt, State: record.Done}})
			continue
		}
		waitingOrRunning++
	}
	for ; waitingOrRunning < z.workers/3; waitingOrRunning++ {
		c.submitted++
		r := submission(z, "", c.submitted, manifest.Batch, 4, "")
		r.Submit.ID = fmt.Sprintf("long-%08d@", c.submitted) // not a key, since a key would expire during the simulation
		c.y.fold(r)
	}
	for _, r := range jobs.Place(c.y.s, writer, 1).Records {
		c.y.fold(r)
		c.runEnds[fmt.Sprint(r.Place.ID, r.Place.Attempt)] = c.y.now.Add(length)
	}
}

// BenchmarkJobMoves simulates the same period while jobs of six hours run on some of the workers,
// and counts the runs that are stopped for a drain.
func BenchmarkJobMoves(b *testing.B) {
	z := size{workers: 54, pools: 5, teams: 2}
	var c *maintenanceRun
	for range b.N {
		y := newState(z)
		c = newMaintenanceRun(y)
		c.longJobs = true
		c.simulate(z, simulatedTime, 30*time.Minute)
	}
	c.report(b)
	b.ReportMetric(float64(c.jobMoves), "job-moves")
	b.ReportMetric(float64(c.submitted), "jobs")
}

// BenchmarkBuffer simulates the same period for pools that have no more than their budget requires,
// one instance for the loss of a rack, and some shared spare workers. It shows how few of those the
// fleet needs; a spare worker in each pool would take as many as there are pools. In racks of one,
// one instance is rebooted at a time.
func BenchmarkBuffer(b *testing.B) {
	for _, pools := range []int{5, 16} {
		for _, spare := range []int{1, 2, 4} {
			for _, perRack := range []int{4, 1} {
				b.Run(fmt.Sprintf("pools=%d/spare=%d/rack=%d", pools, spare, perRack), func(b *testing.B) {
					var last *maintenanceRun
					for range b.N {
						z := size{workers: pools*10 + spare, pools: pools, teams: 2}
						last = simulateMaintenanceOf(newTightState(z, perRack), z, simulatedTime, 30*time.Minute)
					}
					last.report(b)
				})
			}
		}
	}
}

// newTightState returns a state with pools of ten instances that keep nine if a rack is lost.
func newTightState(z size, perRack int) *stateBuilder {
	y := &stateBuilder{now: start}
	y.fold(record.Record{Join: &record.Join{Address: "127.0.0.1:1", DataCenter: "hall-0"}})
	workers := fleetOf(z.workers)
	for n := range workers {
		workers[n].Rack = fmt.Sprintf("r%d", n/perRack)
	}
	y.fold(record.Record{ListUpdate: &record.ListUpdate{Revision: 1, Workers: workers}})
	objects := []manifest.Object{{Team: &manifest.Team{Name: "t"}}}
	for n := range z.pools {
		objects = append(objects, manifest.Object{Pool: &manifest.Pool{
			Name: fmt.Sprintf("pool-%03d", n), Team: "t", Size: 10, MinAvailable: 9, FailureDomain: manifest.DomainRack,
		}})
	}
	y.fold(record.Record{Apply: &record.Apply{Deployment: "bench", Put: objects}})
	return y
}
