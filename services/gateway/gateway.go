// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/directory"
)

// PoolHandler takes calls about the jobs of one pool, on this node or on another. Each comes
// on behalf of a customer, "" for none; a job of another one is an error of the kind
// Forbidden.
type PoolHandler struct {
	Submit  func(ctx context.Context, s job.Submission) error
	State   func(ctx context.Context, id job.ID, by string) (job.State, error)
	Cancel  func(ctx context.Context, id job.ID, by string) error
	Pending func(ctx context.Context, queue string) (int, error)
}

// Gateway finds the owner of a pool; its fields are set before it is used.
type Gateway struct {
	Directory *directory.Directory
	Clock     clock.Clock
	Logger    log.Logger
	// Local returns the desk of a pool that this node owns, nil for none.
	Local func(pool string) *PoolHandler
	// OnOutdated is told of a node that does not own a pool any more though the directory says
	// so; nil tells nobody.
	OnOutdated func(n directory.Node)
	// Remote returns the desk of a pool at another node.
	Remote func(n directory.Node, pool string) *PoolHandler

	newest atomic.Pointer[config.Config]
	moves  moves
}

// Config returns the newest configuration, nil before the first.
func (g *Gateway) Config() *config.Config { return g.newest.Load() }

// ApplyConfig takes over a configuration unless a newer one is known, and returns
// whether it did.
func (g *Gateway) ApplyConfig(c *config.Config) bool {
	for {
		known := g.newest.Load()
		if known != nil && known.Version >= c.Version {
			return false
		}
		if g.newest.CompareAndSwap(known, c) {
			g.moves.note(known, c, g.Clock.Now())
			return true
		}
	}
}

// The patience of the gateway with owners.
const (
	// ownerless is how long a call waits for a pool to have an owner that can be
	// reached. Taking over takes about a second; a caller that is refused
	// comes back no sooner.
	ownerless = 1500 * time.Millisecond
	// retryPause is the pause before a call that did not reach an owner is made
	// again.
	retryPause = 50 * time.Millisecond
	// endSpan is how long a call whose context has ended may still tell what came of
	// it, as one that was not sent does at once; a node that stops has 0.3 s for its
	// last answers, and a caller's answer 50 ms for its way back.
	endSpan = 20 * time.Millisecond
)

// nothing is the answer of calls that only succeed or fail.
type nothing struct{}

// Submit hands a job to its pool's owner and returns once it is kept.
func (g *Gateway) Submit(ctx context.Context, q *config.Queue, s job.Submission) error {
	if taken, err := g.takenBefore(ctx, q, s.ID, s.Customer); taken || err != nil {
		return err
	}
	_, err := call(ctx, g, q.Pool, func(ctx context.Context, d *PoolHandler) (nothing, error) {
		return nothing{}, d.Submit(ctx, s)
	})
	return err
}

// Cancel ends a job on behalf of a customer and returns once that is kept.
func (g *Gateway) Cancel(ctx context.Context, q *config.Queue, id job.ID, by string) error {
	_, err := find(ctx, g, q, func(ctx context.Context, d *PoolHandler) (nothing, error) {
		return nothing{}, d.Cancel(ctx, id, by)
	})
	return err
}

// State returns what a caller is told of a job on behalf of a customer.
func (g *Gateway) State(ctx context.Context, q *config.Queue, id job.ID, by string) (job.State, error) {
	return find(ctx, g, q, func(ctx context.Context, d *PoolHandler) (job.State, error) { return d.State(ctx, id, by) })
}

// Pending returns how many of a queue's jobs have not begun.
func (g *Gateway) Pending(ctx context.Context, q *config.Queue) (int, error) {
	return call(ctx, g, q.Pool, func(ctx context.Context, d *PoolHandler) (int, error) { return d.Pending(ctx, q.Key()) })
}

// find calls the owner of a queue's pool and, where that knows no such job, the
// owners of the others: a queue may have led to another pool when the job came.
func find[T any](ctx context.Context, g *Gateway, q *config.Queue, do func(context.Context, *PoolHandler) (T, error)) (T, error) {
	answer, err := call(ctx, g, q.Pool, do)
	if !errkind.Is(err, errkind.Gone) {
		return answer, err
	}
	for _, p := range g.Config().Pools {
		if p.Name == q.Pool || p.Headroom {
			continue
		}
		elsewhere, other := call(ctx, g, p.Name, do)
		if !errkind.Is(other, errkind.Gone) {
			return elsewhere, other
		}
	}
	return answer, err
}

