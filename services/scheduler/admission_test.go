// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/services/admission"
)

// newTestPoolByCompletion returns a pool of four cores that accepts jobs by completion. Jobs of its
// queues are in time within 1.5 times their run time plus 1 s; those of the urgent one come first.
func newTestPoolByCompletion(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	queues := []config.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Priority: 1, Stretch: 1.5, BaseObjective: time.Second},
		{Name: "urgent", Host: "h", PathPrefix: "/urgent/", Pool: "p", Stretch: 1.5, BaseObjective: time.Second},
	}
	d.Configure(config.New(2, queues, []config.Pool{{Name: "p"}}, config.Limits{}).WithCustomers([]config.Customer{{Name: "c"}}))
	d.registerWorker()
	d.hearFleet()
	return d
}

// hearFleet has the holder of the role for instances report that little is on its way.
func (d *testPool) hearFleet() {
	d.t.Helper()
	_, err := d.Cordon(CordonRequest{Epoch: 1, Number: d.lastCordonRequest.Number + 1, Arriving: []capacity.Change{{Size: job.Size{CPU: 1}}}}, d.now)
	assert.NilError(d.t, err)
}

// aSecond returns a job of one task of a core for a second.
func aSecond(id, queue string) job.Submission {
	return job.Submission{ID: job.ID(id), Queue: "h/" + queue + "/", Customer: "c", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 1000}, Estimate: time.Second}}}
}

// admit asks whether a job is accepted, and submits it if it is.
func (d *testPool) admit(s job.Submission) admission.Decision {
	decision := admission.Decision{Accepted: true, Reason: admission.Exempt}
	if !d.OnOwnTerms(s) {
		_, decision = d.Admit(d.Arrive(s, 0, d.now), nil, d.now)
	}
	if decision.Accepted {
		d.Submit(s, d.now)
	}
	return decision
}

// fill submits jobs until one is refused, and returns the number of accepted ones.
func (d *testPool) fill() int {
	for n := range 1000 {
		if !d.admit(aSecond(fmt.Sprint("fill-", n), "q")).Accepted {
			return n
		}
	}
	d.t.Fatal("nothing is refused")
	return 0
}

// TestFullPoolRefusesAtOnce guards against a pool that accepts more than it can finish in time while its
// plan does not find anything overdue yet.
func TestFullPoolRefusesAtOnce(t *testing.T) {
	d := newTestPoolByCompletion(t)
	n := d.fill()
	assert.Assert(t, n > 0 && n < 10, "%d jobs of a core-second accepted by four cores, to be done in 2.5 s each", n)
	decision := d.admit(aSecond("1", "q"))
	assert.Equal(t, decision.Reason, admission.Late)
	assert.Assert(t, decision.After > 0 && decision.After < time.Second, "%s", decision.After)
}

// TestOwnTerms guards against refusals of jobs that no waiting work concerns: known ones, repeated and
// long-running ones, and urgent ones of a higher priority than what is ahead.
func TestOwnTerms(t *testing.T) {
	d := newTestPoolByCompletion(t)
	d.fill()
	assert.Equal(t, d.admit(aSecond("fill-0", "q")).Reason, admission.Exempt)
	repeated, lasting := aSecond("1", "q"), aSecond("2", "q")
	repeated.RepeatCount, repeated.FirstDue = 2, d.now
	lasting.Steps[0].LongRunning = true
	assert.Equal(t, d.admit(repeated).Reason, admission.Exempt)
	assert.Equal(t, d.admit(lasting).Reason, admission.Exempt)
	assert.Equal(t, d.admit(aSecond("3", "urgent")).Reason, admission.InTime)
	assert.Assert(t, !d.admit(aSecond("4", "q")).Accepted)
}

// TestSilentFleetRefusesNothingNew guards against refusals by an outlook that is not kept up: the holder of
// the role for instances has gone, or another one has told nothing yet.
func TestSilentFleetRefusesNothingNew(t *testing.T) {
	d := newTestPoolByCompletion(t)
	d.fill()
	assert.Assert(t, !d.admit(aSecond("1", "q")).Accepted)
	_, err := d.Cordon(CordonRequest{Epoch: 2, Number: 1}, d.now)
	assert.NilError(t, err)
	assert.Assert(t, d.admit(aSecond("1", "q")).Accepted)

	d = newTestPoolByCompletion(t)
	d.fill()
	d.lastCordonRequest.Number++
	d.cordonsReceivedAt = d.now.Add(-fleetReportAge)
	assert.Assert(t, d.admit(aSecond("1", "q")).Accepted)
}

