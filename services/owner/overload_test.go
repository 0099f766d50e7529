// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"fmt"
	"maps"
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

// outcome is which share of the jobs that were handed in was done within the objective,
// which within three times of it, and which was accepted.
type outcome struct{ inTime, late, accepted float64 }

// load is a pool under load.
type load struct {
	t     *testing.T
	world *world.World
	owner *Owner
	ctx   context.Context
	jobs  sync.WaitGroup

	mu     sync.Mutex
	number int
	counts map[string]*outcome // of jobs, by customer
}

// served has callers hand in so many jobs a second for each customer for a while, and
// returns what came of them.
func served(t *testing.T, perSecond map[string]int, customers ...config.Customer) map[string]outcome {
	w := world.New(1)
	for i := range loadWorkers {
		w.AddWorker(fmt.Sprint("m-", i), "p", "r-0", job.Size{CPU: 16000, MemoryMB: 65536})
	}
	o := open(t, w)
	o.Limits.StopTime = 200 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	queues := []config.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Stretch: 1.6, BaseObjective: 600 * time.Millisecond}}
	o.Configure(config.New(1, queues, []config.Pool{{Name: "p"}}, config.Limits{}).WithCustomers(customers))
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
	o.UpdateWorkers(ctx, list, true)
	time.Sleep(time.Second)
	l := &load{t: t, world: w, owner: o, ctx: ctx, counts: make(map[string]*outcome)}
	var callers sync.WaitGroup
	for customer, rate := range perSecond {
		l.counts[customer] = &outcome{}
		callers.Go(func() { l.press(customer, rate) })
	}
	callers.Wait()
	l.jobs.Wait()
	cancel()
	<-ended
	shares := make(map[string]outcome)
	for customer, c := range l.counts {
		n := loadLast.Seconds() * float64(perSecond[customer])
		shares[customer] = outcome{c.inTime / n, c.late / n, c.accepted / n}
	}
	return shares
}

// press hands in the jobs of one customer.
func (l *load) press(customer string, perSecond int) {
	for range int(loadLast.Seconds()) * perSecond {
		l.mu.Lock()
		l.number++
		id := job.ID(fmt.Sprintf("%016x", l.number))
		l.mu.Unlock()
		s := job.Submission{ID: id, Queue: "h/q/", Customer: customer, Spec: "s", Steps: []job.Step{{Count: 8, Size: job.Size{CPU: 2000, MemoryMB: 100}, Estimate: loadTakes}}}
		l.world.RecordSubmission(s)
		l.jobs.Go(func() { l.one(s) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// one hands in one job and waits for its end, as long as that is of use.
func (l *load) one(s job.Submission) {
	began := time.Now()
	if err := l.owner.Submit(l.ctx, s); err != nil {
		e := errkind.Of(err)
		assert.Check(l.t, e.Kind == errkind.Overloaded && e.RetryDelay() > 0 && time.Since(began) < 10*time.Millisecond, "%v", err)
		return
	}
	l.count(s.Customer, func(o *outcome) { o.accepted++ })
	for time.Since(began) < 3*loadAim {
		if state, err := l.owner.State(l.ctx, s.ID, s.Customer); err == nil && state.Final() {
			l.count(s.Customer, func(o *outcome) {
				o.late++
				if time.Since(began) <= loadAim {
					o.inTime++
				}
			})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *load) count(customer string, add func(o *outcome)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(l.counts[customer])
}

// TestOverloadServesSomeInTime: where three times as much comes for long as a pool can
// do, what it can do is done in time, and not all of it at the last moment; the rest is
// refused at once, with a time to come back.
func TestOverloadServesSomeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := served(t, map[string]int{"": 20})[""]
		t.Logf("%+v", o)
		assert.Assert(t, o.inTime > 0.2, "%.2f", o.inTime)
		assert.Assert(t, o.accepted < 0.6, "%.2f", o.accepted)
	})
}

// TestSmallOverloadServesAll: where a little more comes than a pool can do, late jobs
// are done at the last moment, and none is left.
func TestSmallOverloadServesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := served(t, map[string]int{"": 7})[""]
		assert.Assert(t, o.late > 0.97, "%.2f", o.late)
		assert.Equal(t, o.accepted, 1.0)
	})
}

// floodTimes is how many times its share of the pool the customer hands in that floods it.
const floodTimes = 100

// TestFloodTakesNothingFromOthers: of five customers with the same share one hands in 100
// times its own. The others, who together use less than their shares, are served as if it
// were not there, and it gets what they leave.
func TestFloodTakesNothingFromOthers(t *testing.T) {
	calm := map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}
	customers := []config.Customer{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "flood"}}
	synctest.Test(t, func(t *testing.T) {
		flooded := maps.Clone(calm)
		flooded["flood"] = floodTimes
		with := served(t, flooded, customers...)
		t.Logf("%+v", with)
		for customer := range calm {
			assert.Equal(t, with[customer].accepted, 1.0, customer)
			assert.Assert(t, with[customer].inTime > 0.95, "%s: %.2f", customer, with[customer].inTime)
		}
		assert.Assert(t, with["flood"].late > 0.5/floodTimes, "%.3f", with["flood"].late)
	})
}
