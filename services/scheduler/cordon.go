// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// CordonedWorker is a worker that nothing may be placed on.
type CordonedWorker struct {
	ID worker.ID `json:"id"`
	// MaintenanceRequired says that its instance must be maintained: tasks that last are stopped
	// there in the end, though they have no other place, as it comes back soon.
	MaintenanceRequired bool `json:"must,omitempty"`
}

// CordonRequest is what the holder of the duty for instances asks of a pool.
type CordonRequest struct {
	Epoch    uint64               `json:"epoch"`              // of the holder
	Number   uint64               `json:"number"`             // of the question within the epoch; a later one has a higher
	Workers  []CordonedWorker     `json:"workers,omitempty"`  // all that are to be cordoned
	Ended    []worker.Incarnation `json:"over,omitempty"`     // workers whose lives were ended by an order
	Accounts []string             `json:"accounts,omitempty"` // customers whose accounts are told, whatever they want
}

// before reports whether a question was asked before another one.
func (c CordonRequest) before(o CordonRequest) bool {
	return cmp.Or(cmp.Compare(c.Epoch, o.Epoch), cmp.Compare(c.Number, o.Number)) < 0
}

// Cordon makes the workers named the only ones that nothing is placed on: what
// runs there ends or moves, so that their instances can be maintained or moved.
// It returns the batch that carries the newest of these cordons. A question that
// comes after a later one is refused: what it asks for is not wanted any more.
func (p *Pool) Cordon(asked CordonRequest, now time.Time) (uint64, error) {
	if asked.before(p.asked) {
		return 0, errkind.New(errkind.Conflict, "a later question has come: epoch %d, number %d", p.asked.Epoch, p.asked.Number)
	}
	p.asked = CordonRequest{Epoch: asked.Epoch, Number: asked.Number}
	p.EndIncarnations(asked.Ended, now)
	newest := uint64(0)
	wanted := make(map[worker.ID]bool, len(asked.Workers))
	for _, c := range asked.Workers {
		id := c.ID
		w := p.workers[id]
		if w == nil {
			continue
		}
		wanted[id] = true
		if !p.cordons[id] {
			p.setCordon(id, true)
		}
		if c.MaintenanceRequired && w.must.IsZero() {
			w.must = now
		}
		newest = max(newest, w.cordonIn)
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
		Msg("a worker's cordon has changed")
	if cordoned {
		p.cordons[id] = true
	} else {
		delete(p.cordons, id)
	}
	p.recordons = append(p.recordons, id)
	if w := p.workers[id]; w != nil {
		w.cordoned = cordoned
		w.must = time.Time{}
		w.cordonIn = p.batch
	}
	p.moved = true
}

func cordonRecord(id worker.ID, cordoned bool) port.Record {
	r := port.Record{Key: keyCordon + string(id)}
	if cordoned {
		r.Value = []byte{1}
	}
	return r
}

// Report is what a pool tells of its workers and of the room it needs.
type Report struct {
	Epoch       uint64              `json:"epoch"`
	Workers     []WorkerReport      `json:"workers"`
	Lasting     job.Size            `json:"lasting"`          // of the tasks that last, under way or waiting
	Running     job.Size            `json:"running"`          // of the other runs
	Rising      bool                `json:"rises,omitempty"`  // what arrives surely rises
	ArrivalLoad job.Size            `json:"arrives"`          // that the jobs of the last moments would keep busy if they went on coming
	Waiting     job.Size            `json:"waiting"`          // of the other tasks that may run and have no room
	Required    job.Size            `json:"presses"`          // the part of it that is needed for all of them to be in time
	Overdue     job.Size            `json:"overdue"`          // of tasks that may run and whose jobs are of no use any more; they are owed their end
	MinWorkers  int                 `json:"apart"`            // workers that a step needs since few of its tasks may be on one
	Slack       time.Duration       `json:"slack"`            // that jobs have when they come, on the mean; 0 where none has come
	Labels      map[string]job.Size `json:"labels,omitempty"` // of the tasks that need a label, by it; they count here only
	Quota       quota.Report        `json:"quota"`
}

// WorkerReport is what a pool tells of one worker.
type WorkerReport struct {
	ID        worker.ID `json:"id"`
	Instance  string    `json:"instance"`
	StartedAt int64     `json:"born,omitempty"` // its start, 0 where that is not known
	Open      bool      `json:"open"`           // tasks may be placed there
	Empty     bool      `json:"empty"`          // cordoned for good, and nothing runs or begins there
	Lasting   int       `json:"lasting"`        // runs of tasks that last
	Runs      int       `json:"runs"`           // all runs
	Used      job.Size  `json:"used"`
}

// Report returns what the pool tells of itself to who has asked.
func (p *Pool) Report(asked CordonRequest, now time.Time) Report {
	r := Report{Epoch: p.Token, Workers: make([]WorkerReport, 0, len(p.workers)), ArrivalLoad: p.arrivals.rate(now), Rising: p.arrivals.rise() > 1, Slack: seconds(p.slack.value)}
	for id, w := range p.workers {
		o := WorkerReport{
			ID: id, Instance: w.info.Instance, StartedAt: w.born, Open: w.open(now), Runs: len(w.runs), Used: w.used,
			Empty: w.cordoned && w.cordonIn <= p.committed && len(w.runs) == 0,
		}
		for _, u := range w.runs {
			switch {
			case u.stray:
				continue
			case u.step().spec.LongRunning:
				o.Lasting++
			case u.step().spec.Label == "":
				r.Running = r.Running.Plus(u.room)
			}
			if label := u.step().spec.Label; label != "" {
				r.label(label, u.room)
			}
		}
		r.Workers = append(r.Workers, o)
	}
	for _, j := range p.active {
		p.needs(j, now, &r)
	}
	r.Quota = p.QuotaReport(quota.Query{Epoch: asked.Epoch, Accounts: asked.Accounts}, now)
	if p.stuck(now) {
		r.MinWorkers = max(r.MinWorkers, p.openWorkers(now)+1)
	}
	return r
}

// stuck reports whether tasks that last have long had no other place than a worker
// whose instance must be maintained: one more worker may be one.
func (p *Pool) stuck(now time.Time) bool {
	for _, w := range p.workers {
		if w.mustLeave(now) {
			return true
		}
	}
	return false
}

// mustLeave reports whether tasks that last have had their time to look for another
// place than a worker whose instance must be maintained.
func (w *workerState) mustLeave(now time.Time) bool {
	return !w.must.IsZero() && now.Sub(w.must) > mustPatience && w.lasting > 0
}

// openWorkers returns on how many workers tasks may be placed.
func (p *Pool) openWorkers(now time.Time) int {
	n := 0
	for _, w := range p.workers {
		if w.open(now) {
			n++
		}
	}
	return n
}

// label adds room that is needed on workers with a label.
func (r *Report) label(label string, room job.Size) {
	if r.Labels == nil {
		r.Labels = make(map[string]job.Size)
	}
	r.Labels[label] = r.Labels[label].Plus(room)
}

// addTime is how long it takes an instance to come to a pool: the move, and until
// its worker is known.
const addTime = 1700 * time.Millisecond

// pressure returns which part of the room that a waiting task of a job takes is
// needed: all of it where the job can't wait much longer than an instance takes to
// come, else the part with which it is in time when others use the room before it.
func (p *Pool) pressure(j *jobState, s *stepState, now time.Time) float64 {
	takes := max(p.expectStep(j, s), time.Millisecond)
	slack := j.slack(now)
	if now.Before(j.latest) {
		slack -= addTime
	}
	return float64(takes) / float64(takes+max(slack, 0))
}

// limitPatience is for how long what waits for its customer's allowance counts as needed: room
// that is lent comes within half a second, or does not come soon.
const limitPatience = time.Second

// needs adds what a job's open tasks need.
func (p *Pool) needs(j *jobState, now time.Time, r *Report) {
	for n := range j.rounds {
		if j.rounds[n] == nil || j.rounds[n].left == 0 || j.sub.RepeatCount > 0 && now.Before(p.due(j, n)) {
			continue
		}
		for i := range j.rounds[n].steps {
			s := &j.rounds[n].steps[i]
			room := s.spec.Reservation()
			if s.waiting > 0 && s.spec.Label == "" && (s.spec.LongRunning && !p.elsewhere(s, now) || p.barredEverywhere(s, now)) {
				r.MinWorkers = max(r.MinWorkers, p.openWorkers(now)+1) // another may suit it
			}
			if s.spec.MaxPerWorker > 0 && (s.spec.LongRunning || s.waiting > 0) {
				r.MinWorkers = max(r.MinWorkers, (len(s.tasks)-s.done+s.spec.MaxPerWorker-1)/s.spec.MaxPerWorker)
			}
			switch {
			case s.spec.Label != "":
				if s.waiting > 0 && j.rounds[n].ready(i) {
					r.label(s.spec.Label, room.Times(s.waiting).Scale(p.pressure(j, s, now)))
				}
			case s.spec.LongRunning:
				r.Lasting = r.Lasting.Plus(room.Times(len(s.tasks)))
			case s.waiting > 0 && j.rounds[n].ready(i):
				waiting := room.Times(s.waiting)
				if p.atLimitFor(j.sub.Customer, now) > limitPatience {
					continue
				}
				if j.urgency(s, now) == overdue {
					r.Overdue = r.Overdue.Plus(waiting)
					continue
				}
				r.Waiting = r.Waiting.Plus(waiting)
				r.Required = r.Required.Plus(waiting.Scale(p.pressure(j, s, now)))
			}
		}
	}
}

// leave moves what runs on workers that it has to go from: tasks that last are
// stopped one at a time, so that no more than allowed of a step are away, and go
// on elsewhere; those with checkpoints are stopped where they would run for
// longer than a move takes.
func (p *Pool) leave(now time.Time) {
	for _, w := range p.workers {
		if !w.leaves() || !w.silent.IsZero() {
			continue
		}
		for _, u := range w.runs {
			p.leaveRun(w, u, now)
		}
		if w.mustLeave(now) {
			p.leaveAll(w, now)
		}
	}
}

// mustPatience is how long tasks that last may look for another place before they
// are stopped for their instance's maintenance.
const mustPatience = 5 * time.Second

// leaveAll stops the tasks that last on a worker together, where that is allowed
// for all of them: one that stayed would keep the instance from its maintenance
// and the others from their place.
func (p *Pool) leaveAll(w *workerState, now time.Time) {
	here := make(map[*stepState]int)
	for _, u := range w.runs {
		if u.stray || u.stopping || !u.step().spec.LongRunning || u.phase != running {
			return
		}
		here[u.step()]++
	}
	for s, n := range here {
		if s.away(nil)+n > max(s.spec.MaxUnavailable, 1) {
			return
		}
	}
	for _, u := range w.runs {
		p.stop(u, now, "its instance must be maintained, and it has no other place")
	}
}

// moveWorth is how much longer than its stop a run with checkpoints must have
// left for a move to be worth it.
const moveWorth = 1500 * time.Millisecond

func (p *Pool) leaveRun(w *workerState, u *run, now time.Time) {
	if u.phase != running || u.stopping || u.stray {
		return
	}
	s := u.step()
	switch {
	case s.spec.LongRunning:
		if w.info.Draining && !w.cordoned || p.mayMiss(s) && p.elsewhere(s, now) {
			p.stop(u, now, "its worker is to be left")
		}
	case s.spec.Checkpointing && !s.spec.Gang:
		left := p.expectStep(u.job, s) - now.Sub(u.began)
		if left > p.Limits.StopTime+moveWorth {
			p.stop(u, now, "its worker is to be left, and it can go on elsewhere")
		}
	}
}

// elsewhere reports whether a task of a step has room on an open worker.
func (p *Pool) elsewhere(s *stepState, now time.Time) bool {
	for _, w := range p.workers {
		if p.suits(s, w, now) {
			return true
		}
	}
	return false
}

// mayMiss reports whether one more task of a step that lasts may be away by our
// doing.
func (p *Pool) mayMiss(s *stepState) bool {
	return s.away(nil) < max(s.spec.MaxUnavailable, 1)
}

// away returns how many tasks of a step that lasts are not known to be at work, without
// one, nil for none.
func (s *stepState) away(without *taskState) int {
	n := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; t != without && !t.serves() {
			n++
		}
	}
	return n
}

// serves reports whether a task that lasts is known to be at work: one on a worker
// that does not answer is not.
func (t *taskState) serves() bool {
	for _, u := range t.runs {
		if u.phase == running && !u.stopping && u.percent >= fullPace && u.at.silent.IsZero() {
			return true
		}
	}
	return false
}
