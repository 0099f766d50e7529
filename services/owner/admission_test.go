// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/admission"
	"github.com/yardbridge/yardbridge/services/scheduler"
	"github.com/yardbridge/yardbridge/standin/world"
)

// The load of these tests: two queues, whose jobs take 0.6 s and 2.4 s and have objectives of 1.6 times
// that plus 0.6 s, ask for half of it each. Load 1 is 0.7 of what the pool has room for.
const (
	patternTime    = 20 * time.Second
	patternWorkers = 8
	patternLoad    = 0.7
	burstFrom      = 5 * time.Second
	burstUntil     = 12 * time.Second
	arrivalTime    = 1700 * time.Millisecond // from the request of an instance until it serves
)

var (
	patternQueues = []config.Queue{
		{Name: "short", Host: "h", PathPrefix: "/short/", Pool: "p", Stretch: 1.6, BaseObjective: 600 * time.Millisecond},
		{Name: "long", Host: "h", PathPrefix: "/long/", Pool: "p", Stretch: 1.6, BaseObjective: 600 * time.Millisecond},
	}
	patternEstimates = map[string]time.Duration{"short": 600 * time.Millisecond, "long": 2400 * time.Millisecond}
	patternSize      = job.Size{CPU: 2000, MemoryMB: 100}
	instanceSize     = job.Size{CPU: 16000, MemoryMB: 65536}
)

// floodCustomer is the customer that floods the pool.
const floodCustomer = "flood"

// patternTasks is the number of tasks of a job.
const patternTasks = 4

// pattern is a load on a pool.
type pattern struct {
	name      string
	customers map[string]float64 // load of each customer
	burst     map[string]float64 // factor of a queue's load between burstFrom and burstUntil
	instances int                // that are free elsewhere
	slowStore time.Duration      // latency of the store between burstFrom and burstUntil
}

// results are the counts of one customer's jobs, or of all, by queue.
type results struct {
	submitted, accepted, inTime, ended int
	work                               float64 // core-seconds of the jobs that were in time
}

func (r *results) add(o results) {
	r.submitted += o.submitted
	r.accepted += o.accepted
	r.inTime += o.inTime
	r.ended += o.ended
	r.work += o.work
}

// trial serves a pattern.
type trial struct {
	t     *testing.T
	world *world.World
	owner *Owner
	ctx   context.Context
	pattern
	jobs sync.WaitGroup

	mu     sync.Mutex
	number int
	free   int                            // instances that were not requested yet
	room   float64                        // core-seconds that the pool's workers had
	counts map[string]map[string]*results // by customer and queue
}

// servePattern serves a pattern under a policy, and returns the results by customer and queue and what
// the pool had room for, in core-seconds.
func servePattern(t *testing.T, p pattern, policy admission.Policy) (map[string]map[string]*results, float64) {
	w := world.New(1)
	for i := range patternWorkers {
		w.AddWorker(fmt.Sprint("m-", i), "p", "r-0", instanceSize)
	}
	o := open(t, w)
	o.Limits.StopTime = 200 * time.Millisecond
	o.pool.SelectPolicy = func(bool) admission.Policy { return policy }
	ctx, cancel := context.WithCancel(context.Background())
	var customers []config.Customer
	for name := range p.customers {
		customers = append(customers, config.Customer{Name: name})
	}
	o.Configure(config.New(1, patternQueues, []config.Pool{{Name: "p"}}, config.Limits{}).WithCustomers(customers))
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	l := &trial{t: t, world: w, owner: o, ctx: ctx, pattern: p, counts: make(map[string]map[string]*results)}
	l.updateWorkers()
	var fleet, callers sync.WaitGroup
	stop := make(chan struct{})
	fleet.Go(func() { l.serveFleet(stop) })
	time.Sleep(time.Second)
	for customer, load := range p.customers {
		l.counts[customer] = make(map[string]*results)
		for queue := range patternEstimates {
			l.counts[customer][queue] = &results{}
			callers.Go(func() { l.submitAll(customer, queue, load) })
		}
	}
	if p.slowStore > 0 {
		time.AfterFunc(burstFrom, func() { w.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = p.slowStore }) })
		time.AfterFunc(burstUntil, func() { w.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = 0 }) })
	}
	callers.Wait()
	l.jobs.Wait()
	close(stop)
	fleet.Wait()
	cancel()
	<-ended
	assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
	return l.counts, l.room
}

// updateWorkers passes the list of workers to the owner.
func (l *trial) updateWorkers() {
	feeds := l.world.Feeds()
	page, err := l.world.Store("operator").Newest(l.ctx, feeds.Workers, "")
	assert.NilError(l.t, err)
	var list []worker.Worker
	for _, r := range page.Records {
		one, err := feeds.DecodeWorker(r)
		assert.NilError(l.t, err)
		list = append(list, one)
	}
	l.owner.UpdateWorkers(l.ctx, list, true)
}

