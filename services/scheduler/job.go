// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// jobState is one job and how far it is.
type jobState struct {
	sub      job.Submission
	queue    config.Queue
	state    job.State
	accepted time.Time
	endedAt  time.Time
	began    bool // one of its tasks has begun
	rounds   []*roundState
	latest   time.Time     // when it must go on at the latest to end within its objective
	aim      time.Duration // its objective
	work     float64       // core-seconds that are left

	failedOn map[worker.ID]bool // workers on which its tasks have failed

	crashesChanged bool // what is held against its tasks is not kept as it is
	crashesStored  bool // something that is held against them is kept, or in the batch under way

	live      int // runs under way
	dirty     bool
	stored    bool   // its submission is kept for good or is in the batch under way
	collected bool   // a batch carries it
	changed   uint64 // batch that carries its newest change
}

// roundState is one time of a job's steps; nil until it is due.
type roundState struct {
	steps []stepState
	left  int // steps that are not done
}

// stepState is a step of one time.
type stepState struct {
	job      *jobState
	ref      job.StepRef
	spec     *job.Step
	tasks    []taskState
	waiting  int // tasks that are not done and have no run
	done     int
	took     mean                 // run times in seconds of its tasks that are done
	perHost  map[*workerState]int // live runs by worker, where their number is limited
	asking   bool                 // a question to the advice service is under way
	askAfter time.Time            // when to ask again
	barred   map[worker.ID]bool   // workers that the advice service has not named; nil before it was asked
}

// taskState is one task.
type taskState struct {
	number     int // of its newest run
	fails      int
	done       bool
	checkpoint string
	runs       []*run // under way
	notBefore  time.Time
	failedOn   []worker.ID // workers on which it has failed
	failedAt   time.Time   // when it did last
	lost       []int       // numbers of runs that were taken for lost and whose end was not heard of

	crashes      []crash   // workers that have crashed under it
	suspectSince time.Time // when the newest of them was noted
}

// ready reports whether the steps that a step follows are done.
func (r *roundState) ready(step int) bool {
	for _, a := range r.steps[step].spec.DependsOn {
		if r.steps[a].done < len(r.steps[a].tasks) {
			return false
		}
	}
	return true
}

// openRound returns a round's state, a fresh one where it has none.
func (j *jobState) openRound(n int) *roundState {
	if j.rounds[n] != nil {
		return j.rounds[n]
	}
	r := &roundState{steps: make([]stepState, len(j.sub.Steps)), left: len(j.sub.Steps)}
	for i := range j.sub.Steps {
		spec := &j.sub.Steps[i]
		r.steps[i] = stepState{
			job:     j,
			ref:     job.StepRef{Job: j.sub.ID, Round: n, Step: i},
			spec:    spec,
			tasks:   make([]taskState, spec.Count),
			waiting: spec.Count,
		}
	}
	j.rounds[n] = r
	return r
}

// open returns a task and its step, nil where there is none, or its job has ended.
func (p *Pool) open(ref job.TaskRef) (*stepState, *taskState) {
	s, t := p.find(ref)
	if t == nil || s.job.state.Final() {
		return nil, nil
	}
	return s, t
}

// find returns a task and its step, nil where there is none.
func (p *Pool) find(ref job.TaskRef) (*stepState, *taskState) {
	j := p.jobs[ref.Job]
	if j == nil || ref.Round >= len(j.rounds) || j.rounds[ref.Round] == nil || ref.Step >= len(j.sub.Steps) {
		return nil, nil
	}
	s := &j.rounds[ref.Round].steps[ref.Step]
	if ref.Index >= len(s.tasks) {
		return nil, nil
	}
	return s, &s.tasks[ref.Index]
}

// runs returns the job's runs under way.
func (j *jobState) runs() []*run {
	var list []*run
	for _, r := range j.rounds {
		if r == nil {
			continue
		}
		for i := range r.steps {
			for t := range r.steps[i].tasks {
				list = append(list, r.steps[i].tasks[t].runs...)
			}
		}
	}
	return list
}

// over reports whether the job has ended and nothing of it runs any more.
func (j *jobState) over() bool { return j.state.Final() && j.live == 0 }

// newJob returns a job's state.
func (p *Pool) newJob(s job.Submission, accepted time.Time) *jobState {
	j := &jobState{
		sub: s, state: job.Queued, accepted: accepted,
		rounds: make([]*roundState, s.Rounds()),
	}
	j.queue = p.queueOf(j)
	return j
}

