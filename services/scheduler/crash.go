// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// A worker that crashes ends all its runs without reporting an end for any of them. One of the
// tasks may be the cause and would crash the next worker as well; the others are not, and must
// still be completed. So the crashes of workers under each task are recorded and persisted, for
// whoever owns the pool. A suspect is started where the least is lost with it, apart from other
// suspects, and nothing is started beside it until it has been running for a while: a second crash
// then tells it apart from the others. Its job is failed early enough that the users' limit, which
// is two starts after the third crash, leaves room for starts unknown to the current owner.

// The limits for crashes attributed to a task.
const (
	// minCrashes is the number of crashes after which a task may be failed at the earliest, as the
	// users permit.
	minCrashes = 2
	// minCrashesFailWeight is the weight that suffices of only minCrashes crashes: one beside at most one
	// other starting task, and one as the only starting task. A smaller share says too little: where
	// workers crash for other causes, one of many tasks that were starting on one of them soon starts
	// alone on the next.
	minCrashesFailWeight = 1.5
	// failWeight is the weight that suffices of more crashes: one beside up to nine other starting tasks,
	// and one as the only starting task.
	failWeight = 1.1
	// sameWorkerFailWeight applies if it was one worker that crashed each time the task started, and
	// may be the cause itself: two crashes with the task as the only starting one.
	sameWorkerFailWeight = 1.9
	// unconfirmedWeight is the factor for a crash that may have been a network failure only.
	unconfirmedWeight = 0.5
	// unansweredWeight is the factor for a run whose start order got no response: it may never have started.
	// Such a crash and one as the only starting task, which may be the only one under the task, do not fail it.
	unansweredWeight = 0.45
	// unknownWeight marks a crash under a run that may have just started: it was restored from an
	// earlier owner's records, which do not show it running, and its worker has not responded since.
	unknownWeight = 0.001
	// unobservedWeight is the factor for a crash at an unknown time within unobservedAfter or more from
	// the last contact with the worker: the task may have been running for long by then, or be done. One
	// such crash and one as the only starting task do not fail it.
	unobservedWeight = 0.05
	// unobservedAfter is more than a poll of a worker with a suspect takes to find it unresponsive.
	unobservedAfter = 600 * time.Millisecond
	// maxCrashes is the number of crashes after which any task is failed.
	maxCrashes = 4
	// runningCrash is what a crash under a long-running task counts towards maxCrashes if the task had been
	// seen running for longer than a start takes. Such a task loses workers for other causes all day, and
	// the users limit only the starts of tasks that end.
	runningCrash = 0.5
	// startupTime is how long after its start a run may be the cause of a crash, rather than one
	// that ran beside it: a task that crashes its worker does so as it starts, within some ten
	// milliseconds. A suspect must be seen running for as long before others are started beside it.
	startupTime = 100 * time.Millisecond
	// provenAfter is how long a long-running task must run to be cleared: if its worker crashes
	// later, it is started again, as it has to serve for a whole day.
	provenAfter = 3 * time.Second
	// correlationWindow is the time within which workers that become unresponsive may have one
	// common cause, such as a rack, a switch or a data centre, rather than one task each.
	correlationWindow = time.Second
	// crashRetention is how long a crash is remembered in order to find correlated ones: it may
	// take as long until all crashes of one moment are known.
	crashRetention = 15 * time.Second
)

// crash is a worker that crashed while running a task, as far as is known.
type crash struct {
	worker    worker.Incarnation
	weight    float64 // probability of 0 to 1 that the task was the cause: a share among the starting tasks, of all its gang if it has one, 0 for a task that had been running
	confirmed bool    // the instance has another incarnation; otherwise its worker was unresponsive until its leases expired
}

// duringStartup reports whether the task had just started.
func (c crash) duringStartup() bool { return c.weight > unknownWeight }

// crashWeight returns the total weight of the crashes attributed to a task.
func (t *taskState) crashWeight() float64 {
	sum := 0.0
	for _, c := range t.crashes {
		if c.confirmed {
			sum += c.weight
		} else {
			sum += c.weight * unconfirmedWeight
		}
	}
	return sum
}

// crashCount returns what the crashes attributed to a task of a step count towards maxCrashes.
func (t *taskState) crashCount(s *stepState) float64 {
	count := 0.0
	for _, c := range t.crashes {
		if s.spec.LongRunning && c.weight == 0 {
			count += runningCrash
		} else {
			count++
		}
	}
	return count
}

