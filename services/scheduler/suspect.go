// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"
)

// A suspect is a task under which workers have crashed. Where it is begun decides what a
// further crash tells, and what is lost by it.

// The bounds within which a suspect keeps tasks waiting.
const (
	// holdMost is the longest that others are kept from a worker with a suspect.
	holdMost = time.Second
	// holdStep is after which time workers with suspects are planned for again.
	holdStep = 100 * time.Millisecond
	// apartMost is how long a suspect waits for a worker without another suspect.
	apartMost = time.Second
)

// onProbation reports whether a worker has a run that may crash it yet: a suspect's that
// was not seen at work for long enough.
func (w *workerState) onProbation(now time.Time) bool {
	if w.suspects == 0 {
		return false
	}
	for _, u := range w.runs {
		if u.onProbation(now) {
			return true
		}
	}
	return false
}

func (u *run) onProbation(now time.Time) bool {
	switch {
	case u.stray || !u.suspected:
		return false
	case u.began.IsZero():
		return now.Sub(u.moved) <= holdMost
	}
	return u.at.heardAt.Sub(u.began) < freshTime && now.Sub(u.began) < holdMost
}

// What counts against a worker for a suspect, against the share of it that is in use.
const (
	besideRun     = 1  // each run that would be lost with it
	besideSuspect = 20 // another suspect there, from which it could not be told
	crashedThere  = 10 // a crash of that worker, which may be the cause itself, is held against the task
)

// risk returns what counts against beginning a suspect on a worker.
func (t *taskState) risk(w *workerState) float64 {
	if !t.suspected() {
		return 0
	}
	against := besideRun * float64(len(w.runs)) * float64(len(t.crashes))
	if w.suspects > 0 {
		against += besideSuspect
	}
	if slices.ContainsFunc(t.crashes, func(c crash) bool { return c.worker.ID == w.info.ID }) {
		against += crashedThere
	}
	return against
}

// endangers reports whether a task and a worker are better kept apart: the worker may
// crash yet, or the task may crash it while another suspect is there. Neither waits long.
func (t *taskState) endangers(w *workerState, now time.Time) bool {
	if w.onProbation(now) {
		return true
	}
	return t.suspected() && now.Sub(t.suspectSince) < apartMost && w.suspects > 0
}
