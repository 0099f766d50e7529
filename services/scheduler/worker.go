// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// workerState is a worker, its runs and what is known of it.
type workerState struct {
	info         worker.Worker
	runs         map[string]*run // by task name
	used         job.Size
	orphanSize   job.Size // size of its orphan runs, by the last poll
	held         []*run   // runs placed ahead, which are not in used
	mostCapacity job.Size // the most that its entries have stated
	ending       job.Size // of its runs that are expected to end soon, by the plan of endingPlan
	endingPlan   uint64   // 0 once its runs have changed

	orphanUses      []orphanUse // what customers use by orphan runs
	longRunningRuns int         // number of runs of long-running tasks

	suspectRuns int     // number of runs whose tasks have crashes attributed to them
	orders      []Order // queued orders, oldest first

	hasResponded         bool          // it has responded, so its clock is known and lower tokens are refused
	listed               bool          // it is in the platform's list
	respondedUnlisted    bool          // it has responded after it left the list: a planned exit
	clock                time.Duration // the worker's clock in its last response
	clockAt              time.Time     // when that response came
	lastContact          time.Time     // time of the last response from this incarnation
	hasOtherIncarnations bool          // other incarnations of its instance are known
	latestDeadline       time.Duration // latest deadline sent, on the worker's clock

	startDeadlineSent time.Duration // latest deadline sent with an order
	extendedBy        uint64        // sequence of the poll that extended the deadline last, 0 for none
	unresponsiveSince time.Time     // since when it has not responded, zero while it does
	orderUnanswered   bool          // no response since an order timed out
	leaseRecorded     bool          // a record tells the next owner that no lease is extended here
	restoredRunsEndAt time.Time     // when all runs of an earlier owner have ended, unless it has responded
	pending           bool          // it is among the pending workers
	cordoned          bool          // nothing is placed there but what may run nowhere else, and movable runs leave it
	cordonBatch       uint64        // batch that carries the newest cordon change
	evacuated         bool          // its data centre is under evacuation
	maintenanceSince  time.Time     // since when its instance needs maintenance, zero if it does not
	pollWanted        bool          // a poll is requested
	polledAt          time.Time     // when the last poll ended
	lastEnd           int           // newest end processed
	persistedEnd      int           // newest end persisted
	acknowledgedEnd   int           // newest end that the worker was told to discard
	hasMoreEnds       bool          // its last list was truncated
	health            health
	healthOf          int64 // start time of the incarnation that its restored health is of, 0 if unknown
	cpuSharing        cpuSharing
	tickets           map[job.StepRef]ticket

	startedAt        int64          // start time of the incarnation that responded last, 0 if unknown
	tokenRaises      uint64         // part of the token of its orders
	provenFromRaises uint64         // value of tokenRaises at the last possible restart: responses to earlier polls prove nothing
	restartSuspected bool           // it may have restarted: only polls are sent
	otherEntry       *worker.Worker // newest entry with another start time
	atOtherEntry     bool           // it is contacted at the address of otherEntry
	checkedStart     int64          // start time that was listed but does not belong to the incarnation that responded
	provenAddress    string         // where it responded last, or had its runs ordered by an earlier owner; "" for nowhere yet
	foreignAddress   string         // address in its entry at which another worker responded, "" for none
	listedAt         time.Time      // when it last listed its runs
	listedOver       uint64         // connection that carried that list, 0 if unknown
	lostPolls        int            // polls in a row of which the deadline and the acknowledgement were lost with their connections
	listedClock      time.Duration  // its clock in that response, 0 if unknown
	ackWithheld      bool           // the last poll could have acknowledged ends, but did not

	slowdown  *slowdown // of cold workers of its pool
	warmNoted bool      // it has been logged that it is warm
}

// maxClockDrift is how much slower than this node's clock a worker's clock may run.
const maxClockDrift = 0.02

