// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// phase is how far a run is.
type phase uint8

// The phases of a run.
const (
	planned phase = iota // to be kept before its order goes out
	ordered              // its order is on its way or was not answered
	running              // its worker has taken it
	over                 // its room is free
)

// run is one start of a task on a worker.
type run struct {
	job    *jobState
	ref    job.TaskRef
	name   string // of the task
	number int
	at     *workerState
	room   job.Size
	phase  phase
	batch  uint64 // that carries it

	kept     time.Time // when the append that kept it was sent, from which its order counts
	sentAt   time.Time // when its order was sent last
	tries    int       // how often it was
	sent     bool      // an order for it was sent
	unsure   bool      // an order for it got no answer: it may begin yet
	stray    bool      // listed by its worker and not known
	restored bool      // taken over from an earlier owner
	stopping bool      // it is to be stopped
	stopped  bool      // its worker has taken the stop
	ack      uint64    // stamp of the answer that told the newest of it
	began    time.Time
	ticket   ticket    // the zero one where none is needed
	percent  int       // of its work, as listed last
	moved    time.Time // when the percent changed last
	load     int
	saved    string // newest checkpoint listed
	pace     int    // share of its speed that it was told to work at

	suspected bool // workers had crashed under its task when it was planned
}

// step returns the state of the run's step.
func (u *run) step() *stepState {
	return &u.job.rounds[u.ref.Round].steps[u.ref.Step]
}

// task returns the state of the run's task.
func (u *run) task() *taskState { return &u.step().tasks[u.ref.Index] }

// age returns for how long the run has been known to be at work, 0 where its
// beginning was not seen.
func (u *run) age(now time.Time) time.Duration {
	if u.began.IsZero() {
		return 0
	}
	return now.Sub(u.began)
}

// fullPace is the pace of a run that was told nothing.
const fullPace = 100

// plan begins a run of a task on a worker; its order goes out once the batch
// that carries it is kept.
func (p *Pool) plan(j *jobState, s *stepState, index int, w *workerState, now time.Time) *run {
	t := &s.tasks[index]
	t.number++
	ref := job.TaskRef{StepRef: s.ref, Index: index}
	u := &run{
		job: j, ref: ref, name: ref.String(), number: t.number, at: w, room: s.spec.Reservation(),
		batch: p.batch, pace: fullPace, moved: now, ticket: w.tickets[s.ref], suspected: t.suspected(),
	}
	p.attach(u)
	p.allowed.begins(j.sub.Customer, now)
	p.planned = append(p.planned, u)
	p.touch(j)
	return u
}

// attach counts a run at its worker and its task.
func (p *Pool) attach(u *run) {
	s, t := u.step(), u.task()
	if len(t.runs) == 0 && !t.done {
		s.waiting--
	}
	t.runs = append(t.runs, u)
	u.job.live++
	p.allowed.count(u.job.sub.Customer, s.spec.Size)
	if s.spec.MaxPerWorker > 0 {
		if s.perHost == nil {
			s.perHost = make(map[*workerState]int)
		}
		s.perHost[u.at]++
	}
	u.at.runs[u.name] = u
	u.at.used = u.at.used.Plus(u.room)
	if s.spec.LongRunning {
		u.at.lasting++
	}
	if u.suspected {
		u.at.suspects++
	}
}

// release frees a run's room; the task waits again unless it is done or another
// run of it is under way.
func (p *Pool) release(u *run) {
	if u.phase == over {
		return
	}
	u.phase = over
	if u.stray {
		return
	}
	u.job.live--
	s, t := u.step(), u.task()
	p.allowed.count(u.job.sub.Customer, job.Size{}.Minus(s.spec.Size))
	for i, o := range t.runs {
		if o == u {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if len(t.runs) == 0 && !t.done {
		s.waiting++
	}
	if s.perHost != nil {
		s.perHost[u.at]--
	}
	delete(u.at.runs, u.name)
	u.at.used = u.at.used.Minus(u.room)
	if s.spec.LongRunning {
		u.at.lasting--
	}
	if u.suspected {
		u.at.suspects--
	}
	p.moved = true
	p.touch(u.job)
}

// stop has a run stopped; one whose order has not gone out never begins. The
// order goes out once it is kept that the run is to be stopped: another owner must
// not take it for one that goes on.
func (p *Pool) stop(u *run, now time.Time, why string) {
	if u.stopping || u.phase == over {
		return
	}
	p.Logger.Info().Str("event", "stop").Str("task", u.name).Int("run", u.number).Str("worker", string(u.at.info.ID)).
		Dur("age", u.age(now)).Str("why", why).Msg("a run is stopped")
	if u.phase == planned {
		p.release(u)
		return
	}
	u.stopping = true
	p.stops = append(p.stops, u)
	p.touch(u.job)
}

// began notes that a task of a job has begun.
func (p *Pool) began(u *run, _ time.Time) {
	if u.job.began {
		return
	}
	u.job.began = true
	if u.job.state == job.Queued {
		u.job.state = job.Running
	}
	p.touch(u.job)
}
