// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// CordonedWorker is a worker on which nothing may be placed but tasks that may run nowhere else and do not delay it.
type CordonedWorker struct {
	ID worker.ID `json:"id"`
	// MaintenanceRequired means that its instance must be maintained: in the end, long-running
	// tasks are stopped there even if they fit nowhere else, as the instance comes back soon.
	MaintenanceRequired bool `json:"must,omitempty"`
}

// CordonRequest is what the holder of the instances role requests from a pool.
type CordonRequest struct {
	Epoch    uint64               `json:"epoch"`              // of the holder
	Number   uint64               `json:"number"`             // of the request within the epoch, ascending
	Workers  []CordonedWorker     `json:"workers,omitempty"`  // complete list of workers to cordon
	Ended    []worker.Incarnation `json:"over,omitempty"`     // incarnations of workers that were ended by an order
	Accounts []string             `json:"accounts,omitempty"` // customers whose accounts are reported in any case
	// Arriving is the capacity on its way to the pool, by when it will serve.
	Arriving []capacity.Change `json:"arriving,omitempty"`
	// Potential is the capacity that the fleet can bring to the pool if it is requested now.
	Potential []capacity.Change `json:"potential,omitempty"`
	// Since is the newest report that the holder has; nil for a holder that takes full reports only.
	Since *ReportPosition `json:"since,omitempty"`
}

// olderThan reports whether a request was made before another one.
func (c CordonRequest) olderThan(o CordonRequest) bool {
	return cmp.Or(cmp.Compare(c.Epoch, o.Epoch), cmp.Compare(c.Number, o.Number)) < 0
}

// Cordon cordons exactly the given workers: nothing is placed there, and their runs end or move, so
// that their instances can be maintained or moved. It returns the batch that carries the newest of
// these cordons. A request that arrives after a newer one is refused, since it is outdated.
func (p *Pool) Cordon(request CordonRequest, now time.Time) (uint64, error) {
	if request.olderThan(p.lastCordonRequest) {
		return 0, errkind.New(errkind.Conflict, "a newer request was received: epoch %d, number %d", p.lastCordonRequest.Epoch, p.lastCordonRequest.Number)
	}
	p.lastCordonRequest = CordonRequest{Epoch: request.Epoch, Number: request.Number, Arriving: request.Arriving, Potential: request.Potential, Since: request.Since}
	p.needsPlan = p.needsPlan || len(p.claims) > 0 // the request may confirm them
	p.cordonsReceivedAt = now
	p.noteFleet(request)
	p.EndIncarnations(request.Ended, now)
	newest := uint64(0)
	wanted := make(map[worker.ID]bool, len(request.Workers))
	for _, c := range request.Workers {
		id := c.ID
		w := p.workers[id]
		if w == nil {
			continue
		}
		wanted[id] = true
		if !p.cordons[id] {
			p.dropClaimsOn(w, now)
			p.setCordon(id, true)
		}
		if c.MaintenanceRequired && w.maintenanceSince.IsZero() {
			w.maintenanceSince = now
		}
		newest = max(newest, w.cordonBatch)
	}
	for id := range p.cordons {
		if !wanted[id] {
			p.setCordon(id, false)
		}
	}
	return newest, nil
}

func (p *Pool) setCordon(id worker.ID, cordoned bool) {
	p.Logger.Info().Str("event", "cordon").Str("worker", string(id)).Bool("cordoned", cordoned).Uint64("batch", p.batch).
		Msg("worker cordon changed")
	if cordoned {
		p.cordons[id] = true
	} else {
		delete(p.cordons, id)
	}
	p.changedCordons = append(p.changedCordons, id)
	if w := p.workers[id]; w != nil {
		w.cordoned = cordoned
		w.maintenanceSince = time.Time{}
		w.cordonBatch = p.batch
		for _, u := range w.runs {
			u.generation = beforeCordon
		}
	}
	p.needsPlan = true
}

func cordonRecord(id worker.ID, cordoned bool) port.Record {
	r := port.Record{Key: keyCordon + string(id)}
	if cordoned {
		r.Value = []byte{1}
	}
	return r
}

