// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/evacuation"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// coldWorker returns the entry of a worker with four cores that is cold for a time from now, 0 for warm.
func (d *testPool) coldWorker(id worker.ID, warmUp time.Duration) worker.Worker {
	w := worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: string(id), Capacity: job.Size{CPU: 4000, MemoryMB: 4000}, WarmUp: warmUp}
	return w.WithWarmUp(nil, d.now)
}

// newTestPoolWithColdWorker returns a pool with the warm worker "a" and the cold worker "b", and a slow
// start at a quarter of the capacity.
func newTestPoolWithColdWorker(t *testing.T, warmUp time.Duration) *testPool {
	d := newTestPool(t, 1)
	d.Limits.SlowStart = 0.25
	d.Configure(config.New(2, []config.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 1.6, BaseObjective: 600 * time.Millisecond},
		{Name: "patient", Host: "h", PathPrefix: "/patient/", Pool: "p", MaxAttempts: 3, Priority: 1, BaseObjective: time.Minute},
	}, []config.Pool{{Name: "p"}}, config.Limits{}))
	for id, cold := range map[worker.ID]time.Duration{"a": 0, "b": warmUp} {
		d.UpdateWorker(d.coldWorker(id, cold))
		d.poll(id, worker.PollResult{}, accepted)
	}
	return d
}

// submitSeconds submits a job of one step with tasks of one core and a second.
func (d *testPool) submitSeconds(id job.ID, queue string, count int) {
	d.Submit(job.Submission{ID: id, Queue: queue, Steps: []job.Step{{Count: count, Size: job.Size{CPU: 1000}, Estimate: time.Second}}}, d.now)
	d.persist()
}

// runsOn returns how many runs there are on a worker.
func (d *testPool) runsOn(id worker.ID) int { return len(d.workers[id].runs) }

// TestSlowdownIsLearnedWithinBounds guards against a slowdown that one strange run decides, or that
// never follows what is observed.
func TestSlowdownIsLearnedWithinBounds(t *testing.T) {
	var s slowdown
	assert.Equal(t, s.factor(), priorSlowdown)
	s.add(100)
	assert.Assert(t, s.factor() < 2.5, "%v", s.factor())
	for _, of := range []struct{ observed, low, high float64 }{{3, 2.6, 3}, {0.1, 1, 1}, {100, maxSlowdown, maxSlowdown}, {1, 1, 1.2}} {
		s = slowdown{}
		for range 40 {
			s.add(of.observed)
		}
		assert.Assert(t, s.factor() >= of.low && s.factor() <= of.high, "%v: %v", of.observed, s.factor())
	}
}

// TestRunTimesOnColdWorkersAreKeptApart guards against expected run times that runs on cold workers
// prolong, and against a slowdown that is not learned from them.
func TestRunTimesOnColdWorkersAreKeptApart(t *testing.T) {
	d := newTestPoolWithColdWorker(t, time.Minute)
	run := func(id job.ID, on worker.ID, took time.Duration) {
		d.submitSeconds(id, "h/q/", 1)
		for other := range d.workers {
			d.startOrders(other)
		}
		u := d.firstTask(id).runs[0]
		assert.Equal(t, u.worker.info.ID, on)
		u.startedAt = d.now.Add(-took)
		d.poll(on, worker.PollResult{Ends: []worker.EndedRun{{Sequence: d.workers[on].lastEnd + 1, Task: u.name, Number: 1, Reason: worker.Done}}}, accepted)
	}
	d.now = d.now.Add(10 * time.Second)
	for n := range minQueueRuns {
		run(job.ID(fmt.Sprint("warm", n)), "a", time.Second)
	}
	expected := d.expectedRunTime("h/q/", &job.Step{Estimate: time.Second})
	d.workers["a"].info.Draining = true
	for n := range 20 {
		run(job.ID(fmt.Sprint("cold", n)), "b", 3*time.Second)
	}
	assert.Equal(t, d.expectedRunTime("h/q/", &job.Step{Estimate: time.Second}), expected)
	assert.Assert(t, d.slowdown.factor() > 2 && d.slowdown.factor() < 3.2, "%v", d.slowdown.factor())
}

