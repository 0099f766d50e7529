// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
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
	"github.com/yardbridge/yardbridge/services/admission/returns"
	"github.com/yardbridge/yardbridge/services/scheduler"
	"github.com/yardbridge/yardbridge/standin/world"
)

// The pool of a flood: many accepted jobs of some customers wait for few workers.
const (
	floodWorkers   = 60
	floodCustomers = 30
	floodJobs      = 2000
)

// flooded returns the owner of a pool with a backlog and a book of promises, which refuses what arrives. It
// does not run.
func flooded(t testing.TB, decide func(admission.Request, admission.State) admission.Decision) *Owner {
	o := open(t, world.New(1))
	o.Returns = func() bool { return true }
	policy := admission.Completion
	policy.Decide = decide
	o.pool.SelectPolicy = func(bool) admission.Policy { return policy }
	var customers []config.Customer
	for n := range floodCustomers {
		customers = append(customers, config.Customer{Name: fmt.Sprint("c", n), Limit: job.Size{CPU: 400000, MemoryMB: 4000000}})
	}
	o.Configure(config.New(1, patternQueues, []config.Pool{{Name: "p"}}, config.Limits{}).WithCustomers(customers))
	for n := range floodWorkers {
		id := worker.ID(fmt.Sprint("w-", n))
		o.pool.UpdateWorker(worker.Worker{ID: id, Pool: "p", Instance: string(id), Address: string(id), Capacity: instanceSize})
	}
	now := o.Clock.Now()
	for n := range floodJobs {
		o.pool.Submit(floodJob(n, 1), now)
	}
	request := scheduler.CordonRequest{Epoch: 1, Number: 1, Arriving: []capacity.Change{{After: time.Second, Size: instanceSize}}}
	if _, err := o.pool.Cordon(request, now); err != nil {
		t.Fatal(err)
	}
	o.pool.Plan(now)
	return o
}

// floodJob returns a job of the flood.
func floodJob(n, tasks int) job.Submission {
	return job.Submission{
		ID: job.ID(fmt.Sprintf("%016x", n)), Queue: "h/long/", Customer: fmt.Sprint("c", n%floodCustomers), Spec: "s",
		Steps: []job.Step{{Count: tasks, Size: patternSize, Estimate: 2400 * time.Millisecond}},
	}
}

// BenchmarkRefusal refuses jobs in a flood, while promised returns are due, as an owner does under its lock
// for each call.
func BenchmarkRefusal(b *testing.B) {
	const due = 300
	o := flooded(b, func(r admission.Request, s admission.State) admission.Decision {
		d := admission.Completion.Decide(r, s)
		d.Accepted = false
		return d
	})
	now := o.Clock.Now()
	room := capacity.New(now, job.Size{CPU: 1e9, MemoryMB: 1e9}, job.Size{})
	for n := range due {
		r := returns.Request{Job: job.ID(fmt.Sprint("due-", n)), Customer: fmt.Sprint("c", n%floodCustomers), Work: capacity.Work{CPU: 1000}}
		o.promises.Promise(r, 0, room, now.Add(-time.Second))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if _, err := o.submit(b.Context(), floodJob(1_000_000+n, 8)); err == nil {
			b.Fatal("accepted")
		}
	}
}

// TestPollsDoNotWaitForAllSubmissions guards against leases that lapse in a flood of submissions: a poll
// waits for its turn behind one of them, not behind all. Pattern: 200 callers that submit again and again,
// decisions that take two milliseconds.
func TestPollsDoNotWaitForAllSubmissions(t *testing.T) {
	const callers, polls, most = 200, 5, 20
	var decisions atomic.Int64
	o := flooded(t, func(admission.Request, admission.State) admission.Decision {
		decisions.Add(1)
		time.Sleep(2 * time.Millisecond)
		return admission.Decision{Reason: admission.Late, After: time.Second}
	})
	var tasks sync.WaitGroup
	var stop atomic.Bool
	for n := range callers {
		tasks.Go(func() {
			for k := 0; !stop.Load(); k++ {
				_, _ = o.submit(t.Context(), floodJob(1_000_000+n+k*callers, 1)) // refused
			}
		})
	}
	for o.submitting.Load() < callers {
		time.Sleep(time.Millisecond)
	}
	l, fewest := &link{owner: o, id: "w-0"}, int64(callers)
	for range polls {
		before := decisions.Load()
		l.nextPoll()
		fewest = min(fewest, decisions.Load()-before)
	}
	stop.Store(true)
	tasks.Wait()
	assert.Assert(t, fewest <= most, "a poll waited for %d decisions", fewest)
}

