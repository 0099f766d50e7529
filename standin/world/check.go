// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// jobRecord is a submitted job together with what was observed of it.
type jobRecord struct {
	submission           job.Submission
	cancelled            time.Time
	done                 map[string]bool        // tasks that ended as done
	acknowledged         map[string]bool        // subset of done whose ends were acknowledged
	unacknowledged       map[string][]*doneEnd  // other ends of tasks as done, by task
	acknowledgedFailures map[string]int         // acknowledged failures, by task
	failures             map[string][]worker.ID // the workers of all failed ends
	absentSince          map[string]time.Time   // since when a long-running task is not working
	endedByOrder         map[string]bool        // long-running tasks that an order has ended
	refused              bool                   // the caller gave up after getting refusals only
	started              bool                   // one of its tasks was started
	crashesCaused        map[string]int         // workers that a task has crashed
	startsAfterCrashes   map[string]int         // starts of a task after it reached the crash limit
	crashesUnder         map[string]int         // workers that have crashed while running a task, for any reason
	pool                 string                 // whose workers run it, "" before its submission was acknowledged
	waitingSince         time.Time              // since when it has nothing running while there is capacity for it, zero for not
	lost                 bool                   // that was reported as a violation
}

// doneEnd is the end of a task as done that no node has acknowledged yet.
type doneEnd struct {
	worker    *Worker
	sequence  int
	startedBy string // which node started the task again after it, "" for none
}

// cancelBound is how long after the acknowledgement of a cancel a task may still be
// started, also by an order that was sent before and is applied late: an order can carry a
// deadline.
const cancelBound = 3 * time.Second

// RecordSubmission records a job before it is submitted.
func (w *World) RecordSubmission(s job.Submission) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[s.ID] = &jobRecord{
		submission: s, done: make(map[string]bool), acknowledged: make(map[string]bool), unacknowledged: make(map[string][]*doneEnd), acknowledgedFailures: make(map[string]int), absentSince: make(map[string]time.Time),
		endedByOrder: make(map[string]bool), failures: make(map[string][]worker.ID), crashesCaused: make(map[string]int), startsAfterCrashes: make(map[string]int),
		crashesUnder: make(map[string]int),
	}
}

// RecordCancel records that the cancel of a job was acknowledged.
func (w *World) RecordCancel(id job.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[id].cancelled = time.Now()
}

// RecordRefusal records that each attempt to submit a job was refused and that its caller
// has given up: the job must not have started, and must never start.
func (w *World) RecordRefusal(id job.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[id].refused = true
	if w.jobs[id].started {
		w.violation("REFUSED: job %s was refused and has started", id)
	}
}

// HasFailed reports whether a task of a job, or a gang, has used up its attempts.
func (w *World) HasFailed(id job.ID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, gangs := w.jobs[id], make(map[job.StepRef]int)
	for task, on := range j.failures {
		n := len(on)
		ref, _ := job.ParseTask(task)
		if j.submission.Steps[ref.Step].Gang {
			gangs[ref.StepRef] += n
			n = gangs[ref.StepRef]
		}
		if n >= w.attempts() {
			return true
		}
	}
	return false
}

// FailedOn returns the workers on which each task of a job has ended as failed, one entry a
// failure.
func (w *World) FailedOn(id job.ID) map[string][]worker.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.jobs[id].failures)
}

// HasCompleted reports whether each task of a job has ended as done.
func (w *World) HasCompleted(id job.ID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	return len(j.done) == j.submission.TasksPerRound()*j.submission.Rounds()
}

// DoneInStep returns how many tasks of a step have ended as done, in all rounds of its job, and how many there are.
func (w *World) DoneInStep(id job.ID, step int) (done, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	for name := range j.done {
		if ref, err := job.ParseTask(name); err == nil && ref.Step == step {
			done++
		}
	}
	return done, j.submission.Steps[step].Count * j.submission.Rounds()
}

// GangTimeouts returns how many runs have timed out waiting for other members of their
// gang.
func (w *World) GangTimeouts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gangTimeouts
}

// LongRunEnds returns how many runs of long-running tasks have ended, for any reason.
func (w *World) LongRunEnds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longRunEnds
}

// Runs returns the runs of a job's tasks that are in progress.
func (w *World) Runs(id job.ID) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []string
	for _, o := range w.workers {
		for name, r := range o.runs {
			if ref, _ := job.ParseTask(name); ref.Job == id && !o.gone {
				runs = append(runs, fmt.Sprintf("%s run %d on %s", name, r.number, o.info.ID))
			}
		}
	}
	return runs
}

