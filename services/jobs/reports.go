// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobs

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/services/platform"
)

// fullReportPeriod is how often all reports are read, so that a task which disappeared without a
// final report is noticed; between full reads only changes are read.
const fullReportPeriod = 5 * time.Minute

// reports holds the latest reports of the workers; its zero value holds none.
type reports struct {
	tasks      map[string]platform.TaskStatus // by task
	revision   uint64
	fullReadAt time.Time
}

// read reads the reports that changed, or all of them when a full read is due.
func (r *reports) read(ctx context.Context, port platform.Tasks, now time.Time) error {
	known := r.revision
	if now.Sub(r.fullReadAt) >= fullReportPeriod {
		known = 0
	}
	update, err := port.Reports(ctx, known)
	if err != nil {
		return err
	}
	if update.Complete {
		r.tasks = make(map[string]platform.TaskStatus, len(update.Tasks))
		r.fullReadAt = now
	}
	for _, t := range update.Tasks {
		r.tasks[t.ID] = t
	}
	r.revision = update.Revision
	return nil
}
