// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/evacuation"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/log"
)

// TestOutlookKnowsWhenRunsEnd guards against waits that take what runs for capacity that is lost, or for
// capacity that is free now: of four cores two are free, one more after three seconds and one after ten,
// or a little later once a run takes longer than expected.
func TestOutlookKnowsWhenRunsEnd(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	for n, estimate := range []time.Duration{3 * time.Second, 10 * time.Second} {
		d.submitStep(job.ID(fmt.Sprint(n+1)), job.Step{Count: 1, Size: job.Size{CPU: 1000}, Estimate: estimate})
	}
	d.startAll("w")
	o := d.Outlook(d.now)
	for _, c := range []struct {
		after time.Duration
		free  int
	}{{0, 2000}, {2 * time.Second, 2000}, {3 * time.Second, 3000}, {10 * time.Second, 4000}} {
		assert.Equal(t, o.Free(c.after).CPU, c.free, "%s", c.after)
		assert.Equal(t, o.Serving(c.after).CPU, 4000)
	}
	d.now = d.now.Add(4 * time.Second)
	o = d.Outlook(d.now)
	assert.Equal(t, o.Free(0).CPU, 2000)
	assert.Equal(t, o.Free(300*time.Millisecond).CPU, 3000)
}

// TestLongRunningTasksAreNoCapacity guards against waits that count what long-running tasks hold, which
// never becomes free for other work.
func TestLongRunningTasksAreNoCapacity(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submitStep("1", job.Step{Count: 3, Size: job.Size{CPU: 1000}, Estimate: time.Second, LongRunning: true})
	d.startAll("w")
	o := d.Outlook(d.now)
	assert.Equal(t, o.Serving(time.Hour).CPU, 1000)
	assert.Equal(t, o.Free(time.Hour).CPU, 1000)
}

// TestOutlookLeavesOutWhatServesNoWork guards against capacity on which nothing may be placed: that of
// workers under a cordon and in data centres under evacuation.
func TestOutlookLeavesOutWhatServesNoWork(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	cordon(d, CordonRequest{Workers: []CordonedWorker{{ID: "w"}}})
	d.persist()
	assert.Equal(t, d.Outlook(d.now).Serving(time.Hour), job.Size{})
	cordon(d, CordonRequest{Number: 1})
	d.persist()
	assert.Equal(t, d.Outlook(d.now).Serving(0).CPU, 4000)
	d.SetEvacuated(evacuation.List{End: 1, DataCenters: []string{""}})
	d.persist()
	assert.Equal(t, d.Outlook(d.now).Serving(time.Hour), job.Size{})
}

// TestOutlookAgesWhatTheHolderTold guards against promises that stay as they were told: an instance that
// is to serve in two seconds serves in one a second later, and what nobody repeats counts for nothing in
// the end. A pool whose owner was told nothing has its own workers.
func TestOutlookAgesWhatTheHolderTold(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	assert.Equal(t, d.Outlook(d.now).Serving(time.Hour).CPU, 4000)
	more := []capacity.Change{{After: 2 * time.Second, Size: job.Size{CPU: 4000}}}
	cordon(d, CordonRequest{Number: 1, Arriving: more, Potential: more})
	assert.Equal(t, d.Outlook(d.now).Promised().Serving(1900*time.Millisecond).CPU, 4000)
	assert.Equal(t, d.Outlook(d.now).Promised().Serving(2*time.Second).CPU, 8000)
	assert.Equal(t, d.Outlook(d.now).Serving(2*time.Second).CPU, 12000)
	d.now = d.now.Add(400 * time.Millisecond)
	assert.Equal(t, d.Outlook(d.now).Promised().Serving(1600*time.Millisecond).CPU, 8000)
	d.now = d.now.Add(time.Minute)
	assert.Equal(t, d.Outlook(d.now).Serving(time.Hour).CPU, 4000)
	cordon(d, CordonRequest{Number: 2})
	assert.Equal(t, d.Outlook(d.now).Serving(time.Hour).CPU, 4000)
}

// TestWorkersTellWhenTheyAreEmpty guards against the choice of instances by the number of their runs: a
// worker with a long run is empty late, one with several short ones soon.
func TestWorkersTellWhenTheyAreEmpty(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submitStep("1", job.Step{Count: 2, Size: job.Size{CPU: 1000}, Estimate: 2 * time.Second})
	d.startAll("w")
	emptyAfter := func() time.Duration { return d.Report(CordonRequest{}, d.now).Workers[0].EmptyAfter }
	assert.Equal(t, emptyAfter(), 2*time.Second)
	d.submitStep("2", job.Step{Count: 1, Size: job.Size{CPU: 1000}, Estimate: time.Minute})
	d.startAll("w")
	assert.Equal(t, emptyAfter(), time.Minute)
}

// newBusyPool returns a pool of 3,000 workers with a number of runs each.
func newBusyPool(t testing.TB, perWorker int) *Pool {
	const workers = 3000
	p := New("p", 1, testLimits, log.Nop())
	p.Configure(testConfig)
	now := time.Unix(1000, 0)
	for n := range workers {
		id := worker.ID(fmt.Sprintf("w-%04d", n))
		p.UpdateWorker(worker.Worker{ID: id, Instance: string(id), Pool: "p", Address: "a", Capacity: job.Size{CPU: 1000 * perWorker, MemoryMB: 1000 * perWorker}})
		k, _, known := p.BeginPoll(id, 0, now)
		assert.Assert(t, known)
		p.EndPoll(k, worker.PollResult{}, accepted, now)
		j := p.newJob(job.Submission{ID: job.ID(fmt.Sprintf("%016x", n+1)), Queue: "h/q/", Steps: []job.Step{
			{Count: perWorker, Size: job.Size{CPU: 1000, MemoryMB: 500}, Estimate: time.Second + time.Duration(n)*time.Millisecond},
		}}, now)
		s := &j.openRound(0).steps[0]
		for i := range perWorker {
			p.planRun(j, s, i, p.workers[id], now)
		}
	}
	return p
}

// BenchmarkOutlook computes the outlook of a pool of 3,000 workers with a number of runs each.
func BenchmarkOutlook(b *testing.B) {
	for _, n := range []int{1, 16} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, now := newBusyPool(b, n), time.Unix(1000, 0)
			for b.Loop() {
				p.computeOutlook(now)
			}
		})
	}
}

// TestOutlookOfABusyPoolIsComputedSeldom guards against an owner that is busy with its outlook in a surge,
// in which 500 tasks start a second, each after a plan.
func TestOutlookOfABusyPoolIsComputedSeldom(t *testing.T) {
	const starts = 500
	p, now, computed := newBusyPool(t, 1), time.Unix(1000, 0), 0
	for range starts {
		now = now.Add(time.Second / starts)
		p.work.Plans++
		computed += btoi(p.Outlook(now).At().Equal(now))
	}
	assert.Assert(t, computed > 4 && computed <= 20, "computed %d times in a second", computed)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