// TestTooManySubmissionsAreTurnedAway guards against an owner behind which submissions wait until their
// callers have given up. Pattern: 40 more than may wait arrive while a decision takes long, and a known job.
func TestTooManySubmissionsAreTurnedAway(t *testing.T) {
	const more = 40
	release := make(chan struct{})
	o := flooded(t, func(admission.Request, admission.State) admission.Decision {
		<-release
		return admission.Decision{Accepted: true, Reason: admission.InTime}
	})
	var lines bytes.Buffer
	logger, err := log.New(&lines, "info", "n1")
	assert.NilError(t, err)
	o.Logger = logger
	results := make(chan error)
	submit := func(s job.Submission) {
		_, err := o.submit(t.Context(), s)
		results <- err
	}
	for n := range maxSubmitting + more {
		go submit(floodJob(1_000_000+n, 1))
	}
	for o.submitting.Load() < maxSubmitting+more {
		time.Sleep(time.Millisecond)
	}
	go submit(floodJob(0, 1))
	close(release)
	turnedAway := 0
	for range maxSubmitting + more + 1 {
		if err := <-results; err != nil {
			assert.Assert(t, errkind.Is(err, errkind.Overloaded) && errkind.Of(err).Kind.Response().Outcome == errkind.NotRun, "%v", err)
			turnedAway++
		}
	}
	assert.Equal(t, turnedAway, more)
	assert.Assert(t, strings.Contains(lines.String(), `"event":"behind","work":"submission"`), lines.String())
	assert.Equal(t, o.submitting.Load(), int64(0))
}

// TestRefusedCallerThatRepeatsIsNotWeighedAgain guards against decisions that callers cause by repeating
// what has just been refused, and against work that counts as arriving with each repetition. Pattern: a
// caller whose time limit ends first comes back each 50 ms for a second, beside another customer's same id.
func TestRefusedCallerThatRepeatsIsNotWeighedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decisions := 0
		o := flooded(t, func(admission.Request, admission.State) admission.Decision {
			decisions++
			return admission.Decision{Reason: admission.Late, Wait: 2 * time.Second, After: 2 * time.Second}
		})
		s := floodJob(1_000_000, 400)
		ctx := returns.WithTimeLimit(t.Context(), time.Now().Add(1500*time.Millisecond))
		arrived := 0
		for try := range 20 {
			_, err := o.submit(ctx, s)
			assert.Assert(t, errkind.Is(err, errkind.DeadlinePassed), "%v", err)
			if load := o.Peek().ArrivalLoad.CPU; try == 0 {
				arrived = load
			} else {
				assert.Assert(t, load <= arrived, "arriving work has risen from %d to %d", arrived, load)
			}
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, decisions, 5)
		s.Customer = "other"
		_, err := o.submit(ctx, s)
		assert.Assert(t, err != nil)
		assert.Equal(t, decisions, 6)
	})
}

// TestRefusalsAreForgotten guards against memory that grows with the callers that are refused.
func TestRefusalsAreForgotten(t *testing.T) {
	var r refusals
	now, full := time.Unix(1000, 0), errors.New("full")
	for n := range 3 * maxRefusals {
		r.add(job.ID(fmt.Sprint(n)), remembered{"a", now, full})
	}
	assert.Equal(t, len(r.newest)+len(r.older), maxRefusals)
	assert.Equal(t, r.answer("0", "a", now.Add(answerKept-1)), full)
	assert.NilError(t, r.answer("0", "a", now.Add(answerKept)))
	assert.NilError(t, r.answer("0", "b", now))
	r.add("next", remembered{"a", now.Add(refusalKept), full})
	_, known := r.find("0", "a")
	assert.Assert(t, known)
	r.add("last", remembered{"a", now.Add(2 * refusalKept), full})
	_, known = r.find("0", "a")
	assert.Assert(t, !known)
}

// TestOwnerTellsThatItIsBehind guards against an owner that does not keep up unnoticed: one line a second,
// and a counter of all long waits.
func TestOwnerTellsThatItIsBehind(t *testing.T) {
	o := open(t, world.New(1))
	var lines bytes.Buffer
	logger, err := log.New(&lines, "info", "n1")
	assert.NilError(t, err)
	counted := 0
	o.Logger, o.Count = logger, func(string) { counted++ }
	now := o.Clock.Now()
	for n := range 20 {
		o.noteWait(pollWork, behindAfter-time.Duration(n%2), now.Add(time.Duration(n)*100*time.Millisecond))
	}
	assert.Equal(t, strings.Count(lines.String(), `"event":"behind"`), 2)
	assert.Equal(t, counted, 10)
}
