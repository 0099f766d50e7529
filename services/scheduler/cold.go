// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// A worker that has started, or whose data centre has been under evacuation, may be cold: tasks take
// longer there until it is warm. How much longer is learned. A cold worker gets a share of its capacity
// that grows until it is warm (slow start). Tasks that would be late because of it go to warm workers,
// those that can wait leave these to them.

// slowdown learns by which factor tasks take longer on cold workers than on warm ones. The zero value
// returns the prior.
type slowdown struct{ weight, sum float64 } // of the logarithms of observed factors

// The parameters of the learned slowdown.
const (
	priorSlowdown       = 1.5
	slowdownPriorWeight = 4.0  // observations that the prior counts for
	slowdownMemory      = 0.95 // weight of earlier observations at each new one
	maxSlowdown         = 5.0
	minColdPart         = 0.5  // least part of a run on a cold worker for which it counts as an observation
	minColdWork         = 0.25 // least part of the work of such a run that must have been done while cold
	minQueueRuns        = 4    // least number of run times of a queue from which the time on a warm worker is known
)

// add adds an observed factor.
func (s *slowdown) add(factor float64) {
	s.weight = s.weight*slowdownMemory + 1
	s.sum = s.sum*slowdownMemory + math.Log(min(max(factor, 1/maxSlowdown), 2*maxSlowdown))
}

// factor returns the expected factor, at least 1.
func (s *slowdown) factor() float64 {
	log := (slowdownPriorWeight*math.Log(priorSlowdown) + s.sum) / (slowdownPriorWeight + s.weight)
	return min(max(math.Exp(log), 1), maxSlowdown)
}

// timeFor returns how long a worker takes from now for work that takes the given time on a warm one.
func (w *workerState) timeFor(work time.Duration, now time.Time) time.Duration {
	if !w.info.Cold(now) {
		return work
	}
	factor, cold := w.slowdown.factor(), w.info.WarmAt.Sub(now)
	if all := time.Duration(float64(work) * factor); all <= cold {
		return all
	}
	return cold + work - time.Duration(float64(cold)/factor)
}

// coldTime returns how long a worker has been cold between two times.
func (w *workerState) coldTime(from, until time.Time) time.Duration {
	if from.Before(w.info.ColdSince) {
		from = w.info.ColdSince
	}
	if until.After(w.info.WarmAt) {
		until = w.info.WarmAt
	}
	return max(until.Sub(from), 0)
}

// workDone returns the work that a worker has done between two times, as the time that a warm one takes.
func (w *workerState) workDone(from, until time.Time) time.Duration {
	cold := w.coldTime(from, until)
	if cold == 0 {
		return until.Sub(from)
	}
	return until.Sub(from) - cold + time.Duration(float64(cold)/w.slowdown.factor())
}

// remainingTime returns how long a run that its worker has listed is expected to run on. The start of a
// run of an earlier owner is not known, but how much of its work is done.
func (p *Pool) remainingTime(u *run, now time.Time) time.Duration {
	work, since := p.expectedStepTime(u.job, u.step()), u.startedAt
	if u.restored && !u.step().spec.LongRunning {
		work, since = work*time.Duration(fullPercent-u.percent)/fullPercent, u.progressedAt
	}
	return u.worker.timeFor(work-u.worker.workDone(since, now), now)
}

// effectiveCapacity returns the capacity of a worker with the speed that it has now.
func (w *workerState) effectiveCapacity(now time.Time) job.Size {
	if !w.info.Cold(now) {
		return w.info.Capacity
	}
	return w.info.Capacity.Scale(1 / w.slowdown.factor())
}

// learnRunTime records the run time of a task that is done. One on a cold worker says nothing of the
// time on a warm one, but of how much slower cold ones are.
func (p *Pool) learnRunTime(u *run, now time.Time) {
	took, cold := now.Sub(u.startedAt), u.worker.coldTime(u.startedAt, now)
	if cold == 0 {
		p.recordRunTime(u.job, u.step(), took)
		return
	}
	warm, known := p.knownRunTime(u.job, u.step())
	doneCold := warm - (took - cold)
	if !known || float64(cold) < minColdPart*float64(took) || float64(doneCold) < minColdWork*float64(warm) {
		return
	}
	p.slowdown.add(float64(cold) / float64(doneCold))
	p.Logger.Info().Str("event", "warm-up").Str("task", u.name).Str("worker", string(u.worker.info.ID)).Dur("took", took).Dur("cold", cold).
		Dur("expected_warm", warm).Float64("factor", p.slowdown.factor()).Msg("task done on a cold worker")
}