// call makes a call to the owner of a pool, again while there is none or it is
// not reached, which does no harm: every call may be made twice.
func call[T any](ctx context.Context, g *Gateway, pool string, do func(context.Context, *PoolHandler) (T, error)) (T, error) {
	began := g.Clock.Now()
	unknown := false
	for {
		answer, changed, err := try(ctx, g, pool, do)
		switch {
		case errkind.Is(err, errkind.OutcomeUnknown):
			unknown = true
		case errkind.Is(err, errkind.Fenced), errkind.Is(err, errkind.NoTarget):
		default:
			return answer, refusedAfterUnknown(pool, unknown, err)
		}
		if ctx.Err() != nil || g.Clock.Now().Sub(began) > ownerless {
			return answer, givenUp(pool, unknown, err)
		}
		select {
		case <-changed:
		case <-g.Clock.After(retryPause):
		case <-ctx.Done():
		}
	}
}

// refusedAfterUnknown returns the error of a call that was answered. A refusal for the time being
// says only that this try has done nothing: where an earlier one may have, that is
// what is told.
func refusedAfterUnknown(pool string, unknown bool, err error) error {
	if !unknown || err == nil {
		return err
	}
	row := errkind.Of(err).Kind.Response()
	if row.Outcome == errkind.NotRun && row.RetryAfter > 0 {
		return errkind.New(errkind.OutcomeUnknown, "pool %s: an earlier try got no answer, and then: %v", pool, err)
	}
	return err
}

// givenUp returns the error of a call that did not reach an owner; one that may
// have is not told as refused.
func givenUp(pool string, unknown bool, err error) error {
	if unknown {
		return errkind.New(errkind.OutcomeUnknown, "pool %s: %v", pool, err)
	}
	return errkind.New(errkind.NoTarget, "the owner of pool %s is not reached: %v", pool, err)
}

// try makes a call to the owner that is known now; it returns a channel that is
// closed when another may be. A call is given up on once another node owns the
// pool.
func try[T any](ctx context.Context, g *Gateway, pool string, do func(context.Context, *PoolHandler) (T, error)) (T, <-chan struct{}, error) {
	var none T
	v, changed := g.Directory.View()
	if desk := g.Local(pool); desk != nil {
		answer, err := do(ctx, desk)
		return answer, changed, err
	}
	if v == nil {
		return none, changed, errkind.New(errkind.NoTarget, "the directory has not been read")
	}
	node, known, present := v.Owner(pool)
	if !present || node.Name == g.Directory.Self.Name {
		return none, changed, errkind.New(errkind.NoTarget, "pool %s has no owner", pool)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempt[T]{do: do, desk: g.Remote(node, pool), result: make(chan outcome[T], 1)}
	go a.run(ctx)
	given := ctx.Done()
	var late <-chan time.Time
	for {
		select {
		case o := <-a.result:
			if errkind.Is(o.err, errkind.Fenced) && g.OnOutdated != nil {
				g.OnOutdated(node)
			}
			return o.answer, changed, o.err
		case <-given:
			given, late = nil, g.Clock.After(endSpan)
		case <-late:
			return none, changed, errkind.New(errkind.OutcomeUnknown, "node %s: the call was given up: %v", node.Name, context.Cause(ctx))
		case <-changed:
			v, changed = g.Directory.View()
			if now, o, present := v.Owner(pool); !present || now.Name != node.Name || o.Epoch != known.Epoch {
				return none, changed, errkind.New(errkind.OutcomeUnknown, "node %s does not own pool %s any more", node.Name, pool)
			}
		}
	}
}

// outcome is what came of an attempt.
type outcome[T any] struct {
	answer T
	err    error
}

// attempt is one call to another node.
type attempt[T any] struct {
	do     func(context.Context, *PoolHandler) (T, error)
	desk   *PoolHandler
	result chan outcome[T]
}

// run makes the call.
func (a *attempt[T]) run(ctx context.Context) {
	answer, err := a.do(ctx, a.desk)
	a.result <- outcome[T]{answer, err}
}
