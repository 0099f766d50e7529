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

// HandleOrderResponse processes a worker's response to an order, and reports whether the order must
// be sent again.
func (p *Pool) HandleOrderResponse(o Order, a port.Response, now time.Time) bool {
	w := o.Run.worker
	p.eventSeq++
	if p.isForeign(w, o.address, a.Result) {
		return o.Run.phase != finished
	}
	p.noteContact(w, a, now)
	overtaken := a.Result == port.TokenTooLow && o.tokenRaises < w.tokenRaises // refused because this owner has sent an order with a higher token
	restarted := a.Result == port.Restarted && o.Run.phase != running
	if o.isStart() && (a.Result == port.OtherIncarnation || restarted || overtaken) && !o.Run.unconfirmed {
		p.clearNeverStarted(o.Run)
	}
	if o.Run.phase == finished {
		return false
	}
	if overtaken {
		p.queueOrder(w, o)
		return false
	}
	if a.Result == port.Restarted {
		p.handleRestarted(o, a, now)
		return false
	}
	switch {
	case o.Stop:
		return p.handleStopResponse(o.Run, a, now)
	case o.CPUShare:
		return a.Result == port.Unknown || a.Result == port.Unreachable || a.Result == port.Unidentified
	}
	return p.handleStartResponse(o.Run, a, now)
}

// handleRestarted processes an order that was not sent, since another incarnation responds under its worker's ID: a poll
// shows which one it is. A run that no order was sent for goes elsewhere at once.
func (p *Pool) handleRestarted(o Order, a port.Response, now time.Time) {
	u := o.Run
	p.Logger.Info().Str("event", "worker").Str("task", u.name).Int("run", u.number).Str("worker", string(u.worker.info.ID)).
		Int64("born", u.worker.startedAt).Err(a.Err).Str("outcome", "not sent").Msg("order is for another incarnation of its worker than the one that responds")
	p.suspectRestart(u.worker)
	p.markPending(u.worker)
	switch {
	case o.isStart() && u.phase == running: // a poll has shown the run, started by an earlier try
		return
	case o.isStart() && !u.unconfirmed:
		u.sent = false
		p.abandon(u, now, "its worker has restarted")
		return
	}
	p.queueOrder(u.worker, o)
}

// clearNeverStarted records that no order for a run reached the incarnation it was meant for: that
// had ended before, so its exit is not attributed to the run's task.
func (p *Pool) clearNeverStarted(u *run) {
	u.sent = false
	p.clearCrashOf(u.worker.incarnation(), u.ref, func(crash) bool { return true }, "its order did not reach the worker")
}

func (p *Pool) handleStartResponse(u *run, a port.Response, now time.Time) bool {
	p.work.Started++
	e := p.Logger.Info().Str("event", "start").Str("task", u.name).Int("run", u.number).Str("worker", string(u.worker.info.ID)).
		Str("outcome", string(a.Result)).Int("try", u.sendCount).Dur("kept_for", now.Sub(u.persistedAt)).Dur("sent_for", now.Sub(u.sentAt)).
		Str("job_state", string(u.job.state)).Int64("born", u.worker.startedAt)
	if a.Err != nil {
		e = e.Str("err", a.Err.Error())
	}
	e.Msg("response to a start order")
	if u.phase == running && !concernsRun(a.Result) {
		return false // a poll has shown the run meanwhile, started by an earlier order
	}
	switch a.Result {
	case port.Accepted:
		u.ackSeq = p.eventSeq
		if u.phase == ordered {
			u.phase = running
			u.noteRunning(now)
			u.progressedAt = now
			p.noteStarted(u, now)
		}
		u.unconfirmed = false
		return false
	case port.Unknown:
		u.unconfirmed = true
		return true
	case port.Unidentified:
		u.sent = u.unconfirmed
		return true
	case port.Outdated:
		// The run is over on its worker, or the worker knows a later one: the next poll shows
		// which.
		u.ackSeq = p.eventSeq
		u.phase = running
		u.unconfirmed = false
		u.worker.pollWanted = true
		return false
	case port.OtherIncarnation:
		p.endIncarnation(u.worker, now, exitConfirmed, "another incarnation responds")
		return false
	}
	if a.Result == port.Unreachable {
		return p.handleStartUnreachable(u, a, now)
	}
	// This order had no effect. An earlier order for the same run that got no response may still be
	// carried out; a stop prevents that.
	p.noteRefusal(u, a.Result, now)
	if u.unconfirmed {
		p.stopRun(u, now, "refused, and an earlier order may still be carried out")
		p.abandonGang(u, now, "refused")
		return false
	}
	if a.Result == port.BadTicket {
		u.worker.dropTicket(u.ref.StepRef)
	}
	p.release(u)
	p.abandonGang(u, now, "refused")
	return false
}