// Submit takes a job; the batch that is returned carries it. One that is known
// is taken as the same.
func (p *Pool) Submit(s job.Submission, now time.Time) uint64 {
	if j := p.jobs[s.ID]; j != nil {
		p.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Str("outcome", "known").Str("state", string(j.state)).
			Msg("a job that is known came again")
		return j.changed
	}
	j := p.newJob(s, now)
	p.jobs[s.ID] = j
	p.active = append(p.active, j)
	p.weigh(j)
	p.arrive(j, now)
	if !s.HasLongRunning() && s.RepeatCount == 0 {
		p.slack.add(j.latest.Sub(now).Seconds())
	}
	p.touch(j)
	p.moved = true
	p.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Str("queue", s.Queue).Int("steps", len(s.Steps)).
		Str("kinds", s.Features()).Str("customer", s.Customer).Uint64("config", p.version()).Uint64("batch", p.batch).Dur("aim", j.aim).Str("outcome", "taken").Msg("a job was taken")
	return p.batch
}

// CheckAccess returns an error where a job is not known, or is not one that a customer, "" for
// none, may see.
func (p *Pool) CheckAccess(id job.ID, by string) error {
	j := p.jobs[id]
	if j == nil {
		return errkind.New(errkind.Gone, "no job %s", id)
	}
	if !j.sub.AccessibleBy(by) {
		return errkind.New(errkind.Forbidden, "job %s is another customer's than %q", id, by)
	}
	return nil
}

// Has reports whether a job is known.
func (p *Pool) Has(id job.ID) bool { return p.jobs[id] != nil }

// Persisted reports whether a job is known and kept for good.
func (p *Pool) Persisted(id job.ID) bool {
	j := p.jobs[id]
	return j != nil && (j.stored || j.state.Final())
}

// Withdraw takes a job back that no batch carries yet, and reports whether it did.
func (p *Pool) Withdraw(id job.ID) bool {
	j := p.jobs[id]
	if j == nil || j.collected {
		return false
	}
	for _, u := range j.runs() {
		p.release(u) // its order has not gone out, since no batch carries it
	}
	p.dirty = slices.DeleteFunc(p.dirty, func(o *jobState) bool { return o == j })
	p.active = slices.DeleteFunc(p.active, func(o *jobState) bool { return o == j })
	delete(p.jobs, id)
	p.Logger.Info().Str("event", "submit").Str("job", string(id)).Str("outcome", "withdrawn").Msg("a job that was not kept is given back")
	return true
}

func (p *Pool) version() uint64 {
	if p.config == nil {
		return 0
	}
	return p.config.Version
}

// Cancel ends a job; the batch that is returned carries that.
func (p *Pool) Cancel(id job.ID, now time.Time) (uint64, error) {
	j := p.jobs[id]
	if j == nil {
		return 0, errkind.New(errkind.Gone, "no job %s", id)
	}
	if j.state.Final() {
		p.stopAll(j, now, "its caller cancelled it")
		return j.changed, nil
	}
	p.finish(j, job.Cancelled, now, "its caller cancelled it")
	return p.batch, nil
}

// State returns what a caller is told of a job, and false for none such. An
// end is told only once it is kept for good.
func (p *Pool) State(id job.ID) (job.State, bool) {
	j := p.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state.Final() && j.changed > p.committed {
		return job.Running, true
	}
	return j.state, true
}

// Pending returns how many jobs of a queue are kept and have not begun.
func (p *Pool) Pending(queue string) int {
	n := 0
	for _, j := range p.active {
		if j.sub.Queue == queue && !j.began && j.stored {
			n++
		}
	}
	return n
}

// finish ends a job and stops what it still runs.
func (p *Pool) finish(j *jobState, state job.State, now time.Time, why string) {
	j.state = state
	j.endedAt = now
	for _, u := range j.runs() {
		if state != job.Failed || !u.servesOn() {
			p.stop(u, now, "job "+string(state))
		}
	}
	p.touch(j)
	p.ended = append(p.ended, endedJob{j.sub.ID, now.Add(p.Limits.Retention)})
	p.moved = true
	p.forgetBlame()
	p.Logger.Info().Str("event", "job-end").Str("job", string(j.sub.ID)).Str("queue", j.sub.Queue).Str("outcome", string(state)).
		Dur("took", now.Sub(j.accepted)).Dur("aim", j.aim).Str("why", why).Msg("a job has ended")
}

