// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/admission"
	"github.com/yardbridge/yardbridge/services/admission/returns"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// Time limits for a store that does not respond. It usually responds in 4 ms, and takes up to 60
// times as long when it is slow.
const (
	stuckReject   = 400 * time.Millisecond // after an append has been pending this long, new jobs are rejected
	stuckWithdraw = 600 * time.Millisecond // a job that has waited this long and is in no append is rejected
)

// Submit accepts a job and returns once it is persisted. While the store does not respond, a job
// that is in no append is rejected at once: it certainly was not persisted.
func (o *Owner) Submit(ctx context.Context, s job.Submission) error {
	batch, err := o.submit(ctx, s)
	if err == errElsewhere {
		return nil
	}
	if err != nil {
		return err
	}
	o.notifyChange()
	bounded, cancel := context.WithTimeout(ctx, stuckWithdraw)
	err = o.await(bounded, batch)
	cancel()
	if err == nil {
		return o.checkPersisted(s)
	}
	if !errkind.Is(err, errkind.OutcomeUnknown) || ctx.Err() != nil {
		return err
	}
	if o.withdraw(s.ID) {
		return errkind.New(errkind.LogUnavailable, "the store has not responded for %s; the job was not persisted", stuckWithdraw)
	}
	if err := o.await(ctx, batch); err != nil {
		return err
	}
	return o.checkPersisted(s)
}

// checkPersisted returns an error if a job was withdrawn while two calls were submitting it, or if the store refuses it:
// the batch that is waited for is persisted without the job.
func (o *Owner) checkPersisted(s job.Submission) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pool.Persisted(s.ID) {
		return nil
	}
	if refusal, known := o.refusals.find(s.ID, s.Customer); known && refusal.answer != nil {
		return refusal.answer
	}
	return errkind.New(errkind.LogUnavailable, "the store did not respond in time; the job was not persisted")
}

// submit accepts a job and returns the batch that contains it, once all submissions before it are decided
// on.
func (o *Owner) submit(ctx context.Context, s job.Submission) (uint64, error) {
	arrived := o.Clock.Now()
	defer o.submitting.Add(-1)
	if o.submitting.Add(1) > maxSubmitting {
		if err := o.turnAway(s); err != nil {
			return 0, err
		}
	}
	o.submissions.Lock()
	defer o.submissions.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	began := o.Clock.Now()
	o.noteWait(submissionWork, began.Sub(arrived), began)
	o.observe("owner.submission.wait", began.Sub(arrived), "done")
	batch, err := o.decide(ctx, s)
	outcome := "accepted"
	switch {
	case err == errElsewhere:
		outcome = "known"
	case err != nil:
		outcome = "refused"
	}
	o.observe("owner.submission.decision", o.Clock.Now().Sub(began), outcome)
	return batch, err
}

// decide accepts a job or returns why not. The lock is held.
func (o *Owner) decide(ctx context.Context, s job.Submission) (uint64, error) {
	if err := o.checkOwned(); err != nil {
		return 0, err
	}
	if err := o.pool.CheckAccess(s.ID, s.Customer); errkind.Is(err, errkind.Forbidden) {
		return 0, err
	}
	if err := o.checkIntake(s); err != nil {
		return 0, err
	}
	if o.Journal.IsStuck(stuckReject) && !o.pool.Has(s.ID) {
		stuck := o.Journal.PendingFor()
		o.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Dur("stuck", stuck).Str("outcome", "refused").
			Msg("job rejected: the store does not respond")
		return 0, errkind.New(errkind.LogUnavailable, "the store has not responded for %s", stuck.Round(time.Millisecond))
	}
	if step, beyond := o.pool.ExceedsLimit(s); beyond {
		o.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Str("customer", s.Customer).Int("step", step).Str("outcome", "refused").
			Msg("job rejected: tasks that start together exceed its customer's limit")
		return 0, errkind.New(errkind.Infeasible, "step %d: the tasks that start together exceed the limit of running tasks of customer %s", step, s.Customer)
	}
	if err := o.reserveMemory(s); err != nil {
		return 0, err
	}
	if err := o.admit(ctx, s); err != nil {
		o.unreserveMemory(s)
		return 0, err
	}
	return o.pool.Submit(s, o.Clock.Now()), nil
}

// memoryRetry is when a job that finds too little memory may be submitted again: unlike capacity, memory becomes free
// only as jobs end and are forgotten.
const memoryRetry = 5 * time.Second

// reserveMemory reserves the memory of a job that the pool does not know, or returns why there is too little. The lock
// is held.
func (o *Owner) reserveMemory(s job.Submission) error {
	if o.pool.Has(s.ID) || o.pool.Reserve(&s) {
		return nil
	}
	bytes, used, limit := scheduler.Footprint(&s), o.Memory.Used(), o.Memory.Limit()
	o.count("submit.refused.memory")
	o.Logger.Warn().Str("event", "submit").Str("job", string(s.ID)).Str("customer", s.Customer).Int64("bytes", bytes).Int64("used", used).
		Int64("limit", limit).Str("outcome", "refused").Msg("job rejected: too little memory for it beside the accepted jobs")
	if !o.pool.FitsAlone(&s) {
		return errkind.New(errkind.TooLarge, "job may take %d bytes of its owner's memory with its %d rounds of %d tasks in %d steps; all jobs together have %d",
			bytes, s.Rounds(), s.TasksPerRound(), len(s.Steps), limit)
	}
	return errkind.NewRetry(errkind.Overloaded, memoryRetry, "the accepted jobs take %d of %d bytes of their owner's memory; this one may take %d", used, limit, bytes)
}

