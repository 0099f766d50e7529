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

// workerState is one worker, what runs there and what is known of it.
type workerState struct {
	info   worker.Worker
	runs   map[string]*run // by the task's name
	used   job.Size
	strays job.Size // room of runs there that are not ours to keep, by the last look

	strayUses []strayUse // what their customers use by them
	lasting   int        // runs of tasks that last

	suspects int     // runs of tasks under which workers had crashed before
	out      []Order // to be given, oldest first

	met      bool          // it has answered, so its clock is known and no lower token counts
	listed   bool          // it stands in the platform's list
	lingers  bool          // it has answered since it stood there last: it leaves as planned
	clock    time.Duration // of the worker, as it answered last
	clockAt  time.Time     // when that answer came
	heardAt  time.Time     // when an answer came last that this life has given
	rivals   bool          // other lives of its instance are known
	deadline time.Duration // the latest on the worker's clock that was sent

	orderedTo  time.Duration // the latest of those that an order has sent
	extendedBy uint64        // stamp of the look that has extended the deadline last, 0 for none
	silent     time.Time     // since when it has not answered, zero while it does
	doubted    bool          // nothing has been heard since an order got no answer
	surely     time.Time     // when all that an earlier owner began there is over, unless it has answered
	waiting    bool          // it is among the workers with new orders
	cordoned   bool          // nothing is placed there, and what can be moved is
	cordonIn   uint64        // batch that carries the newest change of that
	must       time.Time     // since when its instance must be maintained, zero where it need not
	wantLook   bool          // somebody waits for a look
	looked     time.Time     // when the last look ended
	seen       int           // newest end that was taken in
	kept       int           // newest end that is kept for good
	told       int           // newest end that the worker was told to forget
	trust      trust
	sharing    sharing
	tickets    map[job.StepRef]ticket

	born     int64          // which of its starts has answered last, 0 where that is not known
	raised   uint64         // part of the token of its orders
	since    uint64         // the same as it was when the worker may have started again last: answers to earlier looks tell nothing of that
	unproven bool           // it may have started again: only looks are sent
	hint     *worker.Worker // newest entry that tells of another start
	atHint   bool           // it is reached at the address of that entry
	checked  int64          // start that was listed, and is another than the one that has answered
	listedAt time.Time      // when it has listed its runs last
	withheld bool           // the last look could have had it forget ends, and has not
}

// clockSlack is by how much a worker's clock may be slow.
const clockSlack = 0.02

// clockTolerance is how much less than at least a worker's clock may show in an
// answer: its way back takes a few milliseconds. One that was held up for longer would
// set the clock back, and orders that rest on it would be refused as late.
const clockTolerance = 100 * time.Millisecond

// lapseSlack is added to the time at which a lease has surely run out.
const lapseSlack = 50 * time.Millisecond

// now returns what the worker's clock shows at least.
func (w *workerState) now(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*(1-clockSlack))
}

// extend returns the deadline for a lease from now on, and notes that it is
// sent.
func (w *workerState) extend(now time.Time, lease time.Duration) time.Duration {
	w.deadline = max(w.deadline, w.now(now)+lease)
	return w.deadline
}

// ordered returns the deadline of an order to begin a run, after which the worker
// refuses it, and notes that it is sent. The worker's clock is taken for as fast as
// this node's, so that the order has its whole time; what runs is extended by looks.
func (w *workerState) ordered(now time.Time, travel time.Duration) time.Duration {
	deadline := w.clock + now.Sub(w.clockAt) + travel
	w.orderedTo = max(w.orderedTo, deadline)
	w.deadline = max(w.deadline, deadline)
	return deadline
}

// lapses returns when all that runs there has surely been ended by its lease,
// unless it is extended.
func (w *workerState) lapses() time.Time {
	if !w.met {
		return w.surely
	}
	left := float64(w.deadline-w.clock) / (1 - clockSlack)
	return w.clockAt.Add(time.Duration(left) + lapseSlack)
}

