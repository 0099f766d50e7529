// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
)

// lateEnd takes the end of a run that is not known any more: it was taken for lost when
// its worker had not answered for longer than the lease. The end is taken note of like
// every other, so that it counts: a task that is done must not begin again, and one that
// has failed has used an attempt.
func (p *Pool) lateEnd(w *workerState, e worker.EndedRun, now time.Time) {
	ref, err := job.ParseTask(e.Task)
	if err != nil {
		return // another's: no task of ours has such a name
	}
	s, t := p.open(ref)
	if t == nil || t.done || s.spec.LongRunning || e.Number > t.number {
		return
	}
	at := slices.Index(t.lost, e.Number)
	switch {
	case e.Reason == worker.Done:
		p.doneLate(s, t, now)
	case e.Reason == worker.Failed && at >= 0: // others were counted by an earlier owner
		p.spendAttempt(s.job, t, e.Task, now)
	default:
		return
	}
	if at >= 0 {
		t.lost = slices.Delete(t.lost, at, at+1)
	}
	p.touch(s.job)
	p.Logger.Info().Str("event", "end").Str("task", e.Task).Int("run", e.Number).Str("worker", string(w.info.ID)).
		Str("outcome", string(e.Reason)).Int("sequence", e.Sequence).Bool("late", true).Msg("a run that was taken for lost has ended before")
}

// doneLate notes that a task is done, and ends its later runs.
func (p *Pool) doneLate(s *stepState, t *taskState, now time.Time) {
	s.markWithGang(t)
	for i := range s.tasks {
		if !s.tasks[i].done {
			continue
		}
		for _, o := range slices.Clone(s.tasks[i].runs) {
			p.stop(o, now, "an earlier run is done")
		}
	}
	p.progressed(s.job, s.ref, now)
}
