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

// yard is a log in memory, workers that run tasks, and some deciders.
type yard struct {
	clock    *clock.Fake
	platform *standin.Platform
	deciders map[string]*Decider

	mu    sync.Mutex
	state state.State
	seq   map[string]uint64
}

var begin = time.Date(2026, 3, 2, 1, 0, 0, 0, time.UTC)

func newYard(workers int, names ...string) *yard {
	y := &yard{clock: clock.NewFake(begin), deciders: make(map[string]*Decider), seq: make(map[string]uint64)}
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
func (y *yard) State() state.State {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.state
}

func (y *yard) put(writer string, records ...record.Record) []state.Verdict {
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

// lead gives a decider the role.
func (y *yard) lead(name string) {
	y.put(name, record.Record{Lease: &record.Lease{Role: record.RoleJobs, TTL: time.Minute}})
}

// submit puts a run of a job on the log and returns its ID.
func (y *yard) submit(writer string, job manifest.Job) string {
	id := oncekey.New(begin.Add(time.Hour))
	job.Name, job.Team, job.Pool = "job", "t", "p"
	y.put(writer, record.Record{Submit: &record.Submit{ID: id, Job: job}})
	return id
}

// step lets a decider act on a state, and waits for the starts that it began.
func (y *yard) step(name string, s state.State) {
	d := y.deciders[name]
	d.RunOnce(context.Background(), s)
	d.AwaitStarts()
}

// pass lets time pass and the deciders act on the newest state.
func (y *yard) pass(d time.Duration, names ...string) {
	for range 3 {
		y.clock.Advance(d / 3)
		for _, n := range names {
			y.step(n, y.State())
		}
	}
}

func (y *yard) run(id string) state.Run {
	r, _ := y.State().Runs.Get(id)
	return r
}

func TestTwoDecidersStartOnce(t *testing.T) {
	y := newYard(2, "a", "b")
	y.lead("a")
	id := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Command: "sleep 1s"})
	stale := y.State()
	y.step("a", stale)
	// a is paused; b has the role, and then a goes on with what it knew.
	y.clock.Advance(2 * time.Minute)
	y.lead("b")
	y.step("b", y.State())
	y.step("a", stale)
	y.pass(10*time.Second, "a", "b")
	assert.Equal(t, y.platform.StartCount(id), 1)
}

func TestStarterLostBeforeItReports(t *testing.T) {
	y := newYard(2, "a", "b")
	y.lead("a")
	id := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4})
	repeatable := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Repeatable: true, Command: "sleep 1s"})
	placed := Place(y.State(), "a", 1)
	y.put("a", placed.Records...) // accepted, and nobody knows whether a starts them
	y.put("b", record.Record{Gone: &record.Gone{Entry: "a", Incarnation: 1}})
	y.clock.Advance(2 * time.Minute)
	y.lead("b")
	y.pass(10*time.Second, "b")
	assert.Equal(t, y.run(id).State, record.Unknown)
	assert.Equal(t, y.platform.StartCount(id), 0)
	assert.Equal(t, y.run(repeatable).State, record.Done)
}

func TestAnswerOfTheStartLost(t *testing.T) {
	y := newYard(1, "a")
	y.lead("a")
	id := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Command: "sleep 1s"})
	y.platform.LoseResponses(1)
	y.pass(10*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Done)
	assert.Equal(t, y.platform.StartCount(id), 1)
}

// TestStartThatNeverArrived: the platform did not answer the starter and never
// began the task; the run must not hold its worker for ever.
func TestStartThatNeverArrived(t *testing.T) {
	y := newYard(1, "a")
	y.lead("a")
	once := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4})
	repeatable := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Repeatable: true, Command: "sleep 1s"})
	start := y.deciders["a"].Tasks.Start
	y.deciders["a"].Tasks.Start = func(context.Context, platform.Task) error {
		return errkind.New(errkind.OutcomeUnknown, "no answer")
	}
	y.step("a", y.State()) // places
	y.step("a", y.State()) // starts, in vain
	assert.Equal(t, y.run(repeatable).State, record.Placed)
	y.deciders["a"].Tasks.Start = start
	for range absentLimit {
		y.lead("a")
		y.pass(3*time.Second, "a")
	}
	assert.Equal(t, y.run(once).State, record.Unknown)
	assert.Equal(t, y.platform.StartCount(once), 0)
	assert.Equal(t, y.run(repeatable).State, record.Done)
	assert.Equal(t, y.State().WorkerUsage("w0").Runs, 0)
}

func TestLeaseThatLapsesWhileItsHolderIsPaused(t *testing.T) {
	y := newYard(1, "a")
	y.lead("a")
	id := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Command: "forever"})
	y.pass(3*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Running)
	y.clock.Advance(time.Hour) // nobody renews
	y.lead("a")
	y.pass(3*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Unknown)
	assert.Equal(t, y.platform.StartCount(id), 1)
}

func TestWorkerThatFailsEverything(t *testing.T) {
	y := newYard(2, "a")
	y.platform.SetBroken("w0", true)
	var ids []string
	for range 12 {
		ids = append(ids, y.submit("a", manifest.Job{Cores: 2, MemoryGB: 2, Repeatable: true, Command: "sleep 1s"}))
	}
	for range 20 {
		y.lead("a")
		y.pass(3*time.Second, "a")
	}
	for _, id := range ids {
		assert.Equal(t, y.run(id).State, record.Done, y.run(id).Reason)
	}
	i, _ := y.State().Instances.Get("w0")
	assert.Assert(t, i.EjectedUntil.After(begin))
}

