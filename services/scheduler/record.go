// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// A job has two keys: its submission, which is written once and reduced to the job's customer when
// the job ends, and its progress, which is written with each change. Each cordoned worker has a
// key, and so has each worker with runs, for its start time (restart.go), and each job with crashes
// attributed to its tasks. Jobs with failed tasks, jobs with runs that were seen running and unhealthy
// workers have keys as well (record_health.go, record_running.go). Each queue with jobs has a key (queue.go).
// The pool's allowances have one key (allowance.go), and so has what its owner has learned (learned.go).
const (
	keySubmission = "s/"
	keyProgress   = "p/"
	keyCordon     = "c/" // followed by the worker's name
	keyCrashes    = "x/" // followed by the job's name
)

// progress is the persisted progress of a job.
type progress struct {
	_        struct{} `cbor:",toarray"`
	State    job.State
	Accepted int64 // milliseconds since 1970
	Ended    int64 // milliseconds since 1970, 0 for not yet
	Began    bool
	Rounds   []roundProgress // rounds with tasks that have been started, unless the job has parts
}

type roundProgress struct {
	_     struct{} `cbor:",toarray"`
	Round int
	Steps [][]taskProgress // nil for a step whose tasks are all done, or have never been started
	Done  []bool           // by step
}

type taskProgress struct {
	_          struct{} `cbor:",toarray"`
	Number     int
	Fails      int
	Done       bool
	Checkpoint string
	Runs       []runProgress
}

// untouched reports whether the task has never been started.
func (d *taskProgress) untouched() bool {
	return d.Number == 0 && d.Fails == 0 && !d.Done && d.Checkpoint == "" && len(d.Runs) == 0
}

type runProgress struct {
	_        struct{} `cbor:",toarray"`
	Number   int
	Worker   worker.ID
	Address  string
	Stopping bool
}

// Batch is a set of changes that are persisted together.
type Batch struct {
	Number  uint64
	Records []port.Record
	jobs    []jobRecords // in the order of the records
	runs    []*run
	stops   []*run
	ends    []endMark
	stored  []*jobState
	ended   []*jobState // without active runs

	silent    map[worker.ID]int64 // workers that its record of workers that do not respond names
	hasSilent bool                // it has such a record
}

// endMark is the newest end of a worker that the batch includes.
type endMark struct {
	worker   *workerState
	sequence int
}

// Collect returns the changes since the last batch, nil if there are none.
func (p *Pool) Collect() (*Batch, error) {
	b := &Batch{Number: p.batch, runs: p.plannedRuns, stops: p.pendingStops}
	for _, j := range p.dirty {
		first := len(b.Records)
		if err := b.add(j, p.Clock); err != nil {
			return nil, err
		}
		b.jobs = append(b.jobs, jobRecords{j.sub.ID, first, len(b.Records)})
	}
	for _, key := range p.leftKeys {
		b.Records = append(b.Records, port.Record{Key: key})
	}
	p.leftKeys = nil
	for _, id := range p.changedCordons {
		b.Records = append(b.Records, cordonRecord(id, p.cordons[id]))
	}
	p.changedCordons = nil
	if err := p.addQueues(b); err != nil {
		return nil, err
	}
	if err := p.addHealth(b); err != nil {
		return nil, err
	}
	if err := p.addStarts(b); err != nil {
		return nil, err
	}
	if p.allowances.changed {
		r, err := p.allowancesRecord()
		if err != nil {
			return nil, err
		}
		b.Records = append(b.Records, r)
		p.allowances.changed = false
	}
	if err := p.addLearned(b); err != nil {
		return nil, err
	}
	if err := p.addRunning(b); err != nil {
		return nil, err
	}
	if err := p.addSilent(b); err != nil {
		return nil, err
	}
	for _, w := range p.workers {
		if w.lastEnd > w.persistedEnd {
			b.ends = append(b.ends, endMark{w, w.lastEnd})
		}
	}
	if len(b.Records) == 0 && len(b.ends) == 0 && len(b.runs) == 0 && len(b.stops) == 0 {
		return nil, nil
	}
	for _, j := range p.dirty {
		j.dirty = false
		j.collected = true
	}
	clear(p.dirty)
	p.dirty = p.dirty[:0]
	p.plannedRuns, p.pendingStops = nil, nil
	p.batch++
	return b, nil
}

// add adds the records of a job to the batch.
func (b *Batch) add(j *jobState, c clock.Clock) error {
	id := string(j.sub.ID)
	if j.state == "" { // the job is forgotten
		b.dropParts(j)
		b.Records = append(b.Records, port.Record{Key: keyProgress + id})
		if j.sub.Customer != "" {
			b.Records = append(b.Records, port.Record{Key: keySubmission + id})
		}
		return nil
	}
	if err := b.addSubmission(j); err != nil {
		return err
	}
	if err := b.addProgress(j, c); err != nil {
		return err
	}
	if err := addJobRecord(b, j, &j.running, keyRunning, j.runningRecords); err != nil {
		return err
	}
	if err := addJobRecord(b, j, &j.failures, keyFailures, j.failureRecords); err != nil {
		return err
	}
	return addJobRecord(b, j, &j.crashes, keyCrashes, j.crashRecords)
}

