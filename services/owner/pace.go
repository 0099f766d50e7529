// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"time"

	"github.com/yardbridge/yardbridge/modules/runtimeusage"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

const (
	// behindAfter is the wait from which an owner counts as behind its work: a poll or a submission usually
	// waits for its turn for less than a millisecond.
	behindAfter = 100 * time.Millisecond
	// behindLogGap is the least time between two log lines that say so.
	behindLogGap = time.Second
)

// The kinds of work whose waits are looked at.
const (
	pollWork       = "poll"       // from when a poll of a worker is due
	submissionWork = "submission" // from when a submission reaches the owner
)

// appendWaits is how often an append waits for its turn on this node: to be sent, for its response to
// be read, and for those who wait for it.
const appendWaits = 4

// noteLateness records by how much work of this node was late.
func (o *Owner) noteLateness(late time.Duration) { o.lateness.Note(late, o.Clock.Now()) }

// storeTime returns how long the store took for the last append, at least: what the append took, without the
// lateness of this node. A node without processor time would place tasks ahead, for a store that is not
// slow, and what that takes it lacks.
func (o *Owner) storeTime() time.Duration {
	return max(o.Journal.LastDuration()-appendWaits*o.lateness.Value(o.Clock.Now()), 0)
}

// workPeriod is how much of an owner's work the line that says it is behind tells of, at least.
const workPeriod = time.Second

// workSince is the work of an owner as counted at a time.
type workSince struct {
	at       time.Time
	work     scheduler.Work
	planTime time.Duration
	usage    runtimeusage.Usage
}

// notePlan counts a plan that began at a time. The lock is held.
func (o *Owner) notePlan(began time.Time) {
	now := o.Clock.Now()
	o.planTime += now.Sub(began)
	o.observe("owner.plan", now.Sub(began), "done")
	if now.Sub(o.since[1].at) >= workPeriod {
		o.since[0], o.since[1] = o.since[1], workSince{now, o.pool.Work(), o.planTime, runtimeusage.Read()}
	}
}

// logBehind logs that the owner does not keep up, and what it has done lately. The lock is held.
func (o *Owner) logBehind(kind string, waited time.Duration, now time.Time) {
	since := o.since[0]
	if since.at.IsZero() {
		since = o.since[1] // the pool is new here
	}
	w, u := o.pool.Work().Minus(since.work), runtimeusage.Read().Minus(since.usage)
	o.Logger.Warn().Str("event", "behind").Str("work", kind).Dur("waited", waited).Int64("submissions", o.submitting.Load()).
		Dur("append", o.Journal.LastDuration()).Dur("lateness", o.lateness.Value(now)).Dur("over", now.Sub(since.at)).
		Uint64("plans", w.Plans).Dur("plan_time", o.planTime-since.planTime).Uint64("examined", w.Examined).Uint64("placed", w.Placed).
		Uint64("released", w.Released).Uint64("withheld", w.Withheld).Uint64("started", w.Started).Uint64("polled", w.Polled).
		Uint64("collections", u.Collections).Uint64("allocated_mb", u.Allocated>>20).
		Msg("the owner does not keep up with its work")
}

// noteWait counts and logs that work of a kind has waited for its turn for long. The lock is held. It is
// called thousands of times a second.
func (o *Owner) noteWait(kind string, waited time.Duration, now time.Time) {
	if waited < behindAfter {
		return
	}
	o.count("owner.behind." + kind)
	if now.Sub(o.behindLoggedAt) < behindLogGap {
		return
	}
	o.behindLoggedAt = now
	o.logBehind(kind, waited, now)
}

// observe adds a duration to a histogram and counts its outcome.
func (o *Owner) observe(what string, took time.Duration, outcome string) {
	if o.Observe != nil {
		o.Observe(what, took, outcome)
	}
}
