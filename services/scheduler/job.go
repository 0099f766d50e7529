// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// jobState is a job and its progress.
type jobState struct {
	sub           job.Submission
	queue         config.Queue
	state         job.State
	accepted      time.Time
	endedAt       time.Time
	started       bool          // one of its tasks has started
	rounds        []*roundState // by number; nil for one that has not been opened
	unbegun       int           // opened rounds of which no task has been started
	opened        int           // rounds that have been opened
	firstOpen     int           // all rounds before it have ended
	nextRound     int           // all rounds before it have been opened
	latestStart   time.Time     // latest time to continue and still finish within the objective
	objective     time.Duration // latency objective of the job
	remainingWork float64       // remaining core-seconds

	failedOn map[worker.ID]bool // workers on which its tasks have failed
	failedAt time.Time          // time of the last failure here

	crashes  jobRecord // of the crashes attributed to its tasks
	failures jobRecord // of where its tasks have failed
	running  jobRecord // of its runs that have been seen working
	parts    parts     // of its progress

	active    map[*run]struct{} // runs in progress
	begun     int               // tasks with a state
	footprint int64             // what it takes of its owner's memory at most
	dirty     bool
	stored    bool   // the submission is persisted or in the batch in progress
	collected bool   // a batch carries it
	refused   bool   // the store refuses its records
	changedIn uint64 // batch that carries the newest change
}

// roundState is one round of a job's steps. Once it has ended and none of its runs is active, it is endedRound.
type roundState struct {
	steps     []stepState
	openSteps int  // steps that are not done
	active    int  // runs in progress
	begun     bool // a task has been started
}

// endedRound stands for each round that has ended.
var endedRound = &roundState{begun: true}

// stepState is a step of one round.
type stepState struct {
	job            *jobState
	ref            job.StepRef
	spec           *job.Step
	round          *roundState
	before         int // tasks of the job before those of the step
	states         map[int]*taskState
	doneBits       []uint // which tasks are done, while some are
	firstOpen      int    // all tasks before it are done
	waiting        int    // tasks that are not done and have no run
	held           int    // runs placed ahead whose workers have no room yet
	done           int
	runTimes       mean                 // run times of its finished tasks, in seconds
	runsByWorker   map[*workerState]int // active runs by worker, where their number is limited
	limitedSince   time.Time            // since when a gang waits for its customer's allowance, zero for not
	waitingSince   time.Time            // since when tasks of it wait, as of the last plan; zero for not
	waitLogAt      time.Time            // when that is logged next
	holds          int                  // how often other tasks were held for the gang in vain
	drainedSince   time.Time            // since when other tasks are held for the gang and none of their customer runs, zero for not
	reserveAfter   time.Time            // earliest time of the next reservation for the gang
	reservedInVain int                  // how often a reservation for the gang has ended since the pool was idle
	advicePending  bool                 // a request to the advice service is in progress
	adviceRetryAt  time.Time            // earliest time of the next advice request
	adviceInVain   int                  // requests to the advice service since a task of it was placed
	awaitedWarm    bool                 // it has been logged that a task waits for a warm worker
	excluded       map[worker.ID]bool   // workers that the advice service did not name; nil before the first request
}

// ready reports whether the steps that a step follows are done.
func (r *roundState) ready(step int) bool {
	for _, a := range r.steps[step].spec.DependsOn {
		if r.steps[a].done < r.steps[a].count() {
			return false
		}
	}
	return true
}

// openTask returns a task, which must not be changed, and its step, nil if there is none or its job is finished.
func (p *Pool) openTask(ref job.TaskRef) (*stepState, *taskState) {
	s, t := p.findTask(ref)
	if t == nil || s.job.state.Final() {
		return nil, nil
	}
	return s, t
}

// findTask returns a task, which must not be changed, and its step, nil if there is none.
func (p *Pool) findTask(ref job.TaskRef) (*stepState, *taskState) {
	j := p.jobs[ref.Job]
	if j == nil {
		return nil, nil
	}
	r := j.round(ref.Round)
	if r == nil || ref.Step >= len(r.steps) {
		return nil, nil
	}
	s := &r.steps[ref.Step]
	if ref.Index >= s.count() {
		return nil, nil
	}
	return s, s.peek(ref.Index)
}

// runs returns the job's runs in progress, in the order of their tasks.
func (j *jobState) runs() []*run {
	return slices.SortedFunc(maps.Keys(j.active), func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(a.ref.Round, b.ref.Round), cmp.Compare(a.ref.Step, b.ref.Step), cmp.Compare(a.ref.Index, b.ref.Index), cmp.Compare(a.number, b.number),
		)
	})
}

// finished reports whether only the state of the job is to be persisted: it is final and no run of it is active any more,
// or the store refuses all else of it.
func (j *jobState) finished() bool { return j.state.Final() && (len(j.active) == 0 || j.refused) }