// addProgress adds a job's progress to the batch, in parts if it has grown too large for one record.
func (b *Batch) addProgress(j *jobState, c clock.Clock) error {
	data, err := codec.Marshal(j.progress(c))
	if err != nil {
		return err
	}
	if !j.parts.split && len(data) > maxProgressBytes {
		j.splitParts()
		if data, err = codec.Marshal(j.progress(c)); err != nil {
			return err
		}
	}
	record := port.Record{Key: keyProgress + string(j.sub.ID), Value: data}
	if j.finished() {
		b.Records = append(b.Records, record)
		b.ended = append(b.ended, j)
		b.dropParts(j)
		return nil
	}
	if err := b.addParts(j); err != nil {
		return err
	}
	b.Records = append(b.Records, record) // after the parts, which it may rely on
	return nil
}

// addSubmission adds the persisted part of a job's submission to the batch if it has changed.
func (b *Batch) addSubmission(j *jobState) error {
	submission := j.sub
	switch {
	case !j.finished() && j.stored:
		return nil
	case !j.finished():
		b.stored = append(b.stored, j)
	case j.sub.Customer != "":
		submission = job.Submission{ID: j.sub.ID, Queue: j.sub.Queue, Customer: j.sub.Customer}
	case j.stored:
		b.Records = append(b.Records, port.Record{Key: keySubmission + string(j.sub.ID)})
		return nil
	default:
		return nil
	}
	data, err := codec.Marshal(submission)
	if err != nil {
		return err
	}
	b.Records = append(b.Records, port.Record{Key: keySubmission + string(j.sub.ID), Value: data})
	return nil
}

func (j *jobState) progress(c clock.Clock) progress {
	d := progress{State: j.state, Accepted: c.WallTime(j.accepted).UnixMilli(), Began: j.started}
	if j.state.Final() {
		d.Ended = c.WallTime(j.endedAt).UnixMilli()
	}
	if j.finished() || j.parts.split {
		return d
	}
	for n, r := range j.rounds {
		if r == nil || !r.begun {
			continue
		}
		steps := len(j.sub.Steps)
		o := roundProgress{Round: n, Steps: make([][]taskProgress, steps), Done: make([]bool, steps)}
		touched := false
		for i := range steps {
			if r == endedRound {
				o.Done[i], touched = true, true
				continue
			}
			s := &r.steps[i]
			o.Done[i] = s.done == s.count()
			if !o.Done[i] && !s.untouched() {
				o.Steps[i] = s.taskProgress(0, s.count())
			}
			touched = touched || o.Done[i] || o.Steps[i] != nil
		}
		if touched {
			d.Rounds = append(d.Rounds, o)
		}
	}
	return d
}

// taskProgress returns the progress of tasks of a step.
func (s *stepState) taskProgress(first, count int) []taskProgress {
	tasks := make([]taskProgress, count)
	for i := range tasks {
		t := s.peek(first + i)
		d := taskProgress{Number: t.number, Fails: t.failures, Done: t.done, Checkpoint: t.checkpoint}
		for _, u := range t.runs {
			d.Runs = append(d.Runs, runProgress{Number: u.number, Worker: u.worker.info.ID, Address: cmp.Or(u.worker.provenAddress, u.worker.info.Address), Stopping: u.stopping})
		}
		tasks[i] = d
	}
	return tasks
}

// Committed records that a batch is persisted, so that its changes may be acted on. Its runs count
// as persisted from the time at which the append was sent: this node owned the pool then, which
// does not follow from the time at which the response is read.
func (p *Pool) Committed(b *Batch, sent time.Time) {
	p.committed = b.Number
	p.noteSilentPersisted(b)
	p.ahead.confirmedAt = sent
	p.notePersistedAllowances()
	for _, j := range b.stored {
		j.stored = true
	}
	for _, j := range b.ended {
		if len(j.active) > 0 {
			continue
		}
		j.dropRounds()
		if j.state != "" {
			p.changeFootprint(j, endedFootprint(&j.sub))
		}
	}
	for _, u := range b.runs {
		if u.phase == planned {
			u.phase = ordered
			u.persistedAt = sent
			if !u.held {
				p.queueOrder(u.worker, Order{Run: u})
			}
		}
	}
	for _, u := range b.stops {
		p.queueOrder(u.worker, Order{Run: u, Stop: true})
	}
	for _, s := range b.ends {
		s.worker.persistedEnd = max(s.worker.persistedEnd, s.sequence)
	}
}