// maxClockAge is how old a worker's clock may be for a start order to be sent. By then it may be 1.2 s behind, which
// leaves minStartWindow of the time until the last start.
const maxClockAge = time.Minute

// clockTolerance is how far below the expected minimum the worker's clock in a response may be: a
// response is in transit for a few milliseconds. A response that was delayed for longer would set
// the clock back, and the worker would refuse orders as late whose deadlines were derived from it.
const clockTolerance = 100 * time.Millisecond

// expiryMargin is added to the time by which a lease has run out.
const expiryMargin = 50 * time.Millisecond

// clockNow returns the minimum that the worker's clock shows now.
func (w *workerState) clockNow(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*(1-maxClockDrift))
}

// extendDeadline returns the deadline of a lease that starts now, and records it as sent. A later
// deadline that may be in force is not sent: the next owner counts on leases of this length.
func (w *workerState) extendDeadline(now time.Time, lease time.Duration) time.Duration {
	deadline := w.clockNow(now) + lease
	w.latestDeadline = max(w.latestDeadline, deadline)
	return deadline
}

// startDeadline returns the deadline after which the worker refuses a start order, and records it
// as sent. It assumes that the worker's clock runs as fast as this node's, so that the order gets
// its full time; the leases of runs are extended by polls. On a slow clock the run's lease is longer by
// the drift, which counts up to maxClockAge only, however old the clock is: the next owner waits for no more.
func (w *workerState) startDeadline(now time.Time, transit time.Duration) time.Duration {
	drift := time.Duration(maxClockDrift * float64(min(now.Sub(w.clockAt), maxClockAge)))
	deadline := w.clockNow(now) + drift + transit
	w.startDeadlineSent = max(w.startDeadlineSent, deadline)
	w.latestDeadline = max(w.latestDeadline, deadline)
	return deadline
}

// clockTooOld reports whether a start order waits for a poll that reads the worker's clock: without it the
// worker may refuse the order as late.
func (w *workerState) clockTooOld(now time.Time) bool { return now.Sub(w.lastContact) > maxClockAge }

// leasesExpireAt returns when all runs on the worker have been ended by their leases, unless these
// are extended.
func (w *workerState) leasesExpireAt() time.Time {
	if !w.hasResponded {
		return w.restoredRunsEndAt
	}
	remaining := float64(w.latestDeadline-w.clock) / (1 - maxClockDrift)
	return w.clockAt.Add(time.Duration(remaining) + expiryMargin)
}

// free returns the free capacity.
func (w *workerState) free() job.Size { return w.info.Capacity.Minus(w.used).Minus(w.orphanSize) }

// overcommitted reports whether the runs there, including planned ones, exceed the capacity: it has
// shrunk, or there are orphan runs that have to be stopped.
func (w *workerState) overcommitted() bool { return !(job.Size{}).FitsIn(w.free()) }

// schedulable reports whether tasks may be placed on the worker.
func (w *workerState) schedulable(now time.Time) bool { return w.reachable() && !w.ejected(now) }

// reachable reports whether tasks may be placed on the worker unless it is ejected.
func (w *workerState) reachable() bool {
	return w.responds() && !w.leaving() && !w.evacuated
}

// responds reports whether the worker is listed and responds to all that is sent to it.
func (w *workerState) responds() bool {
	return w.hasResponded && w.listed && w.unresponsiveSince.IsZero() && !w.orderUnanswered && !w.leaseRecorded && !w.restartSuspected
}

// leaving reports whether the runs on the worker have to move elsewhere.
func (w *workerState) leaving() bool { return w.info.Draining || w.cordoned }

// dropTicket removes a ticket that was not accepted.
func (w *workerState) dropTicket(s job.StepRef) { delete(w.tickets, s) }

