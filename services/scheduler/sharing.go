// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// Tasks that fill take the processors that others on their worker leave unused,
// and disturb what serves users there. Where a serving task is over its target,
// what fills beside it is slowed down at once, and let up again slowly.

// The gains of the control of paces. A look comes about every half second; two
// that are over the target in a row bring the pace to a quarter, three to nothing.
const (
	paceDown   = 0.5                     // of the pace, at each look that is over a target
	paceFloor  = 15                      // percent; a pace below it is none
	paceUp     = 10                      // percent, after each calm stretch
	paceCalm   = 1500 * time.Millisecond // that all must be well below their targets before the pace rises
	calmShare  = 0.8                     // of the target, that is well below it
	pacedFresh = 900 * time.Millisecond  // from a change until looks show what it has brought
)

// sharing is how the tasks on one worker get along.
type sharing struct {
	pace    int       // percent, of what fills there
	held    bool      // the pace is not the full one
	calm    time.Time // since when all are well below their targets, zero while one is not
	changed time.Time // when the pace was changed last
}

// now returns the pace of what fills on the worker.
func (s *sharing) now() int {
	if !s.held {
		return fullPace
	}
	return s.pace
}

// serves reports whether a step's tasks serve users who wait.
func servesUsers(s *job.Step) bool { return s.LongRunning && s.LatencyObjective > 0 }

// share sets the pace of what fills on a worker by what a look has shown.
func (p *Pool) share(w *workerState, now time.Time) {
	fills, over, well := false, false, true
	for _, u := range w.runs {
		if u.stray || u.phase != running {
			continue
		}
		s := u.step().spec
		if s.Backfill {
			fills = true
		}
		if servesUsers(s) && u.percent >= fullPace {
			tail := time.Duration(u.load) * time.Millisecond
			over = over || tail > s.LatencyObjective
			well = well && float64(tail) < calmShare*float64(s.LatencyObjective)
		}
	}
	if !fills {
		return
	}
	w.sharing.follow(over, well, now)
	p.pace(w, now)
}

// follow takes what a look has shown into the pace.
func (s *sharing) follow(over, well bool, now time.Time) {
	if !well {
		s.calm = time.Time{}
	} else if s.calm.IsZero() {
		s.calm = now
	}
	switch {
	case over && now.Sub(s.changed) >= pacedFresh:
		s.set(int(float64(s.now())*paceDown), now)
	case well && s.held && now.Sub(s.calm) >= paceCalm && now.Sub(s.changed) >= paceCalm:
		s.set(s.pace+paceUp, now)
	}
}

func (s *sharing) set(pace int, now time.Time) {
	if pace < paceFloor && pace < s.now() {
		pace = 0
	}
	s.pace = min(pace, fullPace)
	s.held = s.pace < fullPace
	s.changed = now
}

// pace orders the pace of what fills on a worker where it has another.
func (p *Pool) pace(w *workerState, now time.Time) {
	for _, u := range w.runs {
		if u.stray || u.phase != running || u.stopping || !u.step().spec.Backfill || u.pace == w.sharing.now() {
			continue
		}
		u.pace = w.sharing.now()
		p.Logger.Info().Str("event", "pace").Str("task", u.name).Int("run", u.number).Str("worker", string(w.info.ID)).
			Int("percent", u.pace).Dur("since", now.Sub(w.sharing.changed)).Msg("what fills gets another pace")
		p.order(w, Order{Run: u, CPUShare: true})
	}
}

// What counts for a worker when tasks share it, against the share of it that is in
// use.
const (
	besideServing = 3 // for a task that fills, a serving one
	besideFilling = 1 // for a serving task, one that fills
)

// shareScore returns what sharing counts for a task on a worker. What serves and
// what fills is spread, since each disturbs the others.
func (s *stepState) shareScore(w *workerState) float64 {
	if !s.spec.Backfill && !servesUsers(s.spec) {
		return 0
	}
	score, cpu := 0.0, s.spec.Size.CPU
	for _, u := range w.runs {
		if u.stray {
			continue
		}
		o := u.step().spec
		cpu += o.Size.CPU
		switch {
		case s.spec.Backfill && servesUsers(o):
			score -= besideServing
		case servesUsers(s.spec) && o.Backfill:
			score -= besideFilling
		}
	}
	return score - 2*float64(cpu)/float64(max(w.info.Capacity.CPU, 1))
}
