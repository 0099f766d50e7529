// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/admission"
	"github.com/yardbridge/yardbridge/services/admission/returns"
)

// keepsPromises reports whether refused callers are promised a second: unless that is set, where jobs that
// were accepted keep their places.
func (o *Owner) keepsPromises() bool {
	if o.Returns != nil {
		return o.Returns()
	}
	return o.pool.KeepsPlaces()
}

// returnRequest returns a job as the book of promises has it.
func (o *Owner) returnRequest(r admission.Request, part float64) returns.Request {
	return returns.Request{Job: r.Job, Customer: r.Customer, Share: part, Work: r.Load.Work, Remaining: r.Remaining}
}

// redeem reports whether a caller has returned in its second and the pool has capacity for its job.
func (o *Owner) redeem(request admission.Request, now time.Time) bool {
	if o.promises.OnMissed == nil {
		o.promises.OnMissed = o.logMissed
	}
	r := o.returnRequest(request, 1)
	how := o.promises.Redeem(r, now)
	if how == returns.Unknown {
		return false
	}
	accepted := how == returns.Kept && o.pool.Outlook(now).TimeFor(r.Work) < capacity.Never
	o.count("returns." + how.String())
	o.Logger.Info().Str("event", "return").Str("job", string(r.Job)).Str("customer", r.Customer).Dur("remaining", r.Remaining).
		Bool("accepted", accepted).Str("outcome", how.String()).Msg("a refused caller has returned")
	return accepted
}

// promise returns the error for a job that is not accepted, whose caller is promised a second in which it
// may come back.
func (o *Owner) promise(request admission.Request, state admission.State, d admission.Decision, now time.Time) error {
	room, part := o.pool.Outlook(now).Promised(), o.pool.UsablePart(request.Customer, now)
	if d.Reason == admission.OverLimit {
		room, part = state.Limit.Outlook.Promised(), 1
	}
	r := o.returnRequest(request, part)
	p := o.promises.Promise(r, d.After, room, now)
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
