// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// running is a run under way.
type running struct {
	task     string
	number   int
	spec     string
	room     job.Size
	began    time.Time
	left     time.Duration // of its work, when it was counted last
	counted  time.Time
	takes    time.Duration
	stopping bool
	step     *job.Step
	pace     int // percent
	timer    *time.Timer
}

// count takes what a run has done at the speed of now. The lock is held.
func (o *Worker) count(r *running) {
	done := time.Duration(float64(time.Since(r.counted)) * o.speed())
	r.left, r.counted = max(r.left-done, 0), time.Now()
}

// schedule has a run end when its work is done at the speed of now. The lock is
// held.
func (o *Worker) schedule(r *running) {
	if r.timer != nil {
		r.timer.Stop()
	}
	o.count(r)
	if r.stopping || o.speed() == 0 {
		return
	}
	how := worker.Done
	if o.FailsRuns || strings.Contains(r.spec, "poison") {
		how = worker.Failed
	}
	if strings.Contains(r.spec, "lasts") {
		return
	}
	r.timer = time.AfterFunc(time.Duration(float64(r.left)/o.speed()), func() { o.finish(r, how) })
}

// finish ends a run.
func (o *Worker) finish(r *running, how worker.EndReason) {
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	o.finishLocked(r, how)
}

func (o *Worker) finishLocked(r *running, how worker.EndReason) {
	if o.over || o.runs[r.task] != r {
		return
	}
	others := o.w.members(r)
	if how == worker.Done && len(others) < r.members()-1 {
		if time.Since(r.began) < gangTime {
			r.timer = time.AfterFunc(gangPoll, func() { o.finish(r, how) })
			return
		}
		how = worker.GangIncomplete
		o.w.alone++
	}
	o.endRun(r, how)
	if how != worker.Done {
		how = worker.GangBroken
	}
	for m, at := range others {
		at.endRun(m, how)
	}
}

// members returns the other runs of a gang, with their workers. The lock is held.
func (w *World) members(r *running) map[*running]*Worker {
	list := make(map[*running]*Worker)
	ref, _ := job.ParseTask(r.task)
	for _, o := range w.workers {
		for name, other := range o.runs {
			if at, _ := job.ParseTask(name); r.step.Gang && other != r && other.number == r.number && at.StepRef == ref.StepRef {
				list[other] = o
			}
		}
	}
	return list
}

// members returns how many runs must be there for a run to work.
func (r *running) members() int {
	if r.step.Gang {
		return r.step.Count
	}
	return 1
}

// endRun ends one run and lists that. The lock is held.
func (o *Worker) endRun(r *running, how worker.EndReason) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(o.runs, r.task)
	o.ended[r.task] = r.number
	o.next++
	o.ends = append(o.ends, worker.EndedRun{Sequence: o.next, Task: r.task, Number: r.number, Reason: how})
	close(o.changed)
	o.changed = make(chan struct{})
	o.w.ran(o, r, how)
}

// percent returns how much of a run's work is done. The lock is held.
func (o *Worker) percent(r *running) int {
	left := r.left - time.Duration(float64(time.Since(r.counted))*o.speed())
	if left <= 0 || r.takes <= 0 {
		return whole
	}
	return whole - int(whole*left/r.takes)
}