// failWeight returns the total weight of its crashes that suffices to fail a task.
func (t *taskState) failWeight() float64 {
	var first worker.ID
	for _, c := range t.crashes {
		switch {
		case !c.duringStartup():
		case first == "":
			first = c.worker.ID
		case c.worker.ID != first && len(t.crashes) <= minCrashes:
			return minCrashesFailWeight
		case c.worker.ID != first:
			return failWeight
		}
	}
	return sameWorkerFailWeight
}

// exitKind is how an incarnation of a worker has ended.
type exitKind uint8

// The kinds of exits.
const (
	exitOrdered   exitKind = iota // its instance was moved or maintained
	exitConfirmed                 // it has left or crashed
	exitAssumed                   // it was unresponsive until its leases expired
)

// suspect is a run whose task may have crashed its worker.
type suspect struct {
	run      *run
	starting bool
}

// suspects returns the runs that a worker had started, or may have, when its incarnation ended:
// none if it left as planned or was taken down by an order.
func (p *Pool) suspects(w *workerState, kind exitKind) []suspect {
	if kind == exitOrdered || w.info.Draining || w.respondedUnlisted {
		return nil
	}
	var list []suspect
	for _, u := range w.runs {
		if u.orphan || !u.sent && !u.restored || u.provenBy(w.lastContact) {
			continue
		}
		list = append(list, suspect{u, u.isStarting(w.lastContact)})
	}
	return list
}

// isStarting reports whether a run had just started, or may have, at the last contact with its
// worker. The running time of a restored run is not known.
func (u *run) isStarting(lastContact time.Time) bool {
	if u.startedAt.IsZero() {
		return !u.restored
	}
	return lastContact.Sub(u.startedAt) < startupTime
}

// provenBy reports whether a run of a long-running task had been running long enough to be cleared
// of crashing its worker.
func (u *run) provenBy(at time.Time) bool {
	return u.proven || u.step().spec.LongRunning && u.percent >= fullPercent && !u.startedAt.IsZero() && at.Sub(u.startedAt) >= provenAfter
}

// attributeCrash attributes a crash to the tasks of a worker, whose runs are over, and fails those
// with too many crashes. If a task with earlier crashes had just started, those that had been
// running are not suspected.
func (p *Pool) attributeCrash(w *workerState, list []suspect, kind exitKind, now time.Time) {
	if len(list) == 0 {
		return
	}
	e := crashEvent{
		worker: w, confirmed: kind == exitConfirmed, runs: len(list), correlated: p.countCorrelated(w, now), unobserved: w.unobservedFor(now),
	}
	knownSuspect := false
	for _, s := range list {
		if s.starting {
			e.starting++
			knownSuspect = knownSuspect || len(s.run.task().crashes) > 0
		}
	}
	var causes []*taskState
	for _, s := range list {
		if knownSuspect && !s.starting {
			continue
		}
		e.together = startingTogether(list, s)
		if p.recordCrash(s, e, now) && p.failIfCause(s, now) {
			causes = append(causes, s.run.task())
		}
	}
	for _, t := range causes {
		p.clearOthers(t)
	}
}

// crashEvent is one crash of a worker.
type crashEvent struct {
	worker     *workerState
	confirmed  bool
	runs       int           // runs that the worker had
	starting   int           // runs that had just started
	together   int           // members of the run's gang that had just started there, 1 for any other run
	correlated int           // workers that became unresponsive together
	unobserved time.Duration // the time in which the worker may have crashed
}

// startingTogether returns how many members of a run's gang had just started on the worker, 1 for a run of no
// gang. They fail together, so what is said of one of them is said of all.
func startingTogether(list []suspect, s suspect) int {
	if !s.run.step().spec.Gang {
		return 1
	}
	n := 0
	for _, o := range list {
		if o.starting && o.run.ref.StepRef == s.run.ref.StepRef {
			n++
		}
	}
	return n
}

// unobservedFor returns the time from the last contact with a worker until it was found unresponsive, or
// until now.
func (w *workerState) unobservedFor(now time.Time) time.Duration {
	if !w.unresponsiveSince.IsZero() {
		now = w.unresponsiveSince
	}
	return now.Sub(w.lastContact)
}

