// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// urgency orders waiting steps: lower values are placed first.
type urgency uint8

// The urgencies of steps of one priority.
const (
	longRunning urgency = iota // serves users as long as it runs
	expiring                   // late, and soon of no value any more
	timely                     // can still end within its objective
	late                       // late, but can wait
	overdue                    // of no value any more, but must still be completed
)

// candidate is a step with waiting tasks.
type candidate struct {
	job     *jobState
	step    *stepState
	urgency urgency
}

// Plan starts runs of waiting tasks as far as there is capacity. It returns when to plan again if
// nothing changes, the zero time for never.
func (p *Pool) Plan(now time.Time) time.Time {
	p.plannedAt = now
	p.ExpireLeases(now)
	p.withholdAll(now)
	p.reviewHeld(now)
	p.forgetEndedJobs(now)
	p.dropStaleHealth(now)
	p.emptyWorkers(now)
	p.endLastEjection(now)
	if !p.needsPlan && (p.planAt.IsZero() || now.Before(p.planAt)) {
		return p.planAt
	}
	p.needsPlan, p.planAt = false, time.Time{}
	p.work.Plans++
	p.noRoom, p.noWorker, p.ahead.noRoom = nil, nil, nil
	p.reservation.clear()
	p.reach = reach{}
	p.ExpireLeases(now)
	p.withholdAll(now)
	p.pruneActive()
	p.updateUsage(now)
	p.beginSlowStart(now)
	list, placed := p.candidates(now), p.work.Placed
	p.holdForGangs(list, now)
	p.findFallbacks(list, now)
	p.room = newPlanRoom(p, list, now)
	p.placeAll(list, now)
	p.room = nil
	p.replanForLeft(p.work.Placed > placed, now)
	p.endIdleReservation(now)
	p.endWaiting(now)
	p.logWaiting(list, now)
	p.placedCPU = p.usedCPU()
	for _, w := range p.workers {
		p.schedulePlan(w.health.ejectedUntil, now)
		if w.onProbation(now) {
			p.schedulePlan(now.Add(probationReplanInterval), now)
		}
	}
	p.endLastEjection(now)
	p.scheduleAdvice(now)
	p.scheduleSilent(now)
	return p.planAt
}

// schedulePlan schedules another plan at a future time.
func (p *Pool) schedulePlan(t, now time.Time) {
	if t.After(now) && (p.planAt.IsZero() || t.Before(p.planAt)) {
		p.planAt = t
	}
}

// candidates returns the steps that may run now, the most urgent first.
func (p *Pool) candidates(now time.Time) []candidate {
	var list []candidate
	p.left = false
	for _, j := range p.active {
		list = p.runnableSteps(j, now, list)
	}
	p.overloaded = p.detectOverload(list, now)
	overloaded := p.overloaded && !(p.KeepsPlaces() && p.fleetKnown(now))
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.job.queue.Priority, b.job.queue.Priority),
			cmp.Compare(a.rank(overloaded), b.rank(overloaded)),
			a.compareInRank(b, overloaded),
		)
	})
	return list
}

// runnableSteps appends the steps of a job that may run now.
func (p *Pool) runnableSteps(j *jobState, now time.Time, list []candidate) []candidate {
	p.openDue(j, now)
	var alike []int // steps of which no task has been started, by number
	for n, r := range j.openRounds() {
		if j.sub.RepeatCount > 0 && now.Before(p.due(j, n)) {
			continue
		}
		for i := range r.steps {
			s := &r.steps[i]
			if s.waiting == 0 || !r.ready(i) {
				continue
			}
			if j.opened > maxAlike && s.untouched() {
				if alike == nil {
					alike = make([]int, len(r.steps))
				}
				if alike[i]++; alike[i] > maxAlike {
					p.left = true
					continue
				}
			}
			list = append(list, candidate{j, s, j.urgency(s, now)})
		}
	}
	return list
}

