// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package benchmarks

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/jobs"
	"github.com/yardbridge/yardbridge/services/platform"
	"github.com/yardbridge/yardbridge/standin"
)

// BenchmarkPlace measures placements per second with many waiting runs, and the cost of a change
// while every worker is full and the other runs wait.
func BenchmarkPlace(b *testing.B) {
	for _, z := range []size{currentSize, {500, 20, 20, 1000, 0}, {1500, 62, 40, 3000, 0}, designSize} {
		b.Run(z.String(), func(b *testing.B) {
			var took, changed time.Duration
			placed, changes := 0, 0
			for range b.N {
				y := newState(z)
				y.plan()
				y.submit(z, z.runs, manifest.Batch)
				startedAt := time.Now()
				p := jobs.Place(y.s, writer, 1)
				took += time.Since(startedAt)
				placed += len(p.Records)
				y.foldAll(p.Records)
				y.fillWorkers(z)
				n, d := y.endRuns()
				changes, changed = changes+n, changed+d
			}
			b.ReportMetric(float64(placed)/took.Seconds(), "decisions/s")
			b.ReportMetric(took.Seconds()*1000/float64(b.N), "plan-ms")
			b.ReportMetric(changed.Seconds()*1000/float64(changes), "change-ms")
		})
	}
}

func (y *stateBuilder) foldAll(records []record.Record) {
	for from := 0; from < len(records); from += 400 {
		y.fold(records[from:min(from+400, len(records))]...)
	}
}

// fillWorkers adds as many waiting runs as the size states, for none of which there is free
// capacity, since each needs a whole worker.
func (y *stateBuilder) fillWorkers(z size) {
	var records []record.Record
	for n := range z.runs {
		records = append(records, record.Record{Submit: &record.Submit{
			ID: fmt.Sprintf("%d.whole-%08d", y.now.Add(time.Hour).Unix(), n),
			Job: manifest.Job{
				Name: fmt.Sprintf("whole-%d", n%200), Team: fmt.Sprintf("team-%d", n%z.teams), Pool: fmt.Sprintf("pool-%03d", n%z.pools),
				Class: manifest.Batch, Cores: 16, MemoryGB: 32, Repeatable: true,
			},
		}})
	}
	y.foldAll(records)
	y.foldAll(jobs.Place(y.s, writer, 1).Records)
}

// endRuns ends running runs one after another, and returns the time of the plans that follow.
func (y *stateBuilder) endRuns() (changes int, took time.Duration) {
	var placer jobs.Placer
	y.foldAll(placer.Place(y.s, writer, 1).Records)
	placer.Place(y.s, writer, 1)
	for id, r := range y.s.ActiveRuns() {
		if changes == 50 || !r.Active() {
			continue
		}
		y.fold(record.Record{Progress: &record.Progress{ID: id, Attempt: r.Attempt, State: record.Done}})
		startedAt := time.Now()
		p := placer.Place(y.s, writer, 1)
		took += time.Since(startedAt)
		changes++
		y.foldAll(p.Records)
	}
	return changes, took
}

// jobCluster is a fleet that runs tasks, with one decider, on a clock that the benchmark advances.
type jobCluster struct {
	*stateBuilder
	clock    *clock.Fake
	platform *standin.Platform
	decider  *jobs.Decider
}

// tick is a step of a jobCluster's clock.
const tick = 200 * time.Millisecond

func newJobCluster(z size) *jobCluster {
	w := &jobCluster{stateBuilder: newState(z), clock: clock.NewFake(start)}
	w.platform = &standin.Platform{Clock: w.clock.Clock()}
	for _, m := range fleetOf(z.workers) {
		w.platform.SetWorker(m)
	}
	w.plan()
	w.decider = &jobs.Decider{
		Clock: w.clock.Clock(), Logger: log.Nop(), Name: writer, Incarnation: 1, Tasks: w.platform.Tasks(),
		Alive: func() []string { return []string{writer} },
		Propose: func(_ context.Context, records []record.Record) ([]state.Verdict, error) {
			return w.fold(records...).Verdicts, nil
		},
	}
	return w
}

// step advances the clock and runs the decider.
func (w *jobCluster) step() {
	w.clock.Advance(tick)
	w.now = w.clock.Now()
	w.fold(record.Record{Lease: &record.Lease{Role: record.RoleJobs, TTL: time.Minute}})
	w.decider.RunOnce(context.Background(), w.s)
	w.decider.AwaitStarts()
}

// BenchmarkUrgent measures, on a simulated clock, how long urgent runs wait for their start while
// repeatable batch runs fill every worker.
func BenchmarkUrgent(b *testing.B) {
	for _, z := range []size{{50, 5, 2, 0, 0}, {400, 16, 10, 0, 0}} {
		b.Run(z.String(), func(b *testing.B) {
			var waits []float64
			for range b.N {
				waits = append(waits, urgentWaits(z)...)
			}
			slices.Sort(waits)
			b.ReportMetric(waits[len(waits)*99/100], "urgent-p99-s")
			b.ReportMetric(waits[len(waits)-1], "urgent-max-s")
			b.ReportMetric(float64(len(waits)), "urgent-runs")
		})
	}
}

