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
		Dur("append", o.Journal.LastDuration()).Msg("the owner does not keep up with its work")
}

// observe adds a duration to a histogram and counts its outcome.
func (o *Owner) observe(what string, took time.Duration, outcome string) {
	if o.Observe != nil {
		o.Observe(what, took, outcome)
	}
}
