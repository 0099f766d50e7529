// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// Poll is a poll of a worker that is in progress.
type Poll struct {
	worker           *workerState
	seq              uint64
	request          port.Poll
	sentAt           time.Time
	previousDeadline time.Duration // latest deadline of the worker without this poll
	tokenRaises      uint64        // part of the token that was sent
	address          string        // to which it was sent
}

// BeginPoll returns the poll request to send to a worker, and false if the worker is no longer
// known.
func (p *Pool) BeginPoll(id worker.ID, wait time.Duration, now time.Time) (Poll, port.Poll, bool) {
	w := p.workers[id]
	if w == nil {
		return Poll{}, port.Poll{}, false
	}
	p.eventSeq++
	w.pollWanted = false
	request := port.Poll{Token: p.token(w), Wait: wait}
	if w.acknowledgedEnd < w.persistedEnd && !w.restartSuspected && w.unresponsiveSince.IsZero() {
		if w.ackWithheld = !w.mayAcknowledge(now); !w.ackWithheld {
			request.Acknowledged = w.persistedEnd
		}
	}
	previous := w.latestDeadline
	w.extendedBy = 0
	ackOverAny := request.Acknowledged > 0 && w.lostPolls >= maxLostPolls
	if w.hasResponded && w.unresponsiveSince.IsZero() && !w.restartSuspected && !w.leaseRecorded && len(w.runs) > 0 && !p.Isolated && !ackOverAny {
		request.Deadline = w.extendDeadline(now, p.Limits.Lease)
		w.extendedBy = p.eventSeq
	}
	switch {
	case ackOverAny:
		w.lostPolls = 0
	case w.startedAt > 0 && (request.Acknowledged > 0 || request.Deadline > 0):
		request.Connection = w.listedOver
	}
	if max(request.Acknowledged, w.acknowledgedEnd) < w.lastEnd || w.hasMoreEnds || w.restartSuspected || w.clockTooOld(now) {
		request.Wait = 0 // it would respond at once with known ends, or must respond at once
	}
	return Poll{w, p.eventSeq, request, now, previous, w.tokenRaises, w.address()}, request, true
}

// EndPoll processes the response to a poll.
func (p *Pool) EndPoll(k Poll, listing worker.PollResult, a port.Response, now time.Time) {
	w := k.worker
	if p.workers[w.info.ID] != w {
		return
	}
	w.polledAt = now
	p.work.Polled++
	if a.Result == port.Accepted && w.startedAt > 0 && listing.StartedAt == 0 {
		a = port.Response{Result: port.Unknown, Err: errkind.New(errkind.OutcomeUnknown, "list of runs lacks the start time of its worker")}
	}
	if a.Result == port.Accepted && w.startedAt > 0 && (listing.StartedAt != w.startedAt || w.clockStartedAnew(a.Clock)) {
		if w = p.handleRestart(w, k, listing, now); w == nil {
			return
		}
		w.polledAt = now
	}
	if a.Result != port.Accepted && p.tryOtherAddress(w, a.Result) {
		return
	}
	if p.isForeign(w, k.address, a.Result) {
		return
	}
	p.noteContact(w, a, now)
	switch a.Result {
	case port.Accepted:
		w.provenAddress = k.address
	case port.OtherIncarnation:
		p.endIncarnation(w, now, exitConfirmed, "another incarnation responds")
		return
	case port.Unreachable:
		if w.extendedBy == k.seq {
			w.latestDeadline = max(k.previousDeadline, w.startDeadlineSent) // this poll was not sent, and no other one has begun since
		}
		p.noteUnresponsive(w, a, now)
		return
	default:
		if w.lastContact.After(k.sentAt) || a.Result == port.TokenTooLow && k.tokenRaises < w.tokenRaises {
			w.pollWanted = true // it responds to other calls
			p.raiseToken(w)
			return
		}
		p.noteUnresponsive(w, a, now)
		return
	}
	if !w.unresponsiveSince.IsZero() {
		p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Dur("silent", now.Sub(w.unresponsiveSince)).
			Msg("worker responds again")
		w.unresponsiveSince = time.Time{}
		p.needsPlan = true
	}
	if w.restartSuspected && k.tokenRaises < w.provenFromRaises {
		return // it was sent before the worker may have restarted
	}
	p.confirmIncarnation(w)
	if !w.hasResponded {
		p.noteFirstResponse(w, listing.StartedAt)
	}
	p.clearCrash(w.incarnation())
	w.listedAt, w.listedClock, w.listedOver = now, a.Clock, listing.Connection
	w.respondedUnlisted = !w.listed
	w.noteDelivered(k.request, listing)
	if w.hasOtherIncarnations {
		p.endOtherIncarnations(w, k.sentAt, now)
	}
	p.applyListing(w, k, listing, now)
	p.sendHeld(w, now)
}

