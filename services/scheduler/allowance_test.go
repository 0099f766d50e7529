// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/lending"
)

// withLimit returns a version of the configuration in which the customer "c" has a limit.
func withLimit(version uint64, cpu int) *config.Config {
	c := config.New(version, testConfig.Queues, testConfig.Pools, config.Limits{})
	return c.WithCustomers([]config.Customer{{Name: "c", Limit: job.Size{CPU: cpu}}})
}

// TestNextHolderKeepsALoweredAllowance guards against an allowance above a lowered limit (QUOTA).
// The role for instances changes after the pool has accepted the allowances for a lowered limit, and
// before it has persisted them: the next holder must not set the persisted ones again for the new
// limit.
func TestNextHolderKeepsALoweredAllowance(t *testing.T) {
	d := newTestPool(t, 1)
	d.Configure(withLimit(2, 12000))
	d.SetAllowances(quota.Allowances{Epoch: 1, Revision: 1, Version: 2, ByCustomer: map[string]job.Size{"c": {CPU: 10000}}})
	d.persist()
	lowered := withLimit(3, 8000)
	d.Configure(lowered)
	d.SetAllowances(quota.Allowances{Epoch: 1, Revision: 2, Version: 3, ByCustomer: map[string]job.Size{"c": {}}})

	next := lending.Lender{Epoch: 2, Logger: log.Nop()}
	for range 3 {
		next.ApplyReport("p", d.QuotaReport(next.Query("p"), d.now), d.now)
		_, err := next.Plan(lowered, d.now)
		assert.NilError(t, err)
		if q := next.Query("p"); q.Allowances != nil {
			d.SetAllowances(*q.Allowances)
		}
		allowed := d.allowances.current.For("c", job.Size{CPU: 8000})
		assert.Assert(t, d.paused("c") || allowed.CPU <= 8000, "the pool may use %d of 8000", allowed.CPU)
		d.persist()
	}
}

// newTestPoolAtLimit returns a pool with the worker "a", in which the customer "c" may use a part of its
// limit of four cores.
func newTestPoolAtLimit(t *testing.T, cpu int) *testPool {
	d := newTestPool(t, 1)
	d.Configure(withLimit(2, 4000))
	d.SetAllowances(quota.Allowances{Epoch: 1, Revision: 1, Version: 2, ByCustomer: map[string]job.Size{"c": {CPU: cpu}}})
	d.listWorker("a")
	return d
}

// submitFor submits a job of the customer "c", of one step or one gang.
func (d *testPool) submitFor(id job.ID, count int, gang bool) {
	d.Submit(job.Submission{ID: id, Queue: "h/q/", Customer: "c", Steps: []job.Step{{Count: count, Size: job.Size{CPU: 1000}, Estimate: time.Second, Gang: gang}}}, d.now)
}

// TestGangIsNotStarvedAtTheLimit guards against a gang that is accepted and not begun for minutes
// (LOST): smaller tasks of its customer use what becomes free of the allowance before it is enough
// for the gang.
func TestGangIsNotStarvedAtTheLimit(t *testing.T) {
	d := newTestPoolAtLimit(t, 4000)
	d.listWorker("b")
	d.submitFor("small", 100, false)
	d.startAll("a")
	d.startAll("b")
	d.submitFor("gang", 3, true)
	for n := 0; len(d.jobs["gang"].active) == 0; n++ {
		assert.Assert(t, n < 20, "the gang has not started")
		d.now = d.now.Add(500 * time.Millisecond)
		d.finishOne()
		d.startAll("a")
		d.startAll("b")
	}
	d.finishOne()
	d.startAll("a")
	assert.Assert(t, len(d.jobs["small"].active) > 0, "the other tasks stay held")
}

