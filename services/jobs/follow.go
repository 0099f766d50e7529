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

// Limits for failed and missing tasks.
const (
	maxAttempts        = 3
	ejectFailures      = 3 // consecutive failures after which a worker is ejected
	ejectDuration      = 5 * time.Minute
	missingReportLimit = 5   // reports without a running task after which its attempt is given up
	unreportedLimit    = 300 // reports without a placed task after which its attempt is given up; far more than the reports lag
)

// taskID returns the platform's ID of one attempt of a run.
func taskID(run string, attempt int) string { return run + "#" + strconv.Itoa(attempt) }

// runOf returns the run and the attempt that a task ID denotes.
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
	s         state.State
	failures  map[string]int // consecutive, by worker
	missing   map[string]int // reports that did not show the task, by task
	records   []record.Record
	orphans   []platform.TaskStatus // tasks that should not run
	overusing []platform.TaskStatus // tasks that use more cores than they were placed with
}

func (f *follower) follow(tasks map[string]platform.TaskStatus) {
	for _, t := range tasks {
		f.checkOrphan(t)
	}
	for id, r := range f.s.ActiveRuns() {
		if !r.Active() {
			continue
		}
		task := taskID(id, r.Attempt)
		t, reported := tasks[task]
		if !reported {
			f.countMissing(id, task, r)
			continue
		}
		delete(f.missing, task)
		f.applyReport(id, r, t)
	}
}

// checkOrphan collects a task that runs although its run has ended or has another attempt.
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

// countMissing gives up an attempt whose task is missing from the reports: after a few reports if
// it was running, much later if it was only placed, since the reports lag and the starter may still
// start it. A start that arrives even later does no harm, because the run gets another attempt only
// if it is repeatable.
func (f *follower) countMissing(id, task string, r state.Run) {
	f.missing[task]++
	limit, reason := missingReportLimit, "the worker no longer reports the task"
	if r.State == record.Placed {
		limit, reason = unreportedLimit, "no worker has reported the task"
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

// applyReport turns the reported state of a task into progress of its run.
func (f *follower) applyReport(id string, r state.Run, t platform.TaskStatus) {
	switch t.State {
	case platform.TaskRunning:
		if t.Cores > r.Cores {
			f.overusing = append(f.overusing, t)
		}
		if r.State == record.Placed || t.Cores > r.UsedCores {
			f.progress(id, r, record.Running, "", t.Cores)
		}
	case platform.TaskDone:
		f.failures[t.Worker] = 0
		f.progress(id, r, doneState(r), "", t.Cores)
	case platform.TaskFailed:
		f.handleFailure(id, r, t)
	case platform.TaskStopped:
		f.progress(id, r, record.Pending, "the task was stopped, or its lease lapsed", t.Cores)
	}
}

// doneState returns the state of a run whose task has ended; a long-running job runs again.
func doneState(r state.Run) record.RunState {
	if r.Job.Class == manifest.LongRunning {
		return record.Pending
	}
	return record.Done
}

// handleFailure retries the run on another worker if it is repeatable, and ejects a worker after
// consecutive failures.
func (f *follower) handleFailure(id string, r state.Run, t platform.TaskStatus) {
	f.failures[t.Worker]++
	if f.failures[t.Worker] >= ejectFailures {
		f.failures[t.Worker] = ejectFailures - 1 // one more failure ejects it again
		f.records = append(f.records, record.Record{Eject: &record.Eject{
			Worker: t.Worker, Until: f.s.Now.Add(ejectDuration),
		}})
	}
	retry := r.Job.Repeatable && (r.Attempt < maxAttempts || r.Job.Class == manifest.LongRunning)
	if retry {
		f.progress(id, r, record.Pending, "attempt failed on "+t.Worker, t.Cores)
		return
	}
	f.progress(id, r, record.Failed, "failed on "+t.Worker, t.Cores)
}

// stopAll stops tasks after a checkpoint.
func stopAll(ctx context.Context, port platform.Tasks, tasks []platform.TaskStatus) {
	for _, t := range tasks {
		// A task that could not be stopped appears in the next report again.
		_ = port.Stop(ctx, t.Worker, t.ID, true)
	}
}