// Report is what a pool reports of its workers and of the capacity it needs. What runs in data centres
// under evacuation needs no capacity elsewhere as long as it runs.
type Report struct {
	Epoch       uint64              `json:"epoch"`
	Number      uint64              `json:"number,omitempty"`  // of the report within the epoch, ascending; 0 if it is not numbered
	Base        uint64              `json:"base,omitempty"`    // number of the report since which the workers have changed; 0 for all workers
	At          time.Duration       `json:"at,omitempty"`      // when it was made, since the first one of the epoch
	Removed     []worker.ID         `json:"removed,omitempty"` // workers that are in the pool no more since then
	Workers     []WorkerReport      `json:"workers"`
	Lasting     job.Size            `json:"lasting"`          // demand of long-running tasks, running or waiting
	Running     job.Size            `json:"running"`          // use of the other runs
	Rising      bool                `json:"rises,omitempty"`  // the arrival rate rises significantly
	ArrivalLoad job.Size            `json:"arrives"`          // capacity that the recent arrivals would occupy if they continued
	Waiting     job.Size            `json:"waiting"`          // demand of the other runnable tasks that wait for capacity
	Required    job.Size            `json:"presses"`          // the part of Waiting that is needed to finish all of them in time
	Overdue     job.Size            `json:"overdue"`          // demand of runnable tasks whose jobs are of no value any more, but must be completed
	MinWorkers  int                 `json:"apart"`            // least number of workers: by a limit on tasks per worker, or one more than now if these may not suit a task
	Slack       time.Duration       `json:"slack"`            // mean slack of jobs at submission; 0 if there were none
	Labels      map[string]job.Size `json:"labels,omitempty"` // demand of tasks that need a label, by label; counted only here
	// MinLabelled is the least number of workers with a label, as MinWorkers is of all; only for labels of Labels.
	MinLabelled map[string]int `json:"labels_apart,omitempty"`
	Quota       quota.Report   `json:"quota"`
}

// WorkerReport is what a pool reports of one worker.
type WorkerReport struct {
	ID        worker.ID `json:"id"`
	Instance  string    `json:"instance"`
	StartedAt int64     `json:"born,omitempty"` // start time, 0 if unknown
	Open      bool      `json:"open"`           // tasks may be placed there
	Empty     bool      `json:"empty"`          // the cordon is persisted, and nothing runs or starts there
	Lasting   int       `json:"lasting"`        // number of runs of long-running tasks
	Runs      int       `json:"runs"`           // number of all runs
	Used      job.Size  `json:"used"`
	// EmptyAfter is the expected time until it is empty if nothing more is placed there.
	EmptyAfter time.Duration `json:"empties,omitempty"`
	// Unsuited means that it is idle and does not suit a step that has waited for some time and fits on no
	// worker of the pool: another instance in its place may.
	Unsuited bool `json:"unsuited,omitempty"`
	// Needed means that it is cordoned, not for maintenance, and that a step which may run nowhere else waits for it.
	Needed bool `json:"needed,omitempty"`
}

// Report returns the pool's report, in response to a request, with all workers or those that have changed
// since the report that the request names.
func (p *Pool) Report(request CordonRequest, now time.Time) Report {
	r := p.FullReport(request, now)
	if request.Since == nil {
		return r
	}
	return p.reports.Shorten(r, *request.Since, now)
}

