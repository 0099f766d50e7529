// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/admission"
	"github.com/yardbridge/yardbridge/services/admission/returns"
	"github.com/yardbridge/yardbridge/standin/world"
)

// maxReturns is how often a caller of these tests comes back.
const maxReturns = 4

// manner is what callers do that are refused.
type manner int

const (
	leave   manner = iota // nothing
	obey                  // they come back after Retry-After, with the same id
	flood                 // they submit the same work with a new id, at once and again and again
	limited               // as obey, within callerLimit of their first call
)

// callerLimit is the time limit of callers that state one.
const callerLimit = 3 * time.Second

// A caller that floods submits again and again, with a gap, for a time.
const (
	floodGap = 50 * time.Millisecond
	floodFor = 5 * time.Second
)

// served counts the callers of one manner.
type served struct {
	submitted, refused, tries, completed int
	inTime, returnedInTime               int // completed within the objective after they were accepted
}

// inVain returns how many times callers came back and were refused again or late.
func (v *served) inVain() int { return v.tries - v.submitted - v.returnedInTime }

// surge is a load of three times what the pool of overload_test.go can do, for a time, with a calm time
// after it.
type surge struct {
	t       *testing.T
	world   *world.World
	owner   *Owner
	lasts   time.Duration
	callers []manner // by turns

	tasks    sync.WaitGroup
	mu       sync.Mutex
	number   int
	by       map[manner]*served
	counters map[string]int
}

// serveSurge serves a surge with or without a book of promises.
func serveSurge(t *testing.T, lasts time.Duration, promises bool, callers ...manner) *surge {
	u := &surge{t: t, world: world.New(1), lasts: lasts, callers: callers, by: make(map[manner]*served), counters: make(map[string]int)}
	var stop func()
	u.owner, stop = openLoaded(t, u.world, promises, u.count)
	defer stop()
	for n := range int(lasts.Seconds()) * 20 {
		u.submit(n)
		time.Sleep(50 * time.Millisecond)
	}
	for n := range 20 {
		u.submit(n)
		time.Sleep(2 * time.Second)
	}
	u.tasks.Wait()
	for m, v := range u.by {
		t.Logf("promises %t, callers %d of %d: %+v %v", promises, m, len(callers), *v, u.counters)
	}
	return u
}

func (u *surge) count(counter string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counters[counter]++
}

// job returns the next job.
func (u *surge) job() job.Submission {
	u.mu.Lock()
	u.number++
	id := job.ID(fmt.Sprintf("%016x", u.number))
	u.mu.Unlock()
	s := job.Submission{ID: id, Queue: "h/q/", Spec: "s", Steps: []job.Step{{Count: 8, Size: job.Size{CPU: 2000, MemoryMB: 100}, Estimate: loadEstimate}}}
	u.world.RecordSubmission(s)
	return s
}

// submit starts a caller.
func (u *surge) submit(n int) {
	s := u.job()
	m := u.callers[n%len(u.callers)]
	u.add(m, func(v *served) { v.submitted++ })
	u.tasks.Go(func() { u.call(m, s) })
}

// openLoaded opens the owner of the pool of overload_test.go.
func openLoaded(t *testing.T, w *world.World, promises bool, count func(string)) (*Owner, func()) {
	var list []worker.Worker
	for i := range loadWorkers {
		name := fmt.Sprint("m-", i)
		id := w.AddWorker(name, "p", "r-0", job.Size{CPU: 16000, MemoryMB: 65536})
		list = append(list, worker.Worker{ID: id, Pool: "p", Instance: name, Address: string(id), Capacity: job.Size{CPU: 16000, MemoryMB: 65536}})
	}
	o := open(t, w)
	o.Limits.StopTime = 200 * time.Millisecond
	o.Returns = func() bool { return promises }
	o.Count = count
	queues := []config.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Stretch: 1.6, BaseObjective: 600 * time.Millisecond}}
	o.Configure(config.New(1, queues, []config.Pool{{Name: "p"}}, config.Limits{}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	o.UpdateWorkers(ctx, list, true)
	time.Sleep(time.Second)
	return o, func() { cancel(); <-ended }
}

// call submits a job, and again after a refusal as callers of its manner do.
func (u *surge) call(m manner, s job.Submission) {
	first, ctx := time.Now(), u.t.Context()
	if m == limited {
		ctx = returns.WithTimeLimit(ctx, first.Add(callerLimit))
	}
	for try := 0; ; try++ {
		began := time.Now()
		err := u.owner.Submit(ctx, s)
		u.add(m, func(v *served) { v.tries++ })
		if err == nil {
			u.await(m, s.ID, began, try > 0)
			return
		}
		if try == 0 {
			u.add(m, func(v *served) { v.refused++ })
		}
		after := heard(err)
		switch {
		case m == obey && try < maxReturns && after > 0:
			time.Sleep(after + 10*time.Millisecond)
		case m == limited && after > 0 && time.Since(first)+after < callerLimit:
			time.Sleep(after + 10*time.Millisecond)
		case m == flood && time.Since(first) < floodFor:
			time.Sleep(floodGap)
			s = u.job()
		default:
			return
		}
	}
}

// heard returns the Retry-After that a caller gets with an error.
func heard(err error) time.Duration {
	w := httptest.NewRecorder()
	errkind.Write(w, "", err)
	seconds, _ := strconv.Atoi(w.Header().Get("Retry-After"))
	return time.Duration(seconds) * time.Second
}

// await waits for the end of a job that was accepted.
func (u *surge) await(m manner, id job.ID, began time.Time, returned bool) {
	for time.Since(began) < 3*loadObjective {
		if state, err := u.owner.State(u.t.Context(), id, ""); err == nil && state.Final() {
			u.add(m, func(v *served) {
				v.completed++
				if time.Since(began) <= loadObjective {
					v.inTime++
					if returned {
						v.returnedInTime++
					}
				}
			})
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// add changes the counts of a manner.
func (u *surge) add(m manner, change func(v *served)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.by[m] == nil {
		u.by[m] = &served{}
	}
	change(u.by[m])
}

// TestCallersThatObeyAreInTimeAfterTheirReturn guards against a Retry-After at which a caller is refused
// again or late. Pattern: three times the load for 40 s, then a thirteenth of it; those refused come back
// as they are told, four times at most.
func TestCallersThatObeyAreInTimeAfterTheirReturn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		without := serveSurge(t, 40*time.Second, false, obey).by[obey]
		with := serveSurge(t, 40*time.Second, true, obey).by[obey]
		assert.Assert(t, with.returnedInTime*10 > with.refused*9, "%d of %d", with.returnedInTime, with.refused)
		assert.Assert(t, with.inTime > 2*without.inTime, "%d, without promises %d", with.inTime, without.inTime)
		assert.Assert(t, with.tries < without.tries, "%d, without promises %d", with.tries, without.tries)
	})
}

// TestCallersWithATimeLimitAreInTimeAfterTheirReturn guards against callers that come back in vain before
// they give up. Pattern: three times the load for 24 s,
// then a thirteenth of it; each caller gives up 3 s after its first call.
func TestCallersWithATimeLimitAreInTimeAfterTheirReturn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		without := serveSurge(t, 24*time.Second, false, limited).by[limited]
		with := serveSurge(t, 24*time.Second, true, limited).by[limited]
		assert.Assert(t, with.inVain()*10 < without.inVain(), "%+v, without promises %+v", with, without)
		assert.Assert(t, with.returnedInTime > without.returnedInTime, "%+v, without promises %+v", with, without)
		assert.Assert(t, with.inTime*100 > without.inTime*85, "%+v, without promises %+v", with, without)
	})
}