// knownRunTime returns the run time of a step's tasks on a warm worker, and false if no run has shown it.
func (p *Pool) knownRunTime(j *jobState, s *stepState) (time.Duration, bool) {
	t := p.runTimesByQueue[j.sub.Queue]
	known := s.runTimes.count >= stepSamples || p.runTimesByImage[s.spec.Image] != nil || t != nil && t.count >= minQueueRuns
	return p.expectedStepTime(j, s), known
}

// noteWarmUp records that an entry of a worker states a new warm-up.
func (p *Pool) noteWarmUp(w *workerState, before worker.Worker) {
	if w.info.WarmAt.Equal(before.WarmAt) {
		return
	}
	p.needsPlan = true
	if w.info.ColdSince.Equal(before.ColdSince) {
		return
	}
	w.warmNoted = false
	p.increment(workerCold)
	p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Dur("warm_up", w.info.WarmUp).Float64("factor", p.slowdown.factor()).
		Uint64("revision", w.info.Revision).Msg("worker is cold")
}

// slowStart is the state of slow start in one plan.
type slowStart struct {
	cold      int     // number of cold workers on which tasks may be placed
	meanShare float64 // mean share of all workers, by capacity
	capacity  int     // of these workers, in thousandths of a core
	used      int     // by runs on them, those placed in this plan included
	releases  []release
	claimed   job.Size // size of the tasks that wait for releases
}

// release is capacity of a warm worker that becomes free after a time.
type release struct {
	after time.Duration
	size  job.Size
}

// slowStartLogGap is the least time between two lines about the shares of a pool.
const slowStartLogGap = time.Second

// slowStartStep is the time after which the shares of cold workers are computed again.
const slowStartStep = 250 * time.Millisecond

// beginSlowStart computes the shares of the workers for a plan.
func (p *Pool) beginSlowStart(now time.Time) {
	p.slowStart = slowStart{meanShare: 1}
	shares := 0.0
	for _, w := range p.workers {
		if !w.info.Cold(now) && !w.info.WarmAt.IsZero() && !w.warmNoted {
			w.warmNoted = true
			p.Logger.Info().Str("event", "worker").Str("worker", string(w.info.ID)).Int("runs", len(w.runs)).Dur("cold_for", w.info.WarmAt.Sub(w.info.ColdSince)).
				Msg("worker is warm")
		}
		if !w.schedulable(now) {
			continue
		}
		if w.info.Cold(now) {
			p.slowStart.cold++
		}
		p.slowStart.capacity += w.info.Capacity.CPU
		p.slowStart.used += w.used.CPU
		shares += float64(w.info.Capacity.CPU) * p.ownShare(w, now)
	}
	if p.slowStart.cold == 0 {
		return
	}
	p.slowStart.meanShare = shares / float64(max(p.slowStart.capacity, 1))
	p.schedulePlan(now.Add(slowStartStep), now)
	if now.Sub(p.slowStartLoggedAt) < slowStartLogGap {
		return
	}
	p.slowStartLoggedAt = now
	p.Logger.Info().Str("event", "slow-start").Int("cold", p.slowStart.cold).Int("workers", len(p.workers)).Float64("mean_share", p.slowStart.meanShare).
		Float64("factor", p.slowdown.factor()).Msg("some workers are cold")
}

// ownShare returns the share of a worker by its own warm-up: that of the settings at its start, 1 once it
// is warm.
func (p *Pool) ownShare(w *workerState, now time.Time) float64 {
	return p.Limits.SlowStart + (1-p.Limits.SlowStart)*w.info.Warmth(now)
}

// share returns the part of its capacity that may be used on a worker: its own share against the mean of
// all, so that nothing stays unused where all workers are equally cold.
func (p *Pool) share(w *workerState, now time.Time) float64 {
	if p.slowStart.cold == 0 || !w.info.Cold(now) || p.slowStart.meanShare <= 0 {
		return 1
	}
	return min(p.ownShare(w, now)/p.slowStart.meanShare, 1)
}

