// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/standin/world"
)

// The load of these tests: a pool of four workers does some 6.7 jobs a second, each of
// which has an objective of 1.6 times its work and 0.6 s.
const (
	loadWorkers = 4
	loadTakes   = 600 * time.Millisecond
	loadAim     = 1560 * time.Millisecond
	loadLast    = 40 * time.Second
)

// served hands in so many jobs a second for a while, and returns which share was done
// within the objective, which within three times of it, and which was accepted.
func served(t *testing.T, perSecond int) (inTime, late, accepted float64) {
	w := world.New(1)
	for i := range loadWorkers {
		w.AddWorker(fmt.Sprint("m-", i), "p", "r-0", job.Size{CPU: 16000, MemoryMB: 65536})
	}
	o := open(t, w)
	o.Limits.StopTime = 200 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	o.Configure(config.New(1, []config.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Stretch: 1.6, Target: 600 * time.Millisecond}}, []config.Pool{{Name: "p"}}, config.Limits{}))
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	feeds := w.Feeds()
	page, err := w.Store("n1").Newest(ctx, feeds.Workers, "")
	assert.NilError(t, err)
	var list []worker.Worker
	for _, r := range page.Records {
		one, err := feeds.DecodeWorker(r)
		assert.NilError(t, err)
		list = append(list, one)
	}
	o.See(ctx, list, true)
	time.Sleep(time.Second)
	var mu sync.Mutex
	var jobs sync.WaitGroup
	count := 0
	for n := range int(loadLast.Seconds()) * perSecond {
		s := job.Submission{ID: job.ID(fmt.Sprintf("%016x", n+1)), Queue: "h/q/", Spec: "s", Steps: []job.Step{{Count: 8, Size: job.Size{CPU: 2000, MemoryMB: 100}, Estimate: loadTakes}}}
		w.Submitted(s)
		count++
		jobs.Go(func() {
			began := time.Now()
			if err := o.Submit(ctx, s); err != nil {
				e := errkind.Of(err)
				assert.Check(t, e.Kind == errkind.Overloaded && e.After() > 0 && time.Since(began) < 10*time.Millisecond, "%v", err)
				return
			}
			mu.Lock()
			accepted++
			mu.Unlock()
			for time.Since(began) < 3*loadAim {
				if state, err := o.State(ctx, s.ID, ""); err == nil && state.Final() {
					mu.Lock()
					defer mu.Unlock()
					if time.Since(began) <= loadAim {
						inTime++
					}
					late++
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	jobs.Wait()
	cancel()
	<-ended
	return inTime / float64(count), late / float64(count), accepted / float64(count)
}

// TestOverloadServesSomeInTime: where three times as much comes for long as a pool can
// do, what it can do is done in time, and not all of it at the last moment; the rest is
// refused at once, with a time to come back.
func TestOverloadServesSomeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inTime, late, accepted := served(t, 20)
		t.Logf("in time %.2f, at all %.2f, accepted %.2f", inTime, late, accepted)
		assert.Assert(t, inTime > 0.2, "%.2f", inTime)
		assert.Assert(t, accepted < 0.6, "%.2f", accepted)
	})
}

// TestSmallOverloadServesAll: where a little more comes than a pool can do, late jobs
// are done at the last moment, and none is left.
func TestSmallOverloadServesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, late, accepted := served(t, 7)
		assert.Assert(t, late > 0.97, "%.2f", late)
		assert.Equal(t, accepted, 1.0)
	})
}
