// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"strings"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// crashRecord is the persisted form of a crash that is attributed to a task.
type crashRecord struct {
	_         struct{} `cbor:",toarray"`
	Round     int
	Step      int
	Index     int
	Worker    string // its incarnation
	Weight    float64
	Confirmed bool `cbor:"Sure"`
}

// addCrashes adds the crashes attributed to a job's tasks to the batch if they have changed.
func (b *Batch) addCrashes(j *jobState) error {
	if !j.crashesChanged && !(j.crashesPersisted && j.state.Final()) {
		return nil
	}
	j.crashesChanged = false
	crashes := j.crashRecords()
	if len(crashes) == 0 && !j.crashesPersisted {
		return nil
	}
	r := port.Record{Key: keyCrashes + string(j.sub.ID)}
	if j.crashesPersisted = len(crashes) > 0; j.crashesPersisted {
		data, err := codec.Marshal(crashes)
		if err != nil {
			return err
		}
		r.Value = data
	}
	b.Records = append(b.Records, r)
	return nil
}

// crashRecords returns the crashes attributed to a job's tasks, none for a job that has ended.
func (j *jobState) crashRecords() []crashRecord {
	if j.state.Final() {
		return nil
	}
	var list []crashRecord
	for n, r := range j.rounds {
		if r == nil {
			continue
		}
		for i := range r.steps {
			for t := range r.steps[i].tasks {
				for _, c := range r.steps[i].tasks[t].crashes {
					list = append(list, crashRecord{Round: n, Step: i, Index: t, Worker: c.worker.String(), Weight: c.weight, Confirmed: c.confirmed})
				}
			}
		}
	}
	return list
}

// restoreCrashes restores the crashes that an earlier owner attributed to tasks.
func (p *Pool) restoreCrashes(records []port.Record) error {
	for _, r := range records {
		id, isCrashes := strings.CutPrefix(r.Key, keyCrashes)
		if !isCrashes || len(r.Value) == 0 {
			continue
		}
		var crashes []crashRecord
		if err := codec.Unmarshal(r.Value, &crashes); err != nil {
			return errors.Annotatef(err, "decode crashes of %s", id)
		}
		for _, k := range crashes {
			if err := p.restoreCrash(job.ID(id), k); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Pool) restoreCrash(id job.ID, k crashRecord) error {
	ref := job.TaskRef{StepRef: job.StepRef{Job: id, Round: k.Round, Step: k.Step}, Index: k.Index}
	_, t := p.openTask(ref)
	if t == nil {
		return nil // its job has ended
	}
	var incarnation worker.Incarnation
	if err := incarnation.UnmarshalText([]byte(k.Worker)); err != nil {
		return errors.Annotatef(err, "decode crashes of %s", id)
	}
	p.jobs[id].crashesPersisted = true
	t.crashes = append(t.crashes, crash{worker: incarnation, weight: k.Weight, confirmed: k.Confirmed})
	p.attributed[incarnation] = append(p.attributed[incarnation], ref)
	return nil
}