// TestExpectedTimesByWarmUp guards against expected times on a cold worker that neglect the rest of its
// warm-up, or extend it to the whole run.
func TestExpectedTimesByWarmUp(t *testing.T) {
	d := newTestPoolWithColdWorker(t, 3*time.Second)
	w := d.workers["b"]
	factor := priorSlowdown
	assert.Equal(t, d.workers["a"].timeFor(time.Second, d.now), time.Second)
	assert.Equal(t, w.timeFor(time.Second, d.now), seconds(factor))
	assert.Equal(t, w.timeFor(10*time.Second, d.now), 3*time.Second+10*time.Second-seconds(3/factor))
	assert.Equal(t, w.timeFor(time.Second, d.now.Add(3*time.Second)), time.Second)
	for _, until := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} { // work done and time for it agree
		done := w.workDone(d.now, d.now.Add(until))
		assert.Assert(t, (w.timeFor(done, d.now)-until).Abs() < time.Millisecond, "%s", until)
	}
	assert.Equal(t, w.effectiveCapacity(d.now), w.info.Capacity.Scale(1/factor))
	assert.Equal(t, w.effectiveCapacity(d.now.Add(3*time.Second)), w.info.Capacity)
}

// TestColdWorkerGetsAGrowingShare guards against a worker that is filled while it is cold, or that gets
// nothing: one task at first, then more, all once it is warm.
func TestColdWorkerGetsAGrowingShare(t *testing.T) {
	d := newTestPoolWithColdWorker(t, 8*time.Second)
	d.submitSeconds("1", "h/patient/", 20)
	for _, step := range []struct {
		at   time.Duration
		runs int
	}{{0, 1}, {2 * time.Second, 2}, {4 * time.Second, 3}, {8 * time.Second, 4}} {
		now := d.now
		d.now = now.Add(step.at)
		d.persist()
		assert.Equal(t, d.runsOn("b"), step.runs, "%s", step.at)
		assert.Equal(t, d.runsOn("a"), 4)
		d.now = now
	}
}

// TestAllWorkersColdAreUsedInFull guards against capacity that stays unused while work waits because all
// workers have started at once.
func TestAllWorkersColdAreUsedInFull(t *testing.T) {
	d := newTestPoolWithColdWorker(t, 8*time.Second)
	d.UpdateWorker(d.coldWorker("a", 8*time.Second))
	d.submitSeconds("1", "h/patient/", 20)
	assert.Equal(t, d.runsOn("a")+d.runsOn("b"), 8)
}

// TestGangTakesTheShareOfAColdWorker guards against a gang whose members fill a cold worker.
func TestGangTakesTheShareOfAColdWorker(t *testing.T) {
	d := newTestPoolWithColdWorker(t, 8*time.Second)
	d.submitStep("1", job.Step{Count: 6, Size: job.Size{CPU: 1000}, Estimate: time.Second, Gang: true})
	assert.Equal(t, d.runsOn("a")+d.runsOn("b"), 0)
	d.now = d.now.Add(2 * time.Second)
	d.persist()
	assert.Equal(t, d.runsOn("a")+d.runsOn("b"), 6)
}

// TestUrgentTasksPreferWarmWorkers guards against urgent tasks on a cold worker while a warm one has
// room, and against patient ones that take the room of the warm one.
func TestUrgentTasksPreferWarmWorkers(t *testing.T) {
	d := newTestPoolWithColdWorker(t, 30*time.Second)
	d.submitSeconds("1", "h/q/", 2)
	assert.Equal(t, d.runsOn("a"), 2)
	d.submitSeconds("2", "h/patient/", 1)
	assert.Equal(t, d.runsOn("b"), 1)
	d.submitSeconds("3", "h/q/", 2)
	assert.Equal(t, d.runsOn("a"), 4)
}

