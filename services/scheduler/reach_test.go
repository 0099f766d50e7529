// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/models/worker"
)

// unservable are steps that a pool of one worker of four cores can't run.
var unservable = map[string]job.Step{
	"larger than any worker":       {Count: 50, Size: job.Size{CPU: 4001}, Estimate: time.Second},
	"more per worker":              {Count: 50, Size: job.Size{CPU: 4001}, MaxPerWorker: 1, Estimate: time.Second},
	"lasts":                        {Count: 50, Size: job.Size{CPU: 4001}, LongRunning: true},
	"a gang larger than the fleet": {Count: 13, Size: job.Size{CPU: 1000}, Gang: true, Estimate: time.Second},
}

// hearPotential has the holder of the role for instances tell what it could bring.
func (d *testPool) hearPotential(cpu int) {
	d.t.Helper()
	_, err := d.Cordon(CordonRequest{Epoch: 1, Number: d.lastCordonRequest.Number + 1, Potential: []capacity.Change{{Size: job.Size{CPU: cpu, MemoryMB: 100_000}}}}, d.now)
	assert.NilError(d.t, err)
}

// TestUnservableDemandIsNotReported guards against instances that other pools lose for tasks which no instance can run:
// after some time, in which one that suits them may arrive, they are no demand, and they are again once one has come.
func TestUnservableDemandIsNotReported(t *testing.T) {
	for name, step := range unservable {
		t.Run(name, func(t *testing.T) {
			d := newTestPool(t, 1)
			d.registerWorker()
			demand := func() bool {
				d.hearPotential(8000)
				d.needsPlan = true
				d.persist()
				r := d.Report(CordonRequest{}, d.now)
				return r.Waiting.Plus(r.Required).Plus(r.Overdue).Plus(r.Lasting).Plus(r.Running) != (job.Size{}) || r.MinWorkers > 0
			}
			d.submitStepTo("q", "1", step)
			assert.Assert(t, demand())
			d.now = d.now.Add(unsuitedAfter)
			assert.Assert(t, !demand())
			d.listWorker("larger")
			d.resizeTo("larger", 60_000)
			assert.Assert(t, demand())
		})
	}
}

// resizeTo lists a worker with another capacity.
func (d *testPool) resizeTo(id worker.ID, cpu int) {
	info := d.workers[id].info
	info.Capacity = job.Size{CPU: cpu, MemoryMB: 100_000}
	d.UpdateWorker(info)
	d.needsPlan = true
}

// TestShrunkWorkersStayInReach guards against a pool that gets no instance while its workers have shrunk.
func TestShrunkWorkersStayInReach(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.resize(1000)
	d.submitStepTo("q", "1", job.Step{Count: 1, Size: job.Size{CPU: 2000}, Estimate: time.Second})
	d.persist()
	d.now = d.now.Add(unsuitedAfter)
	r := d.Report(CordonRequest{}, d.now)
	assert.Assert(t, r.Waiting != (job.Size{}))
}

// TestUnservableDemandIsLentNothing guards against a customer's tasks that wait in one pool while another has its allowance
// for tasks that can't run there (LOST).
func TestUnservableDemandIsLentNothing(t *testing.T) {
	for name, step := range map[string]job.Step{
		"larger than any worker":     {Count: 50, Size: job.Size{CPU: 4001}},
		"a label that no worker has": {Count: 50, Size: job.Size{CPU: 100}, Label: "none"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestPoolAtLimit(t, 4000)
			step.Estimate = time.Second
			d.Submit(job.Submission{ID: "1", Queue: "h/q/", Customer: "c", Steps: []job.Step{step}}, d.now)
			wants := func() bool {
				d.needsPlan = true
				d.persist()
				return d.QuotaReport(quota.Query{Accounts: []string{"c"}}, d.now).Accounts["c"].Demand != (job.Size{})
			}
			assert.Assert(t, wants())
			d.now = d.now.Add(unsuitedAfter)
			assert.Assert(t, !wants())
		})
	}
}

// TestUnservableWorkOverloadsNoPool guards against jobs that are refused although they could be done at once: overdue work that
// can't run counts as a backlog.
func TestUnservableWorkOverloadsNoPool(t *testing.T) {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submitStepTo("q", "sound", job.Step{Count: 4, Size: job.Size{CPU: 1000}, Estimate: time.Hour})
	d.startAll("w")
	d.submitStepTo("q", "unservable", job.Step{Count: 50, Size: job.Size{CPU: 4001}, Estimate: time.Second})
	for range 200 {
		d.now = d.now.Add(100 * time.Millisecond)
		d.needsPlan = true
		d.persist()
	}
	assert.Assert(t, !d.overloaded)
	assert.Equal(t, d.waitingLoad(d.jobs["unservable"], d.now).Work.CPU, 0.0)
}