// room returns what is free.
func (w *workerState) room() job.Size { return w.info.Capacity.Minus(w.used).Minus(w.strays) }

// overfull reports whether more runs there, or is to begin, than there is room for: it has
// shrunk, or others run there that are to be stopped.
func (w *workerState) overfull() bool { return !(job.Size{}).FitsIn(w.room()) }

// open reports whether tasks may be placed there.
func (w *workerState) open(now time.Time) bool {
	return w.met && w.listed && w.silent.IsZero() && !w.doubted && !w.unproven && !w.leaves() && !w.rests(now)
}

// leaves reports whether what runs there has to go elsewhere.
func (w *workerState) leaves() bool { return w.info.Draining || w.cordoned }

// forgetTicket drops a ticket that was not accepted.
func (w *workerState) forgetTicket(s job.StepRef) { delete(w.tickets, s) }

// heard takes what an answer tells of its worker.
func (p *Pool) heard(w *workerState, a port.Response, now time.Time) {
	if a.Result == port.Unknown || a.Result == port.Unreachable {
		return
	}
	if a.Result != port.OtherIncarnation {
		w.heardAt = now
		if w.doubted {
			w.doubted = false
			p.moved = true
		}
	}
	if a.Clock > 0 && (w.clockAt.IsZero() || a.Clock > w.now(now)-clockTolerance) {
		w.clock, w.clockAt = a.Clock, now
	}
}

// UpdateWorker takes what the platform's list says of a worker of the pool. It returns
// whether the worker is new.
func (p *Pool) UpdateWorker(info worker.Worker) bool {
	w := p.workers[info.ID]
	if w == nil {
		w = p.addWorker(info)
		p.Logger.Info().Str("event", "worker").Str("worker", string(info.ID)).Str("instance", info.Instance).
			Str("address", info.Address).Strs("labels", info.Labels).Int64("born", info.StartedAt).Uint64("revision", info.Revision).Msg("a worker has come")
		p.compare(w)
		w.listed = true
		return true
	}
	if !p.seeStart(w, info) {
		return false
	}
	if info.Address != w.info.Address {
		p.reconnect(w)
	}
	if info.Capacity != w.info.Capacity {
		p.Logger.Info().Str("event", "worker").Str("worker", string(info.ID)).Int("cpu", info.Capacity.CPU).Int("memory_mb", info.Capacity.MemoryMB).
			Int("cpu_before", w.info.Capacity.CPU).Int("used_cpu", w.used.CPU).Uint64("revision", info.Revision).Msg("a worker's room has changed")
		p.moved = true
	}
	if info.Draining && !w.info.Draining {
		p.Logger.Info().Str("event", "worker").Str("worker", string(info.ID)).Dur("remaining", info.Remaining).
			Uint64("revision", info.Revision).Msg("a worker drains")
		p.moved = true
	}
	w.info = info
	w.listed, w.lingers = true, false
	return false
}

// sortJobs sorts jobs by when they came.
func sortJobs(jobs []*jobState) {
	slices.SortFunc(jobs, func(a, b *jobState) int {
		return cmp.Or(a.accepted.Compare(b.accepted), cmp.Compare(a.sub.ID, b.sub.ID))
	})
}

func (p *Pool) addWorker(info worker.Worker) *workerState {
	w := p.newWorker(info)
	w.born = p.starts[info.ID]
	p.workers[info.ID] = w
	return w
}

// newWorker returns a worker of which nothing is known.
func (p *Pool) newWorker(info worker.Worker) *workerState {
	return &workerState{
		info: info, runs: make(map[string]*run), tickets: make(map[job.StepRef]ticket), cordoned: p.cordons[info.ID], raised: p.raised,
	}
}

