// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// urgency orders what waits: the lower comes first.
type urgency uint8

// The urgencies of steps of one priority.
const (
	lasting urgency = iota // serves users as long as it runs
	last                   // is late, and would soon be of no use any more
	timely                 // can still end within its objective
	late                   // is late and can wait
	overdue                // is of no use any more, but is owed its end
)

// candidate is a step with tasks that wait.
type candidate struct {
	job     *jobState
	step    *stepState
	urgency urgency
}

// Plan begins runs of tasks that wait, as far as there is room. It returns when
// to plan again though nothing changes, the zero time for never.
func (p *Pool) Plan(now time.Time) time.Time {
	p.ExpireLeases(now)
	p.withholdAll(now)
	p.forget(now)
	p.leave(now)
	if !p.moved && (p.wake.IsZero() || now.Before(p.wake)) {
		return p.wake
	}
	p.moved, p.wake = false, time.Time{}
	p.reserved, p.reservedFor = nil, nil
	p.ExpireLeases(now)
	p.withholdAll(now)
	p.sweep()
	p.averageUse(now)
	p.placeAll(p.candidates(now), now)
	p.endWaits(now)
	p.placedCPU = p.usedCPU()
	for _, w := range p.workers {
		p.wakeAt(w.trust.until, now)
		if w.onProbation(now) {
			p.wakeAt(now.Add(holdStep), now)
		}
	}
	p.wakeForAdvice(now)
	return p.wake
}

// wakeAt has the pool planned again at a time that is yet to come.
func (p *Pool) wakeAt(t, now time.Time) {
	if t.After(now) && (p.wake.IsZero() || t.Before(p.wake)) {
		p.wake = t
	}
}

// candidates returns the steps that may run now, the most urgent first.
func (p *Pool) candidates(now time.Time) []candidate {
	var list []candidate
	for _, j := range p.active {
		list = p.stepsOf(j, now, list)
	}
	p.overloaded = p.isOverloaded(list, now)
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.job.queue.Priority, b.job.queue.Priority),
			cmp.Compare(a.rank(p.overloaded), b.rank(p.overloaded)),
			a.turn(b, p.overloaded),
		)
	})
	return list
}

// stepsOf adds a job's steps that may run now.
func (p *Pool) stepsOf(j *jobState, now time.Time, list []candidate) []candidate {
	for n := range j.rounds {
		if j.sub.RepeatCount > 0 && now.Before(p.due(j, n)) {
			p.wakeAt(p.due(j, n), now)
			break
		}
		r := j.openRound(n)
		if r.left == 0 {
			continue
		}
		for i := range r.steps {
			s := &r.steps[i]
			if s.waiting > 0 && r.ready(i) {
				list = append(list, candidate{j, s, j.urgency(s, now)})
			}
		}
	}
	return list
}

// urgency returns how urgent a step is.
func (j *jobState) urgency(s *stepState, now time.Time) urgency {
	if s.spec.LongRunning {
		return lasting
	}
	switch left := j.lastChance().Sub(now); {
	case !now.After(j.latest):
		return timely
	case left > lastMoment:
		return late
	case left >= 0:
		return last
	}
	return overdue
}

// lastMoment is how long before its last chance a late job comes before those
// that are in time: what it waits for may take a second to come.
const lastMoment = 1200 * time.Millisecond

// lastChance returns when a job must go on at the latest to be of use though it
// is late.
func (j *jobState) lastChance() time.Time { return j.latest.Add((lateTimes - 1) * j.aim) }

// slack returns how long a job can wait and still end within its objective, or
// where that is over, and earn a little.
func (j *jobState) slack(now time.Time) time.Duration {
	slack := j.latest.Sub(now)
	if slack < 0 {
		slack += (lateTimes - 1) * j.aim
	}
	return slack
}

