// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobs

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/services/platform"
)

// The policy for what fails.
const (
	maxAttempts   = 3
	asideFailures = 3 // failures in a row after which a worker is set aside
	asideLife     = 5 * time.Minute
	missingLimit  = 5   // reports without a task that was running
	absentLimit   = 300 // readings without a task that was placed; by far more than the reports lag
)

// taskID names one attempt of a run for the platform.
func taskID(run string, attempt int) string { return run + "#" + strconv.Itoa(attempt) }

// runOf returns the run and the attempt that a task stands for.
func runOf(task string) (run string, attempt int, ok bool) {
	i := strings.LastIndexByte(task, '#')
	if i < 0 {
		return "", 0, false
	}
	attempt, err := strconv.Atoi(task[i+1:])
	return task[:i], attempt, err == nil
}

// follower compares the workers' reports with the state.
type follower struct {
	s        state.State
	failures map[string]int // in a row, by worker
	missing  map[string]int // reports without it, by task
	records  []record.Record
	orphans  []platform.TaskStatus // tasks that should not run
	greedy   []platform.TaskStatus // tasks that use more than they were placed by
}

func (f *follower) follow(seen map[string]platform.TaskStatus) {
	for _, t := range seen {
		f.checkOrphan(t)
	}
	for id, r := range f.s.ActiveRuns() {
		if !r.Active() {
			continue
		}
		task := taskID(id, r.Attempt)
		t, there := seen[task]
		if !there {
			f.noteMissing(id, task, r)
			continue
		}
		delete(f.missing, task)
		f.report(id, r, t)
	}
}

// checkOrphan finds tasks whose run has ended or been moved on.
func (f *follower) checkOrphan(t platform.TaskStatus) {
	run, attempt, ok := runOf(t.ID)
	if !ok || t.State != platform.TaskRunning {
		return
	}
	r, known := f.s.Runs.Get(run)
	if !known || !r.Active() || r.Attempt != attempt {
		f.orphans = append(f.orphans, t)
	}
}

// noteMissing gives up on a task that the reports do not show: soon on one that
// was running, late on one that was only placed, since the report lags and its
// starter may yet start it. A start that comes later still does no harm: the
// run then waits for another attempt only if it may be repeated.
func (f *follower) noteMissing(id, task string, r state.Run) {
	f.missing[task]++
	limit, reason := missingLimit, "the worker no longer reports the task"
	if r.State == record.Placed {
		limit, reason = absentLimit, "no worker has reported the task"
	}
	if f.missing[task] >= limit {
		f.progress(id, r, record.Pending, reason, 0)
	}
}

func (f *follower) progress(id string, r state.Run, to record.RunState, reason string, cores int) {
	f.records = append(f.records, record.Record{Progress: &record.Progress{
		ID: id, Attempt: r.Attempt, State: to, Reason: reason, Cores: cores,
	}})
}

// report turns a task's state into the run's progress.
func (f *follower) report(id string, r state.Run, t platform.TaskStatus) {
	switch t.State {
	case platform.TaskRunning:
		if t.Cores > r.Cores {
			f.greedy = append(f.greedy, t)
		}
		if r.State == record.Placed || t.Cores > r.UsedCores {
			f.progress(id, r, record.Running, "", t.Cores)
		}
	case platform.TaskDone:
		f.failures[t.Worker] = 0
		f.progress(id, r, doneState(r), "", t.Cores)
	case platform.TaskFailed:
		f.fail(id, r, t)
	case platform.TaskStopped:
		f.progress(id, r, record.Pending, "the task was stopped, or its lease lapsed", t.Cores)
	}
}

// doneState makes a feed that has ended run again.
func doneState(r state.Run) record.RunState {
	if r.Job.Class == manifest.LongRunning {
		return record.Pending
	}
	return record.Done
}

// fail tries a run elsewhere if it may be repeated, and sets a worker aside
// that fails one task after another.
func (f *follower) fail(id string, r state.Run, t platform.TaskStatus) {
	f.failures[t.Worker]++
	if f.failures[t.Worker] >= asideFailures {
		f.failures[t.Worker] = asideFailures - 1 // one more failure, and it is aside again
		f.records = append(f.records, record.Record{Eject: &record.Eject{
			Worker: t.Worker, Until: f.s.Now.Add(asideLife),
		}})
	}
	again := r.Job.Repeatable && (r.Attempt < maxAttempts || r.Job.Class == manifest.LongRunning)
	if again {
		f.progress(id, r, record.Pending, "attempt failed on "+t.Worker, t.Cores)
		return
	}
	f.progress(id, r, record.Failed, "failed on "+t.Worker, t.Cores)
}

// stopAll ends tasks, after a checkpoint.
func stopAll(ctx context.Context, port platform.Tasks, tasks []platform.TaskStatus) {
	for _, t := range tasks {
		// A task that could not be stopped shows up in the next report again.
		_ = port.Stop(ctx, t.Worker, t.ID, true)
	}
}
