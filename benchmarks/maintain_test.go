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

// cycle is a run of maintenance over one period.
type cycle struct {
	y        *yard
	random   *rand.Rand
	back     map[string]time.Time // end of a reboot or of a failure
	failures int
	breaks   int
	moves    int
	reboots  int
	slack    float64 // spare instances in pools and beside them, summed over steps
	steps    int
	idle     int             // steps in which nothing was under maintenance
	late     map[string]bool // workers that were overdue at some step

	work      bool                 // long jobs run
	submitted int                  // jobs so far
	jobMoves  int                  // runs that were stopped for a drain
	ends      map[string]time.Time // of runs, by ID
}

// maintain plays a period with failures at the rates of the users' plan for
// 3,000 workers: 35 fail and 260 are replaced on a day, scaled to the fleet.
func maintain(z size, period, step time.Duration) *cycle {
	return maintainYard(newYard(z), z, period, step)
}

func maintainYard(y *yard, z size, period, step time.Duration) *cycle {
	return newCycle(y).play(z, period, step)
}

func newCycle(y *yard) *cycle {
	return &cycle{
		y: y, random: rand.New(rand.NewPCG(3, 4)),
		back: make(map[string]time.Time), late: make(map[string]bool), ends: make(map[string]time.Time),
	}
}

// play plays a time with maintenance every six weeks.
func (c *cycle) play(z size, period, step time.Duration) *cycle {
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
			c.act(y.plan())
		}
		if c.work {
			c.runJobs(z)
		}
		c.count()
	}
	return c
}

// fail takes random workers off the list for an hour.
func (c *cycle) fail(mean float64) {
	for c.random.Float64() < mean {
		mean--
		id := fmt.Sprintf("w%04d", c.random.IntN(c.y.s.Instances.Len()))
		i, ok := c.y.s.Instances.Get(id)
		if !ok || i.Worker.Condition != fleet.Live || i.Phase != state.InService {
			continue
		}
		c.failures++
		c.see(i.Worker.WithCondition(fleet.Gone))
		c.back[id] = c.y.now.Add(50 * time.Minute)
	}
}

func (c *cycle) see(w fleet.Worker) {
	c.y.fold(record.Record{ListUpdate: &record.ListUpdate{Revision: c.y.s.ListRevision + 1, Workers: []fleet.Worker{w}}})
}

// restore brings back what has rebooted or was mended.
func (c *cycle) restore() {
	for id, at := range c.back {
		if c.y.now.Before(at) {
			continue
		}
		delete(c.back, id)
		if i, ok := c.y.s.Instances.Get(id); ok {
			w := i.Worker.WithCondition(fleet.Live)
			w.BootCount++
			c.see(w)
		}
	}
}

// act does what the plan's records ask of owners and platform.
func (c *cycle) act(p pools.Plan) {
	c.moves += moved(p)
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
			c.back[r.Reboot.Worker] = c.y.now.Add(10 * time.Minute)
		}
	}
}

// count checks every budget and sums the slack.
func (c *cycle) count() {
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
			c.late[id] = true
		}
	}
	for _, p := range c.y.s.Catalog.Pools() {
		h := c.y.s.Headroom(p)
		if h.Serving < p.MinAvailable {
			c.breaks++
		}
		c.slack += float64(h.Serving - p.MinAvailable)
	}
	c.slack += float64(len(c.y.s.PoolInstances(manifest.SparePool)))
}

// cyclePeriod is the period of maintenance, and cyclePlayed the time that is
// played, in which everything becomes due once.
const (
	cyclePeriod = 6 * 7 * 24 * time.Hour
	cyclePlayed = cyclePeriod * 5 / 4
)

// BenchmarkMaintain plays a period of six weeks and some more.
func BenchmarkMaintain(b *testing.B) {
	for _, z := range []size{today, {400, 16, 10, 0, 0}} {
		b.Run(z.String(), func(b *testing.B) {
			var last *cycle
			for range b.N {
				last = maintain(z, cyclePlayed, 30*time.Minute)
			}
			last.report(b)
		})
	}
}

func (c *cycle) report(b *testing.B) {
	workers := float64(c.y.s.Instances.Len())
	b.ReportMetric(float64(c.breaks), "budget-breaks")
	b.ReportMetric(float64(c.moves), "moves")
	b.ReportMetric(float64(c.reboots), "reboots")
	b.ReportMetric(float64(c.failures), "failures")
	b.ReportMetric(1-float64(len(c.late))/workers, "in-time-share")
	b.ReportMetric(c.slack/float64(c.steps)/workers, "spare-share")
	b.ReportMetric(float64(c.steps-c.idle)/float64(c.steps), "busy-share")
}

// runJobs keeps a long job for every third worker running or waiting; a run
// that was stopped begins anew.
func (c *cycle) runJobs(z size) {
	const length = 6 * time.Hour
	waitingOrRunning := 0
	for id, r := range c.y.s.ActiveRuns() {
		if end, ok := c.ends[fmt.Sprint(id, r.Attempt)]; r.Active() && ok && !c.y.now.Before(end) {
			c.y.fold(record.Record{Progress: &record.Progress{ID: id, Attempt: r.Attempt, State: record.Done}})
			continue
		}
		waitingOrRunning++
	}
	for ; waitingOrRunning < z.workers/3; waitingOrRunning++ {
		c.submitted++
		r := submission(z, "", c.submitted, manifest.Batch, 4, "")
		r.Submit.ID = fmt.Sprintf("long-%08d@", c.submitted) // of a key's life it would be too long
		c.y.fold(r)
	}
	for _, r := range jobs.Place(c.y.s, writer, 1).Records {
		c.y.fold(r)
		c.ends[fmt.Sprint(r.Place.ID, r.Place.Attempt)] = c.y.now.Add(length)
	}
}

// BenchmarkJobMoves plays the same period while jobs of six hours run on some
// of the workers, and counts those that are stopped for a drain.
func BenchmarkJobMoves(b *testing.B) {
	z := size{workers: 54, pools: 5, teams: 2}
	var c *cycle
	for range b.N {
		y := newYard(z)
		c = newCycle(y)
		c.work = true
		c.play(z, cyclePlayed, 30*time.Minute)
	}
	c.report(b)
	b.ReportMetric(float64(c.jobMoves), "job-moves")
	b.ReportMetric(float64(c.submitted), "jobs")
}

// BenchmarkBuffer plays the same period for pools that hold no more than their
// budget asks for, one instance for the loss of a rack, and some shared spare
// workers: how few of those the fleet can do with, where a spare worker in each
// pool would take as many as there are pools. In racks of one, one instance is
// rebooted at a time.
func BenchmarkBuffer(b *testing.B) {
	for _, pools := range []int{5, 16} {
		for _, spare := range []int{1, 2, 4} {
			for _, perRack := range []int{4, 1} {
				b.Run(fmt.Sprintf("pools=%d/spare=%d/rack=%d", pools, spare, perRack), func(b *testing.B) {
					var last *cycle
					for range b.N {
						z := size{workers: pools*10 + spare, pools: pools, teams: 2}
						last = maintainYard(tightYard(z, perRack), z, cyclePlayed, 30*time.Minute)
					}
					last.report(b)
				})
			}
		}
	}
}

// tightYard returns a yard whose pools of ten keep nine through the loss of a
// rack.
func tightYard(z size, perRack int) *yard {
	y := &yard{now: start}
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
