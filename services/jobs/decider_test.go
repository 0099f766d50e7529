// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/oncekey"
	"github.com/yardbridge/yardbridge/modules/tomlfile"
	"github.com/yardbridge/yardbridge/services/platform"
	"github.com/yardbridge/yardbridge/standin"
)

// cluster is an in-memory log with simulated workers and several deciders.
type cluster struct {
	clock    *clock.Fake
	platform *standin.Platform
	deciders map[string]*Decider

	mu    sync.Mutex
	state state.State
	seq   map[string]uint64
}

var begin = time.Date(2026, 3, 2, 1, 0, 0, 0, time.UTC)

func newCluster(workers int, names ...string) *cluster {
	y := &cluster{clock: clock.NewFake(begin), deciders: make(map[string]*Decider), seq: make(map[string]uint64)}
	y.platform = &standin.Platform{Clock: y.clock.Clock()}
	for _, n := range names {
		y.deciders[n] = &Decider{
			Clock: y.clock.Clock(), Logger: log.Nop(), Name: n, Incarnation: 1, Tasks: y.platform.Tasks(),
			Alive: func() []string { return y.State().MemberNames() },
			Propose: func(_ context.Context, records []record.Record) ([]state.Verdict, error) {
				return y.put(n, records...), nil
			},
		}
		y.put(n, record.Record{Join: &record.Join{}})
	}
	g := &record.ListUpdate{Revision: 1, Entries: names}
	for i := range workers {
		w := fleet.Worker{ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprint(i), Cores: 8, MemoryGB: 16, Condition: fleet.Live}
		y.platform.SetWorker(w)
		g.Workers = append(g.Workers, w)
	}
	y.put(names[0], record.Record{ListUpdate: g})
	y.put(names[0], record.Record{Apply: &record.Apply{Deployment: "d", Put: []manifest.Object{
		{Team: &manifest.Team{Name: "t", QuotaCores: 100, QuotaMemoryGB: 100}},
		{Pool: &manifest.Pool{Name: "p", Team: "t", Size: workers}},
	}}})
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		instance, _ := y.State().Instances.Get(id)
		y.put(names[0], record.Record{Move: &record.Move{Worker: id, Version: instance.Version, To: "p"}})
	}
	return y
}

// State returns the folded state.
func (y *cluster) State() state.State {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.state
}

func (y *cluster) put(writer string, records ...record.Record) []state.Verdict {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.seq[writer]++
	data, err := record.Batch{Writer: writer, Incarnation: 1, Sequence: y.seq[writer], Records: records}.Encode()
	if err != nil {
		panic(err)
	}
	f := y.state.Fold(record.Stored{Offset: y.state.Offset, At: y.clock.Now(), Data: data})
	y.state = f.State
	return f.Verdicts
}

// acquireRole appends a lease of the role for a decider.
func (y *cluster) acquireRole(name string) {
	y.put(name, record.Record{Lease: &record.Lease{Role: record.RoleJobs, TTL: time.Minute}})
}

// submit appends a run of a job to the log and returns its ID.
func (y *cluster) submit(writer string, job manifest.Job) string {
	id := oncekey.New(begin.Add(time.Hour))
	job.Name, job.Team, job.Pool = "job", "t", "p"
	y.put(writer, record.Record{Submit: &record.Submit{ID: id, Job: job}})
	return id
}

// step runs a decider once on a state and waits for the starts that it began.
func (y *cluster) step(name string, s state.State) {
	d := y.deciders[name]
	d.RunOnce(context.Background(), s)
	d.AwaitStarts()
}

// advance advances the clock in three steps and runs the deciders on the newest state after each.
func (y *cluster) advance(d time.Duration, names ...string) {
	for range 3 {
		y.clock.Advance(d / 3)
		for _, n := range names {
			y.step(n, y.State())
		}
	}
}

func (y *cluster) run(id string) state.Run {
	r, _ := y.State().Runs.Get(id)
	return r
}

// TestTwoDecidersStartOnce checks that a run starts only once if the holder of the role is suspended
// after it has placed the run, and acts on its stale state when another entry holds the role.
func TestTwoDecidersStartOnce(t *testing.T) {
	y := newCluster(2, "a", "b")
	y.acquireRole("a")
	id := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Command: "sleep 1s"})
	stale := y.State()
	y.step("a", stale)
	// a is suspended while b takes over the role; then a continues with its stale state.
	y.clock.Advance(2 * time.Minute)
	y.acquireRole("b")
	y.step("b", y.State())
	y.step("a", stale)
	y.advance(10*time.Second, "a", "b")
	assert.Equal(t, y.platform.StartCount(id), 1)
}

