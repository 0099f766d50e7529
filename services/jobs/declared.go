// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobs

import (
	"time"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
)

// submissions returns the submissions of declared jobs that are due and not yet known to the state.
func submissions(s state.State, now time.Time) []record.Record {
	var due []record.Record
	for _, o := range s.Catalog.Active() {
		if o.Job == nil {
			continue
		}
		id, ok := dueRun(*o.Job, now)
		if !ok || s.Runs.Has(id) {
			continue
		}
		if last, known := s.LastDaily.Get(o.Job.Name); known && last >= id {
			continue
		}
		due = append(due, record.Record{Submit: &record.Submit{ID: id, Job: *o.Job, Deadline: FinishBy(*o.Job, now)}})
	}
	return due
}

// dueRun returns the ID of the latest run of a declared job that is due.
func dueRun(job manifest.Job, now time.Time) (id string, due bool) {
	if job.DailyAt == "" {
		return state.DailyID(job.Name, ""), true
	}
	at := now.UTC()
	if at.Format("15:04") < job.DailyAt {
		return "", false
	}
	return state.DailyID(job.Name, at.Format(time.DateOnly)), true
}

// FinishBy returns the next time at which a job must be finished, the zero time if it has no such
// limit.
func FinishBy(job manifest.Job, now time.Time) time.Time {
	if job.FinishBy == "" {
		return time.Time{}
	}
	clock, err := time.Parse("15:04", job.FinishBy)
	if err != nil {
		return time.Time{} // manifests are validated before they are accepted
	}
	at := now.UTC()
	by := time.Date(at.Year(), at.Month(), at.Day(), clock.Hour(), clock.Minute(), 0, 0, time.UTC)
	if !by.After(at) {
		by = by.AddDate(0, 0, 1)
	}
	return by
}
