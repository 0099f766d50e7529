// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// phase is the progress of a run.
type phase uint8

// The phases of a run.
const (
	planned  phase = iota // waiting to be persisted before its order is sent
	ordered               // its order is in transit or got no response
	running               // accepted by its worker
	finished              // its capacity is free
)

// run is one execution of a task on a worker.
type run struct {
	job    *jobState
	of     *stepState // nil for an orphan
	state  *taskState // nil for an orphan
	ref    job.TaskRef
	name   string // name of the task
	number int
	worker *workerState
	size   job.Size
	phase  phase
	batch  uint64 // batch that carries it

	persistedAt  time.Time // when the append that persisted it was sent; the age of its order counts from here
	sentAt       time.Time // when its order was last sent
	sendCount    int       // how often its order was sent
	sent         bool      // an order for it was sent
	unconfirmed  bool      // an order for it got no response: it may still start
	orphan       bool      // listed by its worker but not known here
	restored     bool      // restored from an earlier owner's records
	stopping     bool      // it is to be stopped
	stopAccepted bool      // its worker has accepted the stop
	ackSeq       uint64    // sequence of the newest response about it
	startedAt    time.Time
	plannedAt    time.Time // zero for a run of an earlier owner
	ticket       ticket    // zero where none is needed
	percent      int       // completed work, as listed last
	progressedAt time.Time // when percent last changed
	load         int
	checkpoint   string // newest checkpoint listed
	cpuShare     int    // CPU share in percent that its worker was told to apply

	seenRunning  bool          // it has been seen running for longer than a start takes, or is a long-running task that has been seen working
	proven       bool          // it has been seen working for provenAfter
	startedClock time.Duration // latest time of its start on the worker's clock, 0 if unknown

	suspected bool // crashes were attributed to its task when it was planned

	held      bool      // placed ahead: its order waits until its worker has room
	heldSince time.Time // when it was placed ahead

	generation generation // whether it was placed on a cordoned worker
}

// step returns the state of the run's step.
func (u *run) step() *stepState {
	return u.of
}

// task returns the state of the run's task.
func (u *run) task() *taskState { return u.state }

// age returns how long the run has been known to be running, 0 if its start was not seen.
func (u *run) age(now time.Time) time.Duration {
	if u.startedAt.IsZero() {
		return 0
	}
	return now.Sub(u.startedAt)
}

// fullPercent is the CPU share of a run without a limit, and the percentage of complete work.
const fullPercent = 100

// planRun creates a run of a task on a worker; its order is sent once the batch that carries it is
// persisted.
func (p *Pool) planRun(j *jobState, s *stepState, index int, w *workerState, now time.Time) *run {
	return p.addRun(j, s, index, w, now, false)
}

// addRun creates a run that is sent once it is persisted or, if it is held, has room as well.
func (p *Pool) addRun(j *jobState, s *stepState, index int, w *workerState, now time.Time, held bool) *run {
	t := s.task(index)
	t.number++
	ref := job.TaskRef{StepRef: s.ref, Index: index}
	u := &run{
		job: j, of: s, state: t, ref: ref, name: ref.String(), number: t.number, worker: w, size: s.spec.Reservation(),
		batch: p.batch, cpuShare: fullPercent, progressedAt: now, plannedAt: now, ticket: w.tickets[s.ref], suspected: t.suspected(),
		held: held, heldSince: now,
	}
	if w.cordoned {
		u.generation = p.generationOn(s, w, now)
	}
	p.attach(u)
	s.adviceInVain = 0
	p.allowances.noteStart(j.sub.Customer, now)
	p.plannedRuns = append(p.plannedRuns, u)
	p.work.Placed++
	p.markDirty(j)
	return u
}

// attach adds a run to the accounts of its worker and its task.
func (p *Pool) attach(u *run) {
	s, t := u.step(), u.task()
	if len(t.runs) == 0 && !t.done {
		s.waiting--
	}
	t.runs = append(t.runs, u)
	u.job.addRun(u)
	p.allowances.addUse(u.job.sub.Customer, s.spec.Size)
	if s.spec.MaxPerWorker > 0 {
		if s.runsByWorker == nil {
			s.runsByWorker = make(map[*workerState]int)
		}
		s.runsByWorker[u.worker]++
	}
	u.worker.runs[u.name] = u
	if u.held {
		s.held++
		u.worker.held = append(u.worker.held, u)
	} else {
		u.worker.used = u.worker.used.Plus(u.size)
		u.worker.endingPlan = 0
	}
	if s.spec.LongRunning {
		u.worker.longRunningRuns++
	}
	if u.suspected {
		u.worker.suspectRuns++
	}
}

// addRun adds an active run to a job.
func (j *jobState) addRun(u *run) {
	if j.active == nil {
		j.active = make(map[*run]struct{})
	}
	j.active[u] = struct{}{}
	u.of.round.active++
}

// removeRun removes a run that is not active any more from a job.
func (j *jobState) removeRun(u *run) {
	delete(j.active, u)
	u.of.round.active--
}

// release frees the capacity of a run; the task waits again unless it is done or another run of it
// is active.
func (p *Pool) release(u *run) {
	if u.phase == finished {
		return
	}
	u.phase = finished
	if u.orphan {
		return
	}
	s, t := u.step(), u.task()
	u.job.removeRun(u)
	p.allowances.addUse(u.job.sub.Customer, job.Size{}.Minus(s.spec.Size))
	for i, o := range t.runs {
		if o == u {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if len(t.runs) == 0 && !t.done {
		s.waiting++
	}
	s.markPart(t.index)
	s.forgetDone(t)
	u.job.dropEnded(u.ref.Round)
	if s.runsByWorker != nil {
		s.runsByWorker[u.worker]--
	}
	delete(u.worker.runs, u.name)
	if u.held {
		s.held--
		u.worker.held = slices.DeleteFunc(u.worker.held, func(o *run) bool { return o == u })
	} else {
		u.worker.used = u.worker.used.Minus(u.size)
		u.worker.endingPlan = 0
	}
	if s.spec.LongRunning {
		u.worker.longRunningRuns--
	}
	if u.suspected {
		u.worker.suspectRuns--
	}
	p.needsPlan = true
	p.markDirty(u.job)
}

// stopRun stops a run; one whose order was not sent never starts. The stop is sent once it is
// persisted: otherwise a later owner would keep the run going.
func (p *Pool) stopRun(u *run, now time.Time, reason string) {
	if u.stopping || u.phase == finished {
		return
	}
	p.Logger.Info().Str("event", "stop").Str("task", u.name).Int("run", u.number).Str("worker", string(u.worker.info.ID)).
		Dur("age", u.age(now)).Str("why", reason).Msg("stopping run")
	if u.held {
		p.releaseHeld(u, now, reason)
		return
	}
	if u.phase == planned {
		p.release(u)
		return
	}
	u.stopping = true
	u.step().markPart(u.ref.Index)
	p.pendingStops = append(p.pendingStops, u)
	p.markDirty(u.job)
}

// noteStarted records that a task of a job has started.
func (p *Pool) noteStarted(u *run, now time.Time) {
	if u.job.started {
		return
	}
	if !u.plannedAt.IsZero() {
		p.startDelay.add(now.Sub(u.plannedAt).Seconds())
		u.plannedAt = time.Time{}
	}
	u.job.started = true
	if u.job.state == job.Queued {
		u.job.state = job.Running
	}
	p.markDirty(u.job)
}