// FullReport returns the pool's report with all workers.
func (p *Pool) FullReport(request CordonRequest, now time.Time) Report {
	r := Report{Epoch: p.Token, Workers: make([]WorkerReport, 0, len(p.workers)), ArrivalLoad: p.arrivals.rate(now), Rising: p.arrivals.growth() > 1, Slack: seconds(p.slack.value)}
	p.reach = reach{}
	var evacuated job.Size // of long-running tasks in data centres under evacuation
	for id, w := range p.workers {
		claims := p.claimsOn(w)
		o := WorkerReport{
			ID: id, Instance: w.info.Instance, StartedAt: w.startedAt, Open: w.schedulable(now), Runs: len(w.runs) + claims, Lasting: claims, Used: w.used,
			Empty: w.cordoned && w.cordonBatch <= p.committed && len(w.runs) == 0, EmptyAfter: p.emptyAfter(w, now),
		}
		for _, u := range w.runs {
			switch {
			case u.orphan:
				continue
			case u.held:
				p.addHeldDemand(u, now, &r)
				continue
			case u.step().spec.LongRunning:
				o.Lasting++
				if w.evacuated {
					evacuated = evacuated.Plus(u.size)
				}
			case w.evacuated:
			case u.step().spec.Label == "":
				r.Running = r.Running.Plus(u.size)
			}
			if label := u.step().spec.Label; label != "" {
				r.addLabel(label, u.size)
			}
		}
		r.Workers = append(r.Workers, o)
	}
	for _, j := range p.active {
		p.addDemand(j, now, &r)
	}
	r.Lasting = r.Lasting.Minus(evacuated)
	r.Quota = p.QuotaReport(quota.Query{Epoch: request.Epoch, Accounts: request.Accounts}, now)
	stuck := p.stuckInMaintenance(now)
	for _, s := range stuck {
		r.addMinWorkers(s.spec.Label, p.schedulableWorkers(s.spec.Label, now)+1)
	}
	p.markUnsuited(&r, append(stuck, p.stuckWaiting(now)...))
	p.markNeeded(&r, now)
	return r
}

// unsuitedAfter is how long a step waits until workers that do not suit it are reported: an instance that is
// on its way arrives earlier.
const unsuitedAfter = 3 * time.Second

// stuckWaiting returns the steps that have waited for some time and need a worker that the pool does not have.
func (p *Pool) stuckWaiting(now time.Time) []*stepState {
	var list []*stepState
	for _, j := range p.active {
		for _, r := range j.openRounds() {
			for i := range r.steps {
				if s := &r.steps[i]; s.mayBeUnsuited(now) && p.needsOtherWorker(s, now) {
					list = append(list, s)
				}
			}
		}
	}
	return list
}

// markUnsuited marks the idle workers that the advice service has excluded for one of the steps.
func (p *Pool) markUnsuited(r *Report, stuck []*stepState) {
	if len(stuck) == 0 {
		return
	}
	for i := range r.Workers {
		o := &r.Workers[i]
		o.Unsuited = o.Open && o.Runs == 0 && slices.ContainsFunc(stuck, func(s *stepState) bool { return s.excluded[o.ID] })
	}
}

// stuckInMaintenance returns the steps of long-running tasks on workers whose instances must be maintained
// that have found no place elsewhere for too long: another worker may help. It does not where they only wait
// for other tasks of their step.
func (p *Pool) stuckInMaintenance(now time.Time) []*stepState {
	var list []*stepState
	for _, w := range p.workers {
		if !w.maintenanceOverdue(now) {
			continue
		}
		for _, u := range w.runs {
			if !u.orphan && u.step().spec.LongRunning && !p.fitsElsewhere(u.step(), now) {
				list = append(list, u.step())
			}
		}
	}
	return list
}

// needsOtherWorker reports whether waiting tasks of a step fit on no worker of the pool, whatever ends there:
// another worker may suit them.
func (p *Pool) needsOtherWorker(s *stepState, now time.Time) bool {
	return s.waiting > 0 && (s.spec.LongRunning && !p.fitsElsewhere(s, now) || p.excludedEverywhere(s, now))
}

// minWorkers returns the least number of workers, of those with its label if it needs one, that a step needs: by
// its limit of tasks on each, or one more than there are if these may not suit it.
func (p *Pool) minWorkers(s *stepState, now time.Time) int {
	least := 0
	if p.needsOtherWorker(s, now) {
		least = p.schedulableWorkers(s.spec.Label, now) + 1
	}
	if s.spec.MaxPerWorker > 0 && (s.spec.LongRunning || s.waiting > 0) {
		least = max(least, (s.count()-s.done+s.spec.MaxPerWorker-1)/s.spec.MaxPerWorker)
	}
	return least
}

