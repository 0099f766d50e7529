// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"iter"
	"strings"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/services/port"
)

// jobRecord is the state of a record that is kept for a job beside its progress.
type jobRecord struct {
	changed   bool // differs from what is persisted
	persisted bool // persisted, or in the batch in progress
}

// addJobRecord adds a job's record to the batch if it has changed. One that is empty, or whose job has
// ended, is removed.
func addJobRecord[T any](b *Batch, j *jobState, r *jobRecord, prefix string, entries func() []T) error {
	if !r.changed && !(r.persisted && j.state.Final()) {
		return nil
	}
	r.changed = false
	var list []T
	if !j.state.Final() {
		list = entries()
		list = list[:min(len(list), maxJobEntries)]
	}
	data, err := codec.Marshal(list)
	for err == nil && len(data) > maxJobRecordBytes && len(list) > 0 {
		list = list[:len(list)/2]
		data, err = codec.Marshal(list)
	}
	if err != nil {
		return err
	}
	if len(list) == 0 && !r.persisted {
		return nil
	}
	o := port.Record{Key: prefix + string(j.sub.ID)}
	if r.persisted = len(list) > 0; r.persisted {
		o.Value = data
	}
	b.Records = append(b.Records, o)
	return nil
}

// eachRecord decodes the records whose keys have a prefix, and passes them on with the rest of the key;
// what says in an error what they are.
func eachRecord[T any](records []port.Record, prefix, what string, do func(id string, v T) error) error {
	for _, r := range records {
		id, matches := strings.CutPrefix(r.Key, prefix)
		if !matches || len(r.Value) == 0 {
			continue
		}
		var v T
		if err := codec.Unmarshal(r.Value, &v); err != nil {
			return errors.Annotatef(err, "decode %s %s", what, id)
		}
		if err := do(id, v); err != nil {
			return err
		}
	}
	return nil
}

// touched returns the tasks of a job that have a state.
func (j *jobState) touched() iter.Seq2[job.TaskRef, *taskState] {
	return func(yield func(job.TaskRef, *taskState) bool) {
		for _, r := range j.rounds {
			if r == nil {
				continue
			}
			for i := range r.steps {
				s := &r.steps[i]
				for index, t := range s.touched() {
					if !yield(job.TaskRef{StepRef: s.ref, Index: index}, t) {
						return
					}
				}
			}
		}
	}
}
