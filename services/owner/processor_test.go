// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/BurntSushi/toml"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/scheduler"
	"github.com/yardbridge/yardbridge/standin/world"
)

// processorScript is a load on an owner whose processor has a budget.
type processorScript struct {
	Workers, Places, Tasks int           // places of a worker, tasks of a job
	RunTime                time.Duration `toml:"run_time"`
	Speed                  float64       // of the owner's processor, in cores
	Starts                 float64       // a second, at a load of 1
	Costs                  struct {
		Timer, Order, Poll, Append, Record, Line time.Duration
		Plan                                     time.Duration
		Examined                                 time.Duration // for each worker and each run that a plan looks at
	}
	Phase []struct {
		Load  float64
		For   time.Duration
		Stall time.Duration // of other work that takes the processor
		Every time.Duration // from one stall to the next
		Store time.Duration // by which the store is slower than usual
	}
}

// budgetedOwner is an owner on a processor with a budget.
type budgetedOwner struct {
	*Owner
	script    processorScript
	world     *world.World
	processor *world.Processor
	counted   scheduler.Work // that the processor has been charged for
	starts    atomic.Int64
	submitted int
	ahead     int // tasks placed ahead; guarded by the owner's lock
}

// newBudgetedOwner opens a pool and its workers.
func newBudgetedOwner(ctx context.Context, t *testing.T, s processorScript) *budgetedOwner {
	w, c := world.New(1), s.Costs
	b := &budgetedOwner{Owner: open(t, w), script: s, world: w, processor: &world.Processor{
		Speed: s.Speed, Costs: world.Costs{Timer: c.Timer, Order: c.Order, Poll: c.Poll, Append: c.Append, Record: c.Record, Line: c.Line},
	}}
	logger, err := log.New(b.processor, "info", "n1")
	assert.NilError(t, err)
	b.Logger, b.pool.Logger, b.Clock = logger, logger, b.processor.Clock()
	b.Journal.Store = b.processor.Store(b.Journal.Store)
	b.Workers = b.processor.Workers(countStarts(b.Workers, func() { b.starts.Add(1) }))
	b.Observe = b.chargePlan
	b.pool.Increment = func(counter string) {
		if counter == "ahead.placed" {
			b.ahead++
		}
	}
	queues := []config.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Stretch: 1.6, BaseObjective: 600 * time.Millisecond}}
	b.Configure(config.New(1, queues, []config.Pool{{Name: "p"}}, config.Limits{}))
	b.UpdateWorkers(ctx, addWorkers(w, s.Workers, job.Size{CPU: 1000 * s.Places, MemoryMB: 65536}), true)
	return b
}

// chargePlan charges the processor for a plan. The owner's lock is held.
func (b *budgetedOwner) chargePlan(what string, _ time.Duration, _ string) {
	if what != "owner.plan" {
		return
	}
	w := b.pool.Work().Minus(b.counted)
	b.counted = b.pool.Work()
	b.processor.Charge(time.Duration(w.Plans)*b.script.Costs.Plan + time.Duration(w.Examined)*b.script.Costs.Examined)
}

// submit submits jobs at a load for some time.
func (b *budgetedOwner) submit(ctx context.Context, load float64, d time.Duration) {
	s := b.script
	gap := time.Duration(float64(s.Tasks) / (load * s.Starts) * float64(time.Second))
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(gap) {
		b.submitted++
		submission := job.Submission{ID: job.ID(fmt.Sprintf("%016x", b.submitted)), Queue: "h/q/", Steps: []job.Step{
			{Count: s.Tasks, Size: job.Size{CPU: 1000, MemoryMB: 100}, Estimate: s.RunTime},
		}}
		b.world.RecordSubmission(submission)
		go func() { _ = b.Submit(ctx, submission) }()
	}
}

// playProcessorScript plays a script, with its stalls or without, and returns how many tasks were started in each phase.
// Tasks may be placed ahead only if the store is slow.
func playProcessorScript(t *testing.T, s processorScript, stalls, noAhead bool) []float64 {
	var starts []float64
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newBudgetedOwner(ctx, t, s)
		b.pool.Limits.NoAhead = noAhead
		ended := make(chan error, 1)
		go func() { ended <- b.Run(ctx) }()
		time.Sleep(time.Second)
		slow := false // in any phase
		for _, p := range s.Phase {
			before := b.starts.Load()
			b.world.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = p.Store })
			slow = slow || p.Store > 0
			for at := time.Duration(0); stalls && p.Stall > 0 && at < p.For; at += p.Every {
				time.AfterFunc(at, func() { b.processor.Charge(p.Stall) })
			}
			b.submit(ctx, p.Load, p.For)
			starts = append(starts, float64(b.starts.Load()-before))
		}
		b.mu.Lock()
		work, ahead := b.pool.Work(), b.ahead
		b.mu.Unlock()
		t.Logf("starts by phase %.0f, %+v, placed ahead %d", starts, work, ahead)
		assert.Check(t, slow || ahead == 0, "%d tasks are placed ahead, as if the store were slow", ahead)
		assert.Check(t, is.DeepEqual(b.world.Violations(), []string(nil)))
		cancel()
		<-ended
		time.Sleep(time.Second) // what waits for the processor ends
	})
	return starts
}

// TestStalledOwnerGoesOnStarting guards against an owner without processor time that does work which gains nothing, such
// as placing tasks ahead, and starts a tenth of what it could. It must start nine tenths of that beyond its limit, and after the surge.
func TestStalledOwnerGoesOnStarting(t *testing.T) {
	t.Parallel()
	var s processorScript
	_, err := toml.DecodeFile("testdata/stalled_owner.toml", &s)
	assert.NilError(t, err)
	calm, stalled := playProcessorScript(t, s, false, false), playProcessorScript(t, s, true, false)
	surged := false
	for n, p := range s.Phase {
		if p.Stall == 0 {
			assert.Check(t, !surged || stalled[n] >= 0.9*calm[n], "%.0f tasks were started after the surge, %.0f without the stalls", stalled[n], calm[n])
			continue
		}
		surged = true
		lost := float64(p.Stall) / s.Speed / float64(p.Every)
		want := 0.9 * calm[n] * (1 - lost)
		assert.Assert(t, stalled[n] >= want, "%.0f tasks were started, %.0f without the stall; at least %.0f are wanted", stalled[n], calm[n], want)
	}
}

// TestPlacingAheadIsWorthItsProcessorTime guards against an owner at its limit that loses more by placing tasks ahead, for
// a store that is slow, than the workers gain that need not wait for it.
func TestPlacingAheadIsWorthItsProcessorTime(t *testing.T) {
	t.Parallel()
	var s processorScript
	_, err := toml.DecodeFile("testdata/slow_store_at_the_limit.toml", &s)
	assert.NilError(t, err)
	without, with := playProcessorScript(t, s, false, true), playProcessorScript(t, s, false, false)
	for n, p := range s.Phase {
		if p.Store > 0 {
			assert.Check(t, with[n] >= 0.9*without[n], "%.0f tasks were started, %.0f with nothing placed ahead", with[n], without[n])
		}
	}
}
