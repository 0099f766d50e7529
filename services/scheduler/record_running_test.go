// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// startPair starts the two tasks of job "1" on two workers, which list them when their clocks have moved
// on by some time, one second later by the owner's clock.
func (d *testPool) startPair(n int, ran time.Duration) []worker.ID {
	d.t.Helper()
	ids := []worker.ID{d.addIncarnation("a", n), d.addIncarnation("b", n)}
	for _, id := range ids {
		assert.Equal(d.t, len(d.startAll(id)), 1, "incarnation %d", n)
	}
	d.now = d.now.Add(time.Second)
	for _, id := range ids {
		d.listRuns(id, accepted.Clock+ran)
	}
	return ids
}

// newTestPoolWithPair returns a pool with job "1", whose two tasks run on a worker each.
func newTestPoolWithPair(t *testing.T) *testPool {
	d := newTestPool(t, 1)
	d.Submit(job.Submission{ID: "1", Queue: "h/q/", Steps: []job.Step{{Count: 2, Size: job.Size{CPU: 1000}, Estimate: time.Minute, MaxPerWorker: 1}}}, d.now)
	return d
}

// loseOwnersAndWorkers has the tasks of job "1" lose their workers as often as any task is failed for,
// each time under an owner that has taken the pool over since the tasks were listed and has not heard
// from these workers. The earlier owner has persisted something else in between.
func loseOwnersAndWorkers(t *testing.T, ran time.Duration) *testPool {
	d := newTestPoolWithPair(t)
	for n := range maxCrashes {
		ids := d.startPair(n, ran)
		d.submit(job.ID(fmt.Sprintf("other-%d", n)), 1)
		d = d.nextOwner()
		_, err := d.Cancel(job.ID(fmt.Sprintf("other-%d", n)), d.now)
		assert.NilError(t, err)
		for _, id := range ids {
			d.poll(id, worker.PollResult{}, otherIncarnation)
		}
	}
	return d
}

// TestRunsSeenRunningByEarlierOwnersFailNoJob guards against a job that is reported as failed although it
// could be completed (violation LOST): owners and workers change while its tasks run, and no owner has
// heard from the workers that the tasks lose.
func TestRunsSeenRunningByEarlierOwnersFailNoJob(t *testing.T) {
	d := loseOwnersAndWorkers(t, time.Second)
	assert.Equal(t, d.persistedState("1"), job.Running)
	assert.Equal(t, len(d.firstTask("1").crashes), 0)
}

// TestRunsSeenStartingByEarlierOwnersCount guards against a task that is started too often after crashes
// (violation BUDGET): each owner has seen its run as it started only, in a response that was late.
func TestRunsSeenStartingByEarlierOwnersCount(t *testing.T) {
	d := loseOwnersAndWorkers(t, startupTime/2)
	assert.Equal(t, d.persistedState("1"), job.Failed)
}

// TestNextOwnerSeesNoStart guards against a job that is failed for a run that counts as just started as
// its next owner first sees it: it has been running for long, and its worker crashes a moment later.
func TestNextOwnerSeesNoStart(t *testing.T) {
	d := newTestPoolWithPair(t)
	a := d.startPair(0, time.Second)[0]
	d.submit("2", 1)
	d = d.nextOwner()
	d.UpdateWorker(worker.Worker{ID: a, Instance: "a", Pool: "p", Address: "a", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.now = d.now.Add(time.Second)
	d.listRuns(a, accepted.Clock+2*time.Second)
	assert.Assert(t, !d.workers[a].runs["1.0.0.0"].isStarting(d.workers[a].lastContact))
}

// TestRunsSeenRunningCauseNoAppend guards against appends for nothing but runs that were seen running,
// and against a batch that does not carry them though it is appended anyway.
func TestRunsSeenRunningCauseNoAppend(t *testing.T) {
	d := newTestPoolWithPair(t)
	d.startPair(0, 0)
	d.persist()
	for _, id := range []worker.ID{"a-0", "b-0"} {
		d.listRuns(id, accepted.Clock+time.Second)
	}
	assert.Assert(t, !d.Changed())
	assert.Equal(t, len(d.persist()), 0)
	d.submit("2", 1)
	assert.Assert(t, hasRecord(d.persist(), keyRunning+"1", true))
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	assert.Assert(t, hasRecord(d.persist(), keyRunning+"1", false))
}

// TestAdoptedRunStartsAnew guards against a task that is started too often after crashes (violation
// BUDGET): its worker has restarted and carried out a late order, so the run may be starting again, though
// it was seen running before.
func TestAdoptedRunStartsAnew(t *testing.T) {
	d := newTestPoolWithRun(t)
	running := worker.PollResult{StartedAt: 1000, Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}
	d.poll("w", running, port.Response{Result: port.Accepted, Clock: accepted.Clock + time.Second})
	d.submit("2", 1)
	assert.Assert(t, hasRecord(d.persist(), keyRunning+"1", true))
	d.confirmListing(2000, running)
	assert.Assert(t, hasRecord(d.persist(), keyRunning+"1", false))
	assert.Assert(t, !d.workers["w"].runs["1.0.0.0"].seenRunning)
}

// earlierRunningRecord is the form in which earlier versions decode and encode a run seen running.
type earlierRunningRecord struct {
	Round   int   `cbor:"1,keyasint"`
	Step    int   `cbor:"2,keyasint"`
	Index   int   `cbor:"3,keyasint"`
	Number  int   `cbor:"4,keyasint"`
	Started int64 `cbor:"5,keyasint"`
	Proven  bool  `cbor:"6,keyasint,omitempty"`
}

// TestVersionsReadEachOthersRunningRecords guards against a node that cannot own a pool because another
// version has owned it before: an earlier one decodes the records of this one, and this one those of an
// earlier and of a later one, whose fields it does not know.
func TestVersionsReadEachOthersRunningRecords(t *testing.T) {
	d := newTestPoolWithPair(t)
	d.startPair(0, time.Second)
	d.submit("2", 1)
	d.persist()
	var list []earlierRunningRecord
	assert.NilError(t, cbor.Unmarshal(d.journal[keyRunning+"1"].Value, &list))
	started := accepted.Clock.Milliseconds()
	assert.DeepEqual(t, list, []earlierRunningRecord{{Number: 1, Started: started}, {Index: 1, Number: 1, Started: started}})
	for version, encoded := range map[string]string{
		"earlier": "82a50100020003000401051a000186a0a601000200030104010519271006f5",
		"later":   "81a6010002000300040105190064186363616263",
	} {
		t.Run(version, func(t *testing.T) {
			value, err := hex.DecodeString(encoded)
			assert.NilError(t, err)
			d.journal[keyRunning+"1"] = port.Record{Key: keyRunning + "1", Value: value}
			n := d.nextOwner()
			assert.Assert(t, n.firstTask("1").runs[0].seenRunning)
		})
	}
}