// TestPlacesOfCallersThatLeaveAreUsed guards against capacity that is kept for callers who do not come
// back. Pattern: three times the load for 24 s, and nobody comes back.
func TestPlacesOfCallersThatLeaveAreUsed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		without := serveSurge(t, 24*time.Second, false, leave).by[leave]
		with := serveSurge(t, 24*time.Second, true, leave).by[leave]
		assert.Assert(t, with.inTime*100 > without.inTime*85, "%d, without promises %d", with.inTime, without.inTime)
	})
}

// TestFloodWithNewIDsGainsNothing guards against callers that submit again and again with new ids and come
// before those who wait. Pattern: three times the load for 20 s; every other caller that is refused floods.
func TestFloodWithNewIDsGainsNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		without := serveSurge(t, 20*time.Second, false, obey, flood)
		with := serveSurge(t, 20*time.Second, true, obey, flood)
		assert.Assert(t, with.by[obey].inTime > with.by[flood].inTime, "%+v, flood %+v", with.by[obey], with.by[flood])
		assert.Assert(t, with.by[obey].inTime > without.by[obey].inTime, "%+v, without promises %+v", with.by[obey], without.by[obey])
	})
}

// refuseFor has an owner refuse a job that would be in time after a while. The owner's lock is held.
func refuseFor(ctx context.Context, o *Owner, s job.Submission, after time.Duration) error {
	now := time.Now()
	return o.promise(o.pool.Arrive(s, returns.Remaining(ctx), now).Request, admission.State{}, admission.Decision{Reason: admission.Late, After: after}, now)
}

// TestNextOwnerServesReturningCallers guards against callers that are turned away because the owner that
// promised their seconds is gone: the next one serves them like anyone else.
func TestNextOwnerServesReturningCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 20
		counters := make(map[string]int)
		u := &surge{t: t, world: world.New(1)}
		count := func(c string) { counters[c]++ }
		first, stop := openLoaded(t, u.world, true, count)
		var list []job.Submission
		first.mu.Lock()
		for range jobs {
			s := u.job()
			list = append(list, s)
			err := refuseFor(t.Context(), first, s, time.Second)
			assert.Assert(t, errkind.Is(err, errkind.Overloaded) && heard(err) >= time.Second, "%v", err)
		}
		first.mu.Unlock()
		stop()
		assert.Equal(t, counters["returns.promised"], jobs)
		next, stop := openLoaded(t, u.world, true, count)
		defer stop()
		for _, s := range list {
			assert.NilError(t, next.Submit(t.Context(), s))
			time.Sleep(200 * time.Millisecond)
		}
		assert.Equal(t, counters["returns.kept"]+counters["returns.early"]+counters["returns.late"]+counters["returns.missed"], 0)
	})
}

// TestCallerWhoseTimeEndsFirstHearsItOnce guards against callers that are asked to come back when they have
// given up.
func TestCallerWhoseTimeEndsFirstHearsItOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &surge{t: t, world: world.New(1)}
		o, stop := openLoaded(t, u.world, true, func(string) {})
		defer stop()
		o.mu.Lock()
		defer o.mu.Unlock()
		ctx := returns.WithTimeLimit(t.Context(), time.Now().Add(3*time.Second))
		err := refuseFor(ctx, o, u.job(), 4*time.Second)
		assert.Assert(t, errkind.Is(err, errkind.DeadlinePassed), "%v", err)
		assert.Equal(t, heard(err), time.Duration(0))
		assert.Equal(t, errkind.Of(err).Kind.Response().Outcome, errkind.NotRun)
		assert.Equal(t, o.promises.Len(), 0)
	})
}
