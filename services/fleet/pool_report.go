// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// poolReport puts the reports of a pool's owners together, which carry what has changed. The zero value asks
// for a full report.
type poolReport struct {
	at      scheduler.ReportPosition
	workers map[worker.ID]reportedSince
}

// reportedSince is the newest report of a worker.
type reportedSince struct {
	scheduler.WorkerReport
	emptyAt time.Duration // on the owner's clock, as Report.At; a response that comes late does not shift it
}

// apply returns a report with all workers, and false if it can't be used: it is older than the newest one, or
// there is a gap between both. After a gap the next report is a full one.
func (o *poolReport) apply(r scheduler.Report) (scheduler.Report, bool) {
	if r.Epoch < o.at.Epoch || r.Epoch == o.at.Epoch && r.Number > 0 && r.Number <= o.at.Number {
		return r, false
	}
	if r.Base > 0 && (scheduler.ReportPosition{Epoch: r.Epoch, Number: r.Base}) != o.at {
		o.at.Number = 0
		return r, false
	}
	if r.Base == 0 {
		o.workers = make(map[worker.ID]reportedSince, len(r.Workers))
	}
	o.at = scheduler.ReportPosition{Epoch: r.Epoch, Number: r.Number}
	for _, w := range r.Workers {
		o.workers[w.ID] = reportedSince{w, r.At + w.EmptyAfter}
	}
	for _, id := range r.Removed {
		delete(o.workers, id)
	}
	r.Workers = make([]scheduler.WorkerReport, 0, len(o.workers))
	for _, w := range o.workers {
		w.EmptyAfter = max(w.emptyAt-r.At, 0)
		r.Workers = append(r.Workers, w.WorkerReport)
	}
	return r, true
}
