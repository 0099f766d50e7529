// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"fmt"
	"maps"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// submitted is a job that was handed in, and what the world saw of it.
type submitted struct {
	sub       job.Submission
	cancelled time.Time
	done      map[string]bool        // tasks that have ended as done
	noted     map[string]bool        // of them, those taken note of
	fails     map[string]int         // failed ends taken note of
	failed    map[string][]worker.ID // the workers of all failed ends
	away      map[string]time.Time   // since when a task that lasts is not at work
	ordered   map[string]bool        // such a task was ended by an order
	refused   bool                   // its caller gave up after refusals only
	begun     bool                   // a task of it was begun
	crashes   map[string]int         // workers that a task has crashed
	crashed   map[string]int         // starts of a task since it has crashed as many as is allowed
	beside    map[string]int         // workers that have crashed under a task, by whatever cause
}

// cancelTime is how long after a cancel's acknowledgement a task may begin, also by an
// order that came before and is carried out late: an order can tell until when.
const cancelTime = 3 * time.Second

// RecordSubmission tells the world of a job before it is handed in.
func (w *World) RecordSubmission(s job.Submission) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[s.ID] = &submitted{
		sub: s, done: make(map[string]bool), noted: make(map[string]bool), fails: make(map[string]int), away: make(map[string]time.Time),
		ordered: make(map[string]bool), failed: make(map[string][]worker.ID), crashes: make(map[string]int), crashed: make(map[string]int),
		beside: make(map[string]int),
	}
}

// RecordCancel tells the world that a job's cancelling was acknowledged.
func (w *World) RecordCancel(id job.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[id].cancelled = time.Now()
}

// RecordRefusal tells the world that each try to hand a job in was refused, and that its
// caller has given up: it must not have begun, and never may.
func (w *World) RecordRefusal(id job.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[id].refused = true
	if w.jobs[id].begun {
		w.broken("REFUSED: job %s was refused and has begun", id)
	}
}

// HasFailed reports whether a task of a job, or a gang, has failed as often as it
// may.
func (w *World) HasFailed(id job.ID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, gangs := w.jobs[id], make(map[job.StepRef]int)
	for task, on := range j.failed {
		n := len(on)
		ref, _ := job.ParseTask(task)
		if j.sub.Steps[ref.Step].Gang {
			gangs[ref.StepRef] += n
			n = gangs[ref.StepRef]
		}
		if n >= w.attempts() {
			return true
		}
	}
	return false
}

// FailedOn returns how often each task of a job has ended as failed, and on which workers.
func (w *World) FailedOn(id job.ID) map[string][]worker.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.jobs[id].failed)
}

// HasCompleted reports whether each task of a job without times has ended as done.
func (w *World) HasCompleted(id job.ID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, tasks := w.jobs[id], 0
	for i := range j.sub.Steps {
		tasks += j.sub.Steps[i].Count
	}
	return len(j.done) == tasks
}

// GangTimeouts returns how many runs have waited in vain for the others of their gang.
func (w *World) GangTimeouts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.alone
}

// Runs returns the runs of a job's tasks that are under way.
func (w *World) Runs(id job.ID) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []string
	for _, o := range w.workers {
		for name, r := range o.runs {
			if ref, _ := job.ParseTask(name); ref.Job == id && !o.over {
				runs = append(runs, fmt.Sprintf("%s run %d on %s", name, r.number, o.info.ID))
			}
		}
	}
	return runs
}

// started checks a start, and returns the task's step and room. The lock is held.
func (w *World) started(node string, o *Worker, s port.Start) (*job.Step, job.Size) {
	ref, err := job.ParseTask(s.Task)
	j := w.jobs[ref.Job]
	if err != nil || j == nil {
		w.broken("UNASKED: %s starts %s", node, s.Task)
		return &job.Step{Estimate: time.Second}, job.Size{}
	}
	j.begun = true
	if j.refused {
		w.broken("REFUSED: %s starts %s of a job that was refused", node, s.Task)
	}
	step := &j.sub.Steps[ref.Step]
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelTime && !w.fault(node).apart() {
		w.broken("UNASKED: %s starts %s of a cancelled job", node, s.Task)
	}
	if s.Spec != j.sub.Spec {
		w.broken("UNASKED: %s starts %s with another specification", node, s.Task)
	}
	w.checkTwice(node, j, step, s)
	w.checkOrder(node, j, ref, step, s)
	w.checkCrashes(node, j, s)
	w.checkLimit(node, j, step, s.Task)
	used := step.Reservation()
	onWorker := 0
	for name, r := range o.runs {
		used = used.Plus(r.room)
		if other, _ := job.ParseTask(name); other.StepRef == ref.StepRef {
			onWorker++
		}
	}
	if !used.FitsIn(o.room()) {
		w.broken("LIMIT: %s starts %s on %s, which then holds %v", node, s.Task, o.info.ID, used)
	}
	if step.MaxPerWorker > 0 && onWorker >= step.MaxPerWorker {
		w.broken("ROUTE: %s starts %s beside %d of its step", node, s.Task, onWorker)
	}
	if step.Label != "" && !o.info.HasLabel(step.Label) {
		w.broken("ROUTE: %s starts %s on %s, which lacks %s", node, s.Task, o.info.ID, step.Label)
	}
	return step, step.Reservation()
}