func TestJobThatFitsNowhereBlocksNobody(t *testing.T) {
	y := newYard(1, "a")
	y.lead("a")
	huge := y.submit("a", manifest.Job{Cores: 64, MemoryGB: 4, Class: manifest.Urgent})
	small := y.submit("a", manifest.Job{Cores: 1, MemoryGB: 1, Command: "sleep 1s"})
	y.pass(6*time.Second, "a")
	assert.Equal(t, y.run(small).State, record.Done)
	assert.Equal(t, y.deciders["a"].Waiting()["p"][huge], TooLarge)
}

func TestUrgentWorkStartsOnAFullWorker(t *testing.T) {
	y := newYard(1, "a")
	y.lead("a")
	batch := y.submit("a", manifest.Job{Cores: 8, MemoryGB: 4, Class: manifest.Batch, Repeatable: true, Command: "forever"})
	y.pass(3*time.Second, "a")
	assert.Equal(t, y.run(batch).State, record.Running)
	urgent := y.submit("a", manifest.Job{Cores: 8, MemoryGB: 4, Class: manifest.Urgent, Command: "forever"})
	y.pass(3*time.Second, "a")
	y.pass(3*time.Second, "a")
	assert.Equal(t, y.platform.StartCount(urgent), 1)
	assert.Equal(t, y.run(batch).State, record.Pending)
}

func TestWaveOfCancellations(t *testing.T) {
	y := newYard(1, "a")
	y.lead("a")
	var ids []string
	for range 2000 {
		ids = append(ids, y.submit("a", manifest.Job{Cores: 1, MemoryGB: 1, Command: "forever"}))
	}
	y.pass(3*time.Second, "a")
	desk := &Service{Clock: y.clock.Clock(), State: y.State, Waiting: y.deciders["a"].Waiting, Propose: y.deciders["a"].Propose}
	_, err := desk.Cancel(context.Background(), "other", ids[:1])
	assert.ErrorContains(t, err, "nothing was cancelled")
	before := y.State().Offset
	_, err = desk.Cancel(context.Background(), "t", ids)
	assert.NilError(t, err)
	assert.Equal(t, y.State().Offset, before+1, "a wave takes one append")
	y.pass(6*time.Second, "a")
	assert.Equal(t, y.State().WorkerUsage("w0").Runs, 0)
	reports, err := y.platform.Tasks().Reports(context.Background(), 0)
	assert.NilError(t, err)
	for _, task := range reports.Tasks {
		assert.Equal(t, task.State, platform.TaskStopped, "a cancelled task runs on")
	}
	for _, status := range desk.List("t") {
		assert.Equal(t, status.State, record.Cancelled)
	}
}

func TestWrongSizesAreLearned(t *testing.T) {
	y := newYard(1, "a")
	y.lead("a")
	first := y.submit("a", manifest.Job{Cores: 2, MemoryGB: 1, Command: "sleep 2s use 6"})
	y.pass(6*time.Second, "a")
	assert.Equal(t, y.run(first).UsedCores, 6)
	y.submit("a", manifest.Job{Cores: 2, MemoryGB: 1, Command: "forever"})
	y.submit("a", manifest.Job{Cores: 2, MemoryGB: 1, Command: "forever"})
	y.pass(6*time.Second, "a")
	assert.Equal(t, y.State().WorkerUsage("w0").Runs, 1, "two of its true size do not fit")
}

// TestThrottledTaskIsLearnedByWhatItWants: a greedy task is throttled to the size
// that it was placed by; what it used before that is its size.
func TestThrottledTaskIsLearnedByWhatItWants(t *testing.T) {
	y := newYard(1, "a")
	y.lead("a")
	id := y.submit("a", manifest.Job{Cores: 2, MemoryGB: 1, Command: "sleep 20s use 6"})
	y.pass(9*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Running)
	reports, err := y.platform.Tasks().Reports(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, reports.Tasks[0].Cores, 2, "it is throttled")
	y.lead("a")
	y.pass(30*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Done)
	assert.Equal(t, y.run(id).UsedCores, 6)
}

// TestTaskThatVanishes: a worker that forgets a task without a word is found
// out by the next reading of all reports, and only what is new is read until
// then.
func TestTaskThatVanishes(t *testing.T) {
	y := newYard(1, "a")
	y.lead("a")
	id := y.submit("a", manifest.Job{Cores: 4, MemoryGB: 4, Command: "forever"})
	y.pass(3*time.Second, "a")
	assert.Equal(t, y.run(id).State, record.Running)
	d := y.deciders["a"]
	rows := 0
	d.Tasks.Reports = func(ctx context.Context, known uint64) (platform.Reports, error) {
		r, err := y.platform.Tasks().Reports(ctx, known)
		rows += len(r.Tasks)
		if r.Complete {
			r.Tasks = nil // the worker has forgotten it
		}
		return r, err
	}
	for range 10 {
		y.lead("a")
		y.pass(3*time.Second, "a")
	}
	assert.Equal(t, rows, 0, "what has not changed is not read again")
	assert.Equal(t, y.run(id).State, record.Running)
	for range int(wholePeriod/(3*time.Second)) + missingLimit {
		y.lead("a")
		y.pass(3*time.Second, "a")
	}
	assert.Equal(t, y.run(id).State, record.Unknown)
	assert.Equal(t, y.platform.StartCount(id), 1)
}

// TestDueWorkerIsTakenLast: a job on a worker that is due for maintenance would
// soon have to move, so another one is taken, though it has more room.
func TestDueWorkerIsTakenLast(t *testing.T) {
	y := newYard(2, "a")
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