// TestLateTaskTakesAColdWorker guards against a task that waits for a warm worker although it ends
// earlier on the cold one, and against one that is late on the cold one although a warm one is free in
// time.
func TestLateTaskTakesAColdWorker(t *testing.T) {
	for _, c := range []struct {
		ran  time.Duration // of the tasks on the warm worker
		cold int           // tasks on the cold one
	}{{0, 1}, {900 * time.Millisecond, 0}} {
		d := newTestPoolWithColdWorker(t, 30*time.Second)
		for range 20 {
			d.slowdown.add(4) // an urgent task is late on the cold worker
		}
		d.submitSeconds("1", "h/q/", 4)
		d.reportRunning("a")
		d.now = d.now.Add(c.ran)
		d.submitSeconds("2", "h/q/", 1)
		j := d.jobs["2"]
		j.latestStart = d.now.Add(500 * time.Millisecond)
		d.needsPlan = true
		d.persist()
		assert.Equal(t, d.runsOn("b"), c.cold, "%s", c.ran)
	}
}

// TestRestartBeginsItsWarmUpAnew guards against a worker that counts as cold, or as warm, by the entry of
// an earlier incarnation under its ID.
func TestRestartBeginsItsWarmUpAnew(t *testing.T) {
	entry := func(d *testPool, startedAt int64, warmUp time.Duration) {
		w := workerStartedAt(startedAt)
		w.WarmUp = warmUp
		d.UpdateWorker(w.WithWarmUp(nil, d.now))
	}
	d := newTestPool(t, 1)
	entry(d, 1000, time.Minute)
	d.confirmStart(1000)
	assert.Assert(t, d.workers["w"].info.Cold(d.now))
	d.confirmStart(2000) // its entry is not read yet
	assert.Assert(t, !d.workers["w"].info.Cold(d.now))
	entry(d, 2000, time.Minute)
	assert.Assert(t, d.workers["w"].info.Cold(d.now))
}

// coldLoad is the load after the end of an evacuation: a third of the workers come back cold, and urgent
// jobs arrive beside patient ones, together nine tenths of what the workers do while some are cold.
type coldLoad struct {
	*testPool
	ends   map[*run]time.Time
	starts map[worker.ID]int
}

const (
	coldLoadWorkers = 9
	coldLoadSlower  = 3.0 // factor by which tasks take longer while their worker is cold
	coldLoadWarmUp  = 8 * time.Second
	coldLoadTick    = 20 * time.Millisecond
)

// coldLoadObjectives are what callers expect, by queue: that of the work of a second, on a warm worker.
var coldLoadObjectives = map[string]time.Duration{"h/q/": 2200 * time.Millisecond, "h/patient/": time.Minute}

// tick starts what was planned, has the workers do their work, and polls them.
func (l *coldLoad) tick() {
	l.persist()
	for id, w := range l.workers {
		for _, u := range l.startedRuns(id) {
			l.starts[id]++
			work := u.step().spec.Estimate
			if cold := w.info.WarmAt.Sub(l.now); cold > 0 {
				work += time.Duration(min(float64(cold), float64(work)*coldLoadSlower) * (1 - 1/coldLoadSlower))
			}
			l.ends[u] = l.now.Add(work)
		}
		var p worker.PollResult
		for name, u := range w.runs {
			if l.ends[u].After(l.now) {
				p.Runs = append(p.Runs, worker.Run{Task: name, Number: u.number})
			} else {
				p.Ends = append(p.Ends, worker.EndedRun{Sequence: w.lastEnd + 1 + len(p.Ends), Task: name, Number: u.number, Reason: worker.Done})
			}
		}
		l.poll(id, p, accepted)
	}
	l.now = l.now.Add(coldLoadTick)
}

// startedRuns has a worker accept its orders, and returns the runs that start.
func (l *coldLoad) startedRuns(id worker.ID) []*run {
	var list []*run
	for {
		order, has := l.NextOrder(id, l.now)
		if !has {
			return list
		}
		l.StartOrder(order, l.now)
		l.HandleOrderResponse(order, accepted, l.now)
		list = append(list, order.Run)
	}
}

