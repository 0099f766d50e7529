// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// capture collects the lines and the counters of a pool from now on.
func (d *testPool) capture() (*bytes.Buffer, map[string]int) {
	lines, counts := &bytes.Buffer{}, make(map[string]int)
	d.Logger = zerolog.New(lines)
	d.Increment = func(counter string) { counts[counter]++ }
	return lines, counts
}

// linesOf returns the lines of an event.
func linesOf(t *testing.T, lines *bytes.Buffer, event string) []map[string]any {
	t.Helper()
	var list []map[string]any
	for _, text := range bytes.Split(bytes.TrimSpace(lines.Bytes()), []byte("\n")) {
		var line map[string]any
		assert.NilError(t, json.Unmarshal(text, &line), "%s", text)
		if line["event"] == event {
			list = append(list, line)
		}
	}
	return list
}

// stillRunning is a list with run 1 of the task.
var stillRunning = worker.PollResult{Runs: []worker.Run{{Task: "1.0.0.0", Number: 1}}}

// responseAt is a response at a time on the worker's clock.
func responseAt(clock time.Duration) port.Response {
	return port.Response{Result: port.Accepted, Clock: clock}
}

// TestLostSaysWhatTheWaitWasCountedFrom guards against a line about a lost run that does not tell whether this
// owner had extended the lease: the worker had responded to it, and the lease has a deadline on its clock.
func TestLostSaysWhatTheWaitWasCountedFrom(t *testing.T) {
	d := newTestPoolWithSilentRun(t)
	d.poll("w", worker.PollResult{}, port.Response{Result: port.Unknown})
	lines, _ := d.capture()
	deadline := d.workers["w"].latestDeadline
	end := d.workers["w"].leasesExpireAt()
	d.now = end.Add(time.Second)
	d.ExpireLeases(d.now)
	list := linesOf(t, lines, "lost")
	assert.Equal(t, len(list), 1, "%s", lines)
	line := list[0]
	assert.Equal(t, line["met"], true)
	assert.Equal(t, line["restored"], false)
	assert.Equal(t, line["past_lease"], 1000.0)
	assert.Equal(t, line["deadline"], float64(deadline)/float64(time.Millisecond))
	assert.Equal(t, line["heard"], line["silent"])
	assert.Equal(t, line["owned_for"], nil, "it was not restored")
}

// TestLostRunOfAnEarlierOwner guards against a line about a lost run that does not tell that the worker has never
// responded to this owner, which has counted from its own claim.
func TestLostRunOfAnEarlierOwner(t *testing.T) {
	d := newTestPoolWithSilentRun(t).succeed(1)
	lines, _ := d.capture()
	d.now = d.now.Add(silentReserve)
	d.ExpireLeases(d.now)
	list := linesOf(t, lines, "lost")
	assert.Equal(t, len(list), 1, "%s", lines)
	line := list[0]
	assert.Equal(t, line["met"], false)
	assert.Equal(t, line["restored"], true)
	assert.Equal(t, line["epoch"], 2.0)
	assert.Equal(t, line["past_lease"], 0.0)
	assert.Equal(t, line["owned_for"], 7000.0)
	assert.Equal(t, line["heard"], nil)
	assert.Equal(t, line["deadline"], nil)
}

// TestRunThatIsListedAfterItsLoss guards against a second run of a task without a trace: the worker responds again
// and still runs what was declared lost, so that somebody else has extended the lease or it was longer.
func TestRunThatIsListedAfterItsLoss(t *testing.T) {
	d := newTestPoolWithSilentRun(t)
	d.poll("w", worker.PollResult{}, port.Response{Result: port.Unknown})
	deadline, end := d.workers["w"].latestDeadline, d.workers["w"].leasesExpireAt()
	d.now = end.Add(time.Second)
	d.ExpireLeases(d.now)
	lines, counts := d.capture()
	d.now = d.now.Add(2 * time.Second)
	for range 3 {
		d.poll("w", stillRunning, responseAt(deadline+3500*time.Millisecond))
	}
	list := linesOf(t, lines, "after-loss")
	assert.Equal(t, len(list), 1, "%s", lines)
	line := list[0]
	assert.Equal(t, line["task"], "1.0.0.0")
	assert.Equal(t, line["runs"], 1.0)
	assert.Equal(t, line["lost"], 1.0)
	assert.Equal(t, line["since_lost"], 2000.0)
	assert.Equal(t, line["past_lease"], 3000.0)
	assert.Equal(t, line["past_deadline"], 3500.0)
	assert.Equal(t, line["lost_why"], "the lease expired on an unresponsive worker")
	assert.Equal(t, counts[lostStillRunning], 1, "a run is counted once")
	d.now = d.now.Add(lossLogInterval)
	d.poll("w", stillRunning, responseAt(deadline+4500*time.Millisecond))
	assert.Equal(t, len(linesOf(t, lines, "after-loss")), 2, "it goes on without a line: %s", lines)
}