// checkStart checks a start against the rules, and returns the task's step and size. The
// caller holds w.mu.
func (w *World) checkStart(node string, o *Worker, s port.Start) (*job.Step, job.Size) {
	ref, err := job.ParseTask(s.Task)
	j := w.jobs[ref.Job]
	if err != nil || j == nil {
		w.violation("UNASKED: %s starts %s", node, s.Task)
		return &job.Step{Estimate: time.Second}, job.Size{}
	}
	j.started = true
	if j.refused {
		w.violation("REFUSED: %s starts %s of a job that was refused", node, s.Task)
	}
	step := &j.submission.Steps[ref.Step]
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelBound && !w.fault(node).isolated() {
		w.violation("UNASKED: %s starts %s of a cancelled job", node, s.Task)
	}
	if s.Spec != j.submission.Spec {
		w.violation("UNASKED: %s starts %s with another specification", node, s.Task)
	}
	w.checkEvacuation(node, o, s.Task)
	w.checkDuplicate(node, j, step, s)
	w.checkOrder(node, j, ref, step, s)
	w.checkCrashes(node, j, s)
	w.checkLimit(node, j, step, s.Task)
	used := step.Reservation()
	onWorker := 0
	for name, r := range o.runs {
		used = used.Plus(r.size)
		if other, _ := job.ParseTask(name); other.StepRef == ref.StepRef {
			onWorker++
		}
	}
	if !used.FitsIn(o.capacity()) {
		w.violation("LIMIT: %s starts %s on %s, which then uses %v", node, s.Task, o.info.ID, used)
	}
	if step.MaxPerWorker > 0 && onWorker >= step.MaxPerWorker {
		w.violation("ROUTE: %s starts %s on a worker that runs %d of its step", node, s.Task, onWorker)
	}
	if step.Label != "" && !o.info.HasLabel(step.Label) {
		w.violation("ROUTE: %s starts %s on %s, which lacks %s", node, s.Task, o.info.ID, step.Label)
	}
	return step, step.Reservation()
}

// checkDuplicate checks that no other run of a task is in progress and that none has ended
// as done; an end that is acknowledged later counts too. The caller holds w.mu.
func (w *World) checkDuplicate(node string, j *jobRecord, step *job.Step, s port.Start) {
	if j.acknowledged[s.Task] {
		w.violation("TWICE: %s starts %s, which is done", node, s.Task)
	}
	if step.AllowDuplicates {
		return
	}
	for _, e := range j.unacknowledged[s.Task] {
		e.startedBy = node
	}
	for _, other := range w.workers {
		if other.gone || other.runs[s.Task] == nil {
			continue
		}
		other.expireLease() // its timer may fire late
		if r := other.runs[s.Task]; r != nil {
			w.violation("TWICE: %s starts %s run %d while run %d is on %s for %s, whose incarnation is %s old, token %d, newest end %d",
				node, s.Task, s.Number, r.number, other.info.ID, time.Since(r.startedAt), time.Since(other.startedAt), other.token, other.lastSequence)
		}
	}
}

// earlyBound is how long before its round is due a task may start.
const earlyBound = 250 * time.Millisecond

// checkOrder checks that the round is due, that the preceding steps are done and that the task has attempts left.
// The caller holds w.mu.
func (w *World) checkOrder(node string, j *jobRecord, ref job.TaskRef, step *job.Step, s port.Start) {
	if early := time.Until(j.submission.DueAt(ref.Round)); j.submission.RepeatCount > 0 && early > earlyBound {
		w.violation("ORDER: %s starts %s %s before it is due", node, s.Task, early)
	}
	for _, a := range step.DependsOn {
		for i := range j.submission.Steps[a].Count {
			predecessor := job.TaskRef{StepRef: job.StepRef{Job: ref.Job, Round: ref.Round, Step: a}, Index: i}
			if !j.done[predecessor.String()] {
				w.violation("ORDER: %s starts %s before %s is done", node, s.Task, predecessor)
			}
		}
	}
	if limit := w.attempts(); !step.LongRunning && limit > 0 && j.acknowledgedFailures[s.Task] >= limit {
		w.violation("BUDGET: %s starts %s after %d failures", node, s.Task, j.acknowledgedFailures[s.Task])
	}
}

// MaxAttempts is how often a task may fail in the model's queues.
const MaxAttempts = 3

func (w *World) attempts() int { return MaxAttempts }