// place begins runs of a step's waiting tasks on the workers that suit them
// best.
func (p *Pool) place(c candidate, now time.Time) {
	if c.step.spec.Gang {
		p.placeGang(c, now)
		return
	}
	for i := range c.step.tasks {
		t := &c.step.tasks[i]
		if t.done || len(t.runs) > 0 {
			continue
		}
		if !p.allows(c, 1, now) {
			return
		}
		if now.Before(t.notBefore) {
			p.wakeAt(t.notBefore, now)
			continue
		}
		w := p.choose(c, t, now, nil)
		if w == nil && t.fails == 0 && !t.suspected() {
			return
		}
		if w == nil {
			p.wakeAt(t.suspectSince.Add(apartMost), now)
			p.wakeAt(t.failedAt.Add(lastPatience), now)
			continue
		}
		u := p.plan(c.job, c.step, i, w, now)
		p.logPlaced(c, u, now)
	}
}

// allows reports whether so many tasks of a step may begin together by their customer's
// allowance.
func (p *Pool) allows(c candidate, tasks int, now time.Time) bool {
	size := c.step.spec.Size.Times(tasks)
	if p.lets(c.job.sub.Customer, size) {
		return true
	}
	p.waitsAtLimit(c.job, size, now)
	return false
}

func (p *Pool) logPlaced(c candidate, u *run, now time.Time) {
	room := u.at.room()
	p.Logger.Info().Str("event", "place").Str("task", u.name).Int("run", u.number).Str("worker", string(u.at.info.ID)).
		Uint64("batch", p.batch).Uint8("urgency", uint8(c.urgency)).Dur("slack", c.job.latest.Sub(now)).
		Int("free_cpu", room.CPU).Int("free_memory_mb", room.MemoryMB).Dur("heard", now.Sub(u.at.clockAt)).Msg("a task is placed")
}

// choose returns the worker that suits a task of a step best, nil where none
// has room. Workers for which skip returns true are passed over.
func (p *Pool) choose(c candidate, t *taskState, now time.Time, skip func(*workerState) bool) *workerState {
	var best *workerState
	var bestScore float64
	for _, w := range p.workers {
		if !p.suits(c.step, w, now) || skip != nil && skip(w) || w.trust.onTrial && t.risky(c.job) {
			continue
		}
		if t.spares(w, c.job, now) || t.endangers(w, now) {
			continue
		}
		score := p.score(c.step, w) - t.mistrust(w) - t.risk(w)
		if best == nil || score > bestScore || score == bestScore && w.info.ID < best.info.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// suits reports whether a task of a step may run on a worker now.
func (p *Pool) suits(s *stepState, w *workerState, now time.Time) bool {
	switch {
	case !w.open(now), !s.spec.Reservation().FitsIn(w.room()):
		return false
	case !s.admits(w, now):
		return false
	case p.reserved[w] && p.reservedFor != s && !s.spec.LongRunning:
		return false
	case s.spec.Label != "" && !w.info.HasLabel(s.spec.Label):
		return false
	case s.spec.MaxPerWorker > 0 && s.perHost[w] >= s.spec.MaxPerWorker:
		return false
	}
	return true
}

// What counts for a worker, against the share of it that is in use, which is 1
// at most.
const (
	nearData     = 4 // being near the task's data
	lastingThere = 2 // for a task that lasts, that others run there that do
)

// score says how well a worker suits a task; the higher the better. Workers are
// filled one after the other, so that others are empty and can be maintained or
// serve another pool.
func (p *Pool) score(s *stepState, w *workerState) float64 {
	score := float64(w.used.CPU)/float64(max(w.info.Capacity.CPU, 1)) + s.shareScore(w)
	if s.spec.Rack != "" && w.info.HasLabel(s.spec.Rack) {
		score += nearData
	}
	if s.spec.LongRunning && w.lasting > 0 && !servesUsers(s.spec) {
		score += lastingThere
	}
	return score
}

// placeGang begins all tasks of a gang or none: on one rack where they are slow
// otherwise and one has the room, else wherever there is room.
func (p *Pool) placeGang(c candidate, now time.Time) {
	if c.step.waiting < len(c.step.tasks) {
		return
	}
	for i := range c.step.tasks {
		if now.Before(c.step.tasks[i].notBefore) {
			return
		}
	}
	if !p.allows(c, len(c.step.tasks), now) {
		return
	}
	var chosen []*workerState
	if c.step.spec.SameRack {
		for _, rack := range p.racks() {
			if chosen = p.seats(c, now, rack); chosen != nil {
				break
			}
		}
	}
	if chosen == nil {
		chosen = p.seats(c, now, "")
	}
	if chosen == nil {
		p.reserve(c, now)
		return
	}
	number := 0
	for i := range c.step.tasks {
		number = max(number, c.step.tasks[i].number)
	}
	for i, w := range chosen {
		c.step.tasks[i].number = number // the members of a gang share the number
		p.logPlaced(c, p.plan(c.job, c.step, i, w, now), now)
	}
}

// reserve keeps workers free for a gang that waits, so that room for all of it
// comes together: nothing else is placed there in this plan. One gang at a time
// has that right, the most urgent one.
func (p *Pool) reserve(c candidate, now time.Time) {
	if p.reservedFor != nil || c.urgency == timely && now.Sub(c.job.accepted) < gangPatience {
		return
	}
	p.reservedFor = c.step
	p.reserved = make(map[*workerState]bool)
	room := c.step.spec.Reservation()
	left := len(c.step.tasks)
	for _, w := range p.byRoom() {
		if left <= 0 {
			return
		}
		fits := p.wouldFit(c.step, w, room, now)
		if fits > 0 {
			p.reserved[w] = true
			left -= fits
		}
	}
}

// gangPatience is how long a gang that can be in time waits for room before
// workers are kept free for it.
const gangPatience = time.Second

// byRoom returns the workers, those with the most room first.
func (p *Pool) byRoom() []*workerState {
	list := slices.Collect(maps.Values(p.workers))
	slices.SortFunc(list, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(b.room().CPU, a.room().CPU), cmp.Compare(a.info.ID, b.info.ID))
	})
	return list
}