// TestRunOfAnEarlierOwnerThatIsListedAfterItsLoss guards against a lease that a replaced owner goes on extending
// without a trace: the worker is no longer listed when the run is lost, and comes back with it.
func TestRunOfAnEarlierOwnerThatIsListedAfterItsLoss(t *testing.T) {
	d := newTestPoolWithSilentRun(t).succeed(1)
	d.now = d.now.Add(silentReserve)
	d.ExpireLeases(d.now)
	assert.Assert(t, d.workers["w"] == nil)
	lines, counts := d.capture()
	d.now = d.now.Add(9 * time.Second)
	d.UpdateWorker(worker.Worker{ID: "w", Instance: "i", Pool: "p", Address: "a", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	d.poll("w", stillRunning, accepted)
	list := linesOf(t, lines, "after-loss")
	assert.Equal(t, len(list), 1, "%s", lines)
	assert.Equal(t, list[0]["past_lease"], 9000.0)
	assert.Equal(t, list[0]["past_deadline"], nil, "this owner has sent no deadline")
	assert.Equal(t, counts[lostStillRunning], 1)
}

// TestOrphanOfALostRunAtTheNextOwner guards against a second run of a task that leaves no trace since the owner that
// had declared the first one lost is replaced before the worker responds: the line about the orphan run names the
// newest run of its task, and how many are active.
func TestOrphanOfALostRunAtTheNextOwner(t *testing.T) {
	second := newTestPoolWithSilentRun(t).succeed(1)
	second.now = second.now.Add(silentReserve)
	second.ExpireLeases(second.now)
	second.UpdateWorker(worker.Worker{ID: "v", Instance: "j", Pool: "p", Address: "b", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	second.poll("v", worker.PollResult{}, accepted)
	second.startAll("v")
	third := second.succeed(1)
	third.UpdateWorker(worker.Worker{ID: "w", Instance: "i", Pool: "p", Address: "a", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}})
	lines, _ := third.capture()
	third.poll("w", stillRunning, accepted)
	list := linesOf(t, lines, "stray")
	assert.Equal(t, len(list), 1, "%s", lines)
	line := list[0]
	assert.Equal(t, line["run"], 1.0)
	assert.Equal(t, line["newest"], 2.0)
	assert.Equal(t, line["active"], 1.0)
	assert.Equal(t, line["done"], false)
	assert.Equal(t, line["epoch"], 3.0)
}

// TestRunOfAnotherNumberIsNoLoss guards against evidence that is none: the worker lists a later run of the task, or
// nothing, and a worker that has listed nothing has no losses any more.
func TestRunOfAnotherNumberIsNoLoss(t *testing.T) {
	for _, listing := range []worker.PollResult{{}, {Runs: []worker.Run{{Task: "1.0.0.0", Number: 2}}}} {
		d := newTestPoolWithLostRun(t)
		lines, counts := d.capture()
		d.poll("w", listing, accepted)
		assert.Equal(t, len(d.losses.byWorker), 0)
		d.poll("w", stillRunning, accepted)
		assert.Equal(t, len(linesOf(t, lines, "after-loss")), 0, "%s", lines)
		assert.Equal(t, counts[lostStillRunning], 0)
	}
}

// TestLateEndSaysHowLate guards against a late end that does not tell how long after the loss it came, by both clocks.
func TestLateEndSaysHowLate(t *testing.T) {
	d := newTestPoolWithLostRun(t)
	lost := d.losses.of("w", "1.0.0.0", 1)
	lines, counts := d.capture()
	d.now = d.now.Add(3 * time.Second)
	listing := worker.PollResult{Ends: []worker.EndedRun{{Sequence: 1, Task: "1.0.0.0", Number: 1, Reason: worker.Done}}}
	d.poll("w", listing, responseAt(lost.deadline+9*time.Second))
	list := linesOf(t, lines, "end")
	assert.Equal(t, len(list), 1, "%s", lines)
	line := list[0]
	assert.Equal(t, line["late"], true)
	assert.Equal(t, line["since_lost"], 3000.0)
	assert.Equal(t, line["past_lease"], float64(d.now.Sub(lost.leaseEnd))/float64(time.Millisecond))
	assert.Equal(t, line["past_deadline"], 9000.0)
	assert.Equal(t, counts[lostEndedLate], 1)
}

// TestResponseFromBeforeTheLossIsNoEvidence guards against evidence that is none: the response to a poll that was sent
// before the run was declared lost may be older than the loss.
func TestResponseFromBeforeTheLossIsNoEvidence(t *testing.T) {
	d := newTestPoolWithSilentRun(t)
	d.poll("w", worker.PollResult{}, port.Response{Result: port.Unknown})
	k, _, _ := d.BeginPoll("w", 0, d.now)
	d.now = d.workers["w"].leasesExpireAt()
	d.ExpireLeases(d.now)
	lines, counts := d.capture()
	d.now = d.now.Add(time.Second)
	d.EndPoll(k, stillRunning, accepted, d.now)
	assert.Equal(t, len(linesOf(t, lines, "after-loss")), 0, "%s", lines)
	assert.Equal(t, counts[lostStillRunning], 0)
	d.poll("w", stillRunning, accepted)
	assert.Equal(t, counts[lostStillRunning], 1, "the loss is forgotten")
}

// TestClockThatBeganAnewTellsNothing guards against a comparison of a deadline with the clock of another incarnation.
func TestClockThatBeganAnewTellsNothing(t *testing.T) {
	d := newTestPoolWithLostRun(t)
	lost := d.losses.of("w", "1.0.0.0", 1)
	lost.startedAt = 1000
	lines, _ := d.capture()
	d.poll("w", stillRunning, accepted)
	list := linesOf(t, lines, "after-loss")
	assert.Equal(t, len(list), 1, "%s", lines)
	assert.Equal(t, list[0]["past_deadline"], nil)
	assert.Equal(t, list[0]["born_before"], 1000.0)
}

// TestLossesAreBounded guards against memory that grows with the runs that are lost on workers that never respond.
func TestLossesAreBounded(t *testing.T) {
	var l losses
	for i := range 3 * maxLosses {
		l.add(&loss{worker: worker.ID(fmt.Sprint("w", i%7)), task: fmt.Sprint(i % (2 * maxLosses)), number: i})
	}
	kept := 0
	for _, m := range l.byWorker {
		kept += len(m)
	}
	assert.Assert(t, kept <= maxLosses && len(l.queue) <= maxLosses, "%d kept, %d in the queue", kept, len(l.queue))
	newest := 3*maxLosses - 1
	assert.Assert(t, l.of(worker.ID(fmt.Sprint("w", newest%7)), fmt.Sprint(newest%(2*maxLosses)), newest) != nil)
}

// TestNewerLossOfATaskStays guards against a newer loss that goes with an older one of the same task and worker.
func TestNewerLossOfATaskStays(t *testing.T) {
	var l losses
	l.add(&loss{worker: "w", task: "other", number: 1})
	l.add(&loss{worker: "w", task: "a", number: 1})
	l.add(&loss{worker: "w", task: "a", number: 2})
	for i := range maxLosses - 1 {
		l.add(&loss{worker: "v", task: fmt.Sprint(i)})
	}
	assert.Assert(t, l.of("w", "other", 1) == nil)
	assert.Assert(t, l.of("w", "a", 2) != nil)
}
