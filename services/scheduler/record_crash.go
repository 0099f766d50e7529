// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
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

// crashRecords returns the crashes attributed to a job's tasks.
func (j *jobState) crashRecords() []crashRecord {
	var list []crashRecord
	for ref, t := range j.touched() {
		for _, c := range t.crashes {
			list = append(list, crashRecord{Round: ref.Round, Step: ref.Step, Index: ref.Index, Worker: c.worker.String(), Weight: c.weight, Confirmed: c.confirmed})
		}
	}
	return list
}

// restoreCrashes restores the crashes that an earlier owner attributed to tasks.
func (p *Pool) restoreCrashes(records []port.Record) error {
	return eachRecord(records, keyCrashes, "crashes of", func(id string, crashes []crashRecord) error {
		for _, k := range crashes {
			if err := p.restoreCrash(job.ID(id), k); err != nil {
				return err
			}
		}
		return nil
	})
}

func (p *Pool) restoreCrash(id job.ID, k crashRecord) error {
	ref := job.TaskRef{StepRef: job.StepRef{Job: id, Round: k.Round, Step: k.Step}, Index: k.Index}
	s, t := p.openTask(ref)
	if t == nil || t.done {
		return nil // its job has ended, or it is done
	}
	var incarnation worker.Incarnation
	if err := incarnation.UnmarshalText([]byte(k.Worker)); err != nil {
		return errors.Annotatef(err, "decode crashes of %s", id)
	}
	p.jobs[id].crashes.persisted = true
	t = s.task(ref.Index)
	t.crashes = append(t.crashes, crash{worker: incarnation, weight: k.Weight, confirmed: k.Confirmed})
	p.attributed[incarnation] = append(p.attributed[incarnation], ref)
	return nil
}
