// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/log"
)

// handleLateEnd processes the end of a run that is no longer known: it was declared lost because
// its worker had not responded for longer than the lease. The end counts like any other: a task
// that is done must not start again, and one that failed has used an attempt.
func (p *Pool) handleLateEnd(w *workerState, e worker.EndedRun, now time.Time) {
	ref, err := job.ParseTask(e.Task)
	if err != nil {
		return // not the name of a task of this system
	}
	s, t := p.openTask(ref)
	if t == nil || t.done || s.spec.LongRunning || e.Number > t.number {
		return
	}
	at := slices.Index(t.lostRuns, e.Number)
	switch {
	case e.Reason == worker.Done:
		p.markDoneLate(s, ref.Index, now)
	case e.Reason == worker.Failed && at >= 0: // others were counted by an earlier owner
		p.countFailure(s, t, w, e.Task, now)
	default:
		return
	}
	if at >= 0 {
		t.lostRuns = slices.Delete(t.lostRuns, at, at+1)
	}
	s.markPart(ref.Index)
	p.markDirty(s.job)
	l := p.lateEndLogger(w, e, now)
	l.Info().Str("event", "end").Str("outcome", string(e.Reason)).Int("sequence", e.Sequence).Bool("late", true).
		Msg("run that was declared lost had ended before")
	p.increment(lostEndedLate)
}

// lateEndLogger returns a logger for a late end, which says when its run was declared lost if this owner did that.
func (p *Pool) lateEndLogger(w *workerState, e worker.EndedRun, now time.Time) log.Logger {
	if o := p.losses.of(w.info.ID, e.Task, e.Number); o != nil {
		return o.logger(p.Logger, w, now)
	}
	return p.Logger.With().Str("task", e.Task).Int("run", e.Number).Str("worker", string(w.info.ID)).Logger()
}

// markDoneLate marks a task as done and stops its later runs.
func (p *Pool) markDoneLate(s *stepState, index int, now time.Time) {
	s.markGangDone(index)
	for _, t := range s.touched() {
		if !t.done {
			continue
		}
		for _, o := range slices.Clone(t.runs) {
			p.stopRun(o, now, "an earlier run is done")
		}
	}
	p.checkCompletion(s.job, s.ref, now)
}
