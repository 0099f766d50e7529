// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// Times of the tests with owners that change while a worker does not respond.
const (
	silentReserve = 7 * time.Second // for which an owner reserves restored runs
	ownedFor      = 4 * time.Second // of each owner
)

// newTestPoolWithSilentRun returns a pool with a run on the worker "w", which does not respond from now on.
func newTestPoolWithSilentRun(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	d.registerWorker()
	d.submit("1", 1)
	d.startAll("w")
	return d
}

// succeed returns the pool as a later owner restores it.
func (d *testPool) succeed(epochs uint64) *testPool {
	d.t.Helper()
	n := newTestPool(d.t, d.Token+epochs)
	n.now, n.journal = d.now, maps.Clone(d.journal)
	assert.NilError(d.t, n.Restore(slices.Collect(maps.Values(n.journal)), n.now, silentReserve))
	return n
}

// own has an owner plan and persist for a while, with polls that get no response.
func (d *testPool) own(length time.Duration) {
	d.t.Helper()
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(100 * time.Millisecond) {
		if d.workers["w"] != nil {
			d.poll("w", worker.PollResult{}, port.Response{Result: port.Unknown})
		}
		d.persist()
	}
}

// TestWaitForASilentWorkerGoesOnAcrossOwners guards against tasks that wait for as long as owners change (LOST),
// and block their customer's limit meanwhile: each owner waited anew until the leases on a worker that does not
// respond had expired.
func TestWaitForASilentWorkerGoesOnAcrossOwners(t *testing.T) {
	d := newTestPoolWithSilentRun(t)
	began := d.now
	for range 5 {
		d = d.succeed(1)
		d.own(ownedFor)
		if len(d.firstTask("1").runs) == 0 {
			break
		}
	}
	waited := d.now.Sub(began)
	assert.Equal(t, len(d.firstTask("1").runs), 0, "the run is still kept after %s", waited)
	assert.Assert(t, waited >= silentReserve && waited <= silentReserve+ownedFor, "%s", waited)
}

// TestNoLeaseIsExtendedWhereTheNextOwnerCountsOnIt guards against a task that runs twice (TWICE): an owner has
// recorded that a worker does not respond, hears from it and is replaced. The next owner waits for the rest of
// the time only, so no lease may have been extended before the record was withdrawn.
func TestNoLeaseIsExtendedWhereTheNextOwnerCountsOnIt(t *testing.T) {
	d := newTestPoolWithSilentRun(t).succeed(1)
	d.UpdateWorker(worker.Worker{ID: "w", Instance: "i", Pool: "p", Address: "a", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.own(ownedFor)
	d.submit("2", 1)
	listing := worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}
	d.poll("w", listing, accepted)
	k, request, _ := d.BeginPoll("w", 0, d.now)
	assert.Equal(t, request.Deadline, time.Duration(0), "the record still names the worker")
	d.EndPoll(k, listing, accepted, d.now)
	d.Plan(d.now)
	assert.Equal(t, d.waitingTasks("2"), 1, "an order to start a run extends the leases, too")
	assert.Assert(t, d.succeed(1).workers["w"].restoredRunsEndAt.Before(d.now.Add(silentReserve)))

	d.persist()
	_, request, _ = d.BeginPoll("w", 0, d.now)
	assert.Assert(t, request.Deadline > 0, "the record is withdrawn")
	d.persist()
	assert.Equal(t, d.waitingTasks("2"), 0)
	assert.Equal(t, d.succeed(1).workers["w"].restoredRunsEndAt, d.now.Add(silentReserve))
}

// TestSilenceBeforeTheLastOwnerDoesNotCount guards against a task that runs twice (TWICE): the owner between the
// one that wrote the record and this one may have extended leases, for instance one of an earlier version.
func TestSilenceBeforeTheLastOwnerDoesNotCount(t *testing.T) {
	d := newTestPoolWithSilentRun(t).succeed(1)
	d.own(ownedFor)
	assert.Equal(t, d.succeed(2).workers["w"].restoredRunsEndAt, d.now.Add(silentReserve))
}

// TestRestartedWorkerStaysRecorded guards against a task that runs twice (TWICE): a worker that is recorded as
// not responding has restarted under its ID when it responds.
func TestRestartedWorkerStaysRecorded(t *testing.T) {
	d := newTestPoolWithSilentRun(t).succeed(1)
	d.own(ownedFor)
	d.UpdateWorker(worker.Worker{ID: "w", Instance: "i", Pool: "p", Address: "a"})
	d.workers["w"].startedAt = 1000
	d.poll("w", worker.PollResult{StartedAt: 2000, Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}, accepted)
	_, request, _ := d.BeginPoll("w", 0, d.now)
	assert.Equal(t, request.Deadline, time.Duration(0))
}

// TestShortOwnershipPassesTheRecordOn guards against a wait that begins anew (LOST) because an owner in between was
// replaced within a second: its first batch carries what it has restored.
func TestShortOwnershipPassesTheRecordOn(t *testing.T) {
	d := newTestPoolWithSilentRun(t).succeed(1)
	began := d.now
	d.own(ownedFor)
	for range 3 {
		d = d.succeed(1)
		d.own(100 * time.Millisecond)
	}
	n := d.succeed(1)
	latest := began.Add(silentReserve + time.Second)
	assert.Assert(t, !n.workers["w"].restoredRunsEndAt.After(latest), "%s later", n.workers["w"].restoredRunsEndAt.Sub(latest))
	assert.Assert(t, n.workers["w"].restoredRunsEndAt.After(began.Add(silentReserve)), "earlier than leases may hold")
}

// TestUnpublishedOwnerLeavesNoRecord guards against a task that runs twice (TWICE): after a restart of its node, an
// owner that the directory has never named does not state its claim, and the owner before it extends leases again.
// The next one must not count the time for which the one in between saw no response.
func TestUnpublishedOwnerLeavesNoRecord(t *testing.T) {
	d := newTestPoolWithSilentRun(t).succeed(1)
	d.Published = false
	d.own(ownedFor)
	n := d.succeed(1)
	assert.Equal(t, n.workers["w"].restoredRunsEndAt, n.now.Add(silentReserve))
}
