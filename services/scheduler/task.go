// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"iter"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
)

// A step keeps a state for each task that has been started and is not done, or still has a run. A task that is done
// is one bit, one that has never been started takes nothing: the memory of a job grows with what is in progress, not
// with what it may come to.

// taskState is one task.
type taskState struct {
	index      int // in its step
	number     int // number of its newest run
	failures   int
	done       bool
	checkpoint string
	runs       []*run // runs in progress
	notBefore  time.Time
	failedOn   []worker.ID // workers on which it has failed
	failedAt   time.Time   // time of the last failure
	lostRuns   []int       // numbers of runs declared lost whose end was not received

	crashes      []crash   // workers that crashed while running it
	suspectSince time.Time // when the newest of the crashes was recorded
}

// The states of all tasks that have none of their own; they are never changed.
var (
	untouchedTask = &taskState{}
	doneTask      = &taskState{done: true}
)

// untouched reports whether a task has never been started.
func (t *taskState) untouched() bool {
	return t.number == 0 && t.failures == 0 && !t.done && t.checkpoint == "" && len(t.runs) == 0
}

// maxBegun is how many tasks of a job may have been started and not be done before no others are started while it has
// runs: their states are what it takes most of its owner's memory for.
const maxBegun = 10_000

// hasManyBegun reports whether no further tasks of a job are to be started now, except long-running ones and gangs.
func (j *jobState) hasManyBegun() bool {
	return j.begun >= maxBegun && len(j.active) > 0 && !j.sub.HasLongRunning()
}

// count returns the number of tasks of a step.
func (s *stepState) count() int { return s.spec.Count }

// isDone reports whether a task is done.
func (s *stepState) isDone(index int) bool {
	if s.done == s.count() {
		return true
	}
	return s.doneBits != nil && s.doneBits[index/bits.UintSize]&(1<<(index%bits.UintSize)) != 0
}

// peek returns the state of a task, which must not be changed.
func (s *stepState) peek(index int) *taskState {
	if t := s.states[index]; t != nil {
		return t
	}
	if s.isDone(index) {
		return doneTask
	}
	return untouchedTask
}

// task returns the state of a task in order to change it.
func (s *stepState) task(index int) *taskState {
	s.markPart(index)
	s.noteBegun()
	if t := s.states[index]; t != nil {
		return t
	}
	t := &taskState{index: index, done: s.isDone(index)}
	if s.states == nil {
		s.states = make(map[int]*taskState)
	}
	s.states[index] = t
	s.job.begun++
	return t
}

// forgetDone drops the state of a task that is done and has no run.
func (s *stepState) forgetDone(t *taskState) {
	if t.done && len(t.runs) == 0 && s.states[t.index] == t {
		delete(s.states, t.index)
		s.job.begun--
	}
}

// setDone counts a task as done, once.
func (s *stepState) setDone(index int) {
	if s.isDone(index) {
		return
	}
	if s.doneBits == nil {
		s.doneBits = make([]uint, (s.count()+bits.UintSize-1)/bits.UintSize)
	}
	s.doneBits[index/bits.UintSize] |= 1 << (index % bits.UintSize)
	s.markPart(index)
	s.noteBegun()
	t := s.states[index]
	if t == nil || len(t.runs) == 0 {
		s.waiting-- // it was waiting for a run
	}
	s.done++
	if t != nil {
		t.done, t.checkpoint = true, ""
		s.forgetDone(t)
	}
	for s.firstOpen < s.count() && s.isDone(s.firstOpen) {
		s.firstOpen++
	}
	if s.done == s.count() {
		s.doneBits = nil
	}
}

// setAllDone counts all tasks of a step of which none has a state as done.
func (s *stepState) setAllDone() {
	s.noteBegun()
	s.done, s.waiting, s.firstOpen, s.doneBits = s.count(), 0, s.count(), nil
}

// touched returns the tasks of a step that have a state, in order.
func (s *stepState) touched() iter.Seq2[int, *taskState] {
	return func(yield func(int, *taskState) bool) {
		for _, i := range slices.Sorted(maps.Keys(s.states)) {
			if t := s.states[i]; t != nil && !yield(i, t) {
				return
			}
		}
	}
}

// untouched reports whether no task of a step has ever been started.
func (s *stepState) untouched() bool {
	if s.done > 0 {
		return false
	}
	for _, t := range s.states {
		if !t.untouched() {
			return false
		}
	}
	return true
}

// markPart marks the part of the job's progress that holds a task as changed.
func (s *stepState) markPart(index int) {
	if s.job.parts.split {
		s.job.parts.changed[(s.before+index)/tasksPerPart] = true
	}
}