// urgency returns how urgent a step is.
func (j *jobState) urgency(s *stepState, now time.Time) urgency {
	if s.spec.LongRunning {
		return longRunning
	}
	switch remaining := j.latestUsefulStart().Sub(now); {
	case !now.After(j.latestStart):
		return timely
	case remaining > expiringMargin:
		return late
	case remaining >= 0:
		return expiring
	}
	return overdue
}

// expiringMargin is how long before its last useful start a late job is placed ahead of those that
// are in time: the capacity that it waits for may take a second to become free.
const expiringMargin = 1200 * time.Millisecond

// latestUsefulStart returns the latest time at which a late job must continue to be of any value.
func (j *jobState) latestUsefulStart() time.Time {
	return j.latestStart.Add((maxLateFactor - 1) * j.objective)
}

// slack returns how long a job can wait and still end within its objective, or, once that is
// missed, still be of some value.
func (j *jobState) slack(now time.Time) time.Duration {
	slack := j.latestStart.Sub(now)
	if slack < 0 {
		slack += (maxLateFactor - 1) * j.objective
	}
	return slack
}

// place starts runs of a step's waiting tasks on the workers that suit them best.
func (p *Pool) place(c candidate, now time.Time) {
	if p.noWorker[c.step.spec] && c.step.untouched() {
		return
	}
	if c.step.spec.Gang {
		p.placeGang(c, now)
		return
	}
	for i := c.step.firstOpen; i < c.step.count() && c.step.waiting > 0; i++ {
		t := c.step.peek(i)
		if t.done || len(t.runs) > 0 || t.untouched() && c.job.hasManyBegun() {
			continue
		}
		if !p.withinAllowance(c, 1, now) {
			return
		}
		if now.Before(t.notBefore) {
			p.schedulePlan(t.notBefore, now)
			continue
		}
		w := p.takeClaim(c.step, now)
		if w == nil || !p.canRun(c.step, w, now) {
			w = p.chooseWorker(c, t, now, nil)
		}
		if w == nil && p.placeAhead(c, i, now) {
			continue
		}
		if w == nil && t.failures == 0 && !t.suspected() {
			p.noteNoWorker(c.step)
			return
		}
		if w == nil {
			p.schedulePlan(t.suspectSince.Add(maxSeparation), now)
			p.schedulePlan(t.failedAt.Add(retryElsewhereDelay), now)
			continue
		}
		if p.awaitsWarm(c, t, w, now) {
			continue
		}
		u := p.planRun(c.job, c.step, i, w, now)
		p.slowStart.used += u.size.CPU
		p.logPlacement(c, u, now)
	}
}

// withinAllowance reports whether the customer's allowance permits this many tasks of a step to
// start together.
func (p *Pool) withinAllowance(c candidate, tasks int, now time.Time) bool {
	size, customer := c.step.spec.Size.Times(tasks), c.job.sub.Customer
	held := p.allowances.heldFor[customer]
	if (held == nil || held == c.step || c.step.spec.LongRunning) && p.allowsStart(customer, size) {
		c.step.limitedSince, c.step.holds = time.Time{}, 0
		return true
	}
	if c.step.spec.Gang && c.step.limitedSince.IsZero() && !p.paused(customer) {
		c.step.limitedSince = now
	}
	p.noteWaiting(c.job, size, now)
	return false
}

func (p *Pool) logPlacement(c candidate, u *run, now time.Time) {
	free := u.worker.free()
	e := p.Logger.Info()
	if u.worker.info.Cold(now) {
		e = e.Bool("cold", true)
		p.increment(placedCold)
	}
	if u.held {
		e = e.Bool("ahead", true)
	}
	if u.worker.health.onTrial {
		e = e.Bool("trial", true)
	}
	if now.Before(u.worker.health.ejectedUntil) {
		e = e.Bool("fallback", true)
		p.increment(placedFallback)
	}
	if u.generation != beforeCordon {
		e = e.Bool("cordoned", true)
		p.increment(placedEmptying)
	}
	e.Str("event", "place").Str("task", u.name).Int("run", u.number).Str("worker", string(u.worker.info.ID)).
		Uint64("batch", p.batch).Uint8("urgency", uint8(c.urgency)).Dur("slack", c.job.latestStart.Sub(now)).
		Int("free_cpu", free.CPU).Int("free_memory_mb", free.MemoryMB).Dur("heard", now.Sub(u.worker.clockAt)).Msg("task placed")
}