// compare has the lives of one instance looked at, of which one at most goes on.
// The list does not tell which: what an earlier life said of itself may be listed
// late.
func (p *Pool) compare(w *workerState) {
	if w.info.Instance == "" {
		return
	}
	for _, o := range p.workers {
		if o != w && o.info.Instance == w.info.Instance {
			w.rivals, o.rivals = true, true
			w.wantLook, o.wantLook = true, true
		}
	}
}

// outlived ends the other lives of a worker's instance that have not answered since
// a look was sent which the worker has answered.
func (p *Pool) outlived(w *workerState, sent, now time.Time) {
	w.rivals = false
	for _, o := range p.workers {
		if o == w || o.info.Instance != w.info.Instance {
			continue
		}
		if o.heardAt.Before(sent) {
			p.lifeOver(o, now, endedItself, "its instance has a new life")
		} else {
			w.rivals = true
		}
	}
}

// UnlistWorker takes the news that a worker stands in the platform's list no longer: it
// has left, crashed or been silent. What ran there may run on until its lease
// has lapsed.
func (p *Pool) UnlistWorker(id worker.ID) {
	w := p.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	p.Logger.Info().Str("event", "worker").Str("worker", string(id)).Int("runs", len(w.runs)).Msg("a worker is listed no longer")
	if len(w.runs) == 0 {
		p.dropWorker(w)
		return
	}
	if w.silent.IsZero() {
		w.wantLook = true
	}
}

// dropWorker forgets a worker.
func (p *Pool) dropWorker(w *workerState) {
	p.forgetStrays(w)
	delete(p.workers, w.info.ID)
	p.left = append(p.left, w.info.ID)
}

// lifeOver ends all that a worker ran: its life is over.
func (p *Pool) lifeOver(w *workerState, now time.Time, how lifeEnd, why string) {
	p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int("runs", len(w.runs)).Str("why", why).
		Msg("a worker's life is over")
	p.confirm(w.life())
	p.endRuns(w, now, how, why)
	p.dropWorker(w)
	p.moved = true
}

// endRuns ends all that a worker ran, and holds it against those that may be the cause.
func (p *Pool) endRuns(w *workerState, now time.Time, how lifeEnd, why string) {
	suspects := p.suspects(w, how)
	for _, u := range w.runs {
		p.lose(u, now, why)
	}
	w.out = nil
	p.blame(w, suspects, how, now)
}

// EndIncarnations takes the news that workers' lives were ended by an order to their
// instances. One that has another start by now is looked at.
func (p *Pool) EndIncarnations(lives []worker.Incarnation, now time.Time) {
	for _, l := range lives {
		w := p.workers[l.ID]
		switch {
		case w == nil:
		case l.StartedAt == w.born:
			p.lifeOver(w, now, endedByOrder, "its instance was moved or maintained")
		default:
			p.suspectRestart(w)
			p.attend(w)
		}
	}
}

// lose ends a run that never ends by itself; its task waits again.
func (p *Pool) lose(u *run, now time.Time, why string) {
	p.Logger.Info().Str("event", "lost").Str("task", u.name).Int("run", u.number).Str("worker", string(u.at.info.ID)).
		Dur("age", u.age(now)).Str("why", why).Msg("a run is lost")
	if u.saved != "" && u.step().spec.Checkpointing {
		u.task().checkpoint = u.saved
	}
	if !u.stray {
		u.task().lost = append(u.task().lost, u.number)
	}
	alone := !u.worksTogether()
	p.release(u)
	if alone {
		p.breakGang(u, now, why)
	}
}

// ExpireLeases ends the runs of workers that have been silent until their leases were
// over.
func (p *Pool) ExpireLeases(now time.Time) {
	for _, w := range p.workers {
		if w.silent.IsZero() {
			continue
		}
		p.breakStalled(w, now)
		if now.Before(w.lapses()) {
			p.wakeAt(w.lapses(), now)
			continue
		}
		p.endRuns(w, now, endedUnseen, "its lease has lapsed on a silent worker")
		if !w.listed {
			p.dropWorker(w)
		}
	}
}