// TestStarterLostBeforeItReports checks that, if an entry is lost after its placements were accepted,
// a run that must not be repeated ends as unknown, and only a repeatable one gets another attempt.
func TestStarterLostBeforeItReports(t *testing.T) {
	y := newCluster(2, "a", "b")
	y.acquireRole("a")
	id := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4})
	repeatable := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Repeatable: true, Command: "sleep 1s"})
	placed := Place(y.State(), "a", 1)
	y.put("a", placed.Records...) // accepted; it is unknown whether a starts them
	y.put("b", record.Record{Gone: &record.Gone{Entry: "a", Incarnation: 1}})
	y.clock.Advance(2 * time.Minute)
	y.acquireRole("b")
	y.advance(10*time.Second, "b")
	assert.Equal(t, y.run(id).State, record.Unknown)
	assert.Equal(t, y.platform.StartCount(id), 0)
	assert.Equal(t, y.run(repeatable).State, record.Done)
}

// TestStartResponseLost checks that a task is not started again if it has started and the response to
// the start call was lost.
func TestStartResponseLost(t *testing.T) {
	y := newCluster(1, "a")
	y.acquireRole("a")
	id := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Command: "sleep 1s"})
	y.platform.LoseResponses(1)
	y.advance(10*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Done)
	assert.Equal(t, y.platform.StartCount(id), 1)
}

// TestStartNeverArrives checks that a placed run does not occupy its worker forever when the start
// call fails without a response and the platform never starts the task.
func TestStartNeverArrives(t *testing.T) {
	y := newCluster(1, "a")
	y.acquireRole("a")
	once := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4})
	repeatable := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Repeatable: true, Command: "sleep 1s"})
	start := y.deciders["a"].Tasks.Start
	y.deciders["a"].Tasks.Start = func(context.Context, platform.Task) error {
		return errkind.New(errkind.OutcomeUnknown, "no response")
	}
	y.step("a", y.State()) // places
	y.step("a", y.State()) // starts, without effect
	assert.Equal(t, y.run(repeatable).State, record.Placed)
	y.deciders["a"].Tasks.Start = start
	for range unreportedLimit {
		y.acquireRole("a")
		y.advance(3*time.Second, "a")
	}
	assert.Equal(t, y.run(once).State, record.Unknown)
	assert.Equal(t, y.platform.StartCount(once), 0)
	assert.Equal(t, y.run(repeatable).State, record.Done)
	assert.Equal(t, y.State().WorkerUsage("w0").Runs, 0)
}

// TestLeaseLapsesWhileHolderIsSuspended checks that a task whose lease was not renewed in time is not
// started again, since its run must not be repeated, and that the run ends as unknown.
func TestLeaseLapsesWhileHolderIsSuspended(t *testing.T) {
	y := newCluster(1, "a")
	y.acquireRole("a")
	id := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Command: "forever"})
	y.advance(3*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Running)
	y.clock.Advance(time.Hour) // the lease is not renewed
	y.acquireRole("a")
	y.advance(3*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Unknown)
	assert.Equal(t, y.platform.StartCount(id), 1)
}

func TestFailingWorkerIsEjected(t *testing.T) {
	y := newCluster(2, "a")
	y.platform.SetBroken("w0", true)
	var ids []string
	for range 12 {
		ids = append(ids, y.submit("a", manifest.Job{Cores: 2, MemoryGB: 2, Repeatable: true, Command: "sleep 1s"}))
	}
	for range 20 {
		y.acquireRole("a")
		y.advance(3*time.Second, "a")
	}
	for _, id := range ids {
		assert.Equal(t, y.run(id).State, record.Done, y.run(id).Reason)
	}
	i, _ := y.State().Instances.Get("w0")
	assert.Assert(t, i.EjectedUntil.After(begin))
}

func TestUnplaceableJobDelaysNoOther(t *testing.T) {
	y := newCluster(1, "a")
	y.acquireRole("a")
	huge := y.submit("a", manifest.Job{Cores: 64, MemoryGB: 4, Class: manifest.Urgent})
	small := y.submit("a", manifest.Job{Cores: 1, MemoryGB: 1, Command: "sleep 1s"})
	y.advance(6*time.Second, "a")
	assert.Equal(t, y.run(small).State, record.Done)
	assert.Equal(t, y.deciders["a"].Waiting()["p"][huge], TooLarge)
}

func TestUrgentRunPreemptsBatchRun(t *testing.T) {
	y := newCluster(1, "a")
	y.acquireRole("a")
	batch := y.submit("a", manifest.Job{Cores: 8, MemoryGB: 4, Class: manifest.Batch, Repeatable: true, Command: "forever"})
	y.advance(3*time.Second, "a")
	assert.Equal(t, y.run(batch).State, record.Running)
	urgent := y.submit("a", manifest.Job{Cores: 8, MemoryGB: 4, Class: manifest.Urgent, Command: "forever"})
	y.advance(3*time.Second, "a")
	y.advance(3*time.Second, "a")
	assert.Equal(t, y.platform.StartCount(urgent), 1)
	assert.Equal(t, y.run(batch).State, record.Pending)
}

