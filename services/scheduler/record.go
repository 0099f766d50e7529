// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// What is kept of a job lies under two keys: its submission, written once, of which only
// whose job it is stays once it has ended, and its progress, written with each change.
// Cordoned workers have a key each, and so have the starts of workers with runs (restart.go)
// and the jobs under whose tasks workers have crashed. The pool's allowances have one
// (allowance.go).
const (
	keySubmission = "s/"
	keyProgress   = "p/"
	keyCordon     = "c/" // with the worker's name
	keyCrashes    = "x/" // with the job's name
)

// progress is what is kept of how far a job is.
type progress struct {
	_        struct{} `cbor:",toarray"`
	State    job.State
	Accepted int64 // milliseconds since 1970
	Ended    int64 // the same, 0 for not yet
	Began    bool
	Rounds   []roundProgress // those that have been opened
}

type roundProgress struct {
	_     struct{} `cbor:",toarray"`
	Round int
	Steps [][]taskProgress // nil for a step whose tasks are all done
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

type runProgress struct {
	_        struct{} `cbor:",toarray"`
	Number   int
	Worker   worker.ID
	Address  string
	Stopping bool
}

// Batch is a set of changes that are kept together.
type Batch struct {
	Number  uint64
	Records []port.Record
	runs    []*run
	stops   []*run
	seen    []seenEnd
	stored  []*jobState
}

// seenEnd is up to which end of a worker the batch has taken note.
type seenEnd struct {
	at       *workerState
	sequence int
}

// Collect returns what has changed since the last batch, nil for nothing.
func (p *Pool) Collect() (*Batch, error) {
	b := &Batch{Number: p.batch, runs: p.planned, stops: p.stops}
	for _, j := range p.dirty {
		if err := b.add(j, p.Clock); err != nil {
			return nil, err
		}
	}
	for _, id := range p.recordons {
		b.Records = append(b.Records, cordonRecord(id, p.cordons[id]))
	}
	p.recordons = nil
	if err := p.addStarts(b); err != nil {
		return nil, err
	}
	if p.allowed.changed {
		r, err := p.allowancesRecord()
		if err != nil {
			return nil, err
		}
		b.Records = append(b.Records, r)
		p.allowed.changed = false
	}
	for _, w := range p.workers {
		if w.seen > w.kept {
			b.seen = append(b.seen, seenEnd{w, w.seen})
		}
	}
	if len(b.Records) == 0 && len(b.seen) == 0 && len(b.runs) == 0 && len(b.stops) == 0 {
		return nil, nil
	}
	for _, j := range p.dirty {
		j.dirty = false
		j.collected = true
	}
	clear(p.dirty)
	p.dirty = p.dirty[:0]
	p.planned, p.stops = nil, nil
	p.batch++
	return b, nil
}

// add puts the records of a job into the batch.
func (b *Batch) add(j *jobState, c clock.Clock) error {
	id := string(j.sub.ID)
	if j.state == "" { // forgotten
		b.Records = append(b.Records, port.Record{Key: keyProgress + id})
		if j.sub.Customer != "" {
			b.Records = append(b.Records, port.Record{Key: keySubmission + id})
		}
		return nil
	}
	if err := b.addSubmission(j); err != nil {
		return err
	}
	data, err := codec.Marshal(j.progress(c))
	if err != nil {
		return err
	}
	b.Records = append(b.Records, port.Record{Key: keyProgress + id, Value: data})
	return b.addCrashes(j)
}

// addSubmission puts what is to be kept of a job's submission into the batch, where that
// has changed.
func (b *Batch) addSubmission(j *jobState) error {
	kept := j.sub
	switch {
	case !j.over() && j.stored:
		return nil
	case !j.over():
		b.stored = append(b.stored, j)
	case j.sub.Customer != "":
		kept = job.Submission{ID: j.sub.ID, Queue: j.sub.Queue, Customer: j.sub.Customer}
	case j.stored:
		b.Records = append(b.Records, port.Record{Key: keySubmission + string(j.sub.ID)})
		return nil
	default:
		return nil
	}
	data, err := codec.Marshal(kept)
	if err != nil {
		return err
	}
	b.Records = append(b.Records, port.Record{Key: keySubmission + string(j.sub.ID), Value: data})
	return nil
}

func (j *jobState) progress(c clock.Clock) progress {
	d := progress{State: j.state, Accepted: c.WallTime(j.accepted).UnixMilli(), Began: j.began}
	if j.state.Final() {
		d.Ended = c.WallTime(j.endedAt).UnixMilli()
	}
	if j.over() {
		return d
	}
	for n, r := range j.rounds {
		if r == nil {
			continue
		}
		o := roundProgress{Round: n, Steps: make([][]taskProgress, len(r.steps)), Done: make([]bool, len(r.steps))}
		for i := range r.steps {
			o.Done[i] = r.steps[i].done == len(r.steps[i].tasks)
			if !o.Done[i] {
				o.Steps[i] = r.steps[i].progress()
			}
		}
		d.Rounds = append(d.Rounds, o)
	}
	return d
}

func (s *stepState) progress() []taskProgress {
	tasks := make([]taskProgress, len(s.tasks))
	for i := range s.tasks {
		t := &s.tasks[i]
		d := taskProgress{Number: t.number, Fails: t.fails, Done: t.done, Checkpoint: t.checkpoint}
		for _, u := range t.runs {
			d.Runs = append(d.Runs, runProgress{Number: u.number, Worker: u.at.info.ID, Address: u.at.info.Address, Stopping: u.stopping})
		}
		tasks[i] = d
	}
	return tasks
}

// Committed takes the news that a batch is kept for good: what it carries may be
// acted on. Its runs count as kept from when the append was sent: then this node
// owned the pool, which the time at which the answer is read does not tell.
func (p *Pool) Committed(b *Batch, sent time.Time) {
	p.committed = b.Number
	p.keptAllowances()
	for _, j := range b.stored {
		j.stored = true
	}
	for _, u := range b.runs {
		if u.phase == planned {
			u.phase = ordered
			u.kept = sent
			p.order(u.at, Order{Run: u})
		}
	}
	for _, u := range b.stops {
		p.order(u.at, Order{Run: u, Stop: true})
	}
	for _, s := range b.seen {
		s.at.kept = max(s.at.kept, s.sequence)
	}
}

// Restore takes over what an earlier owner has kept. Its runs may be under way;
// until their worker has answered, or surely for the given time, their room is
// taken.
func (p *Pool) Restore(records []port.Record, now time.Time, surely time.Duration) error {
	submissions := make(map[job.ID]job.Submission)
	for _, r := range records {
		id, isSubmission := strings.CutPrefix(r.Key, keySubmission)
		if !isSubmission || len(r.Value) == 0 {
			continue
		}
		var s job.Submission
		if err := codec.Unmarshal(r.Value, &s); err != nil {
			return errors.Annotatef(err, "submission %s", id)
		}
		submissions[job.ID(id)] = s
	}
	for _, r := range records {
		if id, isCordon := strings.CutPrefix(r.Key, keyCordon); isCordon && len(r.Value) > 0 {
			p.cordons[worker.ID(id)] = true
		}
	}
	if err := p.restoreStarts(records); err != nil {
		return err
	}
	for _, r := range records {
		id, isProgress := strings.CutPrefix(r.Key, keyProgress)
		if !isProgress || len(r.Value) == 0 {
			continue
		}
		var d progress
		if err := codec.Unmarshal(r.Value, &d); err != nil {
			return errors.Annotatef(err, "progress %s", id)
		}
		s, has := submissions[job.ID(id)]
		if !has && !d.State.Final() {
			return errors.Errorf("job %s is %s and has no submission", id, d.State)
		}
		s.ID = job.ID(id)
		p.restoreJob(s, d, now, surely)
	}
	if err := p.restoreCrashes(records); err != nil {
		return err
	}
	if err := p.restoreAllowances(records); err != nil {
		return err
	}
	p.arrange()
	p.moved = true
	return nil
}

// arrange sorts the active jobs as they came.
func (p *Pool) arrange() {
	sortJobs(p.active)
	for _, j := range p.active {
		p.weigh(j)
	}
}

func (p *Pool) restoreJob(s job.Submission, d progress, now time.Time, surely time.Duration) {
	j := p.newJob(s, p.Clock.FromWallTime(time.UnixMilli(d.Accepted)))
	j.state, j.began, j.stored, j.collected = d.State, d.Began, true, true
	p.jobs[s.ID] = j
	if d.State.Final() {
		j.endedAt = p.Clock.FromWallTime(time.UnixMilli(d.Ended))
		p.ended = append(p.ended, endedJob{s.ID, now.Add(p.Limits.Retention)})
	} else {
		p.active = append(p.active, j)
	}
	for _, o := range d.Rounds {
		p.restoreRound(j, o, now, surely)
	}
}

func (p *Pool) restoreRound(j *jobState, o roundProgress, now time.Time, surely time.Duration) {
	if len(j.sub.Steps) == 0 || o.Round >= len(j.rounds) {
		return // of an ended job nothing is kept but its state
	}
	r := j.openRound(o.Round)
	for i := range r.steps {
		s := &r.steps[i]
		if o.Done[i] {
			for t := range s.tasks {
				s.tasks[t].done = true
			}
			s.done, s.waiting = len(s.tasks), 0
			r.left--
			continue
		}
		for t, d := range o.Steps[i] {
			p.restoreTask(j, s, t, d, now, surely)
		}
	}
}

func (p *Pool) restoreTask(j *jobState, s *stepState, index int, d taskProgress, now time.Time, surely time.Duration) {
	t := &s.tasks[index]
	t.number, t.fails, t.done, t.checkpoint = d.Number, d.Fails, d.Done, d.Checkpoint
	if t.done {
		s.done++
		s.waiting--
	}
	for _, o := range d.Runs {
		w := p.workers[o.Worker]
		if w == nil {
			w = p.addWorker(worker.Worker{ID: o.Worker, Pool: p.Name, Address: o.Address})
		}
		w.silent = now
		w.surely = now.Add(surely)
		ref := job.TaskRef{StepRef: s.ref, Index: index}
		u := &run{
			job: j, ref: ref, name: ref.String(), number: o.Number, at: w, room: s.spec.Reservation(),
			phase: ordered, restored: true, pace: fullPace, moved: now,
		}
		p.attach(u)
		if o.Stopping {
			u.stopping = true
			p.order(w, Order{Run: u, Stop: true})
		}
	}
}