// serveFleet does what the role for instances does: it brings free instances for work that waits, and
// tells the pool what is on its way and what could come.
func (l *trial) serveFleet(stop <-chan struct{}) {
	const period = 125 * time.Millisecond
	began, added, open := time.Now(), 0, -patternWorkers
	var due []time.Time // when each requested instance serves
	for n := uint64(1); ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(period):
		}
		for added < len(due) && !time.Now().Before(due[added]) {
			l.world.AddWorker(fmt.Sprint("free-", added), "p", "r-0", instanceSize)
			added++
			l.updateWorkers()
		}
		if at := time.Since(began); at > time.Second && at < time.Second+patternTime {
			l.room += float64((patternWorkers+added)*instanceSize.CPU) / 1000 * period.Seconds()
		}
		request := scheduler.CordonRequest{Epoch: 1, Number: n}
		if open < 0 {
			request.Arriving = []capacity.Change{{Size: instanceSize.Times(-open)}}
		}
		for _, at := range due[max(open, 0):] {
			request.Arriving = append(request.Arriving, capacity.Change{After: time.Until(at), Size: instanceSize})
		}
		l.mu.Lock()
		l.free = l.instances - len(due)
		l.mu.Unlock()
		if l.free > 0 {
			request.Potential = []capacity.Change{{After: arrivalTime, Size: instanceSize.Times(l.free)}}
		}
		report, err := l.owner.Report(l.ctx, request)
		if err != nil {
			continue
		}
		open = -patternWorkers
		for _, w := range report.Workers {
			if w.Open {
				open++
			}
		}
		for len(due) < min(l.instances, max(open, 0)+report.Waiting.CPU/instanceSize.CPU) {
			due = append(due, time.Now().Add(arrivalTime))
		}
	}
}

// submitAll submits the jobs of a customer to a queue at random times.
func (l *trial) submitAll(customer, queue string, load float64) {
	began, seed := time.Now(), uint64(0)
	for _, c := range customer + queue {
		seed = seed*31 + uint64(c)
	}
	random := rand.New(rand.NewPCG(1, seed))
	room := float64(patternWorkers*instanceSize.CPU) * patternLoad * load / 2
	rate := room / (float64(patternSize.CPU*patternTasks) * patternEstimates[queue].Seconds())
	for {
		pause := random.ExpFloat64() / rate
		l.mu.Lock()
		l.number++
		id := job.ID(fmt.Sprintf("%016x", l.number))
		l.mu.Unlock()
		if at := time.Since(began); at >= burstFrom && at < burstUntil && l.burst[queue] > 0 {
			pause /= l.burst[queue]
		}
		time.Sleep(time.Duration(pause * float64(time.Second)))
		if time.Since(began) >= patternTime {
			return
		}
		s := job.Submission{
			ID: id, Queue: "h/" + queue + "/", Customer: customer, Spec: "s",
			Steps: []job.Step{{Count: patternTasks, Size: patternSize, Estimate: patternEstimates[queue]}},
		}
		l.world.RecordSubmission(s)
		l.jobs.Go(func() { l.submitOne(s, queue) })
	}
}

// submitOne submits a job and waits for its end.
func (l *trial) submitOne(s job.Submission, queue string) {
	const longest = 30 * time.Second
	began, estimate := time.Now(), patternEstimates[queue]
	objective := time.Duration(1.6*float64(estimate)) + 600*time.Millisecond
	result := results{submitted: 1}
	defer func() {
		l.mu.Lock()
		l.counts[s.Customer][queue].add(result)
		l.mu.Unlock()
	}()
	if err := l.owner.Submit(l.ctx, s); err != nil {
		l.mu.Lock()
		free := l.free
		l.mu.Unlock()
		assert.Check(l.t, free == 0 && errkind.Is(err, errkind.Overloaded) || l.slowStore > 0, "%v, with %d instances free", err, free)
		return
	}
	result.accepted++
	for time.Since(began) < longest {
		if state, err := l.owner.State(l.ctx, s.ID, s.Customer); err == nil && state.Final() {
			result.ended++
			if time.Since(began) <= objective {
				result.inTime++
				result.work = float64(patternSize.CPU*patternTasks) / 1000 * estimate.Seconds()
			}
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// total returns the sum of the results, by queue and of all.
func total(counts map[string]map[string]*results) (byQueue map[string]results, all results) {
	byQueue = make(map[string]results)
	for _, queues := range counts {
		for queue, r := range queues {
			sum := byQueue[queue]
			sum.add(*r)
			byQueue[queue] = sum
			all.add(*r)
		}
	}
	return byQueue, all
}

// patterns returns the patterns of load.
func patterns() []pattern {
	list := []pattern{}
	for _, times := range []float64{0.5, 1, 1.5, 2.5, 4} {
		list = append(list, pattern{name: fmt.Sprint(times, " times all"), customers: map[string]float64{"a": times / 2, "b": times / 2}})
	}
	many := make(map[string]float64) // 2.5 in all, of which the first has 0.7
	for n := range 20 {
		many[fmt.Sprintf("c%02d", n)] = 0.695 / float64(n+1)
	}
	return append(list,
		pattern{name: "2.5 times all of twenty customers", customers: many},
		pattern{name: "a flood of one customer", customers: map[string]float64{"a": 0.15, "b": 0.15, "c": 0.15, "d": 0.15, floodCustomer: 4}},
		pattern{name: "a burst of one queue with free instances elsewhere", customers: map[string]float64{"a": 0.35, "b": 0.35}, burst: map[string]float64{"short": 6}, instances: 16},
		pattern{name: "a burst beside a slow store", customers: map[string]float64{"a": 0.35, "b": 0.35}, burst: map[string]float64{"short": 4}, slowStore: 150 * time.Millisecond},
	)
}

// TestAdmissionByLoad guards against a pool that accepts what it cannot finish in time, or refuses what it
// can, under each pattern of load.
func TestAdmissionByLoad(t *testing.T) {
	t.Parallel()
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				counts, room := servePattern(t, p, admission.Completion)
				logResults(t, p, counts, room)
				checkAims(t, p, counts, room)
			})
		})
	}
}

