// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// CrashingSpec is the specification of a job whose first task crashes each worker that
// starts it.
const CrashingSpec = "crashes its worker"

// Durations and limits of tasks that crash their workers.
const (
	crashAfter   = 10 * time.Millisecond // from the start of such a task
	crashDown    = 3 * time.Second       // until the worker's instance is up again
	maxCrashes   = 3                     // workers that a task may crash before its starts are counted
	excessStarts = 3                     // number of starts after that many crashes that is a violation; fewer may have been decided on concurrently
)

// crashes reports whether a start crashes the worker.
func crashes(s port.Start) bool {
	ref, err := job.ParseTask(s.Task)
	return err == nil && strings.HasPrefix(s.Spec, CrashingSpec) && ref.Index == 0
}

// crashByTask crashes a worker because of a task that it runs, and counts the crash.
func (w *World) crashByTask(id worker.ID, task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	if o.gone || o.runs[task] == nil {
		return
	}
	if ref, _ := job.ParseTask(task); w.jobs[ref.Job] != nil {
		w.jobs[ref.Job].crashesCaused[task]++
	}
	w.crash(o, crashDown)
	clear(o.runs) // gang members on other workers keep waiting for the lost ones
}

// checkCrashes checks that a task that has reached the crash limit is not started again,
// except by starts that were decided on concurrently. The caller holds w.mu.
func (w *World) checkCrashes(node string, j *jobRecord, s port.Start) {
	if j.crashesCaused[s.Task] < maxCrashes || w.fault(node).isolated() {
		return
	}
	j.startsAfterCrashes[s.Task]++
	if j.startsAfterCrashes[s.Task] == excessStarts {
		w.violation("BUDGET: %s starts %s for the third time after it crashed three workers", node, s.Task)
	}
}

// countCrash counts a crash of a worker for each task that it runs. The caller holds w.mu.
func (w *World) countCrash(o *Worker) {
	for name := range o.runs {
		if ref, _ := job.ParseTask(name); w.jobs[ref.Job] != nil {
			w.jobs[ref.Job].crashesUnder[name]++
		}
	}
}

// giveUpCrashes is the number of worker crashes after which a task may be given up.
const giveUpCrashes = 2

// MayGiveUp reports whether enough workers have crashed while running a task of a job, for
// any reason, that the task may be given up.
func (w *World) MayGiveUp(id job.ID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.jobs[id].crashesUnder {
		if n >= giveUpCrashes {
			return true
		}
	}
	return false
}
