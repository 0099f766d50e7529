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

// A worker that crashes takes all its runs along and lists no end of any. One of them
// may be the cause, and would crash the next worker as well; those beside it are not,
// and are owed their end. So each task keeps which workers have crashed under it, for
// whoever owns the pool. A suspect is begun where least is lost with it, apart from
// other suspects, and nothing is begun beside it until it is seen at work: its second
// crash then tells it from the others. Its job is given up soon enough that starts which
// an owner did not hear of have room below the users' bound, two starts after the third
// crash.

// The bounds of what is held against a task.
const (
	// crashesLeast is after how many crashes a task is given up at the earliest, as the
	// users allow.
	crashesLeast = 2
	// weightEnough is which weight of these crashes is enough: once with up to nine others
	// that had just begun as well, and once as the only one that had.
	weightEnough = 1.1
	// unseenWeight is what a crash weighs that may have been a cut, against one that is
	// sure, and what the beginning of a run weighs that was not answered.
	unseenWeight = 0.5
	// unknownWeight marks a crash under a run of which it is not known for how long it had been
	// at work: it was taken over, and its worker has not answered since.
	unknownWeight = 0.001
	// crashesMost is after how many crashes any task is given up.
	crashesMost = 4
	// freshTime is until when a run may be what has crashed its worker, rather than one
	// beside it: a task that does so does it as it starts, in some ten milliseconds where
	// it was measured. As long must a suspect be seen at work before others are begun
	// beside it.
	freshTime = 100 * time.Millisecond
	// provenTime is how long a task that lasts must be at work to be held to crash no
	// worker: what crashes later is begun again, as it is owed for a whole day.
	provenTime = 3 * time.Second
	// togetherTime is within which time workers that went silent may have a rack, a switch
	// or a data centre as their one cause, rather than a task each.
	togetherTime = time.Second
	// downsKept is how long it may take until all crashes of one moment are known.
	downsKept = 15 * time.Second
)

// crash is a worker that has crashed under a task, as far as is known.
type crash struct {
	worker worker.Incarnation
	weight float64 // how likely the task was the cause, of 1: a share of what had just begun; 0 for one that had not
	sure   bool    // the instance has another life; else its worker was silent until its leases were over
}

// fresh reports whether the task had just begun.
func (c crash) fresh() bool { return c.weight > unknownWeight }

// weigh returns how much all crashes under a task weigh.
func (t *taskState) weigh() float64 {
	sum := 0.0
	for _, c := range t.crashes {
		if c.sure {
			sum += c.weight
		} else {
			sum += c.weight * unseenWeight
		}
	}
	return sum
}

// lifeEnd is how a worker's life has ended.
type lifeEnd uint8

// The ends of a life.
const (
	endedByOrder lifeEnd = iota // its instance was moved or maintained
	endedItself                 // it has left, or crashed
	endedUnseen                 // it was silent for so long that its leases are over
)

// suspect is a task under which a worker may have crashed.
type suspect struct {
	run   *run
	fresh bool
}

// suspects returns the runs that a worker has begun, or may have, at its life's end:
// none where it has left as planned or was taken down by an order.
func (p *Pool) suspects(w *workerState, how lifeEnd) []suspect {
	if how == endedByOrder || w.info.Draining || w.lingers {
		return nil
	}
	var list []suspect
	for _, u := range w.runs {
		if u.stray || !u.sent && !u.restored || u.provenBy(w.heardAt) {
			continue
		}
		list = append(list, suspect{u, u.isFresh(w.heardAt)})
	}
	return list
}

// isFresh reports whether a run had just begun, or may have, when its worker was heard of
// last. For how long one that was taken over had been at work is not known.
func (u *run) isFresh(heard time.Time) bool {
	if u.began.IsZero() {
		return !u.restored
	}
	return heard.Sub(u.began) < freshTime
}

// provenBy reports whether a run of a task that lasts had been at work for so long that
// it is not held to crash its worker.
func (u *run) provenBy(at time.Time) bool {
	return u.step().spec.LongRunning && u.percent >= fullPace && !u.began.IsZero() && at.Sub(u.began) >= provenTime
}

