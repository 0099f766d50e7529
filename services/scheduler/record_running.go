// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/services/port"
)

// Since when runs have been running is persisted, on the clocks of their workers, once they have been
// seen running for longer than a start takes: a crash says little of a task that had been running, and
// owners may change more often than that is seen. A run without a record may have just started. The
// records of runs that are no long-running tasks go with batches that are appended anyway.

// keyRunning is the prefix of the keys of these records; the job's name follows.
const keyRunning = "r/"

// runningRecord is the persisted form of a run that has been seen running.
type runningRecord struct {
	Round   int   `cbor:"1,keyasint"`
	Step    int   `cbor:"2,keyasint"`
	Index   int   `cbor:"3,keyasint"`
	Number  int   `cbor:"4,keyasint"`
	Started int64 `cbor:"5,keyasint"`           // latest time of its start on the worker's clock, in milliseconds
	Proven  bool  `cbor:"6,keyasint,omitempty"` // it has been working for provenAfter
}

// noteSeenRunning records that a run has been seen running for longer than a start takes, or, if it is
// a long-running task, working.
func (p *Pool) noteSeenRunning(u *run, now time.Time) {
	working := u.step().spec.LongRunning && u.percent >= fullPercent
	if !working && !u.outlivedStart() {
		return
	}
	proven := u.provenBy(now)
	if u.seenRunning && u.proven == proven {
		return
	}
	u.seenRunning, u.proven = true, proven
	p.markRunningChanged(u.job)
	p.runningDue = p.runningDue || u.step().spec.LongRunning
}

// outlivedStart reports whether the worker of a run has responded so long after it was first seen
// running, by its own clock, that the run is not starting any more.
func (u *run) outlivedStart() bool {
	return u.startedClock > 0 && u.worker.clock-u.startedClock >= startupTime
}

// markRunningChanged marks the runs of a job that have been seen running as changed.
func (p *Pool) markRunningChanged(j *jobState) {
	if !j.running.changed {
		j.running.changed = true
		p.changedRunning = append(p.changedRunning, j)
	}
}

// addRunning adds the changed records of runs that have been seen running to the batch, unless it would
// be appended for those only and none of them is due.
func (p *Pool) addRunning(b *Batch) error {
	if !p.runningDue && len(b.Records) == 0 {
		return nil
	}
	for _, j := range p.changedRunning {
		if err := addJobRecord(b, j, &j.running, keyRunning, j.runningRecords); err != nil {
			return err
		}
	}
	p.changedRunning, p.runningDue = nil, false
	return nil
}

// runningRecords returns the runs of a job that have been seen running.
func (j *jobState) runningRecords() []runningRecord {
	var list []runningRecord
	for _, u := range j.runs() {
		if u.seenRunning {
			list = append(list, runningRecord{
				Round: u.ref.Round, Step: u.ref.Step, Index: u.ref.Index, Number: u.number, Started: u.startedClock.Milliseconds(), Proven: u.proven,
			})
		}
	}
	return list
}

// restoreRunning restores since when runs of earlier owners have been running.
func (p *Pool) restoreRunning(records []port.Record) error {
	return eachRecord(records, keyRunning, "runs of", func(id string, list []runningRecord) error {
		for _, k := range list {
			s, t := p.openTask(job.TaskRef{StepRef: job.StepRef{Job: job.ID(id), Round: k.Round, Step: k.Step}, Index: k.Index})
			if t == nil {
				continue // its job has ended
			}
			s.job.running.persisted = true
			for _, u := range t.runs {
				if u.number == k.Number {
					u.seenRunning, u.proven, u.startedClock = true, k.Proven, time.Duration(k.Started)*time.Millisecond
				}
			}
		}
		return nil
	})
}

// noteRunning records when a run was first seen running. If an earlier owner has persisted since
// when, that counts.
func (u *run) noteRunning(now time.Time) {
	if !u.startedAt.IsZero() {
		return
	}
	u.startedAt = now
	clock := u.worker.clockNow(now)
	if u.startedClock > 0 && u.startedClock < clock {
		u.startedAt = now.Add(u.startedClock - clock)
		return
	}
	u.startedClock = clock
}
