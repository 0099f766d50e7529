// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"iter"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// The rounds of a job of which nothing has been started are alike, and so is the same step of two rounds. If no task
// of one can be started now, no task of the other can.
const (
	// maxUnbegunRounds is how many due rounds of a job are open of which nothing has been started.
	maxUnbegunRounds = 64
	// maxAlike is how many steps that are the same one in different rounds, and of which nothing has been started, a
	// plan looks at.
	maxAlike = 64
	// replanAfter is the time until the next plan if one has left out steps and started others.
	replanAfter = time.Millisecond
)

// round returns the state of a round, nil if it has not been opened.
func (j *jobState) round(n int) *roundState {
	if n < 0 || n >= len(j.rounds) {
		return nil
	}
	return j.rounds[n]
}

// openRound returns a round's state and creates it on first use.
func (j *jobState) openRound(n int) *roundState {
	if r := j.round(n); r != nil {
		return r
	}
	r := &roundState{steps: make([]stepState, len(j.sub.Steps)), openSteps: len(j.sub.Steps)}
	before := n * j.sub.TasksPerRound()
	for i := range j.sub.Steps {
		spec := &j.sub.Steps[i]
		r.steps[i] = stepState{
			job:     j,
			ref:     job.StepRef{Job: j.sub.ID, Round: n, Step: i},
			spec:    spec,
			round:   r,
			before:  before,
			waiting: spec.Count,
		}
		before += spec.Count
	}
	if n >= len(j.rounds) {
		j.rounds = append(j.rounds, make([]*roundState, n+1-len(j.rounds))...)
	}
	j.rounds[n] = r
	j.opened++
	j.unbegun++
	return r
}

// noteBegun records that a task of a round has been started.
func (s *stepState) noteBegun() {
	if !s.round.begun {
		s.round.begun = true
		s.job.unbegun--
	}
}

// openRounds returns the rounds that have been opened and have not ended.
func (j *jobState) openRounds() iter.Seq2[int, *roundState] {
	return func(yield func(int, *roundState) bool) {
		for n := j.firstOpen; n < len(j.rounds); n++ {
			if r := j.rounds[n]; r != nil && r.openSteps > 0 && !yield(n, r) {
				return
			}
		}
	}
}

// firstOpenRound returns the first round that has not ended, 0 if all have.
func (j *jobState) firstOpenRound() int {
	if j.firstOpen == j.sub.Rounds() {
		return 0
	}
	return j.firstOpen
}

// skipEnded moves the first open round behind all that have ended.
func (j *jobState) skipEnded() {
	for j.firstOpen < len(j.rounds) && j.rounds[j.firstOpen] != nil && j.rounds[j.firstOpen].openSteps == 0 {
		j.firstOpen++
	}
}

// dropEnded drops the state of a round that has ended and has no active run.
func (j *jobState) dropEnded(n int) {
	if r := j.round(n); r != nil && r.openSteps == 0 && r.active == 0 {
		j.rounds[n] = endedRound
	}
}

// dropRounds drops the states of all rounds of a job that has ended and has no active run.
func (j *jobState) dropRounds() { j.rounds, j.active = nil, nil }

// dueRounds returns how many rounds of a job are due.
func (p *Pool) dueRounds(j *jobState, now time.Time) int {
	total := j.sub.Rounds()
	since := now.Sub(p.due(j, 0))
	switch {
	case j.sub.RepeatCount == 0:
		return total
	case since < 0:
		return 0
	case j.sub.Interval <= 0:
		return total
	}
	return int(min(since/j.sub.Interval+1, time.Duration(total)))
}

// unopened returns how many rounds of a job are due and have not been opened.
func (p *Pool) unopened(j *jobState, now time.Time) int { return max(p.dueRounds(j, now)-j.opened, 0) }

// roundsLike returns how many due rounds of a job an opened one stands for: the last one stands for those that have
// not been opened as well.
func (p *Pool) roundsLike(j *jobState, n int, now time.Time) int {
	if n != len(j.rounds)-1 {
		return 1
	}
	return 1 + p.unopened(j, now)
}

// openDue opens the rounds of a job that are due, as far as a plan has a use for them.
func (p *Pool) openDue(j *jobState, now time.Time) {
	due := p.dueRounds(j, now)
	if due < j.sub.Rounds() {
		p.schedulePlan(p.due(j, due), now)
	}
	for ; j.nextRound < due && j.unbegun < maxUnbegunRounds; j.nextRound++ {
		j.openRound(j.nextRound)
	}
}

// replanForLeft schedules another plan if one has left out steps that are like others, of which it has started some.
func (p *Pool) replanForLeft(placed bool, now time.Time) {
	if !placed {
		return
	}
	if p.left || slices.ContainsFunc(p.active, func(j *jobState) bool {
		return j.unbegun < maxUnbegunRounds && j.nextRound < p.dueRounds(j, now)
	}) {
		p.needsPlan = true
		p.schedulePlan(now.Add(replanAfter), now)
	}
}