// unreserveMemory gives back the memory of a job that is refused after all. The lock is held.
func (o *Owner) unreserveMemory(s job.Submission) {
	if !o.pool.Has(s.ID) {
		o.pool.Unreserve(&s)
	}
}

// thousandths is the number of thousandths of a core in a core.
const thousandths = 1000

// admit returns an error if the pool does not accept a job. A caller that returns in the second that it
// was promised is not asked again. The lock is held.
func (o *Owner) admit(ctx context.Context, s job.Submission) error {
	if o.pool.OnOwnTerms(s) {
		o.count("admission.accepted." + string(admission.Exempt))
		return nil
	}
	now, promises := o.Clock.Now(), o.keepsPromises()
	if err := o.refusals.answer(s.ID, s.Customer, now); err != nil {
		o.count("admission.refused.again")
		return err
	}
	arrival := o.pool.Arrive(s, returns.Remaining(ctx), now)
	request := arrival.Request
	if promises && o.redeem(request, now) {
		return nil
	}
	var reserved map[string]capacity.Work
	if promises {
		reserved = o.promises.Reserved(now)
	}
	state, d := o.pool.Admit(arrival, reserved, now)
	if d.Accepted {
		o.count("admission.accepted." + string(d.Reason))
		o.promises.Release(s.ID)
		return nil
	}
	o.count("admission.refused." + string(d.Reason))
	ahead := state.Ahead(d.Reason).Work
	o.Logger.Info().Str("event", "admission").Str("job", string(s.ID)).Str("queue", s.Queue).Str("customer", s.Customer).
		Float64("ahead_cpu_s", ahead.CPU/thousandths).Float64("ahead_memory_mb_s", ahead.MemoryMB).Float64("own_cpu_s", request.Load.Work.CPU/thousandths).
		Dur("wait", d.Wait).Dur("slack", request.Latest).Dur("after", d.After).Dur("outlook_age", now.Sub(state.Pool.Outlook.At())).
		Bool("fleet_known", state.FleetKnown).Dur("fleet_age", state.FleetAge).Str("why", string(d.Reason)).Str("outcome", "refused").
		Msg("job rejected: it would not complete in time")
	if !promises {
		return refusal(d)
	}
	if _, counted := o.refusals.find(s.ID, s.Customer); !counted && d.Reason != admission.OverLimit {
		o.pool.NoteRefused(arrival, now)
	}
	err := o.promise(request, state, d, now)
	o.remember(s, err, now)
	return err
}

// remember remembers a refused submission, with its answer unless it was promised a return.
func (o *Owner) remember(s job.Submission, answer error, now time.Time) {
	if o.promises.Has(s.ID) {
		answer = nil
	}
	o.refusals.add(s.ID, remembered{s.Customer, now, answer})
}

// refusal returns the error for a job that is not accepted, with the time until a return.
func refusal(d admission.Decision) error {
	if d.After == capacity.Never {
		return errkind.New(errkind.Overloaded, "the pool is full, and it is not known when a job such as this would be in time")
	}
	return errkind.NewRetry(errkind.Overloaded, d.After, "the pool is full; a job submitted now would be %s late", d.After.Round(time.Millisecond))
}

// count increments a counter.
func (o *Owner) count(counter string) {
	if o.Count != nil {
		o.Count(counter)
	}
}

// withdraw removes a job that is in no append yet.
func (o *Owner) withdraw(id job.ID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.endReason == nil && o.pool.Withdraw(id)
}

// Cancel ends a job on behalf of a customer and returns once the cancellation is persisted.
func (o *Owner) Cancel(ctx context.Context, id job.ID, by string) error {
	batch, err := o.cancel(id, by)
	if err != nil {
		return o.confirmGone(ctx, err)
	}
	o.notifyChange()
	return o.await(ctx, batch)
}

// cancel ends a job and returns the batch that contains the cancellation.
func (o *Owner) cancel(id job.ID, by string) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkOwned(); err != nil {
		return 0, err
	}
	if err := o.pool.CheckAccess(id, by); err != nil {
		return 0, err
	}
	defer o.processPending()
	return o.pool.Cancel(id, o.Clock.Now())
}

// State returns the state of a job on behalf of a customer.
func (o *Owner) State(ctx context.Context, id job.ID, by string) (job.State, error) {
	state, err := o.state(id, by)
	if err != nil {
		return "", o.confirmGone(ctx, err)
	}
	return state, nil
}

func (o *Owner) state(id job.ID, by string) (job.State, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkOwned(); err != nil {
		return "", err
	}
	if err := o.pool.CheckAccess(id, by); err != nil {
		return "", err
	}
	state, _ := o.pool.State(id)
	return state, nil
}

// confirmGone returns a Gone error only if the store confirms that this node owned the pool after
// the request arrived. An owner that has been replaced does not know the jobs submitted since, and
// must not report them as unknown. It waits no longer than the pool is owned here.
func (o *Owner) confirmGone(ctx context.Context, err error) error {
	if !errkind.Is(err, errkind.Gone) {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(o.owned, cancel)
	defer stop()
	if refused := o.Journal.Confirm(ctx); refused != nil {
		return errkind.New(errkind.Fenced, "can't confirm that pool %s is owned here: %v", o.Pool, refused)
	}
	return err
}

// Pending returns how many jobs of a queue have not started.
func (o *Owner) Pending(queue string) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkOwned(); err != nil {
		return 0, err
	}
	return o.pool.Pending(queue), nil
}
