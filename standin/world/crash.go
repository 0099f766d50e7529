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

// The times and bounds of tasks that crash their workers.
const (
	crashAfter   = 10 * time.Millisecond // from the start of such a task
	crashDown    = 3 * time.Second       // until the worker's instance is back
	crashesMost  = 3                     // workers that a task may crash before its starts are counted
	startsBeyond = 3                     // starts after that many crashes, which is one too many
)

// crashes reports whether a start crashes the worker.
func crashes(s port.Start) bool {
	ref, err := job.ParseTask(s.Task)
	return err == nil && strings.HasPrefix(s.Spec, CrashingSpec) && ref.Index == 0
}

// crashUnder ends a worker's life by a task that it runs, and counts that.
func (w *World) crashUnder(id worker.ID, task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	if o.over || o.runs[task] == nil {
		return
	}
	if ref, _ := job.ParseTask(task); w.jobs[ref.Job] != nil {
		w.jobs[ref.Job].crashes[task]++
	}
	w.crash(o, crashDown)
	clear(o.runs) // members elsewhere of gangs wait for those that were lost
}

// checkCrashes checks that a task that has crashed as many workers as is allowed is
// begun no more, but for starts that were decided on meanwhile. The lock is held.
func (w *World) checkCrashes(node string, j *submitted, s port.Start) {
	if j.crashes[s.Task] < crashesMost || w.fault(node).apart() {
		return
	}
	j.crashed[s.Task]++
	if j.crashed[s.Task] == startsBeyond {
		w.broken("BUDGET: %s starts %s for the third time since three workers have crashed under it", node, s.Task)
	}
}

// crashedUnder counts a crash of a worker for each task that it runs. The lock is held.
func (w *World) crashedUnder(o *Worker) {
	for name := range o.runs {
		if ref, _ := job.ParseTask(name); w.jobs[ref.Job] != nil {
			w.jobs[ref.Job].beside[name]++
		}
	}
}

// mayGiveUp is under how many crashes of workers a task may be given up.
const mayGiveUp = 2

// MayGiveUp reports whether so many workers have crashed under a task of a job, by
// whatever cause, that it may be given up.
func (w *World) MayGiveUp(id job.ID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.jobs[id].beside {
		if n >= mayGiveUp {
			return true
		}
	}
	return false
}