// hasRoom reports whether a task fits on a worker beside others that are about to be placed there. On a
// cold worker that is empty, one fits in any case.
func (p *Pool) hasRoom(w *workerState, size, others job.Size, now time.Time) bool {
	size = size.Plus(others)
	if !size.FitsIn(w.free()) {
		return false
	}
	used, share := w.used.Plus(w.orphanSize), p.share(w, now)
	return share >= 1 || used.Plus(others) == job.Size{} || size.FitsIn(w.info.Capacity.Scale(share).Minus(used))
}

// Score terms of a cold worker; its used share, which counts too, is at most 1.
const (
	coldPreference = 1.5 // for a task that can wait
	coldCost       = 1   // for any other task
	slowCost       = 4   // for each time that the task takes longer by its whole run time
)

// patience is how many times the time that a task takes longer on a cold worker its job must be able to
// wait for it to prefer that worker.
const patience = 3

// coldScore returns the effect of the warm-up of a worker on its score for a task. A task that can wait
// prefers cold workers that are used less than the others, by their shares.
func (p *Pool) coldScore(c candidate, w *workerState, now time.Time) float64 {
	if !w.info.Cold(now) {
		return 0
	}
	expected := max(p.expectedStepTime(c.job, c.step), time.Millisecond)
	extra := w.timeFor(expected, now) - expected
	if c.canWait(patience*extra, now) && float64(w.used.CPU) < p.share(w, now)*p.slowStart.meanUse()*float64(w.info.Capacity.CPU) {
		return coldPreference
	}
	return -coldCost - slowCost*float64(extra)/float64(expected)
}

// canWait reports whether a step can begin later by a time without a loss.
func (c candidate) canWait(d time.Duration, now time.Time) bool {
	return c.urgency == overdue || c.urgency == timely && !now.Add(d).After(c.job.latestStart)
}

// meanUse returns the part of the capacity of all workers that is in use.
func (s *slowStart) meanUse() float64 { return float64(s.used) / float64(max(s.capacity, 1)) }

// awaitsWarm reports whether a task waits for a warm worker rather than run on the cold one that was
// chosen: it would be late there, and the capacity of a warm worker is expected to become free in time
// that no task ahead of it waits for.
func (p *Pool) awaitsWarm(c candidate, t *taskState, w *workerState, now time.Time) bool {
	if !w.info.Cold(now) || c.urgency != timely || t.failures > 0 || !c.step.anyWorkerSuits() {
		return false
	}
	expected := p.expectedStepTime(c.job, c.step)
	if c.canWait(w.timeFor(expected, now)-expected, now) {
		return false
	}
	after, found := p.claimRelease(c.step.spec.Reservation(), c.job.latestStart.Sub(now), now)
	if !found {
		return false
	}
	p.schedulePlan(now.Add(after), now)
	if c.step.awaitedWarm {
		return true
	}
	c.step.awaitedWarm = true
	p.Logger.Info().Str("event", "await-warm").Str("job", string(c.job.sub.ID)).Int("step", c.step.ref.Step).Str("worker", string(w.info.ID)).Uint64("batch", p.batch).
		Dur("slack", c.job.latestStart.Sub(now)).Dur("free_after", after).Msg("task waits for a warm worker")
	return true
}

// claimRelease returns when capacity for a task becomes free on warm workers within a time, beside the
// tasks that wait for such capacity already.
func (p *Pool) claimRelease(size job.Size, within time.Duration, now time.Time) (time.Duration, bool) {
	if p.slowStart.releases == nil {
		p.slowStart.releases = p.warmReleases(now)
	}
	claimed, sum := p.slowStart.claimed.Plus(size), job.Size{}
	for _, r := range p.slowStart.releases {
		if r.after > within {
			return 0, false
		}
		if sum = sum.Plus(r.size); claimed.FitsIn(sum) {
			p.slowStart.claimed = claimed
			return r.after, true
		}
	}
	return 0, false
}

// warmReleases returns the capacity that becomes free on warm workers as runs end, the earliest first.
func (p *Pool) warmReleases(now time.Time) []release {
	list := []release{}
	for _, w := range p.workers {
		if w.info.Cold(now) || !w.schedulable(now) {
			continue
		}
		for _, u := range w.runs {
			if u.phase != running || u.orphan || u.startedAt.IsZero() || u.step().spec.LongRunning {
				continue
			}
			if after := p.remainingTime(u, now); after > 0 {
				list = append(list, release{after, u.size})
			}
		}
	}
	slices.SortFunc(list, func(a, b release) int { return cmp.Compare(a.after, b.after) })
	return list
}
