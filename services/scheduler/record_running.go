// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/services/port"
)

// Since when the runs of long-running tasks have been working is persisted, on the clocks of their
// workers: a crash does not count against a task that has been running for long, and owners may
// change more often than that.

// keyRunning is the prefix of the keys of these records; the job's name follows.
const keyRunning = "r/"

// runningRecord is the persisted form of a run that has been seen working.
type runningRecord struct {
	Round   int   `cbor:"1,keyasint"`
	Step    int   `cbor:"2,keyasint"`
	Index   int   `cbor:"3,keyasint"`
	Number  int   `cbor:"4,keyasint"`
	Started int64 `cbor:"5,keyasint"`           // latest time of its start on the worker's clock, in milliseconds
	Proven  bool  `cbor:"6,keyasint,omitempty"` // it has been working for provenAfter
}

// noteWorking records that a run of a long-running task has been seen working.
func (p *Pool) noteWorking(u *run, now time.Time) {
	if !u.step().spec.LongRunning || u.percent < fullPercent {
		return
	}
	proven := u.provenBy(now)
	if u.seenWorking && u.proven == proven {
		return
	}
	u.seenWorking, u.proven, u.job.running.changed = true, proven, true
	if !slices.Contains(p.changedRunning, u.job) {
		p.changedRunning = append(p.changedRunning, u.job)
	}
}

// addRunning adds the changed records of runs that have been seen working to the batch.
func (p *Pool) addRunning(b *Batch) error {
	for _, j := range p.changedRunning {
		if err := addJobRecord(b, j, &j.running, keyRunning, j.runningRecords); err != nil {
			return err
		}
	}
	p.changedRunning = nil
	return nil
}

// runningRecords returns the runs of a job that have been seen working.
func (j *jobState) runningRecords() []runningRecord {
	var list []runningRecord
	for _, u := range j.runs() {
		if u.seenWorking {
			list = append(list, runningRecord{
				Round: u.ref.Round, Step: u.ref.Step, Index: u.ref.Index, Number: u.number, Started: u.startedClock.Milliseconds(), Proven: u.proven,
			})
		}
	}
	return list
}

// restoreRunning restores since when runs of earlier owners have been working.
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
					u.seenWorking, u.proven, u.startedClock = true, k.Proven, time.Duration(k.Started)*time.Millisecond
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
