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

// open returns an owner of a pool in a model of the platform.
func open(t *testing.T, w *world.World) *Owner {
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

// TestWithdrawnJobIsAcceptedByNoCall has two calls submit one job while the store
// does not answer: the first takes the job back, so that the second must not be
// told that it is kept.
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
		time.Sleep(100 * time.Millisecond) // an append carries job 2, and none yet job 3
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

// TestReportOnASlowStore: the store's answers take 0.3 s, and the holder of the duty for instances
// waits 0.4 s for a report. It has one at once, in which no worker is empty whose cordon is not
// kept yet; in a rush it would learn no need else for as long as the store is slow.
func TestReportOnASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answer, patience = 300 * time.Millisecond, 200 * time.Millisecond
		w := world.New(1)
		id := w.AddWorker("m-1", "p", "r-0", job.Size{CPU: 16000, MemoryMB: 65536})
		o := open(t, w)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- o.Run(ctx) }()
		o.UpdateWorkers(ctx, []worker.Worker{{ID: id, Pool: "p", Instance: "m-1", Address: string(id), Capacity: job.Size{CPU: 16000, MemoryMB: 65536}}}, true)
		time.Sleep(time.Second)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = answer })
		began, empty := time.Now(), time.Duration(0)
		for n := uint64(1); empty == 0; n++ {
			asked := time.Now()
			r, err := o.Report(ctx, scheduler.CordonRequest{Epoch: 1, Number: n, Workers: []scheduler.CordonedWorker{{ID: id}}})
			assert.NilError(t, err)
			assert.Assert(t, time.Since(asked) <= patience, "a report took %s", time.Since(asked))
			assert.Equal(t, len(r.Workers), 1)
			if r.Workers[0].Empty {
				empty = time.Since(began)
			}
		}
		assert.Assert(t, empty >= answer, "the cordon was kept after %s", empty)
		cancel()
		<-ended
	})
}