// blame holds a crash against the tasks of a worker, and gives up those that have
// crashed too many. Their runs are over. Where one under which others have crashed had
// just begun, those that had been at work are not suspected.
func (p *Pool) blame(w *workerState, list []suspect, how lifeEnd, now time.Time) {
	if len(list) == 0 {
		return
	}
	e := event{at: w, sure: how == endedItself, runs: len(list), together: p.downTogether(w, now)}
	explained := false
	for _, s := range list {
		if s.fresh {
			e.fresh++
			explained = explained || len(s.run.task().crashes) > 0
		}
	}
	var culprits []*taskState
	for _, s := range list {
		if explained && !s.fresh {
			continue
		}
		if p.hold(s, e, now) && p.convict(s, now) {
			culprits = append(culprits, s.run.task())
		}
	}
	for _, t := range culprits {
		p.explain(t)
	}
}

// event is one crash of a worker.
type event struct {
	at       *workerState
	sure     bool
	runs     int // that the worker had
	fresh    int // of them, those that had just begun
	together int // workers that went silent together
}

// hold holds a crash against a task, and reports whether it did: not for one that is done,
// or twice.
func (p *Pool) hold(s suspect, e event, now time.Time) bool {
	t, j, life := s.run.task(), s.run.job, e.at.life()
	if j.state.Final() || t.done || t.crashedOn(life) {
		return false
	}
	c := crash{worker: life, sure: e.sure}
	switch {
	case s.fresh && s.run.began.IsZero():
		c.weight = unseenWeight / float64(e.fresh*e.together)
	case s.fresh:
		c.weight = 1 / float64(e.fresh*e.together)
	case s.run.began.IsZero():
		c.weight = unknownWeight
	}
	t.crashes = append(t.crashes, c)
	t.suspectSince = now
	p.blamed[life] = append(p.blamed[life], s.run.ref)
	p.crashesChange(s.run.ref)
	p.count(crashSuspected)
	p.Logger.Info().Str("event", "crash").Str("task", s.run.name).Int("run", s.run.number).Str("worker", string(life.ID)).Int64("born", life.StartedAt).
		Int("crashes", len(t.crashes)).Float64("weight", t.weigh()).Bool("fresh", s.fresh).Int("all_fresh", e.fresh).Int("all", e.runs).
		Bool("sure", c.sure).Int("together", e.together).Msg("a worker has crashed under a task")
	return true
}

// downTogether notes that a worker has crashed, and returns how many went silent when it
// did: some have crashed, of others it is not known yet.
func (p *Pool) downTogether(w *workerState, now time.Time) int {
	at := w.silent
	if at.IsZero() {
		at = now
	}
	n := 1
	near := func(o time.Time) bool { return o.Sub(at).Abs() < togetherTime }
	maps.DeleteFunc(p.downs, func(_ worker.Incarnation, o time.Time) bool { return now.Sub(o) > downsKept })
	for life, o := range p.downs {
		if life != w.life() && near(o) {
			n++
		}
	}
	for _, o := range p.workers {
		if _, counted := p.downs[o.life()]; !counted && o != w && len(o.runs) > 0 && !o.silent.IsZero() && near(o.silent) {
			n++
		}
	}
	p.downs[w.life()] = at
	return n
}

// convict gives a task's job up where so many workers have crashed under it that it is
// held to be their cause, and reports whether it did. A run that may not have begun is not
// what decides.
func (p *Pool) convict(s suspect, now time.Time) bool {
	t := s.run.task()
	n := len(t.crashes)
	if n < crashesMost && (n < crashesLeast || !s.fresh || s.run.began.IsZero() || t.weigh() < weightEnough) {
		return false
	}
	p.count(crashGivenUp)
	p.finish(s.run.job, job.Failed, now, "workers have crashed under task "+s.run.name+" as often as is allowed")
	return true
}

