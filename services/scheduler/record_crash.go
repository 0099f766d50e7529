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

// keptCrash is what is kept of one crash that is held against a task.
type keptCrash struct {
	_      struct{} `cbor:",toarray"`
	Round  int
	Step   int
	Index  int
	Worker string // its life
	Weight float64
	Sure   bool
}

// addCrashes puts what is held against a job's tasks into the batch, where that has
// changed.
func (b *Batch) addCrashes(j *jobState) error {
	if !j.crashesChanged && !(j.crashesStored && j.state.Final()) {
		return nil
	}
	j.crashesChanged = false
	kept := j.crashes()
	if len(kept) == 0 && !j.crashesStored {
		return nil
	}
	r := port.Record{Key: keyCrashes + string(j.sub.ID)}
	if j.crashesStored = len(kept) > 0; j.crashesStored {
		data, err := codec.Marshal(kept)
		if err != nil {
			return err
		}
		r.Value = data
	}
	b.Records = append(b.Records, r)
	return nil
}

// crashes returns what is held against a job's tasks, nothing for one that has ended.
func (j *jobState) crashes() []keptCrash {
	if j.state.Final() {
		return nil
	}
	var list []keptCrash
	for n, r := range j.rounds {
		if r == nil {
			continue
		}
		for i := range r.steps {
			for t := range r.steps[i].tasks {
				for _, c := range r.steps[i].tasks[t].crashes {
					list = append(list, keptCrash{Round: n, Step: i, Index: t, Worker: c.worker.String(), Weight: c.weight, Sure: c.sure})
				}
			}
		}
	}
	return list
}

// restoreCrashes takes over what an earlier owner has held against tasks.
func (p *Pool) restoreCrashes(records []port.Record) error {
	for _, r := range records {
		id, isCrashes := strings.CutPrefix(r.Key, keyCrashes)
		if !isCrashes || len(r.Value) == 0 {
			continue
		}
		var kept []keptCrash
		if err := codec.Unmarshal(r.Value, &kept); err != nil {
			return errors.Annotatef(err, "crashes of %s", id)
		}
		for _, k := range kept {
			if err := p.restoreCrash(job.ID(id), k); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Pool) restoreCrash(id job.ID, k keptCrash) error {
	ref := job.TaskRef{StepRef: job.StepRef{Job: id, Round: k.Round, Step: k.Step}, Index: k.Index}
	_, t := p.open(ref)
	if t == nil {
		return nil // its job has ended
	}
	var life worker.Incarnation
	if err := life.UnmarshalText([]byte(k.Worker)); err != nil {
		return errors.Annotatef(err, "crashes of %s", id)
	}
	p.jobs[id].crashesStored = true
	t.crashes = append(t.crashes, crash{worker: life, weight: k.Weight, sure: k.Sure})
	p.blamed[life] = append(p.blamed[life], ref)
	return nil
}