// factor returns the factor for the weight of a crash under a run that had just started by the last
// contact.
func (e crashEvent) factor() float64 {
	if e.unobserved >= unobservedAfter {
		return unobservedWeight
	}
	return 1
}

// share returns the weight of a crash under a run that had just started.
func (e crashEvent) share() float64 {
	return e.factor() * float64(e.together) / float64(e.starting*e.correlated)
}

// saysNothing reports whether a crash under a run says nothing of its task: several workers crashed
// together, and the run had been seen running for longer than a start takes. What they have in common is
// the likely cause. A restored run may have been starting, so its crash counts unless an earlier owner has
// persisted that it was running.
func (e crashEvent) saysNothing(s suspect) bool {
	return e.correlated > 1 && !s.starting && (!s.run.startedAt.IsZero() || s.run.seenRunning)
}

// recordCrash attributes a crash to a task, and reports whether it did: not for a task that is
// done, nor for a crash that says nothing of it or is recorded already.
func (p *Pool) recordCrash(s suspect, e crashEvent, now time.Time) bool {
	t, j, incarnation := s.run.task(), s.run.job, e.worker.incarnation()
	if j.state.Final() || t.done || t.crashedOn(incarnation) || e.saysNothing(s) {
		return false
	}
	c := crash{worker: incarnation, confirmed: e.confirmed}
	switch {
	case s.starting && s.run.startedAt.IsZero():
		c.weight = unansweredWeight * e.share()
	case s.starting:
		c.weight = e.share()
	case s.run.startedAt.IsZero() && !s.run.seenRunning:
		c.weight = unknownWeight
	}
	t.crashes = append(t.crashes, c)
	t.suspectSince = now
	p.attributed[incarnation] = append(p.attributed[incarnation], s.run.ref)
	p.markCrashesChanged(s.run.ref)
	p.increment(crashSuspected)
	p.Logger.Info().Str("event", "crash").Str("task", s.run.name).Int("run", s.run.number).Str("worker", string(incarnation.ID)).Int64("born", incarnation.StartedAt).
		Int("crashes", len(t.crashes)).Float64("weight", t.crashWeight()).Bool("fresh", s.starting).Int("all_fresh", e.starting).Int("all", e.runs).
		Bool("sure", c.confirmed).Int("together", e.correlated).Dur("unobserved", e.unobserved).Msg("worker crashed while running a task")
	return true
}

// countCorrelated records the crash of a worker, and returns how many workers became unresponsive
// together with it: some have crashed, others may have.
func (p *Pool) countCorrelated(w *workerState, now time.Time) int {
	at := w.unresponsiveSince
	if at.IsZero() {
		at = now
	}
	n := 1
	near := func(o time.Time) bool { return o.Sub(at).Abs() < correlationWindow }
	maps.DeleteFunc(p.recentCrashes, func(_ worker.Incarnation, o time.Time) bool { return now.Sub(o) > crashRetention })
	for incarnation, o := range p.recentCrashes {
		if incarnation != w.incarnation() && near(o) {
			n++
		}
	}
	for _, o := range p.workers {
		if _, counted := p.recentCrashes[o.incarnation()]; !counted && o != w && len(o.runs) > 0 && !o.unresponsiveSince.IsZero() && near(o.unresponsiveSince) {
			n++
		}
	}
	p.recentCrashes[w.incarnation()] = at
	return n
}

// failIfCause fails the job of a task if enough workers have crashed under the task for it to be
// considered the cause, and reports whether it did. A run that may not have started does not decide
// this.
func (p *Pool) failIfCause(s suspect, now time.Time) bool {
	t := s.run.task()
	if t.crashCount(s.run.step()) < maxCrashes && (len(t.crashes) < minCrashes || !s.starting || s.run.startedAt.IsZero() || t.crashWeight() < t.failWeight()) {
		return false
	}
	p.increment(crashGivenUp)
	p.finishJob(s.run.job, job.Failed, now, "workers crashed under task "+s.run.name+" as often as is allowed")
	return true
}

// clearOthers clears the tasks that had been running beside a task that was failed for its crashes.
// One that had also just started may have the same fault and stays a suspect.
func (p *Pool) clearOthers(cause *taskState) {
	for _, c := range cause.crashes {
		p.clearCrashWhere(c.worker, func(o crash) bool { return o.weight == 0 }, "explained")
	}
}

