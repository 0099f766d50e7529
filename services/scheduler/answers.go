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

// HandleOrderResponse takes a worker's answer to an order. It returns whether the order is
// to be given again.
func (p *Pool) HandleOrderResponse(o Order, a port.Response, now time.Time) bool {
	w := o.Run.at
	p.stamp++
	p.heard(w, a, now)
	overtaken := a.Result == port.TokenTooLow && o.raised < w.raised // by an order with a higher token of this owner's
	if o.starts() && (a.Result == port.OtherIncarnation || overtaken) && !o.Run.unsure {
		p.neverBegun(o.Run)
	}
	if o.Run.phase == over {
		return false
	}
	if overtaken {
		p.order(w, o)
		return false
	}
	switch {
	case o.Stop:
		return p.stopAnswered(o.Run, a, now)
	case o.CPUShare:
		return a.Result == port.Unknown || a.Result == port.Unreachable
	}
	return p.startAnswered(o.Run, a, now)
}

// neverBegun takes the news that no order for a run has reached the life it was meant for: that
// was over before, and its end is not held against the run's task.
func (p *Pool) neverBegun(u *run) {
	u.sent = false
	p.takeBackOf(u.at.life(), u.ref, func(crash) bool { return true }, "its order has not reached the worker")
}

func (p *Pool) startAnswered(u *run, a port.Response, now time.Time) bool {
	e := p.Logger.Info().Str("event", "start").Str("task", u.name).Int("run", u.number).Str("worker", string(u.at.info.ID)).
		Str("outcome", string(a.Result)).Int("try", u.tries).Dur("kept_for", now.Sub(u.kept)).Dur("sent_for", now.Sub(u.sentAt)).
		Str("job_state", string(u.job.state))
	if a.Err != nil {
		e = e.Str("err", a.Err.Error())
	}
	e.Msg("a start was answered")
	if u.phase == running && !tellsOfRun(a.Result) {
		return false // a look has shown the run meanwhile, which an earlier order has begun
	}
	switch a.Result {
	case port.Accepted:
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
	case port.OtherIncarnation:
		p.lifeOver(u.at, now, endedItself, "another life answers")
		return false
	}
	if a.Result == port.Unreachable {
		return p.startUnreached(u, a, now)
	}
	// Nothing was done by this order; an earlier one for the same run that got
	// no answer may be carried out yet, which a stop prevents.
	p.refusedBy(u, a.Result, now)
	if u.unsure {
		p.stop(u, now, "refused, and an earlier order may be under way")
		p.breakGang(u, now, "refused")
		return false
	}
	if a.Result == port.BadTicket {
		u.at.forgetTicket(u.ref.StepRef)
	}
	p.release(u)
	p.breakGang(u, now, "refused")
	return false
}

// tellsOfRun reports whether the answer to a start tells something of the run itself
// and not just of this order.
func tellsOfRun(v port.Result) bool {
	return v == port.Accepted || v == port.Outdated || v == port.OtherIncarnation
}

// startUnreached takes the news that a start was not sent. The run waits for its
// worker no longer, unless an earlier start for it was sent.
func (p *Pool) startUnreached(u *run, a port.Response, now time.Time) bool {
	u.sent = u.unsure
	p.missed(u.at, a, now)
	if !u.sent {
		p.giveUp(u, now, "its worker is not reached") // it may have been missed before this answer
	}
	return u.unsure
}

func (p *Pool) stopAnswered(u *run, a port.Response, now time.Time) bool {
	switch a.Result {
	case port.Accepted:
		u.stopped = true
		u.unsure = false
		u.ack = p.stamp
		u.at.wantLook = true
		return false
	case port.Unknown, port.Unreachable, port.Refused:
		return true
	case port.OtherIncarnation:
		p.lifeOver(u.at, now, endedItself, "another life answers")
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
func (p *Pool) end(u *run, e worker.EndedRun, now time.Time) {
	t, s := u.task(), u.step()
	if e.Checkpoint != "" && s.spec.Checkpointing {
		t.checkpoint = e.Checkpoint
	}
	p.Logger.Info().Str("event", "end").Str("task", u.name).Int("run", u.number).Str("worker", string(u.at.info.ID)).
		Str("outcome", string(e.Reason)).Dur("took", u.age(now)).Int("sequence", e.Sequence).Msg("a run has ended")
	p.began(u, now)
	progressed := false
	switch e.Reason {
	case worker.Done:
		progressed = p.taskDone(u, now)
	case worker.Failed:
		p.taskFailed(u, now)
	}
	p.release(u)
	if progressed {
		p.progressed(u.job, u.ref.StepRef, now)
	}
}

// taskDone notes that a task is done, and reports whether that is new. The members of
// a gang end as done together, so that the end of one stands for all: another's worker
// may be gone before it has listed its own.
func (p *Pool) taskDone(u *run, now time.Time) bool {
	t, s := u.task(), u.step()
	if t.done || s.spec.LongRunning {
		return false
	}
	s.markWithGang(t)
	u.at.succeededOn()
	if !u.restored && u.number == 1 && !u.began.IsZero() {
		p.learn(u.job, s, now.Sub(u.began))
	}
	for _, o := range slices.Clone(t.runs) {
		if o != u {
			p.stop(o, now, "a copy is done")
		}
	}
	return true
}

// markWithGang counts a task as done, and with it the others of its gang.
func (s *stepState) markWithGang(t *taskState) {
	s.markDone(t)
	if !s.spec.Gang {
		return
	}
	for i := range s.tasks {
		s.markDone(&s.tasks[i])
	}
}

// markDone counts a task as done, once.
func (s *stepState) markDone(t *taskState) {
	if t.done {
		return
	}
	t.done = true
	t.checkpoint = ""
	s.done++
	if len(t.runs) == 0 {
		s.waiting-- // it waited to be begun again
	}
}

func (p *Pool) taskFailed(u *run, now time.Time) {
	t, s := u.task(), u.step()
	if s.spec.LongRunning {
		t.notBefore = now.Add(lastingPause)
		return
	}
	p.failedOn(u, now)
	p.spendAttempt(u.job, t, u.name, now)
}

// spendAttempt counts a failed run of a task, which may be its job's last.
func (p *Pool) spendAttempt(j *jobState, t *taskState, name string, now time.Time) {
	t.fails++
	most := j.queue.MaxAttempts
	if most > 0 && t.fails >= most && !j.state.Final() {
		p.finish(j, job.Failed, now, "task "+name+" has failed as often as is allowed")
	}
}

// lastingPause is how long a task that lasts rests after it failed: it fails now
// and then by itself, and each start takes a while.
const lastingPause = 100 * time.Millisecond