// addMinWorkers adds the need for a number of workers, with a label unless that is "".
func (r *Report) addMinWorkers(label string, least int) {
	switch {
	case least == 0:
	case label == "":
		r.MinWorkers = max(r.MinWorkers, least)
	default:
		if r.MinLabelled == nil {
			r.MinLabelled = make(map[string]int)
		}
		r.addLabel(label, job.Size{})
		r.MinLabelled[label] = max(r.MinLabelled[label], least)
	}
}

// maintenanceOverdue reports whether long-running tasks on a worker whose instance must be
// maintained have waited for a place elsewhere for longer than maintenanceGrace.
func (w *workerState) maintenanceOverdue(now time.Time) bool {
	return !w.maintenanceSince.IsZero() && now.Sub(w.maintenanceSince) > maintenanceGrace && w.longRunningRuns > 0
}

// schedulableWorkers returns the number of workers on which tasks may be placed, of those with a label unless
// that is "".
func (p *Pool) schedulableWorkers(label string, now time.Time) int {
	n := 0
	for _, w := range p.workers {
		if w.schedulable(now) && (label == "" || w.info.HasLabel(label)) {
			n++
		}
	}
	return n
}

// addLabel adds demand for workers with a label.
func (r *Report) addLabel(label string, size job.Size) {
	if r.Labels == nil {
		r.Labels = make(map[string]job.Size)
	}
	r.Labels[label] = r.Labels[label].Plus(size)
}

// provisionTime is how long it takes until a requested instance can be used: its move to the pool,
// and until its worker is known.
const provisionTime = 1700 * time.Millisecond

// requiredShare returns the share of a waiting task's demand that is needed: all of it if the job
// cannot wait much longer than it takes to get an instance, otherwise the part that finishes it in
// time after others have used the capacity.
func (p *Pool) requiredShare(j *jobState, s *stepState, now time.Time) float64 {
	expected := max(p.expectedStepTime(j, s), time.Millisecond)
	slack := j.slack(now)
	if now.Before(j.latestStart) {
		slack -= provisionTime
	}
	return float64(expected) / float64(expected+max(slack, 0))
}

// limitWaitCounted is how long tasks that wait for their customer's allowance count as demand:
// borrowed quota arrives within half a second, or not soon.
const limitWaitCounted = time.Second

// addDemand adds the demand of a job's open tasks.
func (p *Pool) addDemand(j *jobState, now time.Time, r *Report) {
	for n, round := range j.openRounds() {
		if j.sub.RepeatCount > 0 && now.Before(p.due(j, n)) {
			continue
		}
		times := p.roundsLike(j, n, now)
		for i := range round.steps {
			p.addStepDemand(j, round, i, times, now, r)
		}
	}
}

// addStepDemand adds the demand of a step's open tasks, a number of times.
func (p *Pool) addStepDemand(j *jobState, round *roundState, step, times int, now time.Time, r *Report) {
	s := &round.steps[step]
	if p.outOfReach(s, now) {
		return
	}
	size, waiting := s.spec.Reservation(), job.Size{}
	if s.waiting > 0 && round.ready(step) {
		waiting = size.Times(s.waiting * times)
	}
	if s.spec.Label == "" || round.ready(step) {
		r.addMinWorkers(s.spec.Label, p.minWorkers(s, now))
	}
	switch {
	case s.spec.Label != "":
		if waiting != (job.Size{}) {
			r.addLabel(s.spec.Label, waiting.Scale(p.requiredShare(j, s, now)))
		}
	case s.spec.LongRunning:
		r.Lasting = r.Lasting.Plus(size.Times(s.count()))
	case waiting != (job.Size{}):
		if p.waitedAtLimit(j.sub.Customer, now) > limitWaitCounted {
			return
		}
		if j.urgency(s, now) == overdue {
			r.Overdue = r.Overdue.Plus(waiting)
			return
		}
		r.Waiting = r.Waiting.Plus(waiting)
		r.Required = r.Required.Plus(waiting.Scale(p.requiredShare(j, s, now)))
	}
}