// crashedOn reports whether a crash is attributed to a task.
func (t *taskState) crashedOn(incarnation worker.Incarnation) bool {
	return slices.ContainsFunc(t.crashes, func(c crash) bool { return c.worker == incarnation })
}

// suspected reports whether a task may crash the worker that it is started on.
func (t *taskState) suspected() bool {
	return len(t.crashes) >= minCrashes || slices.ContainsFunc(t.crashes, crash.duringStartup)
}

// clearCrash withdraws the crash of a worker: the worker responds, so it was only cut off.
func (p *Pool) clearCrash(incarnation worker.Incarnation) {
	p.clearCrashWhere(incarnation, func(crash) bool { return true }, "its worker responds")
	delete(p.attributed, incarnation)
}

// clearCrashWhere withdraws a worker's crash from the tasks it is attributed to, where matches
// returns true.
func (p *Pool) clearCrashWhere(incarnation worker.Incarnation, matches func(crash) bool, reason string) {
	for _, ref := range p.attributed[incarnation] {
		p.clearCrashOf(incarnation, ref, matches, reason)
	}
}

// clearCrashOf withdraws a worker's crash from one task if it is attributed to it and matches
// returns true.
func (p *Pool) clearCrashOf(incarnation worker.Incarnation, ref job.TaskRef, matches func(crash) bool, reason string) {
	_, t := p.openTask(ref)
	if t == nil || len(t.crashes) == 0 {
		return
	}
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return c.worker == incarnation && matches(c) })
	if len(t.crashes) == before {
		return
	}
	p.markCrashesChanged(ref)
	p.Logger.Info().Str("event", "crash").Str("task", ref.String()).Str("worker", string(incarnation.ID)).Int64("born", incarnation.StartedAt).Int("crashes", len(t.crashes)).
		Str("outcome", "taken back").Str("why", reason).Msg("crash no longer attributed to a task")
}

// confirmCrash records that a worker which was unresponsive until its leases expired has crashed:
// its instance has another incarnation, or it has restarted.
func (p *Pool) confirmCrash(incarnation worker.Incarnation) {
	for _, ref := range p.attributed[incarnation] {
		_, t := p.openTask(ref)
		if t == nil {
			continue
		}
		for i := range t.crashes {
			if t.crashes[i].worker == incarnation {
				t.crashes[i].confirmed = true
			}
		}
		p.markCrashesChanged(ref)
	}
}

// markCrashesChanged marks the crashes attributed to a task as changed.
func (p *Pool) markCrashesChanged(ref job.TaskRef) {
	j := p.jobs[ref.Job]
	j.crashes.changed = true
	p.markDirty(j)
}

// clearIfProven removes the crashes from a long-running task once it has been running long enough.
func (p *Pool) clearIfProven(u *run, now time.Time) {
	t := u.task()
	if len(t.crashes) == 0 || !u.provenBy(now) {
		return
	}
	t.crashes = nil
	p.markCrashesChanged(u.ref)
	p.Logger.Info().Str("event", "crash").Str("task", u.name).Int("run", u.number).Str("worker", string(u.worker.info.ID)).
		Str("outcome", "proven").Msg("task has been running long enough to be cleared of crashing its worker")
}

// pruneAttributed drops the attributed crashes of ended jobs and finished tasks.
func (p *Pool) pruneAttributed() {
	for id, refs := range p.attributed {
		refs = slices.DeleteFunc(refs, func(ref job.TaskRef) bool {
			_, t := p.openTask(ref)
			return t == nil || t.done
		})
		if p.attributed[id] = refs; len(refs) == 0 {
			delete(p.attributed, id)
		}
	}
}

// The counters of a pool.
const (
	crashSuspected = "crash.suspected" // a crash was attributed to a task
	crashGivenUp   = "crash.given-up"  // a job was failed for its crashes

	lostStillRunning = "lost.still-running" // a run that was declared lost was listed as running later
	lostEndedLate    = "lost.ended-late"    // the end of a run that was declared lost was listed and counts

	workerRestarted = "worker.restarted" // a worker has restarted under the same ID
	workerCold      = "worker.cold"      // a worker is slow from its start
	placedCold      = "place.cold"       // a task was placed on a cold worker
	limitHeld       = "limit.held"       // tasks of a customer began to wait for one of its gangs
)

// increment adds one to a counter.
func (p *Pool) increment(counter string) {
	if p.Increment != nil {
		p.Increment(counter)
	}
}
