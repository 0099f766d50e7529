// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// The store refuses records beyond a size, and a batch with such a record can never be persisted. So the progress
// of a job whose record has grown is split into parts, each a record of its own for as many tasks; tasks that have
// never been started need none. Only the parts that have changed are written.

// keyPart is the prefix of the keys of parts; the job's name, a slash and the part's number follow.
const keyPart = "t/"

const (
	// maxProgressBytes is the size of a job's progress from which on it is split.
	maxProgressBytes = 16 << 10
	// tasksPerPart is how many tasks, of one round after the other, a part is for: some 10 KB.
	tasksPerPart = 200
	// maxJobEntries is how many entries a record beside a job's progress has at most, some 60 bytes each.
	maxJobEntries = 2000
	// maxJobRecordBytes is the size of such a record: its entries name workers, whose names may be long.
	maxJobRecordBytes = 128 << 10
	// maxPartBytes is the size from which on a part has no checkpoints: a worker may send long ones.
	maxPartBytes = 128 << 10
)

// fragment is the progress of tasks of one step that follow each other.
type fragment struct {
	_     struct{} `cbor:",toarray"`
	Round int
	Step  int
	First int
	Count int
	Tasks []taskProgress // nil if all are done
}

// parts is the state of the parts of a job's progress; the zero value is that of a job with a single record.
type parts struct {
	split     bool
	persisted map[int]uint64 // hashes of the persisted parts, or of those in the batch in progress, by number
	changed   map[int]bool   // parts that may have changed since the last batch, by number
}

var partSeed = maphash.MakeSeed()

// fragment returns the progress of tasks of a step, false if none of them has been started.
func (s *stepState) fragment(first, count int) (fragment, bool) {
	f := fragment{Round: s.ref.Round, Step: s.ref.Step, First: first, Count: count}
	touched, allDone := false, true
	for i := first; i < first+count; i++ {
		t := s.peek(i)
		touched, allDone = touched || !t.untouched(), allDone && t.done
	}
	if touched && !allDone {
		f.Tasks = s.taskProgress(first, count)
	}
	return f, touched
}

// fragments returns the progress of the tasks of a part.
func (j *jobState) fragments(part int) []fragment {
	var list []fragment
	perRound := j.sub.TasksPerRound()
	first, end := part*tasksPerPart, (part+1)*tasksPerPart
	for n := first / perRound; n < len(j.rounds) && n*perRound < end; n++ {
		before := n * perRound // tasks before those of the step
		for i := range j.sub.Steps {
			from, to := max(first-before, 0), min(end-before, j.sub.Steps[i].Count)
			if f, touched := j.fragment(n, i, from, to-from); touched {
				list = append(list, f)
			}
			before += j.sub.Steps[i].Count
		}
	}
	return list
}

// fragment returns the progress of tasks of a step, false if there are none or none of them has been started.
func (j *jobState) fragment(round, step, first, count int) (fragment, bool) {
	switch r := j.rounds[round]; {
	case count <= 0 || r == nil:
		return fragment{}, false
	case r == endedRound:
		return fragment{Round: round, Step: step, First: first, Count: count}, true
	default:
		return r.steps[step].fragment(first, count)
	}
}

func partRecord(id job.ID, part int, value []byte) port.Record {
	return port.Record{Key: fmt.Sprint(keyPart, id, "/", part), Value: value}
}

// addParts adds the parts of a job that have changed to the batch.
func (b *Batch) addParts(j *jobState) error {
	if !j.parts.split {
		return nil
	}
	for _, part := range slices.Sorted(maps.Keys(j.parts.changed)) {
		fragments := j.fragments(part)
		if len(fragments) == 0 {
			if _, has := j.parts.persisted[part]; has {
				delete(j.parts.persisted, part)
				b.Records = append(b.Records, partRecord(j.sub.ID, part, nil))
			}
			continue
		}
		data, err := codec.Marshal(fragments)
		if err != nil {
			return err
		}
		if len(data) > maxPartBytes {
			dropCheckpoints(fragments)
			if data, err = codec.Marshal(fragments); err != nil {
				return err
			}
		}
		if hash := maphash.Bytes(partSeed, data); j.parts.persisted[part] != hash {
			j.parts.persisted[part] = hash
			b.Records = append(b.Records, partRecord(j.sub.ID, part, data))
		}
	}
	clear(j.parts.changed)
	return nil
}

