// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"
)

// A suspect is a task with crashes attributed to it. Where it is started determines what another
// crash shows, and what is lost by it.

// The limits on the time for which a suspect delays tasks.
const (
	// maxProbation is the longest time that other tasks are kept from a worker with a suspect.
	maxProbation = time.Second
	// probationReplanInterval is the time between plans while workers have suspects.
	probationReplanInterval = 100 * time.Millisecond
	// maxSeparation is how long a suspect waits for a worker without another suspect.
	maxSeparation = time.Second
)

// onProbation reports whether a worker has a run that may still crash it: a suspect that has not
// been seen running for long enough.
func (w *workerState) onProbation(now time.Time) bool {
	if w.suspectRuns == 0 {
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
	case u.orphan || !u.suspected:
		return false
	case u.startedAt.IsZero():
		return now.Sub(u.progressedAt) <= maxProbation
	}
	return u.worker.lastContact.Sub(u.startedAt) < startupTime && now.Sub(u.startedAt) < maxProbation
}

// Costs of a worker for a suspect; the worker's used share is at most 1.
const (
	costPerRun        = 1  // for each run that would be lost with it
	costBesideSuspect = 20 // for another suspect there, since a crash would not tell them apart
	costCrashedThere  = 10 // for a crash of that worker attributed to the task: the worker may be the cause itself
)

// suspectCost returns the cost of starting a suspect on a worker.
func (t *taskState) suspectCost(w *workerState) float64 {
	if !t.suspected() {
		return 0
	}
	cost := costPerRun * float64(len(w.runs)) * float64(len(t.crashes))
	if w.suspectRuns > 0 {
		cost += costBesideSuspect
	}
	if slices.ContainsFunc(t.crashes, func(c crash) bool { return c.worker.ID == w.info.ID }) {
		cost += costCrashedThere
	}
	return cost
}

// keepApart reports whether a task should not be placed on a worker: the worker may still crash, or
// the task may crash it while another suspect is there. Neither delay is long.
func (t *taskState) keepApart(w *workerState, now time.Time) bool {
	if w.onProbation(now) {
		return true
	}
	return t.suspected() && now.Sub(t.suspectSince) < maxSeparation && w.suspectRuns > 0
}