// checkTwice checks that no other run of a task is under way and none has ended
// as done. The lock is held.
func (w *World) checkTwice(node string, j *submitted, step *job.Step, s port.Start) {
	if j.noted[s.Task] {
		w.broken("TWICE: %s starts %s, which is done", node, s.Task)
	}
	if step.AllowDuplicates {
		return
	}
	for _, other := range w.workers {
		if !other.over {
			other.lapse() // its timer may be late
		}
		if r := other.runs[s.Task]; r != nil && !other.over {
			w.broken("TWICE: %s starts %s run %d beside run %d on %s", node, s.Task, s.Number, r.number, other.info.ID)
		}
	}
}

// checkOrder checks that a step's turn has come and that the task may be tried
// again. The lock is held.
func (w *World) checkOrder(node string, j *submitted, ref job.TaskRef, step *job.Step, s port.Start) {
	for _, a := range step.DependsOn {
		for i := range j.sub.Steps[a].Count {
			before := job.TaskRef{StepRef: job.StepRef{Job: ref.Job, Round: ref.Round, Step: a}, Index: i}
			if !j.done[before.String()] {
				w.broken("ORDER: %s starts %s before %s is done", node, s.Task, before)
			}
		}
	}
	if most := w.attempts(); !step.LongRunning && most > 0 && j.fails[s.Task] >= most {
		w.broken("BUDGET: %s starts %s after %d failures", node, s.Task, j.fails[s.Task])
	}
}

// MaxAttempts is how often a task may fail in the model's queues.
const MaxAttempts = 3

func (w *World) attempts() int { return MaxAttempts }

// ran notes a run's end. The lock is held.
func (w *World) ran(o *Worker, r *running, how worker.EndReason) {
	w.left(o, r)
	ref, _ := job.ParseTask(r.task)
	j := w.jobs[ref.Job]
	switch {
	case j == nil:
	case how == worker.Done:
		j.done[r.task] = true
	case how == worker.Failed:
		j.failed[r.task] = append(j.failed[r.task], o.info.ID)
	}
}

// noted takes that an end may be forgotten. The lock is held.
func (w *World) noted(e worker.EndedRun) {
	ref, _ := job.ParseTask(e.Task)
	j := w.jobs[ref.Job]
	if j == nil {
		return
	}
	switch e.Reason {
	case worker.Done:
		j.noted[e.Task] = true
	case worker.Failed:
		j.fails[e.Task]++
	}
}

// stopped checks that a task that lasts may be taken away by an order. The lock
// is held.
func (w *World) stopped(node string, o *Worker, r *running) {
	ref, _ := job.ParseTask(r.task)
	j := w.jobs[ref.Job]
	if j == nil || !j.cancelled.IsZero() || o.info.Draining {
		return
	}
	step := &j.sub.Steps[ref.Step]
	if !step.LongRunning || step.MaxUnavailable == 0 || o.percent(r) < whole {
		return
	}
	away := 0
	for i := range step.Count {
		other := job.TaskRef{StepRef: ref.StepRef, Index: i}
		if other != ref && w.isAway(j, other.String()) {
			away++
		}
	}
	if away >= step.MaxUnavailable && time.Now().After(w.fault(node).OrdersDelayedUntil) {
		w.broken("AVAIL: %s ends %s while %d others of its step are away", node, r.task, away)
	}
	j.ordered[r.task] = true
}

// noticeTime is how long a task must not be at work to be away, unless an order
// has ended it.
const noticeTime = 4500 * time.Millisecond

// isAway reports whether a task that lasts counts as away. The lock is held.
func (w *World) isAway(j *submitted, task string) bool {
	if w.atWork(task) {
		delete(j.ordered, task)
		delete(j.away, task)
		return false
	}
	since, known := j.away[task]
	return j.ordered[task] || known && time.Since(since) >= noticeTime
}

// left notes that a run of a worker is gone. One that was at work until now is away
// from now on, and not by an order. The lock is held.
func (w *World) left(o *Worker, r *running) {
	ref, _ := job.ParseTask(r.task)
	j := w.jobs[ref.Job]
	if j == nil {
		return
	}
	if !r.stopping && o.percent(r) >= whole {
		delete(j.ordered, r.task)
		j.away[r.task] = time.Now()
		return
	}
	if _, known := j.away[r.task]; !known {
		j.away[r.task] = time.Now()
	}
}

// atWork reports whether a task that lasts is at work. The lock is held.
func (w *World) atWork(task string) bool {
	for _, o := range w.workers {
		if r := o.runs[task]; r != nil && !o.over && !r.stopping && o.percent(r) >= whole {
			return true
		}
	}
	return false
}

// WorkingTasks returns how many tasks of a step that lasts are at work.
func (w *World) WorkingTasks(ref job.StepRef) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for i := range w.jobs[ref.Job].sub.Steps[ref.Step].Count {
		if w.atWork(job.TaskRef{StepRef: ref, Index: i}.String()) {
			n++
		}
	}
	return n
}

// TaskCount returns how many tasks a step has.
func (w *World) TaskCount(ref job.StepRef) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[ref.Job].sub.Steps[ref.Step].Count
}
