// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// Bounds of what an owner remembers of refused submissions.
const (
	// answerKept is how long a refusal without a promise is the answer to the same submission: callers that
	// are told no time come back within a tenth or two of a second, up to their number of tries.
	answerKept = 200 * time.Millisecond
	// refusalKept is how long it is known at least that the work of a refused job has been counted as
	// arriving; its caller has given up or been accepted by then.
	refusalKept = 5 * time.Second
	// maxRefusals is how many refusals are remembered of each such time; one takes about 200 bytes.
	maxRefusals = 4096
)

// maxSubmitting is how many submissions an owner decides on or lets wait at once. Behind as many one waits
// for some ten milliseconds, unless the owner does not keep up.
const maxSubmitting = 128

// remembered is a refused submission.
type remembered struct {
	customer string
	at       time.Time
	answer   error // nil for one that was promised a return
}

// refusals remembers the refused submissions of the last seconds. Its zero value is empty.
type refusals struct {
	newest, older map[job.ID]remembered
	began         time.Time // when the newest were begun
}

// add remembers a refusal.
func (r *refusals) add(id job.ID, refusal remembered) {
	if r.newest == nil || refusal.at.Sub(r.began) >= refusalKept {
		r.newest, r.older, r.began = make(map[job.ID]remembered), r.newest, refusal.at
	}
	if len(r.newest) < maxRefusals {
		r.newest[id] = refusal
	}
}

// find returns the refusal of a customer's job, and false for none.
func (r *refusals) find(id job.ID, customer string) (remembered, bool) {
	refusal, known := r.newest[id]
	if !known {
		refusal, known = r.older[id]
	}
	return refusal, known && refusal.customer == customer
}

// answer returns the answer to a submission that was refused a moment ago, nil for none.
func (r *refusals) answer(id job.ID, customer string, now time.Time) error {
	refusal, known := r.find(id, customer)
	if !known || now.Sub(refusal.at) >= answerKept {
		return nil
	}
	return refusal.answer
}

// turnAway returns the error for a submission that finds too many others waiting, nil for one that is to
// wait: a job that this pool or another one knows, which has not been refused, and one that is accepted on its
// own terms.
func (o *Owner) turnAway(s job.Submission) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.endReason != nil || !o.pool.KeepsPlaces() || o.pool.OnOwnTerms(s) || o.checkIntake(s) != nil {
		return nil
	}
	o.count("admission.refused.busy")
	o.turnedAway++
	if now := o.Clock.Now(); now.Sub(o.turnedAwayLoggedAt) >= behindLogGap {
		o.Logger.Warn().Str("event", "behind").Str("work", submissionWork).Int64("submissions", o.submitting.Load()).Int("refused", o.turnedAway).
			Str("job", string(s.ID)).Str("outcome", "refused").Msg("submissions rejected: too many wait for the owner")
		o.turnedAway, o.turnedAwayLoggedAt = 0, now
	}
	return errkind.New(errkind.Overloaded, "%d submissions wait for the pool's owner", maxSubmitting)
}