// stopAll stops what a job still runs.
func (p *Pool) stopAll(j *jobState, now time.Time, why string) {
	for _, u := range j.runs() {
		p.stop(u, now, why)
	}
}

// servesOn reports whether a run is of a task of whose step only so many may be away by our
// doing. Such tasks of a job that has failed serve their users until its caller cancels
// it or it is forgotten: the failed one is away for good, so none may be ended beside it.
func (u *run) servesOn() bool {
	s := u.step().spec
	return s.LongRunning && s.MaxUnavailable > 0 && u.phase == running
}

// forget drops the ended jobs that were told of for long enough.
func (p *Pool) forget(now time.Time) {
	for len(p.ended) > 0 && !p.ended[0].at.After(now) {
		if j := p.jobs[p.ended[0].id]; j != nil && j.state.Final() {
			p.stopAll(j, now, "its job is told of no longer")
			if j.live > 0 {
				p.ended = append(p.ended[1:], endedJob{j.sub.ID, now.Add(p.Limits.StopTime + lookRetry)}) // it is looked at again
				continue
			}
			j.state = ""
			p.touch(j)
			delete(p.jobs, j.sub.ID)
		}
		p.ended = p.ended[1:]
	}
}

// sweep drops ended jobs from the active ones.
func (p *Pool) sweep() {
	kept := p.active[:0]
	for _, j := range p.active {
		if !j.state.Final() && j.state != "" {
			kept = append(kept, j)
		}
	}
	clear(p.active[len(kept):])
	p.active = kept
}

// progressed looks whether a step, a round or the job has ended with a task.
func (p *Pool) progressed(j *jobState, ref job.StepRef, now time.Time) {
	r := j.rounds[ref.Round]
	s := &r.steps[ref.Step]
	if s.done < len(s.tasks) {
		return
	}
	r.left--
	p.moved = true
	p.weigh(j)
	p.dropTickets(s)
	if r.left > 0 {
		return
	}
	for n := range j.rounds {
		if j.rounds[n] == nil || j.rounds[n].left > 0 {
			return
		}
	}
	p.finish(j, job.Completed, now, "all tasks are done")
}

// lateTimes is how many times its objective a job may take and still earn a
// little.
const lateTimes = 3

// weigh works out a job's objective, what work is left and until when it must go
// on to end in time.
func (p *Pool) weigh(j *jobState) {
	stretch := j.queue.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	whole, left, work := p.chain(j)
	j.aim = time.Duration(stretch*float64(whole)) + j.queue.BaseObjective
	j.work = work
	begin := j.accepted
	if j.sub.RepeatCount > 0 {
		begin = p.due(j, p.firstOpen(j))
	}
	j.latest = begin.Add(j.aim - left - stepTime)
}

// due returns when a time of a job is due.
func (p *Pool) due(j *jobState, round int) time.Time { return p.Clock.FromWallTime(j.sub.DueAt(round)) }

// stepTime is what passes beside a step's work until its end is told: its run is kept,
// ordered, found ended and that is kept, each in some ten milliseconds, and its time is
// not known exactly. Without it, where more comes than a pool can do and those that can
// wait least come first, all of them end a moment late.
const stepTime = 150 * time.Millisecond

// firstOpen returns the first round that has not ended.
func (p *Pool) firstOpen(j *jobState) int {
	for n, r := range j.rounds {
		if r == nil || r.left > 0 {
			return n
		}
	}
	return 0
}

// chain returns the longest chain of work of a round, what of it is left, and
// the core-seconds that are left.
func (p *Pool) chain(j *jobState) (whole, left time.Duration, work float64) {
	n := len(j.sub.Steps)
	wholes := make([]time.Duration, 2*n)
	lefts := wholes[n:]
	round := j.rounds[p.firstOpen(j)]
	for i := range j.sub.Steps {
		s := &j.sub.Steps[i]
		if s.LongRunning {
			continue
		}
		each := p.expect(j.sub.Queue, s)
		if round != nil {
			each = p.expectStep(j, &round.steps[i])
		}
		for _, a := range s.DependsOn {
			wholes[i] = max(wholes[i], wholes[a])
			lefts[i] = max(lefts[i], lefts[a])
		}
		wholes[i] += each
		open := s.Count
		if round != nil {
			open = s.Count - round.steps[i].done
		}
		if open > 0 {
			lefts[i] += each
			work += float64(open) * each.Seconds() * float64(s.Size.CPU) / 1000
		}
		whole, left = max(whole, wholes[i]), max(left, lefts[i])
	}
	return whole, left, work
}