// explain takes the crashes of a task that was given up back from those that had been
// at work beside it. One that had just begun as well may do the same, and stays suspected.
func (p *Pool) explain(culprit *taskState) {
	for _, c := range culprit.crashes {
		p.takeBack(c.worker, func(o crash) bool { return o.weight == 0 }, "explained")
	}
}

// crashedOn reports whether a crash is held against a task.
func (t *taskState) crashedOn(life worker.Incarnation) bool {
	return slices.ContainsFunc(t.crashes, func(c crash) bool { return c.worker == life })
}

// suspected reports whether a task may crash the worker that it is begun on.
func (t *taskState) suspected() bool {
	return len(t.crashes) >= crashesLeast || slices.ContainsFunc(t.crashes, crash.fresh)
}

// acquit takes a worker's crash back: it has answered, so it was only cut off.
func (p *Pool) acquit(life worker.Incarnation) {
	p.takeBack(life, func(crash) bool { return true }, "its worker answers")
	delete(p.blamed, life)
}

// takeBack takes a worker's crash back from the tasks it is held against, where allowed.
func (p *Pool) takeBack(life worker.Incarnation, allowed func(crash) bool, why string) {
	for _, ref := range p.blamed[life] {
		p.takeBackOf(life, ref, allowed, why)
	}
}

// takeBackOf takes a worker's crash back from one task, where it is held against that and allowed.
func (p *Pool) takeBackOf(life worker.Incarnation, ref job.TaskRef, allowed func(crash) bool, why string) {
	_, t := p.open(ref)
	if t == nil {
		return
	}
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return c.worker == life && allowed(c) })
	if len(t.crashes) == before {
		return
	}
	p.crashesChange(ref)
	p.Logger.Info().Str("event", "crash").Str("task", ref.String()).Str("worker", string(life.ID)).Int64("born", life.StartedAt).Int("crashes", len(t.crashes)).
		Str("outcome", "taken back").Str("why", why).Msg("a crash is not held against a task any more")
}

// confirm takes the news that a worker which was silent until its leases were over has
// crashed: its instance has another life, or it has started again.
func (p *Pool) confirm(life worker.Incarnation) {
	for _, ref := range p.blamed[life] {
		_, t := p.open(ref)
		if t == nil {
			continue
		}
		for i := range t.crashes {
			if t.crashes[i].worker == life {
				t.crashes[i].sure = true
			}
		}
		p.crashesChange(ref)
	}
}

// crashesChange marks what is held against a task as changed.
func (p *Pool) crashesChange(ref job.TaskRef) {
	j := p.jobs[ref.Job]
	j.crashesChanged = true
	p.touch(j)
}

// prove forgets the crashes under a task that lasts once it has been at work for long.
func (p *Pool) prove(u *run, now time.Time) {
	t := u.task()
	if len(t.crashes) == 0 || !u.provenBy(now) {
		return
	}
	t.crashes = nil
	p.crashesChange(u.ref)
	p.Logger.Info().Str("event", "crash").Str("task", u.name).Int("run", u.number).Str("worker", string(u.at.info.ID)).
		Str("outcome", "proven").Msg("a task is at work for so long that it is not held to crash its worker")
}

// forgetBlame drops what is kept for acquittals of jobs that have ended.
func (p *Pool) forgetBlame() {
	for id, refs := range p.blamed {
		refs = slices.DeleteFunc(refs, func(ref job.TaskRef) bool {
			_, t := p.open(ref)
			return t == nil || t.done
		})
		if p.blamed[id] = refs; len(refs) == 0 {
			delete(p.blamed, id)
		}
	}
}

// The counters of a pool.
const (
	crashSuspected = "crash.suspected" // a crash was held against a task
	crashGivenUp   = "crash.given-up"  // a job was given up for one

	workerRestarted = "worker.restarted" // a worker has started again under its id
)

// count adds one to a counter.
func (p *Pool) count(counter string) {
	if p.Increment != nil {
		p.Increment(counter)
	}
}