// TestRefusedWorkIsDemand guards against a pool that refuses for want of instances and asks for none, since
// what it refuses is not seen as arriving work.
func TestRefusedWorkIsDemand(t *testing.T) {
	d := newTestPoolByCompletion(t)
	d.fill()
	before := d.Report(CordonRequest{}, d.now).ArrivalLoad.CPU
	const refused = 20
	for n := range refused {
		s := aSecond(fmt.Sprint("refused-", n), "q")
		assert.Assert(t, !d.admit(s).Accepted)
		d.NoteRefused(d.Arrive(s, 0, d.now), d.now)
	}
	after := d.Report(CordonRequest{}, d.now).ArrivalLoad.CPU
	assert.Assert(t, after > 3*before, "%d before, %d after", before, after)
	assert.Equal(t, len(d.active), len(d.jobs))
}

// TestRefusalCountsNoOverdueWork guards against refusals that take as long as the backlog is deep. Pattern: a
// full pool, promised returns that are due. What is overdue counts only while the fleet is silent.
func TestRefusalCountsNoOverdueWork(t *testing.T) {
	d := newTestPoolByCompletion(t)
	d.fill()
	reserved := map[string]capacity.Work{"c": {CPU: 1000}}
	s, decision := d.Admit(d.Arrive(aSecond("1", "q"), 0, d.now), reserved, d.now)
	assert.Assert(t, !decision.Accepted)
	assert.Equal(t, s.OverloadWait, time.Duration(0))
	d.now = d.now.Add(fleetReportAge)
	s, _ = d.Admit(d.Arrive(aSecond("2", "q"), 0, d.now), reserved, d.now)
	assert.Assert(t, s.OverloadWait > 0)
}

// TestWorkWithoutValueComesLast guards against accepted work that loses its place to what is of no value
// any more, and against such work that is dropped.
func TestWorkWithoutValueComesLast(t *testing.T) {
	d := newTestPoolByCompletion(t)
	late := d.submitLate(4)
	d.now = late.latestUsefulStart().Add(time.Millisecond)
	d.admitNew(3)
	d.Plan(d.now)
	assert.Equal(t, late.urgency(&late.rounds[0].steps[0], d.now), overdue)
	assert.Equal(t, d.startedOf("new", 3), 3)
	assert.Equal(t, d.startedOf("late", 4), 1)
}

// TestLateWorkIsFinishedWhileItIsOfValue guards against accepted work that is late and waits behind all that
// can be in time until nobody needs it.
func TestLateWorkIsFinishedWhileItIsOfValue(t *testing.T) {
	d := newTestPoolByCompletion(t)
	late := d.submitLate(4)
	d.now = late.latestUsefulStart().Add(-expiringMargin / 2)
	d.admitNew(3)
	d.Plan(d.now)
	assert.Equal(t, late.urgency(&late.rounds[0].steps[0], d.now), expiring)
	assert.Equal(t, d.startedOf("late", 4), 4)
}

// submitLate submits jobs and returns the first of them.
func (d *testPool) submitLate(count int) *jobState {
	for n := range count {
		d.Submit(aSecond(fmt.Sprint("late-", n), "q"), d.now)
	}
	return d.jobs["late-0"]
}

// admitNew has jobs accepted.
func (d *testPool) admitNew(count int) {
	d.t.Helper()
	d.hearFleet()
	for n := range count {
		assert.Assert(d.t, d.admit(aSecond(fmt.Sprint("new-", n), "q")).Accepted)
	}
}

// startedOf returns how many of the jobs of a kind have a run.
func (d *testPool) startedOf(kind string, count int) int {
	started := 0
	for n := range count {
		started += len(d.jobs[job.ID(fmt.Sprint(kind, "-", n))].active)
	}
	return started
}

// TestSharesOfAdmission guards against a flood of one customer that takes the place of others, and against
// a customer within its share that waits for the flood.
func TestSharesOfAdmission(t *testing.T) {
	d := newTestPoolByCompletion(t)
	d.usageByCustomer = map[string]usage{"flood": {cpu: 4000}}
	d.usageUpdatedAt = d.now
	short := func(id, customer string) job.Submission {
		s := aSecond(id, "q")
		s.Customer, s.Steps[0].Estimate = customer, 250*time.Millisecond
		return s
	}
	n := 0
	for d.admit(short(fmt.Sprint("flood-", n), "flood")).Accepted {
		n++
	}
	assert.Assert(t, n > 0 && n < 10, "%d", n)
	assert.Equal(t, d.admit(short("1", "c")).Reason, admission.InTime)
	assert.Assert(t, !d.admit(short("flood", "flood")).Accepted)
}
