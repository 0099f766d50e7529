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

// The load of these tests: a pool of four workers completes about 6.7 jobs a second. Each job has
// an objective of 1.6 times its work plus 0.6 s.
const (
	loadWorkers   = 4
	loadEstimate  = 600 * time.Millisecond
	loadObjective = 1560 * time.Millisecond
	loadDuration  = 40 * time.Second
)

// outcome holds the shares of the submitted jobs that completed within the objective, that
// completed within three times the objective, and that were accepted.
type outcome struct{ inTime, late, accepted float64 }

// load submits jobs to a pool and counts the outcomes.
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

// serveLoad submits the given number of jobs per second for each customer for loadDuration, and
// returns the outcomes.
func serveLoad(t *testing.T, perSecond map[string]int, customers ...config.Customer) map[string]outcome {
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
		callers.Go(func() { l.submitJobs(customer, rate) })
	}
	callers.Wait()
	l.jobs.Wait()
	cancel()
	<-ended
	shares := make(map[string]outcome)
	for customer, c := range l.counts {
		n := loadDuration.Seconds() * float64(perSecond[customer])
		shares[customer] = outcome{c.inTime / n, c.late / n, c.accepted / n}
	}
	return shares
}

// submitJobs submits the jobs of one customer.
func (l *load) submitJobs(customer string, perSecond int) {
	for range int(loadDuration.Seconds()) * perSecond {
		l.mu.Lock()
		l.number++
		id := job.ID(fmt.Sprintf("%016x", l.number))
		l.mu.Unlock()
		s := job.Submission{ID: id, Queue: "h/q/", Customer: customer, Spec: "s", Steps: []job.Step{{Count: 8, Size: job.Size{CPU: 2000, MemoryMB: 100}, Estimate: loadEstimate}}}
		l.world.RecordSubmission(s)
		l.jobs.Go(func() { l.submitJob(s) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// submitJob submits one job and waits for its end, up to three times the objective.
func (l *load) submitJob(s job.Submission) {
	began := time.Now()
	if err := l.owner.Submit(l.ctx, s); err != nil {
		e := errkind.Of(err)
		assert.Check(l.t, e.Kind == errkind.Overloaded && e.RetryDelay() > 0 && time.Since(began) < 10*time.Millisecond, "%v", err)
		return
	}
	l.count(s.Customer, func(o *outcome) { o.accepted++ })
	for time.Since(began) < 3*loadObjective {
		if state, err := l.owner.State(l.ctx, s.ID, s.Customer); err == nil && state.Final() {
			l.count(s.Customer, func(o *outcome) {
				o.late++
				if time.Since(began) <= loadObjective {
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

// TestOverloadServesSomeInTime guards against an overloaded pool that completes nothing in time.
// Under three times the load that the pool can serve, it still completes jobs within the objective,
// instead of completing each as late as is of value. It rejects the other jobs at once, with a
// retry time.
func TestOverloadServesSomeInTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		o := serveLoad(t, map[string]int{"": 20})[""]
		t.Logf("%+v", o)
		assert.Assert(t, o.inTime > 0.2, "%.2f", o.inTime)
		assert.Assert(t, o.accepted < 0.6, "%.2f", o.accepted)
	})
}

// TestSmallOverloadServesAll guards against a pool that drops late jobs under a load slightly above
// its capacity: late jobs complete at the last moment, and none is lost.
func TestSmallOverloadServesAll(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		o := serveLoad(t, map[string]int{"": 7})[""]
		assert.Assert(t, o.late > 0.97, "%.2f", o.late)
		assert.Equal(t, o.accepted, 1.0)
	})
}

// floodTimes is how many times its share of the pool the flooding customer submits.
const floodTimes = 100

// TestFloodDoesNotAffectOtherCustomers guards against one customer's load delaying others. Of five
// customers with equal shares, one submits 100 times its share. The other four together use less
// than their shares and are served as if the fifth were absent; it gets the remaining capacity.
func TestFloodDoesNotAffectOtherCustomers(t *testing.T) {
	t.Parallel()
	typical := map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}
	customers := []config.Customer{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "flood"}}
	synctest.Test(t, func(t *testing.T) {
		flooded := maps.Clone(typical)
		flooded["flood"] = floodTimes
		with := serveLoad(t, flooded, customers...)
		t.Logf("%+v", with)
		for customer := range typical {
			assert.Equal(t, with[customer].accepted, 1.0, customer)
			assert.Assert(t, with[customer].inTime > 0.95, "%s: %.2f", customer, with[customer].inTime)
		}
		assert.Assert(t, with["flood"].late > 0.5/floodTimes, "%.3f", with["flood"].late)
	})
}
