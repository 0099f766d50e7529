// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"
)

// A start order is based on what was known when its run was persisted: its job is wanted, its
// worker stays, and this node owns the pool. These limits prevent it from being sent or carried out
// when that may no longer hold; together they stay below the users' limit of 3 s for starting work
// of a cancelled job. The first one permits four tries for a worker that responds to half of its
// orders; 1 s, which permits two to three tries, lowers the share served beside such workers by 0.01
// to 0.05.
const (
	maxStartAge  = 1600 * time.Millisecond // from persisting a run to the last time at which its order may be sent
	startTransit = 1200 * time.Millisecond // from sending an order until its worker refuses it: a new connection (0.7 s) and the response (0.4 s)
)

// minStartWindow is the lower limit of what clock drift leaves of maxStartAge; it applies to a
// worker whose clock was read maxClockAge ago.
const minStartWindow = 400 * time.Millisecond

// startWindow returns for how long after the run was persisted its order may be sent. The worker's
// clock may have fallen behind since the last contact, which delays its refusal, unless it is read before.
func (u *run) startWindow(now time.Time) time.Duration {
	if u.worker.clockTooOld(now) {
		return maxStartAge
	}
	drift := time.Duration(maxClockDrift * float64(now.Sub(u.worker.clockAt)))
	return max(maxStartAge-drift, minStartWindow)
}

// withholdReason returns why a run must not be started any more, "" if it may be. A cordoned worker
// stays until it is empty, so a gang, which starts as a whole, may still start there, and what was placed there since.
func withholdReason(u *run, now time.Time) string {
	switch {
	case now.Sub(u.persistedAt) > u.startWindow(now):
		return "its order has waited too long"
	case u.worker.info.Draining, u.worker.cordoned && !u.step().spec.Gang && u.generation == beforeCordon:
		return "its worker is being emptied"
	case u.worker.evacuated:
		return "its data centre is under evacuation"
	case !u.ticket.expiresAt.IsZero() && !now.Before(u.ticket.expiresAt):
		return "its ticket has expired"
	case u.worker.overcommitted():
		return "the capacity of its worker has shrunk"
	}
	return ""
}

// withhold abandons a start order that must not be sent any more.
func (p *Pool) withhold(o Order, now time.Time) {
	if !o.isStart() || !o.Valid() {
		return
	}
	u := o.Run
	reason := withholdReason(u, now)
	if reason == "" {
		return
	}
	p.work.Withheld++
	p.Logger.Info().Str("event", "withheld").Str("task", u.name).Int("run", u.number).Str("worker", string(u.worker.info.ID)).
		Dur("kept_for", now.Sub(u.persistedAt)).Int("tries", u.sendCount).Str("why", reason).Msg("start order withheld")
	p.abandon(u, now, reason)
}

// abandon ends a run that is not to start, and with it its gang: if no order was sent, the task
// waits again; otherwise the run is stopped, as its order may still be carried out.
func (p *Pool) abandon(u *run, now time.Time, reason string) {
	switch {
	case u.sent || u.restored:
		p.stopRun(u, now, reason)
	case u.held:
		p.releaseHeld(u, now, reason)
	default:
		p.release(u)
	}
	p.abandonGang(u, now, reason)
}

// abandonGang abandons the other members of the gang of a run that does not start: they would wait
// for it forever.
func (p *Pool) abandonGang(u *run, now time.Time, reason string) {
	if !u.inGang() {
		return
	}
	for _, o := range u.gangMembers() {
		if o != u && !o.stopping && o.phase != finished {
			p.abandon(o, now, "a member of its gang does not start: "+reason)
		}
	}
}

// inGang reports whether a run works only together with others.
func (u *run) inGang() bool { return !u.orphan && u.step().spec.Gang }

// gangMembers returns the active runs that started together with a run of a gang, including itself.
func (u *run) gangMembers() []*run {
	var list []*run
	for _, t := range u.step().touched() {
		for _, o := range t.runs {
			if o.number == u.number {
				list = append(list, o)
			}
		}
	}
	return list
}

// gangActive reports whether the gang of a run has been seen working: the platform then ends all its
// members with the first one that ends. Otherwise the members would wait for one whose worker has
// crashed until they fail alone, unless they are stopped.
func (u *run) gangActive() bool {
	return !u.inGang() || slices.ContainsFunc(u.gangMembers(), func(o *run) bool { return o.percent > 0 })
}

// gangStallTime is the time without progress after which a gang counts as stalled, if the worker of
// one of its members became unresponsive. A gang that makes progress is not affected by a network
// failure that only this node sees; the members of a stalled one fail alone after 3 s on the users'
// platform.
const gangStallTime = 700 * time.Millisecond

// abandonStalledGangs abandons the stalled gangs with members on an unresponsive worker.
func (p *Pool) abandonStalledGangs(w *workerState, now time.Time) {
	if now.Sub(w.unresponsiveSince) < gangStallTime {
		p.schedulePlan(w.unresponsiveSince.Add(gangStallTime), now)
		return
	}
	for _, u := range w.runs {
		if !u.inGang() {
			continue
		}
		if u.gangAdvances(now) {
			p.schedulePlan(now.Add(gangStallTime), now)
			continue
		}
		p.abandonGang(u, now, "a member's worker does not respond, and the gang has stalled")
	}
}

// gangAdvances reports whether another member of a run's gang has made progress recently.
func (u *run) gangAdvances(now time.Time) bool {
	return slices.ContainsFunc(u.gangMembers(), func(o *run) bool { return o != u && now.Sub(o.progressedAt) < gangStallTime })
}

// withholdAll abandons the queued start orders that must not be sent any more.
func (p *Pool) withholdAll(now time.Time) {
	for _, w := range p.workers {
		for _, o := range w.orders {
			p.withhold(o, now)
			if o.isStart() && o.Valid() {
				p.schedulePlan(o.Run.persistedAt.Add(o.Run.startWindow(now)+time.Millisecond), now)
			}
		}
	}
}

// mustWait reports whether an order to stop a long-running task must wait, though an earlier try of
// it may still be carried out: since the stop was decided, so many other tasks of its step have
// become unavailable that this one must keep running. Its worker stays, and polls check again.
func (o Order) mustWait(now time.Time) bool {
	u := o.Run
	if !o.Stop || u.orphan || u.job.state.Final() || u.worker.info.Draining {
		return false
	}
	s := u.step()
	if !s.spec.LongRunning || u.phase != running || u.percent < fullPercent {
		return false
	}
	return s.unavailable(u.task(), now) >= max(s.spec.MaxUnavailable, 1)
}
