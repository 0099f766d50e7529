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
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/budget"
	"github.com/yardbridge/yardbridge/modules/log"
)

// TestFootprintIsTheMost guards against a bound of the memory of accepted jobs that they exceed.
func TestFootprintIsTheMost(t *testing.T) {
	small := job.Size{CPU: 10}
	jobs := map[string]job.Submission{
		"one":    {Steps: []job.Step{{Count: 1, Size: small, Estimate: time.Second}}},
		"usual":  {Spec: "some text", Steps: []job.Step{{Count: 8, Size: small, Estimate: time.Second}, {Count: 16, Size: small, DependsOn: []int{0}, Label: "label"}}},
		"wide":   {Steps: []job.Step{{Count: 9000, Size: small, Estimate: time.Second}}},
		"rounds": {RepeatCount: 500, FirstDue: time.Unix(500, 0), Steps: []job.Step{{Count: 4, Size: small}, {Count: 4, Size: small}}},
	}
	for name, s := range jobs {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			d.Logger = log.Nop()
			copies := max(1, 2000/(s.Rounds()*s.TasksPerRound()))
			grown := heapGrowth(func() {
				for n := range copies {
					s := s
					s.ID, s.Queue, s.Steps = job.ID(fmt.Sprintf("%016x", n)), "h/q/", slices.Clone(s.Steps)
					d.Submit(s, d.now)
					j := d.jobs[s.ID]
					for round := range s.Rounds() {
						r := j.openRound(round)
						for i := range r.steps {
							for index := range r.steps[i].count() {
								o := r.steps[i].task(index)
								o.number, o.failures, o.failedAt = 1, 1, d.now
								o.noteFailedOn(worker.ID(fmt.Sprint("worker-", index%7)))
							}
						}
					}
				}
			})
			assert.Assert(t, grown <= d.Footprint(), "%d bytes, %d at most", grown, d.Footprint())
			runtime.KeepAlive(d)
		})
	}
}

// TestMemoryIsGivenBack guards against jobs that are refused for the memory of jobs that are gone.
func TestMemoryIsGivenBack(t *testing.T) {
	d := newTestPool(t, 1)
	d.Memory = budget.New(1 << 30)
	reserve := func(s job.Submission) {
		assert.Assert(t, d.Reserve(&s))
		d.Submit(s, d.now)
	}
	step := []job.Step{{Count: 4, Size: job.Size{CPU: 100}, Estimate: time.Second}}
	ended := endedFootprint(&job.Submission{Steps: step})
	reserve(job.Submission{ID: "1", Queue: "h/q/", Steps: step})
	reserve(job.Submission{ID: "2", Queue: "h/q/", Steps: step})
	assert.Equal(t, d.Memory.Used(), 2*Footprint(&job.Submission{Steps: step}))
	assert.Assert(t, d.Withdraw("2"))
	d.persist()
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d.persist()
	assert.Equal(t, d.Memory.Used(), ended)

	next := newTestPool(t, 2)
	next.Memory, next.now, next.journal = d.Memory, d.now, d.journal
	assert.NilError(t, next.Restore(slices.Collect(maps.Values(d.journal)), next.now, time.Minute))
	assert.Assert(t, next.Memory.Used() > ended, "a pool that is restored counts")
	d.Close()
	assert.Equal(t, next.Memory.Used(), next.Footprint())
	next.now = next.now.Add(next.Limits.Retention + time.Second)
	next.Plan(next.now)
	assert.Equal(t, next.Memory.Used(), int64(0))
}