// wouldFit returns how many tasks of a step a worker takes once nothing but tasks
// that last runs there.
func (p *Pool) wouldFit(s *stepState, w *workerState, room job.Size, now time.Time) int {
	if !w.open(now) || s.spec.Label != "" && !w.info.HasLabel(s.spec.Label) {
		return 0
	}
	free := w.info.Capacity
	for _, u := range w.runs {
		if !u.stray && u.step().spec.LongRunning {
			free = free.Minus(u.room)
		}
	}
	fits := 0
	for room.Times(fits+1).FitsIn(free) && (s.spec.MaxPerWorker == 0 || fits < s.spec.MaxPerWorker) && fits < len(s.tasks) {
		fits++
	}
	return fits
}

// racks returns the racks of the workers, in order.
func (p *Pool) racks() []string {
	var racks []string
	for _, w := range p.workers {
		racks = append(racks, w.info.Rack())
	}
	slices.Sort(racks)
	return slices.Compact(racks)
}

// seats returns a worker for each task of a gang, on a rack unless that is "",
// nil where they do not all fit.
func (p *Pool) seats(c candidate, now time.Time, rack string) []*workerState {
	taken := make(map[*workerState]job.Size)
	count := make(map[*workerState]int)
	chosen := make([]*workerState, 0, len(c.step.tasks))
	room := c.step.spec.Reservation()
	for i := range c.step.tasks {
		w := p.choose(c, &c.step.tasks[i], now, func(w *workerState) bool {
			most := c.step.spec.MaxPerWorker
			return rack != "" && !w.info.HasLabel(rack) || most > 0 && c.step.perHost[w]+count[w] >= most ||
				!room.Plus(taken[w]).FitsIn(w.room())
		})
		if w == nil {
			return nil
		}
		taken[w] = taken[w].Plus(room)
		count[w]++
		chosen = append(chosen, w)
	}
	return chosen
}
