// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// Backfill tasks use the CPU that other tasks on their worker leave unused, and disturb
// latency-sensitive tasks there. If one of those exceeds its latency objective, the backfill tasks
// beside it are throttled at once, and get their share back slowly.

// The parameters of the CPU share control. A poll ends about every half second; two successive
// polls over the objective reduce the share to a quarter, three to nothing.
const (
	shareDecrease   = 0.5                     // factor for the share, at each poll over an objective
	minShare        = 15                      // percent; a lower share becomes 0
	shareIncrease   = 10                      // percent, after each calm period
	calmTime        = 1500 * time.Millisecond // how long all must be well below their objectives before the share rises
	calmLoad        = 0.8                     // load below this fraction of the objective counts as well below it
	shareSettleTime = 900 * time.Millisecond  // from a change until polls show its effect
)

// cpuSharing is the state of the CPU share control on one worker.
type cpuSharing struct {
	percent   int       // percent, of the backfill tasks there
	limited   bool      // the share is below 100 percent
	calmSince time.Time // since when all are well below their objectives, zero if one is not
	changedAt time.Time // last change of the share
}

// current returns the CPU share of backfill tasks on the worker.
func (s *cpuSharing) current() int {
	if !s.limited {
		return fullPercent
	}
	return s.percent
}

// servesUsers reports whether a step's tasks serve users who wait.
func servesUsers(s *job.Step) bool { return s.LongRunning && s.LatencyObjective > 0 }

// adjustCPUShare sets the CPU share of backfill tasks on a worker by the results of a poll.
func (p *Pool) adjustCPUShare(w *workerState, now time.Time) {
	hasBackfill, exceeded, calm := false, false, true
	for _, u := range w.runs {
		if u.orphan || u.phase != running {
			continue
		}
		s := u.step().spec
		if s.Backfill {
			hasBackfill = true
		}
		if servesUsers(s) && u.percent >= fullPercent {
			latency := time.Duration(u.load) * time.Millisecond
			exceeded = exceeded || latency > s.LatencyObjective
			calm = calm && float64(latency) < calmLoad*float64(s.LatencyObjective)
		}
	}
	if !hasBackfill {
		return
	}
	w.cpuSharing.update(exceeded, calm, now)
	p.sendCPUShares(w, now)
}

// update adjusts the share by the results of a poll.
func (s *cpuSharing) update(exceeded, calm bool, now time.Time) {
	if !calm {
		s.calmSince = time.Time{}
	} else if s.calmSince.IsZero() {
		s.calmSince = now
	}
	switch {
	case exceeded && now.Sub(s.changedAt) >= shareSettleTime:
		s.set(int(float64(s.current())*shareDecrease), now)
	case calm && s.limited && now.Sub(s.calmSince) >= calmTime && now.Sub(s.changedAt) >= calmTime:
		s.set(s.percent+shareIncrease, now)
	}
}

func (s *cpuSharing) set(percent int, now time.Time) {
	if percent < minShare && percent < s.current() {
		percent = 0
	}
	s.percent = min(percent, fullPercent)
	s.limited = s.percent < fullPercent
	s.changedAt = now
}

// sendCPUShares orders the CPU share of the worker for backfill tasks that have a different one.
func (p *Pool) sendCPUShares(w *workerState, now time.Time) {
	for _, u := range w.runs {
		if u.orphan || u.phase != running || u.stopping || !u.step().spec.Backfill || u.cpuShare == w.cpuSharing.current() {
			continue
		}
		u.cpuShare = w.cpuSharing.current()
		p.Logger.Info().Str("event", "pace").Str("task", u.name).Int("run", u.number).Str("worker", string(w.info.ID)).
			Int("percent", u.cpuShare).Dur("since", now.Sub(w.cpuSharing.changedAt)).Msg("CPU share of a backfill task changed")
		p.queueOrder(w, Order{Run: u, CPUShare: true})
	}
}

// Costs for tasks that share a worker; the worker's used share is at most 1.
const (
	costBesideServing  = 3 // for a backfill task: each latency-sensitive task there
	costBesideBackfill = 1 // for a latency-sensitive task: each backfill task there
)

// sharingScore returns the effect of sharing on the score of a worker for a task. Latency-sensitive
// and backfill tasks are spread, since each disturbs the others.
func (s *stepState) sharingScore(w *workerState) float64 {
	if !s.spec.Backfill && !servesUsers(s.spec) {
		return 0
	}
	score, cpu := 0.0, s.spec.Size.CPU
	for _, u := range w.runs {
		if u.orphan {
			continue
		}
		o := u.step().spec
		cpu += o.Size.CPU
		switch {
		case s.spec.Backfill && servesUsers(o):
			score -= costBesideServing
		case servesUsers(s.spec) && o.Backfill:
			score -= costBesideBackfill
		}
	}
	return score - 2*float64(cpu)/float64(max(w.info.Capacity.CPU, 1))
}
