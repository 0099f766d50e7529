// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
)

// ReportPosition names the newest report that the holder of the role for instances has applied.
type ReportPosition struct {
	Epoch  uint64 `json:"epoch"`  // of the pool's owner
	Number uint64 `json:"number"` // of the report, 0 for none
}

// emptyTolerance is by how much the time at which a worker is expected to be empty may differ from the
// reported one: it is estimated anew for each report, and a move of an instance takes more than ten times
// as long.
const emptyTolerance = 50 * time.Millisecond

// ReportLog is what an owner has reported of the workers of its pool, and when that changed. A report
// contains what has changed since the one that the holder names as its newest, so that a response which
// was lost or not applied leaves no gap. The zero value is empty.
type ReportLog struct {
	began   time.Time // when the first report was made
	number  uint64    // of the newest report
	workers map[worker.ID]*loggedReport
	removed map[worker.ID]uint64 // number of the report since which a worker is in the pool no more
	forgot  uint64               // number up to which removed workers were forgotten
}

// loggedReport is the report of one worker.
type loggedReport struct {
	report  WorkerReport // without EmptyAfter
	emptyAt time.Time    // zero for an empty one
	changed uint64       // number of the report in which it changed last
}

// Shorten returns a report with the workers that have changed since a position; all of them, with Base 0,
// if the position is not one of this owner. It numbers the report.
func (l *ReportLog) Shorten(r Report, since ReportPosition, now time.Time) Report {
	l.update(r.Workers, now)
	r.Number, r.At = l.number, now.Sub(l.began)
	if since.Epoch != r.Epoch || since.Number >= l.number || since.Number < l.forgot {
		since.Number = 0
	}
	r.Base = since.Number
	r.Workers = make([]WorkerReport, 0, len(r.Workers))
	for _, w := range l.workers {
		if w.changed > r.Base {
			r.Workers = append(r.Workers, w.at(now))
		}
	}
	if r.Base == 0 {
		return r
	}
	for id, n := range l.removed {
		if n > r.Base {
			r.Removed = append(r.Removed, id)
		} else {
			delete(l.removed, id)
		}
	}
	l.forgot = r.Base
	return r
}

// update numbers a new report and notes what has changed.
func (l *ReportLog) update(workers []WorkerReport, now time.Time) {
	l.number++
	if l.workers == nil {
		l.workers, l.removed, l.began = make(map[worker.ID]*loggedReport), make(map[worker.ID]uint64), now
	}
	present := make(map[worker.ID]bool, len(workers))
	for _, w := range workers {
		present[w.ID] = true
		next := &loggedReport{report: w, changed: l.number}
		if w.EmptyAfter > 0 {
			next.emptyAt = now.Add(w.EmptyAfter)
		}
		next.report.EmptyAfter = 0
		if last := l.workers[w.ID]; last == nil || last.differs(next) {
			l.workers[w.ID] = next
		}
		delete(l.removed, w.ID)
	}
	for id := range l.workers {
		if !present[id] {
			delete(l.workers, id)
			l.removed[id] = l.number
		}
	}
}

// differs reports whether another report of the worker says something else.
func (o *loggedReport) differs(next *loggedReport) bool {
	return o.report != next.report || o.emptyAt.IsZero() != next.emptyAt.IsZero() || o.emptyAt.Sub(next.emptyAt).Abs() > emptyTolerance
}

// at returns the report as of a time.
func (o *loggedReport) at(now time.Time) WorkerReport {
	w := o.report
	if !o.emptyAt.IsZero() {
		w.EmptyAfter = max(o.emptyAt.Sub(now), 0)
	}
	return w
}