// TestEvacuationEndsWithColdWorkers guards against urgent work that is late on cold workers while
// patient work has the warm ones. It also checks what a cold worker gets against its fair part, under
// each reading of a bound of 1.5 times that part and 5 tasks: by starts, over all cold workers and for
// each, and by what runs, as a part by capacity and by its growing share.
func TestEvacuationEndsWithColdWorkers(t *testing.T) {
	const over, slack = 1.5, 5
	d := newTestPoolWithColdWorker(t, 0)
	d.Limits.SlowStart = 0.5
	d.Limits.Retention = time.Hour
	l := coldLoad{d, make(map[*run]time.Time), make(map[worker.ID]int)}
	delete(d.workers, "a")
	delete(d.workers, "b")
	for i := range coldLoadWorkers {
		w := l.coldWorker(worker.ID(fmt.Sprint("w", i)), 0)
		w.Capacity = job.Size{CPU: 16000, MemoryMB: 64000}
		if i%3 == 0 {
			w.DataCenter = "evacuated"
		}
		l.UpdateWorker(w)
		l.poll(w.ID, worker.PollResult{}, accepted)
	}
	l.evacuate("evacuated")
	counts := map[string][2]int{}
	number := 0
	begin := l.now.Add(5 * time.Second)
	var jobs []*jobState
	for n := 0; l.now.Before(begin.Add(coldLoadWarmUp + 5*time.Second)); n++ {
		if l.now.Equal(begin) {
			for id, w := range l.workers {
				if w.evacuated {
					info := w.info
					info.WarmUp = coldLoadWarmUp
					l.UpdateWorker(info.WithWarmUp(&w.info, l.now))
				}
				l.starts[id] = 0
			}
			l.evacuate()
		}
		if n%10 == 0 && l.now.Before(begin.Add(coldLoadWarmUp)) {
			for queue, count := range map[string]int{"h/q/": 12, "h/patient/": 6} {
				number++
				id := job.ID(fmt.Sprint(number))
				l.Submit(job.Submission{ID: id, Queue: queue, Steps: []job.Step{{Count: count, Size: job.Size{CPU: 1000}, Estimate: time.Second}}}, l.now)
				if !l.now.Before(begin) {
					jobs = append(jobs, l.jobs[id])
				}
			}
		}
		l.tick()
		all, shares := 0, 0.0
		for _, w := range l.workers {
			all += len(w.runs)
			shares += l.ownShare(w, l.now)
		}
		for id, w := range l.workers {
			if w.info.Cold(l.now) {
				assert.Check(t, float64(len(w.runs)) <= over*float64(all)/coldLoadWorkers+slack, "%s by capacity: %d of %d", id, len(w.runs), all)
				assert.Check(t, float64(len(w.runs)) <= over*float64(all)*l.ownShare(w, l.now)/shares+slack, "%s by its share: %d of %d", id, len(w.runs), all)
			}
		}
		if l.now.Equal(begin.Add(coldLoadWarmUp)) {
			all, cold := 0, 0
			for id, n := range l.starts {
				all += n
				if l.workers[id].info.DataCenter == "evacuated" {
					cold += n
					assert.Check(t, n > 0)
				}
			}
			t.Logf("started %d, of these on cold workers %d", all, cold)
			assert.Check(t, float64(cold) <= over*float64(all)/3+slack)
			for id, n := range l.starts {
				assert.Check(t, l.workers[id].info.DataCenter == "" || float64(n) <= over*float64(all)/coldLoadWorkers+slack)
			}
		}
	}
	for _, j := range jobs {
		c := counts[j.sub.Queue]
		c[0]++
		if j.state == job.Completed && j.endedAt.Sub(j.accepted) <= coldLoadObjectives[j.sub.Queue] {
			c[1]++
		}
		counts[j.sub.Queue] = c
	}
	t.Logf("slowdown %.2f, submitted and in time %v", l.slowdown.factor(), counts)
	inTime := func(queue string) float64 { return float64(counts[queue][1]) / math.Max(float64(counts[queue][0]), 1) }
	assert.Check(t, inTime("h/q/") >= 0.9, "%.2f", inTime("h/q/"))
	assert.Equal(t, inTime("h/patient/"), 1.0)
}

// evacuate puts data centres under evacuation, and takes back all others.
func (l *coldLoad) evacuate(dataCenters ...string) {
	l.SetEvacuated(evacuation.List{DataCenters: dataCenters, End: l.evacuated.End + 1})
}
