// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"math"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// arrivalSpan is the time over which the work that comes is averaged: long
// enough to even out jobs of different size, short enough to follow a rush.
const arrivalSpan = 1500 * time.Millisecond

// arrivals is how much work comes, as the room that it keeps busy: an average
// that forgets what came long ago.
type arrivals struct {
	cpu          float64 // thousandths of a core, times seconds, over the span
	memory       float64
	accelerators float64
	at           time.Time
}

// fade forgets what has become old.
func (a *arrivals) fade(now time.Time) {
	keep := math.Exp(-now.Sub(a.at).Seconds() / arrivalSpan.Seconds())
	if a.at.IsZero() {
		keep = 0
	}
	a.cpu, a.memory, a.accelerators = a.cpu*keep, a.memory*keep, a.accelerators*keep
	a.at = now
}

// add takes the work of tasks of a size.
func (a *arrivals) add(size job.Size, seconds float64) {
	a.cpu += float64(size.CPU) * seconds
	a.memory += float64(size.MemoryMB) * seconds
	a.accelerators += float64(size.Accelerators) * seconds
}

// rate returns the room that the work keeps busy while it goes on coming.
func (a *arrivals) rate(now time.Time) job.Size {
	a.fade(now)
	span := arrivalSpan.Seconds()
	return job.Size{CPU: int(a.cpu / span), MemoryMB: int(a.memory / span), Accelerators: int(a.accelerators / span)}
}

// arrive takes the work of a job that has come; one with times comes when each
// of them is due.
func (p *Pool) arrive(j *jobState, now time.Time) {
	if j.sub.Times > 0 {
		return
	}
	p.arrivals.fade(now)
	for i := range j.sub.Steps {
		s := &j.sub.Steps[i]
		if !s.Lasting && s.Label == "" {
			p.arrivals.add(s.Room().Times(s.Count), p.expect(j.sub.Queue, s).Seconds())
		}
	}
}