// noteContact records what a response shows of its worker.
func (p *Pool) noteContact(w *workerState, a port.Response, now time.Time) {
	switch a.Result {
	case port.Unknown, port.Unreachable, port.Restarted, port.Unidentified:
		return
	}
	if a.Result != port.OtherIncarnation {
		w.lastContact = now
		if w.orderUnanswered {
			w.orderUnanswered = false
			p.needsPlan = true
		}
	}
	if a.Clock > 0 && (w.clockAt.IsZero() || a.Clock > w.clockNow(now)-clockTolerance) {
		w.clock, w.clockAt = a.Clock, now
	}
}

// UpdateWorker applies an entry of the platform's list for a worker of the pool, and reports
// whether the worker is new.
func (p *Pool) UpdateWorker(info worker.Worker) bool {
	w := p.workers[info.ID]
	if w == nil {
		w = p.addWorker(info)
		p.Logger.Info().Str("event", "worker").Str("worker", string(info.ID)).Str("instance", info.Instance).
			Str("address", info.Address).Strs("labels", info.Labels).Int64("born", info.StartedAt).Uint64("revision", info.Revision).Msg("worker added")
		p.pollIncarnations(w)
		w.listed = true
		p.noteWarmUp(w, worker.Worker{})
		return true
	}
	if !p.checkStart(w, info) {
		return false
	}
	if info.Address == w.foreignAddress {
		info.Address = w.info.Address
	}
	if info.Address != w.info.Address {
		p.markReconnect(w)
	}
	if info.Capacity != w.info.Capacity {
		p.Logger.Info().Str("event", "worker").Str("worker", string(info.ID)).Int("cpu", info.Capacity.CPU).Int("memory_mb", info.Capacity.MemoryMB).
			Int("cpu_before", w.info.Capacity.CPU).Int("used_cpu", w.used.CPU).Uint64("revision", info.Revision).Msg("worker capacity changed")
		p.needsPlan = true
	}
	if info.Draining && !w.info.Draining {
		p.Logger.Info().Str("event", "worker").Str("worker", string(info.ID)).Dur("remaining", info.Remaining).
			Uint64("revision", info.Revision).Msg("worker draining")
		p.needsPlan = true
	}
	before := w.info
	w.mostCapacity = w.mostCapacity.Max(before.Capacity)
	w.info, w.evacuated = info, p.evacuated.Has(info.DataCenter)
	w.listed, w.respondedUnlisted = true, false
	p.noteWarmUp(w, before)
	return false
}

// sortJobs sorts jobs by arrival.
func sortJobs(jobs []*jobState) {
	slices.SortFunc(jobs, func(a, b *jobState) int {
		return cmp.Or(a.accepted.Compare(b.accepted), cmp.Compare(a.sub.ID, b.sub.ID))
	})
}

func (p *Pool) addWorker(info worker.Worker) *workerState {
	w := p.newWorker(info)
	w.startedAt = p.persistedStarts[info.ID]
	p.workers[info.ID] = w
	p.applyRestoredHealth(w)
	return w
}

// newWorker returns a worker of which nothing is known.
func (p *Pool) newWorker(info worker.Worker) *workerState {
	return &workerState{
		info: info, runs: make(map[string]*run), tickets: make(map[job.StepRef]ticket), cordoned: p.cordons[info.ID], tokenRaises: p.tokenRaises,
		evacuated: p.evacuated.Has(info.DataCenter), slowdown: &p.slowdown, leaseRecorded: p.silence.recorded[info.ID],
	}
}

// pollIncarnations polls all incarnations of a worker's instance if it has several, of which at
// most one is alive. The list does not show which: an earlier incarnation's entry may be listed
// late.
func (p *Pool) pollIncarnations(w *workerState) {
	if w.info.Instance == "" {
		return
	}
	for _, o := range p.workers {
		if o != w && o.info.Instance == w.info.Instance {
			w.hasOtherIncarnations, o.hasOtherIncarnations = true, true
			w.pollWanted, o.pollWanted = true, true
		}
	}
}