// urgentWaits simulates 200 s in which urgent runs of three seconds are submitted, about one for
// each worker in 100 s, and returns the seconds that each waited for its start.
func urgentWaits(z size) []float64 {
	w := newJobCluster(z)
	random := rand.New(rand.NewPCG(7, 8))
	for n := range z.workers {
		w.fold(submission(z, fmt.Sprintf("batch-%08d", n), n, manifest.Batch, 16, "forever"))
	}
	for range 20 {
		w.step()
	}
	submitted := make(map[string]time.Time)
	var waits []float64
	for at := range 1000 {
		if random.IntN(500) < z.workers {
			r := submission(z, fmt.Sprintf("urgent-%06d", at), random.IntN(z.pools), manifest.Urgent, 16, "sleep 3s")
			w.fold(r)
			submitted[r.Submit.ID] = w.now
		}
		w.step()
		for id, since := range submitted {
			if w.platform.StartCount(id) > 0 {
				waits = append(waits, w.now.Sub(since).Seconds())
				delete(submitted, id)
			}
		}
	}
	for _, since := range submitted {
		waits = append(waits, w.now.Sub(since).Seconds()) // at least
	}
	return waits
}

func submission(z size, name string, n int, class manifest.Class, cores int, command string) record.Record {
	return record.Record{Submit: &record.Submit{
		ID: fmt.Sprintf("%d.%s", start.Add(24*time.Hour).Unix(), name),
		Job: manifest.Job{
			Name: fmt.Sprintf("job-%d", n%40), Team: fmt.Sprintf("team-%d", n%z.teams), Pool: fmt.Sprintf("pool-%03d", n%z.pools),
			Class: class, Cores: cores, MemoryGB: 1, Repeatable: true, Command: command,
		},
	}}
}

// BenchmarkSizes compares placement by measured sizes with placement by declared ones, which are
// wrong by up to four times in either direction: used-share is the part of the processors in use,
// crowded-share the part of the workers on which tasks want more than there is.
func BenchmarkSizes(b *testing.B) {
	z := size{50, 5, 2, 0, 0}
	for _, by := range []string{"learned", "declared"} {
		b.Run("by="+by, func(b *testing.B) {
			var used, crowded float64
			for range b.N {
				u, c := simulateSizes(z, by == "learned")
				used, crowded = used+u, crowded+c
			}
			b.ReportMetric(used/float64(b.N), "used-share")
			b.ReportMetric(crowded/float64(b.N), "crowded-share")
		})
	}
}

// simulateSizes simulates three minutes in which more runs wait than fit.
func simulateSizes(z size, learn bool) (used, crowded float64) {
	w := newJobCluster(z)
	if !learn {
		tasks := w.decider.Tasks
		read := tasks.Reports
		tasks.Reports = func(ctx context.Context, known uint64) (platform.Reports, error) {
			reports, err := read(ctx, known)
			for n := range reports.Tasks {
				reports.Tasks[n].Cores = 0 // without a report of their size
			}
			return reports, err
		}
		w.decider.Tasks = tasks
	}
	random := rand.New(rand.NewPCG(9, 10))
	trueSize := make([]int, 40)
	for n := range trueSize {
		trueSize[n] = 1 + random.IntN(8)
	}
	steps := 0
	for at := range 900 {
		for n := range 4 {
			job := random.IntN(len(trueSize))
			declared := wrongSize(random, trueSize[job])
			command := fmt.Sprintf("sleep 10s use %d", trueSize[job])
			w.fold(submission(z, fmt.Sprintf("run-%04d-%d", at, n), job, manifest.Batch, declared, command))
		}
		w.step()
		if at >= 300 {
			u, c := w.usage()
			used, crowded, steps = used+u, crowded+c, steps+1
		}
	}
	return used / float64(steps), crowded / float64(steps)
}

// wrongSize returns a size that is wrong by up to four times in either direction.
func wrongSize(random *rand.Rand, trueSize int) int {
	factor := []float64{0.25, 0.5, 1, 2, 4}[random.IntN(5)]
	return min(max(int(float64(trueSize)*factor), 1), 16)
}

// usage returns the part of the pools' processors in use, and the part of their workers on which
// tasks want more processors than there are.
func (w *jobCluster) usage() (used, crowded float64) {
	wanted := w.platform.WantedCores()
	cores, workers := 0, 0
	for id, i := range w.s.Instances.All() {
		if i.Pool == manifest.SparePool || i.Worker.Condition != fleet.Live {
			continue
		}
		workers++
		cores += i.Worker.Cores
		used += float64(min(wanted[id], i.Worker.Cores))
		if wanted[id] > i.Worker.Cores {
			crowded++
		}
	}
	return used / float64(cores), crowded / float64(workers)
}