// emptyWorkers moves runs off the workers that must be emptied. Long-running tasks are stopped one at a
// time, so that no more than the permitted number of a step are unavailable, and continue
// elsewhere; runs with checkpoints are stopped if they would run for longer than a move takes.
func (p *Pool) emptyWorkers(now time.Time) {
	p.reviewClaims(now)
	for _, w := range p.workers {
		if !w.leaving() || !w.unresponsiveSince.IsZero() {
			continue
		}
		for _, u := range w.runs {
			p.moveRun(w, u, now)
		}
		if w.maintenanceOverdue(now) {
			p.stopLongRunningRuns(w, now)
		}
	}
}

// maintenanceGrace is how long long-running tasks may wait for a place elsewhere before they are
// stopped for their instance's maintenance.
const maintenanceGrace = 5 * time.Second

// stopLongRunningRuns stops the long-running tasks on a worker together, if that is permitted for all
// of them: one that stayed would delay the maintenance of the instance, and so the return of the
// others.
func (p *Pool) stopLongRunningRuns(w *workerState, now time.Time) {
	onWorker := make(map[*stepState]int)
	for _, u := range w.runs {
		if u.orphan || u.stopping || !u.step().spec.LongRunning || u.phase != running {
			return
		}
		onWorker[u.step()]++
	}
	for s, n := range onWorker {
		if s.unavailable(nil, now)+n > max(s.spec.MaxUnavailable, 1) {
			return
		}
	}
	for _, u := range w.runs {
		p.stopRun(u, now, "its instance must be maintained, and no other worker has capacity")
	}
}

// minMoveGain is by how much the remaining time of a run with checkpoints must exceed the time that
// stopping it takes for a move to be worthwhile.
const minMoveGain = 1500 * time.Millisecond

func (p *Pool) moveRun(w *workerState, u *run, now time.Time) {
	if u.phase != running || u.stopping || u.orphan {
		return
	}
	s := u.step()
	switch {
	case s.spec.LongRunning:
		if w.info.Draining && !w.cordoned || p.mayDisrupt(s, now) && p.claimPlace(u, now) {
			p.stopRun(u, now, "its worker is being emptied")
		}
	case s.spec.Checkpointing && !s.spec.Gang && u.generation == beforeCordon:
		remaining := p.remainingTime(u, now)
		if remaining > p.Limits.StopTime+minMoveGain {
			p.stopRun(u, now, "its worker is being emptied, and it can continue elsewhere")
		}
	}
}

// fitsElsewhere reports whether a task of a step fits on a schedulable worker.
func (p *Pool) fitsElsewhere(s *stepState, now time.Time) bool {
	for _, w := range p.workers {
		if p.canRun(s, w, now) {
			return true
		}
	}
	return false
}

// mayDisrupt reports whether one more task of a long-running step may be disrupted voluntarily.
func (p *Pool) mayDisrupt(s *stepState, now time.Time) bool {
	return s.unavailable(nil, now) < max(s.spec.MaxUnavailable, 1)
}

// unavailable returns how many tasks of a long-running step are not known to be serving, not
// counting one task, nil for none.
func (s *stepState) unavailable(without *taskState, now time.Time) int {
	n := s.count()
	if without != nil {
		n--
	}
	for _, t := range s.states {
		if t != without && t.serving(now) {
			n--
		}
	}
	return n
}

// servingFreshFor is the maximum age of a worker's list of runs for a task on it to count as serving. A
// worker with long-running tasks is polled once a second; after a suspension of this node's machine
// the newest list is older.
const servingFreshFor = 2 * time.Second

// serving reports whether a long-running task is known to serve: its worker is responsive and has
// listed it recently.
func (t *taskState) serving(now time.Time) bool {
	for _, u := range t.runs {
		w := u.worker
		if u.phase == running && !u.stopping && u.percent >= fullPercent && w.unresponsiveSince.IsZero() && now.Sub(w.listedAt) <= servingFreshFor {
			return true
		}
	}
	return false
}