// endOtherIncarnations ends the other incarnations of a worker's instance that have not responded
// since the poll was sent to which this worker responded.
func (p *Pool) endOtherIncarnations(w *workerState, sent, now time.Time) {
	w.hasOtherIncarnations = false
	for _, o := range p.workers {
		if o == w || o.info.Instance != w.info.Instance {
			continue
		}
		if o.lastContact.Before(sent) {
			p.endIncarnation(o, now, exitConfirmed, "its instance has a new incarnation")
		} else {
			w.hasOtherIncarnations = true
		}
	}
}

// UnlistWorker records that a worker is no longer in the platform's list: it has left, crashed or
// become unresponsive. Its runs may continue until their leases expire.
func (p *Pool) UnlistWorker(id worker.ID) {
	w := p.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	p.Logger.Info().Str("event", "worker").Str("worker", string(id)).Int("runs", len(w.runs)).Msg("worker no longer listed")
	if len(w.runs) == 0 {
		p.removeWorker(w)
		return
	}
	if w.unresponsiveSince.IsZero() {
		w.pollWanted = true
	}
}

// removeWorker removes a worker.
func (p *Pool) removeWorker(w *workerState) {
	p.forgetOrphans(w)
	delete(p.workers, w.info.ID)
	p.removedWorkers = append(p.removedWorkers, w.info.ID)
}

// endIncarnation ends all runs of a worker whose incarnation is over.
func (p *Pool) endIncarnation(w *workerState, now time.Time, kind exitKind, reason string) {
	p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int("runs", len(w.runs)).Str("why", reason).
		Msg("worker incarnation ended")
	p.confirmCrash(w.incarnation())
	p.endRuns(w, now, kind, reason)
	p.removeWorker(w)
	p.needsPlan = true
}

// endRuns ends all runs of a worker and attributes its exit to the tasks that may have caused it.
func (p *Pool) endRuns(w *workerState, now time.Time, kind exitKind, reason string) {
	suspects := p.suspects(w, kind)
	p.releaseAllHeld(w, now, reason)
	for _, u := range w.runs {
		p.loseRun(u, now, reason)
	}
	w.orders = nil
	p.attributeCrash(w, suspects, kind, now)
}

// EndIncarnations records that incarnations of workers were ended by an order to their instances. A
// worker that has another incarnation by now is polled.
func (p *Pool) EndIncarnations(incarnations []worker.Incarnation, now time.Time) {
	for _, l := range incarnations {
		w := p.workers[l.ID]
		switch {
		case w == nil:
		case l.StartedAt == w.startedAt:
			p.endIncarnation(w, now, exitOrdered, "its instance was moved or maintained")
		default:
			p.suspectRestart(w)
			p.markPending(w)
		}
	}
}

// loseRun declares a run lost, which ends without its worker reporting an end; its task waits
// again.
func (p *Pool) loseRun(u *run, now time.Time, reason string) {
	p.noteLoss(u, now, reason)
	if u.checkpoint != "" && u.step().spec.Checkpointing {
		u.task().checkpoint = u.checkpoint
	}
	if !u.orphan {
		u.task().lostRuns = append(u.task().lostRuns, u.number)
	}
	gangIdle := !u.gangActive()
	p.release(u)
	if gangIdle {
		p.abandonGang(u, now, reason)
	}
}

// ExpireLeases ends the runs of workers that have been unresponsive until their leases expired.
func (p *Pool) ExpireLeases(now time.Time) {
	for _, w := range p.workers {
		if w.unresponsiveSince.IsZero() {
			continue
		}
		p.abandonStalledGangs(w, now)
		if now.Before(w.leasesExpireAt()) {
			p.schedulePlan(w.leasesExpireAt(), now)
			continue
		}
		p.endRuns(w, now, exitAssumed, "the lease expired on an unresponsive worker")
		if !w.listed {
			p.removeWorker(w)
		}
	}
}