// TestRefusalIsLoggedAndCounted guards against refusals that an operator cannot trace to their cause, and
// against a return that is not told to the caller.
func TestRefusalIsLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := open(t, world.New(1))
		var lines bytes.Buffer
		logger, err := log.New(&lines, "info", "n1")
		assert.NilError(t, err)
		counts := make(map[string]int)
		o.Logger, o.Count = logger, func(counter string) { counts[counter]++ }
		decision := admission.Decision{Reason: admission.Late, Wait: 5 * time.Second, After: 3 * time.Second}
		o.pool.SelectPolicy = func(bool) admission.Policy {
			return admission.Policy{Decide: func(admission.Request, admission.State) admission.Decision { return decision }}
		}
		refused := errkind.Of(o.Submit(t.Context(), submission("1")))
		assert.Equal(t, refused.Kind, errkind.Overloaded)
		assert.Equal(t, refused.RetryDelay(), 3*time.Second)
		assert.Equal(t, strings.Count(lines.String(), "\n"), 1)
		for _, field := range []string{`"event":"admission"`, `"job":"1"`, `"queue":"h/q/"`, `"wait":5000`, `"after":3000`, `"why":"late"`, `"fleet_known":false`} {
			assert.Assert(t, strings.Contains(lines.String(), field), "%s: %s", field, lines.String())
		}
		decision = admission.Decision{Accepted: true, Reason: admission.InTime}
		_, err = o.submit(t.Context(), submission("1"))
		assert.NilError(t, err)
		assert.DeepEqual(t, counts, map[string]int{"admission.refused.late": 1, "admission.accepted.in-time": 1})
	})
}

// logResults logs a line for all, and one for each customer.
func logResults(t *testing.T, p pattern, counts map[string]map[string]*results, room float64) {
	byQueue, all := total(counts)
	s, l := byQueue["short"], byQueue["long"]
	t.Logf("submitted %d, accepted %.2f, of accepted in time %.2f; in time of submitted: all %.2f, short %.2f, long %.2f; of room %.2f; not ended %d",
		all.submitted, part(all.accepted, all.submitted), part(all.inTime, all.accepted), part(all.inTime, all.submitted),
		part(s.inTime, s.submitted), part(l.inTime, l.submitted), all.work/room, all.accepted-all.ended)
	for customer := range p.customers {
		_, own := total(map[string]map[string]*results{customer: counts[customer]})
		t.Logf("  %s: submitted %d, accepted %.2f, of accepted in time %.2f", customer, own.submitted, part(own.accepted, own.submitted), part(own.inTime, own.accepted))
	}
}

// The aims.
const (
	aimOfAccepted = 0.9  // of what is accepted is in time
	aimOfRoom     = 0.8  // of what the pool has room for is in time, if more is asked for
	aimOfBurst    = 0.98 // of a burst that instances elsewhere suffice for is accepted
	aimOfOthers   = 0.9  // of what other customers than a flooding one submit is in time
)

func checkAims(t *testing.T, p pattern, counts map[string]map[string]*results, room float64) {
	t.Helper()
	_, all := total(counts)
	load := 0.0
	for _, l := range p.customers {
		load += l * patternLoad
	}
	assert.Equal(t, all.accepted, all.ended, "accepted jobs that did not end")
	assert.Assert(t, part(all.inTime, all.accepted) >= aimOfAccepted, "of %d accepted, %d in time", all.accepted, all.inTime)
	if len(p.burst) == 0 && load <= patternLoad {
		assert.Equal(t, all.accepted, all.submitted, "refused with room for all")
	}
	if p.instances > 0 {
		assert.Assert(t, part(all.accepted, all.submitted) > aimOfBurst, "refused %d of %d", all.submitted-all.accepted, all.submitted)
	}
	if load > 1 {
		assert.Assert(t, all.work >= aimOfRoom*room, "%.0f core-seconds of %.0f", all.work, room)
	}
	if p.customers[floodCustomer] > 0 {
		for customer := range p.customers {
			_, own := total(map[string]map[string]*results{customer: counts[customer]})
			assert.Assert(t, customer == floodCustomer || part(own.inTime, own.submitted) >= aimOfOthers, "%s: %+v", customer, own)
		}
	}
}

func part(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