// TestHoldForAGangSparesLongRunningTasks guards against a long-running task that is away for the time of
// a hold (LOST): it starts again although a gang of its customer waits for the limit.
func TestHoldForAGangSparesLongRunningTasks(t *testing.T) {
	d := newTestPoolAtLimit(t, 2000)
	d.submitFor("gang", 3, true)
	d.persist()
	d.now = d.now.Add(gangLimitWait)
	d.Submit(job.Submission{ID: "lasting", Queue: "h/q/", Customer: "c", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 1000}, LongRunning: true}}}, d.now)
	d.submitFor("small", 1, false)
	assert.DeepEqual(t, d.startAll("a"), []string{"lasting.0.0.0"})
}

// TestHoldForAGangEnds guards against a customer whose tasks wait without end for a gang that its
// allowance never permits.
func TestHoldForAGangEnds(t *testing.T) {
	d := newTestPoolAtLimit(t, 2000)
	d.submitFor("gang", 3, true)
	d.submitFor("small", 1000, false)
	held := 0
	for range 400 {
		d.now = d.now.Add(100 * time.Millisecond)
		d.startAll("a")
		if len(d.workers["a"].runs) == 0 {
			held++
		}
		d.finishOne()
	}
	assert.Assert(t, held > 0 && held < 150, "nothing runs in %d of 400 steps", held)
}

// TestHoldForAGangEndsWhereNothingRuns guards against tasks that wait for 3 s although the workers are idle and their
// customer uses nothing (LOST): they are held for a gang that gets no allowance.
func TestHoldForAGangEndsWhereNothingRuns(t *testing.T) {
	d := newTestPoolAtLimit(t, 2000)
	d.submitFor("gang", 3, true)
	d.persist()
	d.now = d.now.Add(gangLimitWait)
	d.submitFor("small", 1, false)
	assert.Equal(t, len(d.startAll("a")), 0, "the gang gets no chance")
	for waited := time.Duration(0); len(d.startAll("a")) == 0; waited += 100 * time.Millisecond {
		assert.Assert(t, waited < 2500*time.Millisecond, "the task waits for %s", waited)
		d.now = d.now.Add(100 * time.Millisecond)
	}
}

// finishOne has one run end as done.
func (d *testPool) finishOne() {
	d.t.Helper()
	for id, w := range d.workers {
		var ended string
		var l worker.PollResult
		for name, u := range w.runs {
			if ended == "" && u.phase == running {
				ended = name
				l.Ends = []worker.EndedRun{{Sequence: w.lastEnd + 1, Task: name, Number: u.number, Reason: worker.Done}}
				continue
			}
			l.Runs = append(l.Runs, worker.Run{Task: name, Number: u.number})
		}
		if ended != "" {
			d.poll(id, l, accepted)
			return
		}
	}
}

// TestEarlierHolderIsExcludedOnceThatIsPersisted guards against use above a limit: the pool tells a new holder of the
// role for instances that it has its allowances, and the pool's next owner takes late ones of the earlier holder,
// although the new one has lent the difference elsewhere.
func TestEarlierHolderIsExcludedOnceThatIsPersisted(t *testing.T) {
	allow := func(epoch, revision uint64, cpu int) quota.Allowances {
		return quota.Allowances{Epoch: epoch, Revision: revision, Version: 2, ByCustomer: map[string]job.Size{"c": {CPU: cpu}}}
	}
	d := newTestPool(t, 1)
	d.Configure(withLimit(2, 4000))
	d.SetAllowances(allow(1, 1, 1000))
	d.persist()
	d.SetAllowances(allow(2, 1, 1000))
	assert.Equal(t, d.QuotaReport(quota.Query{Epoch: 2}, d.now).Allowances.Epoch, uint64(1), "the next owner does not know the new holder's yet")
	d.persist()
	assert.Equal(t, d.QuotaReport(quota.Query{Epoch: 2}, d.now).Allowances.Epoch, uint64(2))
	d = d.succeed(1)
	d.SetAllowances(allow(1, 2, 4000))
	allowed := d.allowances.current.For("c", job.Size{CPU: 4000})
	assert.Equal(t, allowed.CPU, 1000, "the earlier holder's allowances are taken")
}