// noteFirstResponse processes the first response of a worker. Runs started before may have a lease
// that was sent just before this poll. It may refer to the clock of an earlier incarnation, if it came
// from an owner of a version whose deadlines were not kept from others; the worker cuts such a one to
// the longest lease that it accepts.
func (p *Pool) noteFirstResponse(w *workerState, startedAt int64) {
	lease := p.Limits.Lease
	if w.startedAt > 0 {
		lease = max(lease, p.Limits.MaxLease)
	}
	w.startedAt = startedAt
	if w.healthOf > 0 && w.healthOf != startedAt {
		w.health = w.health.carryOver()
	}
	w.latestDeadline = max(w.latestDeadline, w.clock+lease)
	w.hasResponded = true
	p.resolveCrashes(w)
	p.needsPlan = true
}

// noteUnresponsive records that a worker did not respond. Runs whose orders were not sent go
// elsewhere; the leases of the others are extended no longer, and they have ended once these
// expire.
func (p *Pool) noteUnresponsive(w *workerState, a port.Response, now time.Time) {
	if !w.unresponsiveSince.IsZero() {
		return
	}
	w.unresponsiveSince = now
	p.suspectRestart(w)
	e := p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int("runs", len(w.runs)).
		Time("lapses", w.leasesExpireAt()).Str("outcome", string(a.Result))
	if a.Err != nil {
		e = e.Str("err", a.Err.Error())
	}
	e.Msg("worker does not respond")
	for _, u := range w.runs {
		if !u.sent && !u.restored {
			p.abandon(u, now, "its worker does not respond")
		} else if !u.gangActive() {
			p.abandonGang(u, now, "its worker does not respond")
		}
	}
	p.schedulePlan(w.leasesExpireAt(), now)
}

// applyListing processes the list of a worker's runs and of those that have ended. A run that a truncated list does
// not name may have ended all the same: it keeps its place until a complete list shows how.
func (p *Pool) applyListing(w *workerState, k Poll, listing worker.PollResult, now time.Time) {
	p.noteTruncated(w, listing)
	for _, e := range listing.Ends {
		if e.Sequence <= w.lastEnd {
			continue
		}
		w.lastEnd = e.Sequence
		if u := w.runs[e.Task]; u != nil && u.number == e.Number {
			p.endRun(u, e, now)
		} else {
			p.handleLateEnd(w, e, now)
		}
	}
	p.checkLosses(w, k.sentAt, listing, now)
	listed := make(map[string]bool, len(listing.Runs))
	p.forgetOrphans(w)
	for _, r := range listing.Runs {
		listed[r.Task] = true
		p.applyRun(w, r, now)
	}
	for name, u := range w.runs {
		if !listed[name] && !listing.Truncated && p.vanished(u, k) {
			p.loseRun(u, now, "its worker does not list it")
		}
	}
	p.adjustCPUShare(w, now)
}

// noteTruncated records whether a worker has ended more runs than it lists, and logs when that changes.
func (p *Pool) noteTruncated(w *workerState, listing worker.PollResult) {
	if w.hasMoreEnds == listing.Truncated {
		return
	}
	w.hasMoreEnds = listing.Truncated
	p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int("ends", len(listing.Ends)).Int("runs", len(listing.Runs)).
		Int("runs_known", len(w.runs)).Int("persisted", w.persistedEnd).Int("acknowledged", w.acknowledgedEnd).Bool("truncated", listing.Truncated).
		Msg("list of ended runs was truncated or is complete again")
}

