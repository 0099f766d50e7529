// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// The patience with a store that does not answer. It answers in 4 ms, and 60 times
// as long on its slow days.
const (
	stuckRefuse = 400 * time.Millisecond // an append under way for so long: what comes is refused
	stuckTake   = 600 * time.Millisecond // a job that has waited so long and is in no append is refused
)

// Submit takes a job and returns once it is kept. While the store does not answer,
// a job that is in no append is refused at once, which is true: it was not kept.
func (o *Owner) Submit(ctx context.Context, s job.Submission) error {
	batch, err := o.submit(s)
	if err != nil {
		return err
	}
	o.poke()
	bounded, cancel := context.WithTimeout(ctx, stuckTake)
	err = o.await(bounded, batch)
	cancel()
	if err == nil {
		return o.taken(s.ID)
	}
	if !errkind.Is(err, errkind.OutcomeUnknown) || ctx.Err() != nil {
		return err
	}
	if o.withdraw(s.ID) {
		return errkind.New(errkind.LogUnavailable, "the store has not answered for %s; the job was not kept", stuckTake)
	}
	if err := o.await(ctx, batch); err != nil {
		return err
	}
	return o.taken(s.ID)
}

// taken returns an error where a job was withdrawn while two calls had submitted
// it: the batch that both wait for is kept without it.
func (o *Owner) taken(id job.ID) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pool.Persisted(id) {
		return nil
	}
	return errkind.New(errkind.LogUnavailable, "the store did not answer in time; the job was not kept")
}

// submit takes a job and returns the batch that carries it.
func (o *Owner) submit(s job.Submission) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.live(); err != nil {
		return 0, err
	}
	if err := o.pool.CheckAccess(s.ID, s.Customer); errkind.Is(err, errkind.Forbidden) {
		return 0, err
	}
	if o.Journal.IsStuck(stuckRefuse) && !o.pool.Has(s.ID) {
		stuck := o.Journal.PendingFor()
		o.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Dur("stuck", stuck).Str("outcome", "refused").
			Msg("a job is refused since the store does not answer")
		return 0, errkind.New(errkind.LogUnavailable, "the store has not answered for %s", stuck.Round(time.Millisecond))
	}
	if step, beyond := o.pool.ExceedsLimit(s); beyond {
		o.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Str("customer", s.Customer).Int("step", step).Str("outcome", "refused").
			Msg("a job is refused since its customer may not have so much running")
		return 0, errkind.New(errkind.Infeasible, "step %d: what begins together is larger than all that customer %s may have running", step, s.Customer)
	}
	if full := o.pool.ExcessWait(s, o.Clock.Now()); full > 0 {
		o.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Dur("full", full).Str("outcome", "refused").
			Msg("a job is refused since it would not be done in time")
		return 0, errkind.NewRetry(errkind.Overloaded, full, "the pool is full; a job that comes now would be %s late", full.Round(time.Millisecond))
	}
	return o.pool.Submit(s, o.Clock.Now()), nil
}

// withdraw takes a job back that is in no append yet.
func (o *Owner) withdraw(id job.ID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.over == nil && o.pool.Withdraw(id)
}

// Cancel ends a job on behalf of a customer and returns once that is kept.
func (o *Owner) Cancel(ctx context.Context, id job.ID, by string) error {
	batch, err := o.cancel(id, by)
	if err != nil {
		return o.sure(ctx, err)
	}
	o.poke()
	return o.await(ctx, batch)
}

// cancel ends a job and returns the batch that carries that.
func (o *Owner) cancel(id job.ID, by string) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.live(); err != nil {
		return 0, err
	}
	if err := o.pool.CheckAccess(id, by); err != nil {
		return 0, err
	}
	defer o.attend()
	return o.pool.Cancel(id, o.Clock.Now())
}

// State returns what a caller is told of a job on behalf of a customer.
func (o *Owner) State(ctx context.Context, id job.ID, by string) (job.State, error) {
	state, err := o.state(id, by)
	if err != nil {
		return "", o.sure(ctx, err)
	}
	return state, nil
}

func (o *Owner) state(id job.ID, by string) (job.State, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.live(); err != nil {
		return "", err
	}
	if err := o.pool.CheckAccess(id, by); err != nil {
		return "", err
	}
	state, _ := o.pool.State(id)
	return state, nil
}

// sure returns the error that a job is not known only if the pool was owned here
// after it was asked for: an owner that has been replaced does not know what came
// since, and must not say that it is not there.
func (o *Owner) sure(ctx context.Context, err error) error {
	if !errkind.Is(err, errkind.Gone) {
		return err
	}
	if refused := o.Journal.Confirm(ctx); refused != nil {
		return errkind.New(errkind.Fenced, "whether pool %s is owned here is not known: %v", o.Pool, refused)
	}
	return err
}

// Pending returns how many jobs of a queue have not begun.
func (o *Owner) Pending(queue string) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.live(); err != nil {
		return 0, err
	}
	return o.pool.Pending(queue), nil
}