// recordEnd records the end of a run. The caller holds w.mu.
func (w *World) recordEnd(o *Worker, r *running, reason worker.EndReason) {
	w.recordGone(o, r)
	ref, _ := job.ParseTask(r.task)
	j := w.jobs[ref.Job]
	switch {
	case j == nil:
	case reason == worker.Done:
		j.done[r.task] = true
		j.unacknowledged[r.task] = append(j.unacknowledged[r.task], &doneEnd{worker: o, sequence: o.lastSequence})
	case reason == worker.Failed:
		j.failures[r.task] = append(j.failures[r.task], o.info.ID)
	}
}

// acknowledge records that a node has acknowledged an end, which the worker may then
// forget. The caller holds w.mu.
func (w *World) acknowledge(o *Worker, e worker.EndedRun) {
	ref, _ := job.ParseTask(e.Task)
	j := w.jobs[ref.Job]
	if j == nil {
		return
	}
	switch e.Reason {
	case worker.Done:
		j.acknowledged[e.Task] = true
		j.unacknowledged[e.Task] = slices.DeleteFunc(j.unacknowledged[e.Task], func(d *doneEnd) bool {
			if d.worker != o || d.sequence != e.Sequence {
				return false
			}
			if d.startedBy != "" {
				w.violation("TWICE: %s started %s after its run %d had ended as done on %s", d.startedBy, e.Task, e.Number, o.info.ID)
			}
			return true
		})
	case worker.Failed:
		j.acknowledgedFailures[e.Task]++
	}
}

// checkStop checks that an order may end a long-running task. The caller holds w.mu.
func (w *World) checkStop(node string, o *Worker, r *running) {
	ref, _ := job.ParseTask(r.task)
	j := w.jobs[ref.Job]
	if j == nil || !j.cancelled.IsZero() || o.info.Draining {
		return
	}
	step := &j.submission.Steps[ref.Step]
	if !step.LongRunning || step.MaxUnavailable == 0 || o.percent(r) < fullPercent {
		return
	}
	unavailable := 0
	for i := range step.Count {
		other := job.TaskRef{StepRef: ref.StepRef, Index: i}
		if other != ref && w.isUnavailable(j, other.String()) {
			unavailable++
		}
	}
	if unavailable >= step.MaxUnavailable && time.Now().After(w.fault(node).OrdersDelayedUntil) {
		w.violation("AVAIL: %s ends %s while %d others of its step are unavailable", node, r.task, unavailable)
	}
	j.endedByOrder[r.task] = true
}

// noticeTime is how long a task must not have been working to count as unavailable, unless
// an order has ended it.
const noticeTime = 4500 * time.Millisecond

// isUnavailable reports whether a long-running task counts as unavailable. The caller holds
// w.mu.
func (w *World) isUnavailable(j *jobRecord, task string) bool {
	if w.isWorking(task) {
		delete(j.endedByOrder, task)
		delete(j.absentSince, task)
		return false
	}
	since, known := j.absentSince[task]
	return j.endedByOrder[task] || known && time.Since(since) >= noticeTime
}

// recordGone records that a run of a worker is gone. One that was working until now becomes
// unavailable now, and not by an order. The caller holds w.mu.
func (w *World) recordGone(o *Worker, r *running) {
	ref, _ := job.ParseTask(r.task)
	j := w.jobs[ref.Job]
	if j == nil {
		return
	}
	if r.step.LongRunning {
		w.longRunEnds++
	}
	if !r.stopping && o.percent(r) >= fullPercent {
		delete(j.endedByOrder, r.task)
		j.absentSince[r.task] = time.Now()
		return
	}
	if _, known := j.absentSince[r.task]; !known {
		j.absentSince[r.task] = time.Now()
	}
}

// isWorking reports whether a long-running task is working. The caller holds w.mu.
func (w *World) isWorking(task string) bool {
	for _, o := range w.workers {
		if r := o.runs[task]; r != nil && !o.gone && !r.stopping && o.percent(r) >= fullPercent {
			return true
		}
	}
	return false
}

// WorkingTasks returns how many tasks of a long-running step are working.
func (w *World) WorkingTasks(ref job.StepRef) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for i := range w.jobs[ref.Job].submission.Steps[ref.Step].Count {
		if w.isWorking(job.TaskRef{StepRef: ref, Index: i}.String()) {
			n++
		}
	}
	return n
}

// TaskCount returns how many tasks a step has.
func (w *World) TaskCount(ref job.StepRef) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[ref.Job].submission.Steps[ref.Step].Count
}