// Restore restores the state that an earlier owner persisted. Its runs may still be active: their
// capacity stays reserved until their worker has responded, for reserveFor at most.
func (p *Pool) Restore(records []port.Record, now time.Time, reserveFor time.Duration) error {
	submissions := make(map[job.ID]job.Submission)
	if err := eachRecord(records, keySubmission, "submission", func(id string, s job.Submission) error {
		submissions[job.ID(id)] = s
		return nil
	}); err != nil {
		return err
	}
	for _, r := range records {
		if id, isCordon := strings.CutPrefix(r.Key, keyCordon); isCordon && len(r.Value) > 0 {
			p.cordons[worker.ID(id)] = true
		}
	}
	if err := p.restoreQueues(records); err != nil {
		return err
	}
	if err := p.restoreStarts(records); err != nil {
		return err
	}
	type jobRounds struct {
		job  *jobState
		list []roundProgress
	}
	var rounds []jobRounds
	if err := eachRecord(records, keyProgress, "progress", func(id string, d progress) error {
		s, has := submissions[job.ID(id)]
		if !has && !d.State.Final() {
			return errors.Errorf("job %s is %s but has no submission", id, d.State)
		}
		s.ID = job.ID(id)
		rounds = append(rounds, jobRounds{p.restoreJob(s, d, now), d.Rounds})
		return nil
	}); err != nil {
		return err
	}
	if err := p.restoreParts(records, now, reserveFor); err != nil {
		return err
	}
	for _, r := range rounds {
		for _, o := range r.list {
			p.restoreRound(r.job, o, now, reserveFor)
		}
		r.job.countOpenSteps()
	}
	if err := p.restoreSilent(records, now, reserveFor); err != nil {
		return err
	}
	if err := p.restoreCrashes(records); err != nil {
		return err
	}
	if err := p.restoreRunning(records); err != nil {
		return err
	}
	if err := p.restoreFailures(records, now); err != nil {
		return err
	}
	if err := p.restoreHealth(records, now); err != nil {
		return err
	}
	if err := p.restoreAllowances(records); err != nil {
		return err
	}
	p.restoreLearned(records, now)
	p.sortActive()
	p.needsPlan = true
	return nil
}

// sortActive sorts the active jobs by arrival and computes their objectives.
func (p *Pool) sortActive() {
	sortJobs(p.active)
	for _, j := range p.active {
		p.updateObjective(j)
	}
}

func (p *Pool) restoreJob(s job.Submission, d progress, now time.Time) *jobState {
	j := p.newJob(s, p.Clock.FromWallTime(time.UnixMilli(d.Accepted)))
	j.state, j.started, j.stored, j.collected = d.State, d.Began, true, true
	p.jobs[s.ID] = j
	if d.State.Final() {
		p.changeFootprint(j, endedFootprint(&s))
		j.endedAt = p.Clock.FromWallTime(time.UnixMilli(d.Ended))
		p.ended = append(p.ended, endedJob{s.ID, now.Add(p.Limits.Retention)})
	} else {
		p.changeFootprint(j, Footprint(&s))
		p.active = append(p.active, j)
	}
	return j
}

// restoreRound restores the progress of a round. A job that has parts as well was being split: the parts are newer.
func (p *Pool) restoreRound(j *jobState, o roundProgress, now time.Time, reserveFor time.Duration) {
	if len(j.sub.Steps) == 0 || o.Round < 0 || o.Round >= j.sub.Rounds() {
		return // only the state of an ended job is persisted
	}
	r := j.openRound(o.Round)
	for i := range r.steps {
		s := &r.steps[i]
		switch {
		case !o.Done[i]:
		case s.untouched():
			s.setAllDone()
		default:
			for t := range s.count() {
				s.setDone(t)
			}
		}
		for t, d := range o.Steps[i] {
			if s.peek(t).untouched() {
				p.restoreTask(j, s, t, d, now, reserveFor)
			}
		}
	}
}

func (p *Pool) restoreTask(j *jobState, s *stepState, index int, d taskProgress, now time.Time, reserveFor time.Duration) {
	if d.Done {
		s.setDone(index)
	}
	if d.Done && len(d.Runs) == 0 || d.untouched() {
		return
	}
	t := s.task(index)
	t.number, t.failures, t.checkpoint = d.Number, d.Fails, d.Checkpoint
	for _, o := range d.Runs {
		w := p.workers[o.Worker]
		if w == nil {
			w = p.addWorker(worker.Worker{ID: o.Worker, Pool: p.Name, Address: o.Address})
		}
		w.provenAddress = o.Address
		w.unresponsiveSince = now
		w.restoredRunsEndAt = now.Add(reserveFor)
		ref := job.TaskRef{StepRef: s.ref, Index: index}
		u := &run{
			job: j, of: s, state: t, ref: ref, name: ref.String(), number: o.Number, worker: w, size: s.spec.Reservation(),
			phase: ordered, restored: true, cpuShare: fullPercent, progressedAt: now,
		}
		p.attach(u)
		if o.Stopping {
			u.stopping = true
			p.queueOrder(w, Order{Run: u, Stop: true})
		}
	}
}