// newJob returns the initial state of a job.
func (p *Pool) newJob(s job.Submission, accepted time.Time) *jobState {
	j := &jobState{sub: s, state: job.Queued, accepted: accepted}
	j.queue = p.queueOf(j)
	return j
}

// Submit adds a job and returns the batch that carries it. Submitting a known job again changes
// nothing.
func (p *Pool) Submit(s job.Submission, now time.Time) uint64 {
	if j := p.jobs[s.ID]; j != nil {
		p.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Str("outcome", "known").Str("state", string(j.state)).
			Msg("known job submitted again")
		return j.changedIn
	}
	p.noteJob(s.Queue)
	j := p.newJob(s, now)
	p.jobs[s.ID] = j
	p.setFootprint(j, Footprint(&s))
	p.active = append(p.active, j)
	p.updateObjective(j)
	p.addArrival(j, now)
	p.addBacklog(j, now)
	if !s.HasLongRunning() && s.RepeatCount == 0 {
		p.slack.add(j.latestStart.Sub(now).Seconds())
	}
	p.markDirty(j)
	p.needsPlan = true
	p.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Str("queue", s.Queue).Int("steps", len(s.Steps)).
		Str("kinds", s.Features()).Str("customer", s.Customer).Uint64("config", p.configVersion()).Uint64("batch", p.batch).Dur("aim", j.objective).Str("outcome", "taken").Msg("job accepted")
	return p.batch
}

// CheckAccess returns an error if a job is unknown or a customer ("" for none) may not see it.
func (p *Pool) CheckAccess(id job.ID, by string) error {
	j := p.jobs[id]
	if j == nil {
		return errkind.New(errkind.Gone, "job %s not found", id)
	}
	if !j.sub.AccessibleBy(by) {
		return errkind.New(errkind.Forbidden, "job %s does not belong to customer %q", id, by)
	}
	return nil
}

// Has reports whether a job is known.
func (p *Pool) Has(id job.ID) bool { return p.jobs[id] != nil }

// Customer returns the customer of a job, "" for none.
func (p *Pool) Customer(id job.ID) string {
	if j := p.jobs[id]; j != nil {
		return j.sub.Customer
	}
	return ""
}

// Persisted reports whether a job is known and persisted.
func (p *Pool) Persisted(id job.ID) bool {
	j := p.jobs[id]
	return j != nil && (j.stored || j.state.Final())
}

// Withdraw removes a job that no batch carries yet, and reports whether it did.
func (p *Pool) Withdraw(id job.ID) bool {
	j := p.jobs[id]
	if j == nil || j.collected {
		return false
	}
	p.drop(j)
	p.Logger.Info().Str("event", "submit").Str("job", string(id)).Str("outcome", "withdrawn").Msg("job withdrawn before it was persisted")
	return true
}

func (p *Pool) configVersion() uint64 {
	if p.config == nil {
		return 0
	}
	return p.config.Version
}

// Cancel cancels a job and returns the batch that carries the change.
func (p *Pool) Cancel(id job.ID, now time.Time) (uint64, error) {
	j := p.jobs[id]
	if j == nil {
		return 0, errkind.New(errkind.Gone, "job %s not found", id)
	}
	if j.state.Final() {
		p.stopJob(j, now, "cancelled by its caller")
		return j.changedIn, nil
	}
	p.finishJob(j, job.Cancelled, now, "cancelled by its caller")
	return p.batch, nil
}

// State returns the state of a job as reported to callers, and false for an unknown job. A final
// state is reported only once it is persisted.
func (p *Pool) State(id job.ID) (job.State, bool) {
	j := p.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state.Final() && j.changedIn > p.committed {
		return job.Running, true
	}
	return j.state, true
}

// Pending returns the number of persisted jobs of a queue that have not started.
func (p *Pool) Pending(queue string) int {
	n := 0
	for _, j := range p.active {
		if j.sub.Queue == queue && !j.started && j.stored {
			n++
		}
	}
	return n
}

// finishJob ends a job and stops its remaining runs.
func (p *Pool) finishJob(j *jobState, state job.State, now time.Time, reason string) {
	j.state = state
	j.endedAt = now
	for _, u := range j.runs() {
		if state != job.Failed || !u.keepsServing() {
			p.stopRun(u, now, "job "+string(state))
		}
	}
	p.countEnd(j, now)
	p.markDirty(j)
	p.ended = append(p.ended, endedJob{j.sub.ID, now.Add(p.Limits.Retention)})
	p.needsPlan = true
	p.pruneAttributed()
	p.Logger.Info().Str("event", "job-end").Str("job", string(j.sub.ID)).Str("queue", j.sub.Queue).Str("outcome", string(state)).
		Dur("took", now.Sub(j.accepted)).Dur("aim", j.objective).Str("why", reason).Msg("job ended")
}

