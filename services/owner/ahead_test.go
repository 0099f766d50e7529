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

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

// countStarts returns workers that report each start order which they accept.
func countStarts(workers port.Workers, started func()) port.Workers {
	return port.Workers{Open: func(of worker.Worker) *port.Link {
		l := workers.Open(of)
		start := l.Start
		l.Start = func(ctx context.Context, s port.Start) port.Response {
			r := start(ctx, s)
			if r.Result == port.Accepted {
				started()
			}
			return r
		}
		return l
	}}
}

// addWorkers adds workers of one size to a world, and returns their entries.
func addWorkers(w *world.World, count int, size job.Size) []worker.Worker {
	var listed []worker.Worker
	for n := range count {
		name := fmt.Sprint("m-", n)
		id := w.AddWorker(name, "p", "r-0", size)
		listed = append(listed, worker.Worker{ID: id, Pool: "p", Instance: name, Address: string(id), Capacity: size})
	}
	return listed
}

// meanGap serves a surge beside a store whose appends take 0.37 s, 46 times as long as usual in the
// model: four workers with eight tasks of 0.6 s each, and ten times that waiting. It returns the mean
// time between the end of a run and the beginning of the next one in its place.
func meanGap(t *testing.T, noAhead bool) time.Duration {
	const (
		workers, places = 4, 8
		runTime         = 600 * time.Millisecond
		storeLatency    = 366 * time.Millisecond
		from, until     = 2 * time.Second, 10 * time.Second // of the slow store
	)
	var starts atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		w, size := world.New(1), job.Size{CPU: 16000, MemoryMB: 65536}
		o := open(t, w)
		o.pool.Limits.NoAhead = noAhead
		var counting atomic.Bool
		o.Workers = countStarts(o.Workers, func() {
			if counting.Load() {
				starts.Add(1)
			}
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- o.Run(ctx) }()
		queues := []config.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Stretch: 1.6, BaseObjective: time.Second}}
		o.Configure(config.New(1, queues, []config.Pool{{Name: "p"}}, config.Limits{}))
		o.UpdateWorkers(ctx, addWorkers(w, workers, size), true)
		time.Sleep(time.Second)
		for n := range 80 {
			s := job.Submission{ID: job.ID(fmt.Sprintf("%016x", n)), Queue: "h/q/", Steps: []job.Step{
				{Count: places, Size: job.Size{CPU: size.CPU / places, MemoryMB: 100}, Estimate: runTime},
			}}
			w.RecordSubmission(s)
			go func() { _ = o.Submit(ctx, s) }()
		}
		time.Sleep(time.Second)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = storeLatency })
		time.Sleep(from)
		counting.Store(true)
		time.Sleep(until - from)
		counting.Store(false)
		assert.DeepEqual(t, w.Violations(), []string(nil))
		cancel()
		<-ended
	})
	return workers*places*(until-from)/time.Duration(max(starts.Load(), 1)) - runTime
}

// TestSurgeOnASlowStoreLeavesNoGaps guards against workers that wait for the store between two runs, as
// long as a run takes. The load is a surge beside a slow store.
func TestSurgeOnASlowStoreLeavesNoGaps(t *testing.T) {
	before, after := meanGap(t, true), meanGap(t, false)
	t.Logf("between two runs: %s, with tasks placed ahead %s", before, after)
	assert.Assert(t, after < 100*time.Millisecond && after < before/4, "between two runs: %s, with tasks placed ahead %s", before, after)
}
