// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/services/port"
)

// Group is the part of a batch that goes together: the records of one job in the order in which they are written, or a
// record that is of no job.
type Group struct {
	Job     job.ID // "" for none
	Records []port.Record
}

// jobRecords are the records of one job in a batch.
type jobRecords struct {
	id         job.ID
	first, end int
}

// Groups returns the records of the batch by what they are of, those of no job first: a run is of no use without what is
// known of its worker.
func (b *Batch) Groups() []Group {
	var others, jobs []Group
	at := 0
	for _, o := range append(slices.Clone(b.jobs), jobRecords{first: len(b.Records), end: len(b.Records)}) {
		for ; at < o.first; at++ {
			others = append(others, Group{Records: b.Records[at : at+1]})
		}
		if at = o.end; o.first < o.end {
			jobs = append(jobs, Group{o.id, b.Records[o.first:o.end]})
		}
	}
	return append(others, jobs...)
}

// FailRefused fails a job whose records the store refuses, and drops it if it has not been accepted. Nothing but its
// state is written of it from now on.
func (p *Pool) FailRefused(id job.ID, now time.Time, reason string) {
	j := p.jobs[id]
	if j == nil || j.refused {
		return
	}
	j.refused = true
	switch {
	case !j.stored:
		p.drop(j)
		p.Logger.Error().Str("event", "submit").Str("job", string(id)).Str("outcome", "refused").Str("why", reason).Msg("job is not accepted: it can't be persisted")
	case j.state.Final():
		p.markDirty(j)
	default:
		p.increment(jobRefused)
		p.finishJob(j, job.Failed, now, reason)
	}
}

// jobRefused counts the jobs that were failed because the store refuses their records.
const jobRefused = "job.refused"

// drop removes a job that has not been accepted, and its runs, which have not been ordered.
func (p *Pool) drop(j *jobState) {
	for _, u := range j.runs() {
		p.release(u)
	}
	p.dirty = slices.DeleteFunc(p.dirty, func(o *jobState) bool { return o == j })
	p.active = slices.DeleteFunc(p.active, func(o *jobState) bool { return o == j })
	delete(p.jobs, j.sub.ID)
	p.changeFootprint(j, 0)
}
