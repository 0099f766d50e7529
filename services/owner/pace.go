// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import "time"

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

const (
	// latenessWeight is the weight of one poll in the average lateness: some hundred are due in a second.
	latenessWeight = 1.0 / 32
	// appendWaits is how often an append waits for its turn on this node: to be sent, for its response to
	// be read, and for those who wait for it.
	appendWaits = 4
)

// noteLateness averages by how much polls are late.
func (o *Owner) noteLateness(late time.Duration) {
	o.lateness += time.Duration(latenessWeight * float64(late-o.lateness))
}

// storeTime returns how long the store took for the last append: what the append took, without the
// lateness of this node. A node without processor time would place tasks ahead, for a store that is not
// slow, and what that takes it lacks.
func (o *Owner) storeTime() time.Duration {
	return max(o.Journal.LastDuration()-appendWaits*o.lateness, 0)
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
	o.Logger.Warn().Str("event", "behind").Str("work", kind).Dur("waited", waited).Int64("submissions", o.submitting.Load()).
		Dur("append", o.Journal.LastDuration()).Dur("lateness", o.lateness).Msg("the owner does not keep up with its work")
}

// observe adds a duration to a histogram and counts its outcome.
func (o *Owner) observe(what string, took time.Duration, outcome string) {
	if o.Observe != nil {
		o.Observe(what, took, outcome)
	}
}
