// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
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
		job: j, ref: ref, name: ref.String(), number: t.number, at: w, room: s.spec.Room(),
		batch: p.batch, pace: fullPace, moved: now, ticket: w.tickets[s.ref],
	}
	p.attach(u)
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
	if s.spec.PerWorker > 0 {
		if s.perHost == nil {
			s.perHost = make(map[*workerState]int)
		}
		s.perHost[u.at]++
	}
	u.at.runs[u.name] = u
	u.at.used = u.at.used.Plus(u.room)
	if s.spec.Lasting {
		u.at.lasting++
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
	if s.spec.Lasting {
		u.at.lasting--
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

// Order is an order to a worker about a run.
type Order struct {
	Run  *run
	Stop bool
	Pace bool
}

// Start notes that the order to begin a run is sent, and returns it, with a
// deadline on the worker's clock.
func (p *Pool) Start(o Order, now time.Time) port.Start {
	u := o.Run
	u.sent = true
	u.sentAt = now
	u.tries++
	return port.Start{
		Task: u.name, Number: u.number, Spec: u.job.sub.Spec, Checkpoint: u.task().checkpoint, Ticket: u.ticket.text,
		Deadline: u.at.ordered(now, startTravel), Token: p.Token,
	}
}

// starts reports whether an order is to begin its run.
func (o Order) starts() bool { return !o.Stop && !o.Pace }

// Valid reports whether an order still is to be given.
func (o Order) Valid() bool {
	switch {
	case o.Run.phase == over:
		return false
	case o.Stop:
		return !o.Run.stopped
	case o.Pace:
		return o.Run.phase == running && !o.Run.stopping
	}
	return o.Run.phase == ordered && !o.Run.stopping // a stop also prevents a start that comes later
}

// StopOrder returns the order to end the run.
func (p *Pool) StopOrder(o Order) port.Stop {
	return port.Stop{Task: o.Run.name, Number: o.Run.number, Token: p.Token}
}

// PaceOrder returns the order to let the run work at its share.
func (p *Pool) PaceOrder(o Order) port.Pace {
	return port.Pace{Task: o.Run.name, Number: o.Run.number, Percent: o.Run.pace, Token: p.Token}
}

// Answered takes a worker's answer to an order. It returns whether the order is
// to be given again.
func (p *Pool) Answered(o Order, a port.Answer, now time.Time) bool {
	w := o.Run.at
	p.stamp++
	p.heard(w, a, now)
	if o.Run.phase == over {
		return false
	}
	switch {
	case o.Stop:
		return p.stopAnswered(o.Run, a, now)
	case o.Pace:
		return a.Verdict == port.Unknown || a.Verdict == port.Unreached
	}
	return p.startAnswered(o.Run, a, now)
}

func (p *Pool) startAnswered(u *run, a port.Answer, now time.Time) bool {
	e := p.Logger.Info().Str("event", "start").Str("task", u.name).Int("run", u.number).Str("worker", string(u.at.info.ID)).
		Str("outcome", string(a.Verdict)).Int("try", u.tries).Dur("kept_for", now.Sub(u.kept)).Dur("sent_for", now.Sub(u.sentAt)).
		Str("job_state", string(u.job.state))
	if a.Err != nil {
		e = e.Str("err", a.Err.Error())
	}
	e.Msg("a start was answered")
	if u.phase == running && !tellsOfRun(a.Verdict) {
		return false // a look has shown the run meanwhile, which an earlier order has begun
	}
	switch a.Verdict {
	case port.Taken:
		u.ack = p.stamp
		if u.phase == ordered {
			u.phase = running
			u.began = now
			u.moved = now
			p.began(u, now)
		}
		u.unsure = false
		return false
	case port.Unknown:
		u.unsure = true
		return true
	case port.Outdated:
		// The run is over there, or a later one is known: the next look tells.
		u.ack = p.stamp
		u.phase = running
		u.unsure = false
		u.at.wantLook = true
		return false
	case port.OtherLife:
		p.lifeOver(u.at, now, "another life answers")
		return false
	}
	if a.Verdict == port.Unreached {
		return p.startUnreached(u, a, now)
	}
	// Nothing was done by this order; an earlier one for the same run that got
	// no answer may be carried out yet, which a stop prevents.
	p.refusedBy(u, a.Verdict, now)
	if u.unsure {
		p.stop(u, now, "refused, and an earlier order may be under way")
		p.breakGang(u, now, "refused")
		return false
	}
	if a.Verdict == port.BadTicket {
		u.at.forgetTicket(u.ref.StepRef)
	}
	p.release(u)
	p.breakGang(u, now, "refused")
	return false
}

// tellsOfRun reports whether the answer to a start tells something of the run itself
// and not just of this order.
func tellsOfRun(v port.Verdict) bool {
	return v == port.Taken || v == port.Outdated || v == port.OtherLife
}

// startUnreached takes the news that a start was not sent. The run waits for its
// worker no longer, unless an earlier start for it was sent.
func (p *Pool) startUnreached(u *run, a port.Answer, now time.Time) bool {
	u.sent = u.unsure
	p.missed(u.at, a, now)
	if !u.sent {
		p.giveUp(u, now, "its worker is not reached") // it may have been missed before this answer
	}
	return u.unsure
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

func (p *Pool) stopAnswered(u *run, a port.Answer, now time.Time) bool {
	switch a.Verdict {
	case port.Taken:
		u.stopped = true
		u.unsure = false
		u.ack = p.stamp
		u.at.wantLook = true
		return false
	case port.Unknown, port.Unreached, port.Refused:
		return true
	case port.OtherLife:
		p.lifeOver(u.at, now, "another life answers")
		return false
	}
	// An outdated or too low order leaves the run as it was; the next look tells
	// what became of it.
	u.ack = p.stamp
	u.stopped = true
	u.at.wantLook = true
	return false
}

// end takes note of a run's end.
func (p *Pool) end(u *run, e worker.End, now time.Time) {
	t, s := u.task(), u.step()
	if e.Checkpoint != "" && s.spec.Checkpoints {
		t.checkpoint = e.Checkpoint
	}
	p.Logger.Info().Str("event", "end").Str("task", u.name).Int("run", u.number).Str("worker", string(u.at.info.ID)).
		Str("outcome", string(e.How)).Dur("took", u.age(now)).Int("sequence", e.Sequence).Msg("a run has ended")
	p.began(u, now)
	switch e.How {
	case worker.Done:
		p.taskDone(u, now)
	case worker.Failed:
		p.taskFailed(u, now)
	}
	p.release(u)
	if e.How == worker.Done {
		p.progressed(u.job, u.ref.StepRef, now)
	}
}

func (p *Pool) taskDone(u *run, now time.Time) {
	t, s := u.task(), u.step()
	if t.done || s.spec.Lasting {
		return
	}
	t.done = true
	t.checkpoint = ""
	s.done++
	u.at.succeededOn()
	if !u.restored && u.number == 1 && !u.began.IsZero() {
		p.learn(u.job, s, now.Sub(u.began))
	}
	for _, o := range slices.Clone(t.runs) {
		if o != u {
			p.stop(o, now, "a copy is done")
		}
	}
}

func (p *Pool) taskFailed(u *run, now time.Time) {
	t, s := u.task(), u.step()
	if s.spec.Lasting {
		t.notBefore = now.Add(lastingPause)
		return
	}
	t.fails++
	p.failedOn(u, now)
	most := u.job.queue.Attempts
	if most > 0 && t.fails >= most && !u.job.state.Final() {
		p.finish(u.job, job.Failed, now, "task "+u.name+" has failed as often as is allowed")
	}
}

// lastingPause is how long a task that lasts rests after it failed: it fails now
// and then by itself, and each start takes a while.
const lastingPause = 100 * time.Millisecond
