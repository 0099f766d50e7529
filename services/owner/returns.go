// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/admission/returns"
)

// admit returns an error if a job is refused because it would not complete in time. A caller that returns
// in the second that it was promised is not asked again. The lock is held.
func (o *Owner) admit(ctx context.Context, s job.Submission) error {
	now := o.Clock.Now()
	if !o.keepsPromises() || o.pool.Has(s.ID) || s.HasLongRunning() || s.RepeatCount > 0 {
		return o.refuse(ctx, s, o.pool.ExcessWait(s, now), capacity.Outlook{})
	}
	if o.redeem(ctx, s, now) {
		return nil
	}
	own, all := o.promises.Reserved(s.Customer, now)
	excess := o.pool.ExcessWaitBehind(s, own, all, now)
	if excess <= 0 {
		o.promises.Release(s.ID)
		return nil
	}
	return o.refuse(ctx, s, excess, o.pool.Outlook(now).Promised())
}

// keepsPromises reports whether refused callers are promised a second.
func (o *Owner) keepsPromises() bool { return o.Returns != nil && o.Returns() }

// returnRequest returns a job as the book of promises has it.
func (o *Owner) returnRequest(ctx context.Context, s job.Submission, now time.Time) returns.Request {
	n := o.pool.NeedsOf(s, now)
	return returns.Request{Job: s.ID, Customer: s.Customer, Share: n.Share, Work: n.Work, Remaining: returns.Remaining(ctx)}
}

// redeem reports whether a caller has returned in its second and the pool has capacity for its job.
func (o *Owner) redeem(ctx context.Context, s job.Submission, now time.Time) bool {
	if o.promises.OnMissed == nil {
		o.promises.OnMissed = o.logMissed
	}
	r := o.returnRequest(ctx, s, now)
	how := o.promises.Redeem(r, now)
	if how == returns.Unknown {
		return false
	}
	accepted := how == returns.Kept && o.pool.Outlook(now).TimeFor(r.Work) < capacity.Never
	o.count("returns." + how.String())
	o.Logger.Info().Str("event", "return").Str("job", string(s.ID)).Str("customer", s.Customer).Dur("remaining", r.Remaining).
		Bool("accepted", accepted).Str("outcome", how.String()).Msg("a refused caller has returned")
	return accepted
}

// refuse returns the error for a job that would be late by a time, nil if that is 0. With an outlook of the
// capacity that is its customer's to use, the caller is promised a second in which it may come back.
func (o *Owner) refuse(ctx context.Context, s job.Submission, late time.Duration, room capacity.Outlook) error {
	if late <= 0 {
		return nil
	}
	o.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Dur("full", late).Str("outcome", "refused").
		Msg("job rejected: it would not complete in time")
	if !o.keepsPromises() {
		return errkind.NewRetry(errkind.Overloaded, late, "the pool is full; a job submitted now would be %s late", late.Round(time.Millisecond))
	}
	now := o.Clock.Now()
	r := o.returnRequest(ctx, s, now)
	p := o.promises.Promise(r, late, room, now)
	o.logPromise(r, p)
	switch p.Result {
	case returns.LimitEnds:
		return errkind.NewExact(errkind.DeadlinePassed, 0, "the pool is full; no second before the caller's time limit has room for the job")
	case returns.NoSecond:
		return errkind.NewRetry(errkind.Overloaded, p.After, "the pool is full, and no second of the next %s has room for the job", returns.Horizon)
	}
	return errkind.NewExact(errkind.Overloaded, p.After, "the pool is full; the job is accepted if it is submitted again in %s", p.After)
}

// logPromise logs and counts what a refused caller is told.
func (o *Owner) logPromise(r returns.Request, p returns.Promise) {
	outcome := [...]string{returns.Promised: "promised", returns.NoSecond: "no second", returns.LimitEnds: "time limit ends"}[p.Result]
	o.count([...]string{returns.Promised: "returns.promised", returns.NoSecond: "returns.no_second", returns.LimitEnds: "returns.limit_ends"}[p.Result])
	o.Logger.Info().Str("event", "promise").Str("job", string(r.Job)).Str("customer", r.Customer).Dur("in", p.After).Float64("work_cpu", r.Work.CPU).
		Float64("promised_cpu", p.InSecond.CPU).Float64("share", r.Share).Dur("remaining", r.Remaining).Int("book", o.promises.Len()).
		Str("outcome", outcome).Msg("a refused caller was told when to return")
}

// logMissed logs and counts a promise whose caller has not come.
func (o *Owner) logMissed(id job.ID, customer string) {
	o.count("returns.missed")
	o.Logger.Info().Str("event", "return").Str("job", string(id)).Str("customer", customer).Str("outcome", "missed").
		Msg("a refused caller has not returned in its second")
}

// count increments a counter.
func (o *Owner) count(counter string) {
	if o.Count != nil {
		o.Count(counter)
	}
}
