// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
	"github.com/yardbridge/yardbridge/standin/world"
)

func submission(id string) job.Submission {
	return job.Submission{ID: job.ID(id), Queue: "h/q/", Spec: "s", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 100}, Estimate: time.Second}}}
}

// open returns an owner of a pool on a simulated platform.
func open(t testing.TB, w *world.World) *Owner {
	t.Helper()
	store := w.Store("n1")
	o := &Owner{
		Pool: "p", Journal: &journal.Journal{Partition: port.Partition{Topic: "t"}, Store: store, Logger: log.Nop()},
		Workers: w.Workers("n1"), Advisor: w.Advisor(), Logger: log.Nop(), Clock: clock.Clock{},
		Limits: scheduler.Limits{Lease: 4 * time.Second, Retention: time.Minute},
	}
	assert.NilError(t, o.Claim(t.Context(), "n1"))
	return o
}

// TestWithdrawnJobIsAcceptedByNoCall guards against a false acceptance: two calls submit one job
// while the store does not respond. The first call withdraws the job, so the second must not report
// it as persisted.
func TestWithdrawnJobIsAcceptedByNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		o := open(t, w)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- o.Run(ctx) }()
		assert.NilError(t, o.Submit(ctx, submission("1")))

		w.SetFaults("n1", func(f *world.Faults) { f.StoreUnresponsive = true })
		first, second, carried := make(chan error, 1), make(chan error, 1), make(chan error, 1)
		go func() { carried <- o.Submit(ctx, submission("2")) }()
		time.Sleep(100 * time.Millisecond) // an append carries job 2, and none carries job 3 yet
		go func() { first <- o.Submit(ctx, submission("3")) }()
		time.Sleep(50 * time.Millisecond)
		go func() { second <- o.Submit(ctx, submission("3")) }()
		assert.Assert(t, errkind.Is(<-first, errkind.LogUnavailable))

		w.SetFaults("n1", func(f *world.Faults) { f.StoreUnresponsive = false })
		assert.NilError(t, <-carried)
		assert.NilError(t, o.Submit(ctx, submission("4")))
		assert.Assert(t, errkind.Is(<-second, errkind.LogUnavailable))
		_, err := o.State(ctx, "3", "")
		assert.Assert(t, errkind.Is(err, errkind.Gone))
		cancel()
		<-ended
	})
}

// TestReportOnASlowStore guards against reports that wait for a slow store. The store takes 0.3 s
// to respond, and the holder of the instances role waits 0.4 s for a report. The report must arrive
// at once and must not count a worker as empty whose cordon is not persisted. Otherwise the holder
// would not learn of a surge's demand while the store is slow.
func TestReportOnASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const storeLatency, maxReportTime = 300 * time.Millisecond, 200 * time.Millisecond
		w := world.New(1)
		id := w.AddWorker("m-1", "p", "r-0", job.Size{CPU: 16000, MemoryMB: 65536})
		o := open(t, w)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- o.Run(ctx) }()
		o.UpdateWorkers(ctx, []worker.Worker{{ID: id, Pool: "p", Instance: "m-1", Address: string(id), Capacity: job.Size{CPU: 16000, MemoryMB: 65536}}}, true)
		time.Sleep(time.Second)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = storeLatency })
		began, empty := time.Now(), time.Duration(0)
		for n := uint64(1); empty == 0; n++ {
			requested := time.Now()
			r, err := o.Report(ctx, scheduler.CordonRequest{Epoch: 1, Number: n, Workers: []scheduler.CordonedWorker{{ID: id}}})
			assert.NilError(t, err)
			assert.Assert(t, time.Since(requested) <= maxReportTime, "a report took %s", time.Since(requested))
			assert.Equal(t, len(r.Workers), 1)
			if r.Workers[0].Empty {
				empty = time.Since(began)
			}
		}
		assert.Assert(t, empty >= storeLatency, "the cordon was persisted after %s", empty)
		cancel()
		<-ended
	})
}
