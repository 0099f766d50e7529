// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"
)

// An order to begin a run rests on what was known when the run was kept: its job is
// wanted, its worker stays, this node owns the pool. The bounds below keep it from
// going out, or from being carried out, when that may no longer hold: together they
// stay under the users' 3 s for work of a cancelled job. The first leaves four tries
// to a worker that answers half of its orders; with 1 s and two to three tries such
// days served 0.01 to 0.05 less (trials, four seeds a site).
const (
	startFresh  = 1600 * time.Millisecond // from when a run is kept until its order may go out last
	startTravel = 1200 * time.Millisecond // from when an order goes out until its worker refuses it: a fresh channel (0.7 s) and the answer (0.4 s)
)

// leastFresh is what of startFresh is left at the least; a worker that has been idle
// for a minute is down to it.
const leastFresh = 400 * time.Millisecond

// fresh returns for how long after the run was kept its order may go out. A worker's
// clock may have fallen behind since it was heard of, by which its refusal is late.
func (u *run) fresh(now time.Time) time.Duration {
	behind := time.Duration(clockSlack * float64(now.Sub(u.at.clockAt)))
	return max(startFresh-behind, leastFresh)
}

// whyWithheld returns why a run is not to be begun any more, "" where it may be. A
// worker that is to be emptied by our own wish stays until it is empty, so a gang,
// which begins as a whole, may still begin there.
func whyWithheld(u *run, now time.Time) string {
	switch {
	case now.Sub(u.kept) > u.fresh(now):
		return "its order has waited too long"
	case u.at.info.Draining, u.at.cordoned && !u.step().spec.Gang:
		return "its worker is to be left"
	case !u.ticket.until.IsZero() && !now.Before(u.ticket.until):
		return "its ticket has run out"
	case u.at.overfull():
		return "its worker's room has shrunk"
	}
	return ""
}

// withhold gives up an order to begin a run that is not to go out any more.
func (p *Pool) withhold(o Order, now time.Time) {
	if !o.starts() || !o.Valid() {
		return
	}
	u := o.Run
	why := whyWithheld(u, now)
	if why == "" {
		return
	}
	p.Logger.Info().Str("event", "withheld").Str("task", u.name).Int("run", u.number).Str("worker", string(u.at.info.ID)).
		Dur("kept_for", now.Sub(u.kept)).Int("tries", u.tries).Str("why", why).Msg("an order to begin a run does not go out")
	p.giveUp(u, now, why)
}

// giveUp ends a run that is not to begin, and with it its gang: the task of one that
// was never sent waits again, one that may be carried out yet is stopped.
func (p *Pool) giveUp(u *run, now time.Time, why string) {
	if u.sent || u.restored {
		p.stop(u, now, why)
	} else {
		p.release(u)
	}
	p.breakGang(u, now, why)
}

// breakGang gives up the other members of the gang of a run that does not begin: they
// would wait for it in vain.
func (p *Pool) breakGang(u *run, now time.Time, why string) {
	if !u.inGang() {
		return
	}
	for _, o := range u.members() {
		if o != u && !o.stopping && o.phase != over {
			p.giveUp(o, now, "a member of its gang does not begin: "+why)
		}
	}
}

// inGang reports whether a run works only together with others.
func (u *run) inGang() bool { return !u.stray && u.step().spec.Gang }

// members returns the runs under way that began together with a run of a gang, itself
// included.
func (u *run) members() []*run {
	var list []*run
	for _, t := range u.step().tasks {
		for _, o := range t.runs {
			if o.number == u.number {
				list = append(list, o)
			}
		}
	}
	return list
}

// worksTogether reports whether the gang of a run has been seen at work: the platform ends
// its members with the first that ends. One that was not waits for a member whose worker
// has crashed until it ends alone, if it is not stopped.
func (u *run) worksTogether() bool {
	return !u.inGang() || slices.ContainsFunc(u.members(), func(o *run) bool { return o.percent > 0 })
}

// stallTime is after which time a gang has come to a stand that was at work when the worker
// of one of its members went silent. Those that go on are not held up by a silence which
// only this node meets; the others end alone after 3 s on the users' platform.
const stallTime = 700 * time.Millisecond

// breakStalled gives up the gangs of a silent worker's runs that have come to a stand.
func (p *Pool) breakStalled(w *workerState, now time.Time) {
	if now.Sub(w.silent) < stallTime {
		p.wakeAt(w.silent.Add(stallTime), now)
		return
	}
	for _, u := range w.runs {
		if !u.inGang() {
			continue
		}
		if u.advances(now) {
			p.wakeAt(now.Add(stallTime), now)
			continue
		}
		p.breakGang(u, now, "a member's worker does not answer, and it stands still")
	}
}

// advances reports whether another member of a run's gang has done some work of late.
func (u *run) advances(now time.Time) bool {
	return slices.ContainsFunc(u.members(), func(o *run) bool { return o != u && now.Sub(o.moved) < stallTime })
}

// withholdAll gives up the orders that wait and are not to go out any more.
func (p *Pool) withholdAll(now time.Time) {
	for _, w := range p.workers {
		for _, o := range w.out {
			p.withhold(o, now)
			if o.starts() && o.Valid() {
				p.wakeAt(o.Run.kept.Add(o.Run.fresh(now)+time.Millisecond), now)
			}
		}
	}
}

// mustWait reports whether an order to stop a task that lasts must wait, though an
// earlier try of it may be carried out yet: since the stop was decided so many others of
// its step have gone away that it may not be ended beside them. Its worker stays, and
// looks at it ask again.
func (o Order) mustWait() bool {
	u := o.Run
	if !o.Stop || u.stray || u.job.state.Final() || u.at.info.Draining {
		return false
	}
	s := u.step()
	if !s.spec.LongRunning || u.phase != running || u.percent < fullPace {
		return false
	}
	return s.away(u.task()) >= max(s.spec.MaxUnavailable, 1)
}
