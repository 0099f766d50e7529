// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
)

// Outlook returns the pool's capacity over the next seconds.
func (p *Pool) Outlook(now time.Time) capacity.Outlook {
	var serving, free job.Size
	for _, w := range p.workers {
		if w.schedulable(now) {
			serving, free = serving.Plus(w.info.Capacity), free.Plus(w.free())
		}
	}
	return capacity.New(now, serving, free)
}
