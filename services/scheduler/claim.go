// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// A long-running task leaves its worker only for a place elsewhere. Between the decision to stop it and its
// next start, other tasks could take that place, and the holder of the role for instances, to whom the
// place's worker looks idle, could move its instance to another pool. So the place is claimed: it counts as
// used, also in the reports to the holder, and the task is stopped once the holder has applied such a report
// and still leaves the worker to the pool.

// claimTime is the longest time for which a place is kept: until the holder has confirmed it, the task has
// stopped and the next plan has placed it.
const claimTime = 5 * time.Second

// claim is a place on a worker that is kept for a task.
type claim struct {
	job    *jobState
	step   *stepState
	task   *taskState
	worker *workerState
	size   job.Size
	since  time.Time
	report uint64 // number of the newest report without it
}

// claimPlace claims a place elsewhere for the task of a run, unless that is done already, and reports whether
// the task may be stopped for it.
func (p *Pool) claimPlace(u *run, now time.Time) bool {
	t := u.task()
	at := slices.IndexFunc(p.claims, func(c *claim) bool { return c.task == t })
	if at >= 0 {
		return p.confirmed(p.claims[at])
	}
	w := p.chooseWorker(candidate{job: u.job, step: u.step()}, t, now, nil)
	if w == nil {
		return false
	}
	c := &claim{u.job, u.step(), t, w, u.step().spec.Reservation(), now, p.reports.number}
	c.count(1)
	p.claims = append(p.claims, c)
	p.logClaim(c, "claimed", "its task is to leave "+string(u.worker.info.ID), now)
	p.schedulePlan(now.Add(claimTime), now)
	return p.confirmed(c)
}

// confirmed reports whether the holder knows a claim. A holder that does not tell which reports it has
// applied is not waited for.
func (p *Pool) confirmed(c *claim) bool {
	return p.lastCordonRequest.Since == nil || p.lastCordonRequest.Since.Epoch == p.Token && p.lastCordonRequest.Since.Number > c.report
}

// count adds a number of times the claim to what its worker is used for.
func (c *claim) count(by int) {
	c.worker.used = c.worker.used.Plus(c.size.Times(by))
	if c.step.spec.MaxPerWorker > 0 {
		if c.step.runsByWorker == nil {
			c.step.runsByWorker = make(map[*workerState]int)
		}
		c.step.runsByWorker[c.worker] += by
	}
}

// takeClaim gives up a claim of a step, of which a task is about to be placed, and returns its worker; nil
// for none. Any task that waits goes before one that has not been stopped yet.
func (p *Pool) takeClaim(s *stepState, now time.Time) *workerState {
	var w *workerState
	p.dropClaims("a task of its step is placed", now, func(c *claim) bool {
		if c.step != s || w != nil {
			return false
		}
		w = c.worker
		return true
	})
	return w
}

// reviewClaims gives up the claims that are of no use any more.
func (p *Pool) reviewClaims(now time.Time) {
	p.dropClaims("it is of no use any more", now, func(c *claim) bool {
		return now.Sub(c.since) >= claimTime || c.job.state.Final() || p.workers[c.worker.info.ID] != c.worker || !p.takesTasks(c.step, c.worker, now)
	})
}

// dropClaimsOn gives up the claims on a worker, which is to leave the pool.
func (p *Pool) dropClaimsOn(w *workerState, now time.Time) {
	p.dropClaims("its worker is cordoned", now, func(c *claim) bool { return c.worker == w })
}

// dropClaims gives up the claims for which matches returns true.
func (p *Pool) dropClaims(reason string, now time.Time, matches func(*claim) bool) {
	p.claims = slices.DeleteFunc(p.claims, func(c *claim) bool {
		if !matches(c) {
			return false
		}
		c.count(-1)
		p.room.regain(c.worker)
		p.logClaim(c, "given up", reason, now)
		return true
	})
}

func (p *Pool) logClaim(c *claim, outcome, reason string, now time.Time) {
	p.Logger.Info().Str("event", "place-claim").Str("step", c.step.ref.String()).Str("worker", string(c.worker.info.ID)).Uint64("report", c.report).
		Dur("age", now.Sub(c.since)).Str("outcome", outcome).Str("why", reason).Msg("place on a worker for a task that is to move")
}

// claimsOn returns how many places are claimed on a worker.
func (p *Pool) claimsOn(w *workerState) int {
	n := 0
	for _, c := range p.claims {
		if c.worker == w {
			n++
		}
	}
	return n
}