// chooseWorker returns the best worker for a task of a step, nil if none has capacity. Workers for
// which skip returns true are excluded.
func (p *Pool) chooseWorker(c candidate, t *taskState, now time.Time, skip func(*workerState) bool) *workerState {
	var best *workerState
	if !p.noRoomFor(c.step) {
		best = p.bestOf(p.workersWithRoom(), c, t, now, skip)
		if best == nil && skip == nil && t.failures == 0 && !t.suspected() && !t.onLastAttempt(c.job) {
			p.noteNoRoom(c.step)
		}
	}
	if best == nil && len(p.fallbacks) > 0 {
		best = p.bestOf(slices.Values(p.fallbacks), c, t, now, skip)
	}
	if best == nil && len(p.cordons) > 0 {
		best = p.bestOf(p.emptyingWorkers(now), c, t, now, skip)
	}
	return best
}

// bestOf returns the best of some workers for a task of a step, nil if none has capacity.
func (p *Pool) bestOf(workers iter.Seq[*workerState], c candidate, t *taskState, now time.Time, skip func(*workerState) bool) *workerState {
	var best *workerState
	var bestScore float64
	elsewhere, noTrial, last := p.retriesElsewhere(c, t, now), p.avoidsTrials(c, t, now), t.onLastAttempt(c.job)
	for w := range workers {
		p.work.Examined++
		if !p.canRun(c.step, w, now) || skip != nil && skip(w) || noTrial && w.health.onTrial || last && p.sparesLastAttempt(c.step, t, w, now) {
			continue
		}
		if elsewhere && slices.Contains(t.failedOn, w.info.ID) || t.keepApart(w, now) || p.yieldsTrial(c.job, w, now) {
			continue
		}
		score := p.score(c.step, w) + p.coldScore(c, w, now) - t.failureCost(w) - t.suspectCost(w)
		if best == nil || score > bestScore || score == bestScore && w.info.ID < best.info.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// anyWorkerSuits reports whether only free capacity decides where a step's tasks may run.
func (s *stepState) anyWorkerSuits() bool {
	return s.spec.Label == "" && s.spec.MaxPerWorker == 0 && !s.spec.LongRunning && s.job.queue.Advice == nil
}

// noteNoRoom records that no worker has the capacity for a task of a step, for the rest of the plan, in
// which capacity only shrinks.
func (p *Pool) noteNoRoom(s *stepState) {
	if s.anyWorkerSuits() && p.reservation.step != s && !p.endsBeforeReservation(s) {
		p.noRoom = append(p.noRoom, s.spec.Reservation())
	}
}

// noteNoWorker records that no worker takes a task of a step, for the rest of the plan: none takes one of the same step in
// another round then, unless each has workers of its own.
func (p *Pool) noteNoWorker(s *stepState) {
	if s.job.opened == 1 || s.spec.LongRunning || s.job.queue.Advice != nil || s.spec.MaxPerWorker > 0 && !s.untouched() {
		return
	}
	if p.noWorker == nil {
		p.noWorker = make(map[*job.Step]bool)
	}
	p.noWorker[s.spec] = true
}

// noRoomFor reports whether the plan has found before that no worker has the capacity for a task that
// needs no more than one of this step. Otherwise each of many waiting steps would look at each worker.
func (p *Pool) noRoomFor(s *stepState) bool {
	if s.spec.LongRunning || p.reservation.step == s || p.endsBeforeReservation(s) {
		return false // they may use reserved workers
	}
	size := s.spec.Reservation()
	return slices.ContainsFunc(p.noRoom, func(o job.Size) bool { return o.FitsIn(size) })
}

// canRun reports whether a task of a step may run on a worker now.
func (p *Pool) canRun(s *stepState, w *workerState, now time.Time) bool {
	switch {
	case !s.permits(w, now), !p.hasRoom(w, s.spec.Reservation(), job.Size{}, now), !p.takesTasks(s, w, now):
		return false
	case p.reservation.keeps(w, s) && !p.endsBeforeReservation(s):
		p.reservation.blocks = true
		return false
	case len(w.held) > 0 && !s.spec.LongRunning && !s.spec.Reservation().FitsIn(w.free().Minus(w.heldFor(s.job.queue.Priority))):
		return false
	case s.spec.MaxPerWorker > 0 && s.runsByWorker[w] >= s.spec.MaxPerWorker:
		return false
	}
	return true
}

// suits reports whether a worker may run tasks of a step, with enough free capacity.
func (s *stepState) suits(w *workerState, now time.Time) bool {
	return w.schedulable(now) && s.permits(w, now)
}

// permits reports whether the label of a step and its queue's policy permit it on a worker.
func (s *stepState) permits(w *workerState, now time.Time) bool {
	return s.allowedOn(w, now) && s.labelOn(w)
}

// labelOn reports whether a worker has the label that a step needs, if it needs one.
func (s *stepState) labelOn(w *workerState) bool {
	return s.spec.Label == "" || w.info.HasLabel(s.spec.Label)
}

// Score bonuses of a worker; its used share, which counts too, is at most 1.
const (
	dataLocalityBonus = 4 // the worker is near the task's data
	longRunningBonus  = 2 // for a long-running task on a worker that runs others
)

// score rates how well a worker suits a task; higher is better. Workers are filled one after the
// other, so that others become empty and can be maintained or serve another pool.
func (p *Pool) score(s *stepState, w *workerState) float64 {
	score := float64(w.used.CPU)/float64(max(w.info.Capacity.CPU, 1)) + s.sharingScore(w)
	if s.spec.Rack != "" && w.info.HasLabel(s.spec.Rack) {
		score += dataLocalityBonus
	}
	if s.spec.LongRunning && w.longRunningRuns > 0 && !servesUsers(s.spec) {
		score += longRunningBonus
	}
	return score
}

// placeGang starts all tasks of a gang or none. If the step is slower across racks, it prefers one
// rack with enough capacity, and falls back to any workers.
func (p *Pool) placeGang(c candidate, now time.Time) {
	s := c.step
	if s.waiting < s.count() {
		return
	}
	number := 0
	for _, t := range s.states {
		if now.Before(t.notBefore) {
			return
		}
		number = max(number, t.number)
	}
	if !p.withinAllowance(c, s.count(), now) {
		return
	}
	var chosen []*workerState
	if c.step.spec.SameRack {
		for _, rack := range p.racks() {
			if chosen = p.gangWorkers(c, now, rack); chosen != nil {
				break
			}
		}
	}
	if chosen == nil {
		chosen = p.gangWorkers(c, now, "")
	}
	if chosen == nil && len(p.cordons) > 0 {
		chosen = p.gangWorkersEmptying(c, now)
	}
	if chosen == nil {
		p.reserveForGang(c, now)
		p.noteNoWorker(s)
		return
	}
	for i, w := range chosen {
		s.task(i).number = number // the members of a gang share the number
		p.logPlacement(c, p.planRun(c.job, s, i, w, now), now)
	}
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

// gangWorkers returns a worker for each task of a gang, on the given rack unless that is "", nil if
// they do not all fit.
func (p *Pool) gangWorkers(c candidate, now time.Time, rack string) []*workerState {
	taken := make(map[*workerState]job.Size)
	count := make(map[*workerState]int)
	chosen := make([]*workerState, 0, c.step.count())
	size := c.step.spec.Reservation()
	for i := range c.step.count() {
		w := p.chooseWorker(c, c.step.peek(i), now, func(w *workerState) bool {
			limit := c.step.spec.MaxPerWorker
			return rack != "" && !w.info.HasLabel(rack) || limit > 0 && c.step.runsByWorker[w]+count[w] >= limit ||
				!p.hasRoom(w, size, taken[w], now)
		})
		if w == nil {
			return nil
		}
		taken[w] = taken[w].Plus(size)
		count[w]++
		chosen = append(chosen, w)
	}
	return chosen
}