// dropCheckpoints removes the checkpoints: a task that the next owner starts again begins anew.
func dropCheckpoints(fragments []fragment) {
	for _, f := range fragments {
		for i := range f.Tasks {
			f.Tasks[i].Checkpoint = ""
		}
	}
}

// splitParts splits the progress of a job into parts, all of which are written next.
func (j *jobState) splitParts() {
	j.parts = newParts()
	perRound := j.sub.TasksPerRound()
	for n := range j.rounds {
		if r := j.rounds[n]; r == nil || !r.begun {
			continue
		}
		for part := n * perRound / tasksPerPart; part*tasksPerPart < (n+1)*perRound; part++ {
			j.parts.changed[part] = true
		}
	}
}

func newParts() parts { return parts{true, make(map[int]uint64), make(map[int]bool)} }

// dropParts removes the parts of a job that has ended.
func (b *Batch) dropParts(j *jobState) {
	for _, part := range slices.Sorted(maps.Keys(j.parts.persisted)) {
		b.Records = append(b.Records, partRecord(j.sub.ID, part, nil))
	}
	j.parts = parts{}
}

// restoreParts restores the parts of jobs that earlier owners have persisted.
func (p *Pool) restoreParts(records []port.Record, now time.Time, reserveFor time.Duration) error {
	restored := make(map[*jobState]bool)
	for _, r := range records {
		name, isPart := strings.CutPrefix(r.Key, keyPart)
		if !isPart || len(r.Value) == 0 {
			continue
		}
		id, number, _ := strings.Cut(name, "/")
		part, err := strconv.Atoi(number)
		if err != nil {
			return errors.Annotatef(err, "part %q of a job", name)
		}
		j := p.jobs[job.ID(id)]
		if j == nil || len(j.sub.Steps) == 0 {
			p.Logger.Warn().Str("event", "part").Str("job", id).Int("part", part).Str("outcome", "removed").
				Msg("a part of the progress of a job that is unknown or has ended was left in the journal")
			p.leftKeys = append(p.leftKeys, r.Key)
			continue
		}
		var fragments []fragment
		if err := codec.Unmarshal(r.Value, &fragments); err != nil {
			return errors.Annotatef(err, "decode part %s of a job", name)
		}
		if j.parts.persisted == nil {
			j.parts = newParts()
		}
		j.parts.persisted[part] = maphash.Bytes(partSeed, r.Value)
		restored[j] = true
		for _, f := range fragments {
			if err := p.restoreFragment(j, f, now, reserveFor); err != nil {
				return errors.Annotatef(err, "part %s", name)
			}
		}
	}
	for j := range restored {
		j.countOpenSteps()
		clear(j.parts.changed)
	}
	return nil
}

func (p *Pool) restoreFragment(j *jobState, f fragment, now time.Time, reserveFor time.Duration) error {
	s := j.findStep(f.Round, f.Step)
	if s == nil || f.First < 0 || f.First+f.Count > s.count() || len(f.Tasks) > f.Count {
		return errors.Errorf("round %d, step %d has no tasks %d to %d", f.Round, f.Step, f.First, f.First+f.Count-1)
	}
	for i, d := range f.Tasks {
		p.restoreTask(j, s, f.First+i, d, now, reserveFor)
	}
	if f.Tasks == nil {
		for i := range f.Count {
			s.setDone(f.First + i)
		}
		j.countOpen(f.Round)
	}
	return nil
}

// findStep returns a step of a job, whose round it opens, nil if there is none.
func (j *jobState) findStep(round, step int) *stepState {
	if round < 0 || round >= j.sub.Rounds() || step < 0 || step >= len(j.sub.Steps) {
		return nil
	}
	r := j.openRound(round)
	if r == endedRound {
		return nil
	}
	return &r.steps[step]
}

// countOpenSteps counts the steps that are not done, once all tasks of a job have been restored.
func (j *jobState) countOpenSteps() {
	for n := range j.rounds {
		j.countOpen(n)
	}
	j.skipEnded()
}

// countOpen counts the steps of a round that are not done, and drops its state if there are none.
func (j *jobState) countOpen(round int) {
	r := j.rounds[round]
	if r == nil || r == endedRound {
		return
	}
	r.openSteps = 0
	for i := range r.steps {
		if s := &r.steps[i]; s.done < s.count() {
			r.openSteps++
		}
	}
	j.dropEnded(round)
}
