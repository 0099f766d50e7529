// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/standin/cputime"
)

// heapGrowth returns by how much a function lets the heap grow, in bytes.
func heapGrowth(do func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	do()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// blockedRounds returns a job of many rounds that are all due, each with five steps, the second of which needs a label that
// no worker has.
func blockedRounds(id job.ID, rounds int) job.Submission {
	step := func(count int, label string, after ...int) job.Step {
		return job.Step{Count: count, Size: job.Size{CPU: 100, MemoryMB: 10}, Estimate: time.Second, Label: label, DependsOn: after}
	}
	return job.Submission{ID: id, Queue: "h/q/", Spec: "s", RepeatCount: rounds, FirstDue: time.Unix(500, 0), Steps: []job.Step{
		step(4, ""), step(32, "none", 0), step(32, "", 1), step(32, "", 2), step(32, "", 3),
	}}
}

// TestTasksThatAreNotStartedTakeNoMemory guards against LOST: the states of tasks that can't be started fill the memory of
// their owner, so that it starts nothing else either.
func TestTasksThatAreNotStartedTakeNoMemory(t *testing.T) {
	jobs := map[string]job.Submission{
		"rounds": blockedRounds("1", 7500),
		"tasks":  {ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 100_000, Size: job.Size{CPU: 100}, Estimate: time.Second, Label: "none"}}},
		"steps":  {ID: "1", Queue: "h/q/", RepeatCount: 90_000, FirstDue: time.Unix(500, 0), Steps: []job.Step{{Count: 10, Size: job.Size{CPU: 100}, Estimate: time.Second, Label: "none"}}},
	}
	const most = 1 << 20 // for which a task has about one byte
	for name, s := range jobs {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			d.registerWorker()
			if name == "rounds" {
				s.Steps[0].Label = "none"
			}
			grown := heapGrowth(func() {
				d.Submit(s, d.now)
				d.persist()
				d.persist()
			})
			assert.Assert(t, grown < most, "%d bytes", grown)
			runtime.KeepAlive(d)
		})
	}
}

// doFirstSteps lets the first step of each round of a job be done, as if its tasks had run.
func (d *testPool) doFirstSteps(j *jobState) {
	for n := range j.sub.Rounds() {
		s := &j.openRound(n).steps[0]
		for i := range s.count() {
			s.task(i).number++
			s.setDone(i)
		}
	}
	j.countOpenSteps()
	d.markDirty(j)
}

// TestBlockedRoundsStayCheap guards against LOST: an owner that spends its processor and its memory on rounds that can't go
// on, so that other jobs of its pool have nothing running. The next owner has the same to do.
func TestBlockedRoundsStayCheap(t *testing.T) {
	const (
		rounds    = 7500
		nodeCores = 0.4                   // of the smallest nodes
		most      = 284 << 20 / 5         // bytes, of such a node's memory
		aBatch    = 20 * time.Millisecond // from one batch to the next, for a processor with the race detector
	)
	d := newTestPool(t, 1)
	d.Logger = log.Nop()
	d.registerWorker()
	s := blockedRounds("1", rounds)
	grown := heapGrowth(func() {
		d.Submit(s, d.now)
		d.persist()
		d.doFirstSteps(d.jobs["1"])
		d.persist()
	})
	assert.Assert(t, grown <= most, "%d bytes, %d at most", grown, most)
	check := func(d *testPool) {
		t.Helper()
		const plans = 20
		took, err := cputime.Of(func() {
			for n := range plans {
				id := job.ID(fmt.Sprint("small-", n))
				d.submit(id, 1)
				d.persist()
				_, err := d.Cancel(id, d.now)
				assert.NilError(t, err)
				d.persist()
			}
		})
		assert.NilError(t, err)
		t.Logf("a batch takes %s", took/(2*plans))
		assert.Assert(t, took/(2*plans) < aBatch, "a batch takes %s", took/(2*plans))
	}
	check(d)
	next := newTestPool(t, 2)
	next.Logger, next.now, next.journal = log.Nop(), d.now, d.journal
	took, err := cputime.Of(func() {
		assert.NilError(t, next.Restore(slices.Collect(maps.Values(d.journal)), next.now, time.Minute))
	})
	assert.NilError(t, err)
	const lease = 4 * time.Second
	assert.Assert(t, took < time.Duration(nodeCores*float64(lease)), "restored in %s", took)
	next.registerWorker()
	check(next)
}