// applyRun processes one entry of a worker's list of runs.
func (p *Pool) applyRun(w *workerState, r worker.Run, now time.Time) {
	u := w.runs[r.Task]
	if u == nil || u.number != r.Number {
		p.stopOrphan(w, r, now)
		return
	}
	if u.phase != running {
		u.phase = running
		u.unconfirmed = false
		u.ackSeq = p.eventSeq
		u.noteRunning(now)
		p.noteStarted(u, now)
	}
	if r.Percent != u.percent {
		u.progressedAt = now
	}
	u.percent, u.load = r.Percent, r.Load
	if r.Checkpoint != "" {
		u.checkpoint = r.Checkpoint
	}
	p.noteSeenRunning(u, now)
	p.clearIfProven(u, now)
}

// vanished reports whether a run that a poll did not list has ended: before the poll was sent, its
// worker had reported it as running or could no longer start it.
func (p *Pool) vanished(u *run, k Poll) bool {
	switch {
	case u.phase == planned:
		return false
	case u.restored && u.phase == ordered:
		return true // the worker refuses orders of the earlier owner since this poll
	case u.stopAccepted:
		return k.seq > u.ackSeq
	}
	return u.phase == running && !u.unconfirmed && k.seq > u.ackSeq
}

// stopOrphan stops a run that is not known here, started by an earlier owner or a late order. Until
// it has ended, its capacity stays reserved and its task does not start elsewhere.
func (p *Pool) stopOrphan(w *workerState, r worker.Run, now time.Time) {
	ref, err := job.ParseTask(r.Task)
	if err != nil {
		p.Logger.Warn().Str("event", "stray").Str("worker", string(w.info.ID)).Err(err).Msg("listed run does not have the name of a task")
		return
	}
	p.reserveForOrphan(w, ref, now)
	for _, o := range w.orders {
		if o.Stop && o.Run.name == r.Task {
			return
		}
	}
	u := &run{
		job: &jobState{sub: job.Submission{ID: ref.Job}}, ref: ref, name: r.Task, number: r.Number, worker: w, phase: ordered, stopping: true, orphan: true,
	}
	p.logOrphan(u)
	p.queueOrder(w, Order{Run: u, Stop: true})
}

// logOrphan logs that an orphan run is to be stopped. One with a smaller number than its task's newest run was taken
// to have ended, perhaps by an earlier owner.
func (p *Pool) logOrphan(u *run) {
	e := p.Logger.Info().Str("event", "stray").Str("task", u.name).Int("run", u.number).Str("worker", string(u.worker.info.ID)).Uint64("epoch", p.Token)
	if _, t := p.findTask(u.ref); t != nil {
		e = e.Int("newest", t.number).Int("active", len(t.runs)).Bool("done", t.done)
	}
	e.Msg("stopping orphan run")
}

// orphanUse is what a customer uses by an orphan run.
type orphanUse struct {
	customer string
	size     job.Size
}

// forgetOrphans removes the orphan runs of a worker, which is about to list them anew or is gone.
func (p *Pool) forgetOrphans(w *workerState) {
	for _, u := range w.orphanUses {
		p.allowances.addUse(u.customer, job.Size{}.Minus(u.size))
	}
	w.orphanSize, w.orphanUses = job.Size{}, nil
}

// reserveForOrphan reserves the capacity of an orphan run, and keeps its task from starting until
// the orphan must have stopped.
func (p *Pool) reserveForOrphan(w *workerState, ref job.TaskRef, now time.Time) {
	j := p.jobs[ref.Job]
	if j == nil || ref.Step >= len(j.sub.Steps) || ref.Round >= j.sub.Rounds() || ref.Index >= j.sub.Steps[ref.Step].Count {
		return
	}
	spec := &j.sub.Steps[ref.Step]
	w.orphanSize = w.orphanSize.Plus(spec.Reservation())
	w.orphanUses = append(w.orphanUses, orphanUse{j.sub.Customer, spec.Size})
	p.allowances.addUse(j.sub.Customer, spec.Size)
	if s, t := p.openTask(ref); t != nil && !t.done {
		s.task(ref.Index).notBefore = now.Add(p.Limits.StopTime + pollRetry)
	}
	p.schedulePlan(now.Add(p.Limits.StopTime+pollRetry), now)
}
