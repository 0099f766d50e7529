// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobs

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/services/platform"
)

// wholePeriod is how often all reports are read, so that a task which vanished
// without a word is missed; in between only what changed is.
const wholePeriod = 5 * time.Minute

// reports is what the workers have reported; its zero value has read nothing.
type reports struct {
	tasks    map[string]platform.TaskStatus // by task
	revision uint64
	wholeAt  time.Time
}

// read takes over what is new.
func (r *reports) read(ctx context.Context, port platform.Tasks, now time.Time) error {
	known := r.revision
	if now.Sub(r.wholeAt) >= wholePeriod {
		known = 0
	}
	news, err := port.Reports(ctx, known)
	if err != nil {
		return err
	}
	if news.Complete {
		r.tasks = make(map[string]platform.TaskStatus, len(news.Tasks))
		r.wholeAt = now
	}
	for _, t := range news.Tasks {
		r.tasks[t.ID] = t
	}
	r.revision = news.Revision
	return nil
}
