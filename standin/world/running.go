// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// running is a run in progress.
type running struct {
	task      string
	number    int
	spec      string
	size      job.Size
	startedAt time.Time
	remaining time.Duration // work that was left at countedAt
	countedAt time.Time
	duration  time.Duration
	stopping  bool
	step      *job.Step
	cpuShare  int // percent
	timer     *time.Timer
}

// advance accounts for the work done since the last call, at the current speed. The caller
// holds w.mu.
func (o *Worker) advance(r *running) {
	done := time.Duration(float64(time.Since(r.countedAt)) * o.speed())
	r.remaining, r.countedAt = max(r.remaining-done, 0), time.Now()
}

// schedule makes a run end when its work is done at the current speed. The caller holds
// w.mu.
func (o *Worker) schedule(r *running) {
	if r.timer != nil {
		r.timer.Stop()
	}
	o.advance(r)
	if r.stopping || o.speed() == 0 {
		return
	}
	reason := worker.Done
	if o.FailsRuns || strings.Contains(r.spec, "poison") {
		reason = worker.Failed
	}
	if strings.Contains(r.spec, "lasts") {
		return
	}
	r.timer = time.AfterFunc(time.Duration(float64(r.remaining)/o.speed()), func() { o.finish(r, reason) })
}

// finish ends a run.
func (o *Worker) finish(r *running, reason worker.EndReason) {
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	o.finishLocked(r, reason)
}

func (o *Worker) finishLocked(r *running, reason worker.EndReason) {
	if o.gone || o.runs[r.task] != r {
		return
	}
	others := o.w.members(r)
	if reason == worker.Done && len(others) < r.members()-1 {
		if time.Since(r.startedAt) < gangTime {
			r.timer = time.AfterFunc(gangPoll, func() { o.finish(r, reason) })
			return
		}
		reason = worker.GangIncomplete
		o.w.gangTimeouts++
	}
	o.endRun(r, reason)
	if reason != worker.Done {
		reason = worker.GangBroken
	}
	for m, at := range others {
		at.endRun(m, reason)
	}
}

// members returns the other runs of a gang, with their workers. The caller holds w.mu.
func (w *World) members(r *running) map[*running]*Worker {
	if !r.step.Gang {
		return nil
	}
	list := make(map[*running]*Worker)
	ref, _ := job.ParseTask(r.task)
	for _, o := range w.workers {
		for name, other := range o.runs {
			if other == r || !other.step.Gang || other.number != r.number {
				continue
			}
			if at, _ := job.ParseTask(name); at.StepRef == ref.StepRef {
				list[other] = o
			}
		}
	}
	return list
}

// members returns how many runs must be present for a run to make progress.
func (r *running) members() int {
	if r.step.Gang {
		return r.step.Count
	}
	return 1
}

// endRun ends one run and adds it to the ended runs. The caller holds w.mu.
func (o *Worker) endRun(r *running, reason worker.EndReason) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(o.runs, r.task)
	o.lastEnded[r.task] = r.number
	o.lastSequence++
	o.ends = append(o.ends, worker.EndedRun{Sequence: o.lastSequence, Task: r.task, Number: r.number, Reason: reason})
	close(o.changed)
	o.changed = make(chan struct{})
	o.w.recordEnd(o, r, reason)
}

// percent returns how much of a run's work is done. The caller holds w.mu.
func (o *Worker) percent(r *running) int {
	remaining := r.remaining - time.Duration(float64(time.Since(r.countedAt))*o.speed())
	if remaining <= 0 || r.duration <= 0 {
		return fullPercent
	}
	return fullPercent - int(fullPercent*remaining/r.duration)
}