// stopJob stops the remaining runs of a job.
func (p *Pool) stopJob(j *jobState, now time.Time, reason string) {
	for _, u := range j.runs() {
		p.stopRun(u, now, reason)
	}
}

// keepsServing reports whether a run belongs to a step with a limit on voluntary disruptions. Such
// tasks of a failed job keep serving users until its caller cancels the job or it is forgotten: the
// failed task does not come back, so stopping another one would exceed the limit. A run of an
// earlier owner, or whose start was ordered, may be serving even if its worker has not listed it yet.
func (u *run) keepsServing() bool {
	s := u.step().spec
	return s.LongRunning && s.MaxUnavailable > 0 && (u.phase == running || u.sent || u.restored)
}

// forgetEndedJobs removes ended jobs whose retention is over.
func (p *Pool) forgetEndedJobs(now time.Time) {
	for len(p.ended) > 0 && !p.ended[0].expiresAt.After(now) {
		if j := p.jobs[p.ended[0].id]; j != nil && j.state.Final() {
			p.stopJob(j, now, "the retention of its job is over")
			if len(j.active) > 0 {
				p.ended = append(p.ended[1:], endedJob{j.sub.ID, now.Add(p.Limits.StopTime + pollRetry)}) // checked again after the stop
				continue
			}
			j.state = ""
			p.markDirty(j)
			delete(p.jobs, j.sub.ID)
			p.changeFootprint(j, 0)
		}
		p.ended = p.ended[1:]
	}
}

// pruneActive removes ended jobs from the active ones.
func (p *Pool) pruneActive() {
	active := p.active[:0]
	for _, j := range p.active {
		if !j.state.Final() && j.state != "" {
			active = append(active, j)
		}
	}
	clear(p.active[len(active):])
	p.active = active
}

// checkCompletion checks whether the end of a task completes its step, its round or its job.
func (p *Pool) checkCompletion(j *jobState, ref job.StepRef, now time.Time) {
	r := j.round(ref.Round)
	if r == nil || len(r.steps) == 0 || r.steps[ref.Step].done < r.steps[ref.Step].count() {
		return
	}
	s := &r.steps[ref.Step]
	r.openSteps--
	p.needsPlan = true
	j.skipEnded()
	p.updateObjective(j)
	p.dropTickets(s)
	j.dropEnded(ref.Round)
	if j.firstOpen == j.sub.Rounds() {
		p.finishJob(j, job.Completed, now, "all tasks are done")
	}
}

// maxLateFactor is how many times its objective a job may take and still be of some value.
const maxLateFactor = 3

// updateObjective computes a job's objective, its remaining work and the latest time to continue
// it.
func (p *Pool) updateObjective(j *jobState) {
	stretch := j.queue.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	total, remaining, work := p.criticalPath(j)
	j.objective = time.Duration(stretch*float64(total)) + j.queue.BaseObjective
	j.remainingWork = work
	begin := j.accepted
	if j.sub.RepeatCount > 0 {
		begin = p.due(j, j.firstOpenRound())
	}
	j.latestStart = begin.Add(j.objective - remaining - stepOverhead)
}

// due returns when a round of a job is due.
func (p *Pool) due(j *jobState, round int) time.Time { return p.Clock.FromWallTime(j.sub.DueAt(round)) }

// stepOverhead is the time a step needs besides its work until its end is reported: persisting the
// run, sending its order, detecting its end and persisting that take some ten milliseconds each,
// and the run time is only an estimate. Without it, when the load exceeds the pool's capacity and
// the jobs with the least slack are placed first, all of them end slightly late.
const stepOverhead = 150 * time.Millisecond

// criticalPath returns the length of the longest chain of steps in a round, the remaining part of
// it, and the remaining core-seconds.
func (p *Pool) criticalPath(j *jobState) (total, remaining time.Duration, work float64) {
	n := len(j.sub.Steps)
	totals := make([]time.Duration, 2*n)
	remainders := totals[n:]
	round := j.round(j.firstOpenRound())
	if round == endedRound {
		round = nil
	}
	for i := range j.sub.Steps {
		s := &j.sub.Steps[i]
		if s.LongRunning {
			continue
		}
		each := p.expectedRunTime(j.sub.Queue, s)
		if round != nil {
			each = p.expectedStepTime(j, &round.steps[i])
		}
		for _, a := range s.DependsOn {
			totals[i] = max(totals[i], totals[a])
			remainders[i] = max(remainders[i], remainders[a])
		}
		totals[i] += each
		open := s.Count
		if round != nil {
			open = s.Count - round.steps[i].done
		}
		if open > 0 {
			remainders[i] += each
			work += float64(open) * each.Seconds() * float64(s.Size.CPU) / 1000
		}
		total, remaining = max(total, totals[i]), max(remaining, remainders[i])
	}
	return total, remaining, work
}