// concernsRun reports whether the response to a start concerns the run itself and not only this
// order.
func concernsRun(v port.Result) bool {
	return v == port.Accepted || v == port.Outdated || v == port.OtherIncarnation
}

// handleStartUnreachable processes a start order that could not be sent. The run is abandoned unless
// an earlier start order for it was sent.
func (p *Pool) handleStartUnreachable(u *run, a port.Response, now time.Time) bool {
	u.sent = u.unconfirmed
	p.noteUnresponsive(u.worker, a, now)
	if !u.sent {
		p.abandon(u, now, "its worker is unreachable") // the worker may have been marked unresponsive before this response
	}
	return u.unconfirmed
}

func (p *Pool) handleStopResponse(u *run, a port.Response, now time.Time) bool {
	switch a.Result {
	case port.Accepted:
		u.stopAccepted = true
		u.unconfirmed = false
		u.ackSeq = p.eventSeq
		u.worker.pollWanted = true
		return false
	case port.Unknown, port.Unreachable, port.Unidentified, port.Refused:
		return true
	case port.OtherIncarnation:
		p.endIncarnation(u.worker, now, exitConfirmed, "another incarnation responds")
		return false
	}
	// An outdated order or one with a low token leaves the run unchanged; the next poll shows its
	// state.
	u.ackSeq = p.eventSeq
	u.stopAccepted = true
	u.worker.pollWanted = true
	return false
}

// endRun processes the end of a run.
func (p *Pool) endRun(u *run, e worker.EndedRun, now time.Time) {
	t, s := u.task(), u.step()
	if e.Checkpoint != "" && s.spec.Checkpointing {
		t.checkpoint = e.Checkpoint
	}
	p.Logger.Info().Str("event", "end").Str("task", u.name).Int("run", u.number).Str("worker", string(u.worker.info.ID)).
		Str("outcome", string(e.Reason)).Dur("took", u.age(now)).Int("sequence", e.Sequence).Msg("run ended")
	p.noteStarted(u, now)
	progressed := false
	switch e.Reason {
	case worker.Done:
		progressed = p.taskDone(u, now)
	case worker.Failed:
		p.taskFailed(u, now)
	}
	p.release(u)
	if progressed {
		p.checkCompletion(u.job, u.ref.StepRef, now)
	}
}

// taskDone marks a task as done, and reports whether that is new. The members of a gang are done
// together, so the end of one counts for all: another member's worker may be gone before it has
// listed its own.
func (p *Pool) taskDone(u *run, now time.Time) bool {
	t, s := u.task(), u.step()
	if t.done || s.spec.LongRunning {
		return false
	}
	s.markGangDone(u.ref.Index)
	p.clearFailures(u.worker)
	if !u.restored && u.number == 1 && !u.startedAt.IsZero() {
		p.learnRunTime(u, now)
	}
	for _, o := range slices.Clone(t.runs) {
		if o != u {
			p.stopRun(o, now, "another run of its task is done")
		}
	}
	return true
}

// markGangDone marks a task as done, and with it the other members of its gang.
func (s *stepState) markGangDone(index int) {
	s.setDone(index)
	if !s.spec.Gang {
		return
	}
	for i := range s.count() {
		s.setDone(i)
	}
}

func (p *Pool) taskFailed(u *run, now time.Time) {
	t, s := u.task(), u.step()
	if s.spec.LongRunning {
		t.notBefore = now.Add(longRunningRestartDelay)
		return
	}
	p.countFailure(s, t, u.worker, u.name, now)
}

// countFailure counts a failed run of a task on a worker, which may use up the attempts of its job.
func (p *Pool) countFailure(s *stepState, t *taskState, w *workerState, name string, now time.Time) {
	p.noteFailure(s, t, w, name, now)
	j := s.job
	t.failures++
	limit := j.queue.MaxAttempts
	if limit > 0 && t.failures >= limit && !j.state.Final() {
		p.finishJob(j, job.Failed, now, "task "+name+" has used up its attempts")
	}
}

// longRunningRestartDelay is how long a long-running task waits after a failure: such tasks fail
// occasionally by themselves, and each start takes a while.
const longRunningRestartDelay = 100 * time.Millisecond