func TestManyCancellations(t *testing.T) {
	y := newCluster(1, "a")
	y.acquireRole("a")
	var ids []string
	for range 2000 {
		ids = append(ids, y.submit("a", manifest.Job{Cores: 1, MemoryGB: 1, Command: "forever"}))
	}
	y.advance(3*time.Second, "a")
	service := &Service{Clock: y.clock.Clock(), State: y.State, Waiting: y.deciders["a"].Waiting, Propose: y.deciders["a"].Propose}
	_, err := service.Cancel(context.Background(), "other", ids[:1])
	assert.ErrorContains(t, err, "nothing was cancelled")
	before := y.State().Offset
	_, err = service.Cancel(context.Background(), "t", ids)
	assert.NilError(t, err)
	assert.Equal(t, y.State().Offset, before+1, "cancelling many runs takes one append")
	y.advance(6*time.Second, "a")
	assert.Equal(t, y.State().WorkerUsage("w0").Runs, 0)
	reports, err := y.platform.Tasks().Reports(context.Background(), 0)
	assert.NilError(t, err)
	for _, task := range reports.Tasks {
		assert.Equal(t, task.State, platform.TaskStopped, "a cancelled task is still running")
	}
	for _, status := range service.List("t") {
		assert.Equal(t, status.State, record.Cancelled)
	}
}

func TestMeasuredSizeReplacesDeclaredSize(t *testing.T) {
	y := newCluster(1, "a")
	y.acquireRole("a")
	first := y.submit("a", manifest.Job{Cores: 2, MemoryGB: 1, Command: "sleep 2s use 6"})
	y.advance(6*time.Second, "a")
	assert.Equal(t, y.run(first).UsedCores, 6)
	y.submit("a", manifest.Job{Cores: 2, MemoryGB: 1, Command: "forever"})
	y.submit("a", manifest.Job{Cores: 2, MemoryGB: 1, Command: "forever"})
	y.advance(6*time.Second, "a")
	assert.Equal(t, y.State().WorkerUsage("w0").Runs, 1, "two runs of the measured size do not fit")
}

// TestThrottledTaskKeepsMeasuredSize checks that a task which is throttled to the size that it was
// placed with is still recorded with the size that it used before.
func TestThrottledTaskKeepsMeasuredSize(t *testing.T) {
	y := newCluster(1, "a")
	y.acquireRole("a")
	id := y.submit("a", manifest.Job{Cores: 2, MemoryGB: 1, Command: "sleep 20s use 6"})
	y.advance(9*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Running)
	reports, err := y.platform.Tasks().Reports(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, reports.Tasks[0].Cores, 2, "it is throttled")
	y.acquireRole("a")
	y.advance(30*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Done)
	assert.Equal(t, y.run(id).UsedCores, 6)
}

// TestVanishedTaskIsNoticed checks that a task which disappears from its worker without a final
// report is noticed by the next full read of the reports, and that only changes are read until
// then.
func TestVanishedTaskIsNoticed(t *testing.T) {
	y := newCluster(1, "a")
	y.acquireRole("a")
	id := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Command: "forever"})
	y.advance(3*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Running)
	d := y.deciders["a"]
	rows := 0
	d.Tasks.Reports = func(ctx context.Context, known uint64) (platform.Reports, error) {
		r, err := y.platform.Tasks().Reports(ctx, known)
		rows += len(r.Tasks)
		if r.Complete {
			r.Tasks = nil // the worker no longer knows the task
		}
		return r, err
	}
	for range 10 {
		y.acquireRole("a")
		y.advance(3*time.Second, "a")
	}
	assert.Equal(t, rows, 0, "unchanged reports are not read again")
	assert.Equal(t, y.run(id).State, record.Running)
	for range int(fullReportPeriod/(3*time.Second)) + missingReportLimit {
		y.acquireRole("a")
		y.advance(3*time.Second, "a")
	}
	assert.Equal(t, y.run(id).State, record.Unknown)
	assert.Equal(t, y.platform.StartCount(id), 1)
}

// TestWorkerDueForMaintenanceIsUsedLast checks that a job is placed on another worker, although
// that has more free capacity: on the due one it would have to move within a short time.
func TestWorkerDueForMaintenanceIsUsedLast(t *testing.T) {
	y := newCluster(2, "a")
	m := &manifest.Maintenance{Name: "m", Period: tomlfile.Duration(10 * time.Hour)}
	y.put("a", record.Record{Apply: &record.Apply{Deployment: "m", Base: y.State().Catalog.Version, Put: []manifest.Object{{Maintenance: m}}}})
	first := y.submit("a", manifest.Job{Cores: 2, MemoryGB: 2, Repeatable: true})
	y.put("a", Place(y.State(), "a", 1).Records...)
	tight, other := y.run(first).Worker, "w1"
	if tight == other {
		other = "w0"
	}
	y.clock.Advance(9 * time.Hour)
	i, _ := y.State().Instances.Get(other)
	i.Worker.BootCount++ // just maintained
	y.put("a", record.Record{ListUpdate: &record.ListUpdate{Revision: y.State().ListRevision + 1, Workers: []fleet.Worker{i.Worker}}})
	second := oncekey.New(y.clock.Now().Add(time.Hour))
	y.put("a", record.Record{Submit: &record.Submit{ID: second, Job: manifest.Job{Name: "job", Team: "t", Pool: "p", Cores: 2, MemoryGB: 2}}})
	y.put("a", Place(y.State(), "a", 1).Records...)
	assert.Equal(t, y.run(second).Worker, other)
}
