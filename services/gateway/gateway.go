// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/directory"
)

// PoolHandler handles calls about the jobs of one pool, on this node or on another. Each call is
// made on behalf of a customer, "" for none; a call about another customer's job gets an error of
// the kind Forbidden.
type PoolHandler struct {
	Submit  func(ctx context.Context, s job.Submission) error
	State   func(ctx context.Context, id job.ID, customer string) (job.State, error)
	Cancel  func(ctx context.Context, id job.ID, customer string) error
	Pending func(ctx context.Context, queue string) (int, error)
}

// Gateway routes calls to the owner of a pool; its fields are set before it is used.
type Gateway struct {
	Directory *directory.Directory
	Clock     clock.Clock
	Logger    log.Logger
	// Local returns the handler of a pool that this node owns, nil for none.
	Local func(pool string) *PoolHandler
	// OnOutdated is called with a node that no longer owns a pool although the directory lists it
	// as the owner; it may be nil.
	OnOutdated func(n directory.Node)
	// Remote returns the handler of a pool at another node.
	Remote func(n directory.Node, pool string) *PoolHandler

	newest atomic.Pointer[config.Config]
}

// Config returns the newest configuration, nil before the first.
func (g *Gateway) Config() *config.Config { return g.newest.Load() }

// ApplyConfig applies a configuration unless a newer one is known, and returns whether it did.
func (g *Gateway) ApplyConfig(c *config.Config) bool {
	for {
		known := g.newest.Load()
		if known != nil && known.Version >= c.Version {
			return false
		}
		if g.newest.CompareAndSwap(known, c) {
			return true
		}
	}
}

// How long the gateway waits for owners.
const (
	// ownerWait is how long a call waits for a pool to have an owner that can be reached. A
	// takeover takes about a second, and a caller that is refused does not retry sooner.
	ownerWait = 1500 * time.Millisecond
	// retryPause is the pause before a call that did not reach an owner is retried.
	retryPause = 50 * time.Millisecond
	// cancelGrace is how long a call whose context has ended may still return its result, as a call
	// that was not sent does at once. A node that stops has 0.3 s for its last responses, and a
	// caller's response has 50 ms to travel back.
	cancelGrace = 20 * time.Millisecond
)

// noResult is the result of calls that only succeed or fail.
type noResult struct{}

// Submit passes a job to its pool's owner and returns once the job is persisted. The owner knows the jobs of
// the queue that other pools have accepted. While the queue moves to another pool, the call waits for it.
func (g *Gateway) Submit(ctx context.Context, q *config.Queue, s job.Submission) error {
	pool := func() string {
		if c := g.Config(); c != nil {
			if now := c.Queue(q.Key()); now != nil {
				return now.Pool
			}
		}
		return q.Pool
	}
	_, err := call(ctx, g, pool, func(ctx context.Context, h *PoolHandler) (noResult, error) {
		return noResult{}, h.Submit(ctx, s)
	})
	return err
}

// Cancel cancels a job on behalf of a customer and returns once the cancellation is persisted.
func (g *Gateway) Cancel(ctx context.Context, q *config.Queue, id job.ID, customer string) error {
	_, err := callAnyOwner(ctx, g, q, func(ctx context.Context, h *PoolHandler) (noResult, error) {
		return noResult{}, h.Cancel(ctx, id, customer)
	})
	return err
}

// State returns the state of a job that is reported to a customer.
func (g *Gateway) State(ctx context.Context, q *config.Queue, id job.ID, customer string) (job.State, error) {
	state, err := callAnyOwner(ctx, g, q, func(ctx context.Context, h *PoolHandler) (job.State, error) { return h.State(ctx, id, customer) })
	return state, queryError(err)
}

// Pending returns the number of a queue's jobs that have not started, in all pools that may have some.
func (g *Gateway) Pending(ctx context.Context, q *config.Queue) (int, error) {
	total := 0
	for _, pool := range g.assignedPools(q) {
		n, err := call(ctx, g, fixed(pool), func(ctx context.Context, h *PoolHandler) (int, error) { return h.Pending(ctx, q.Key()) })
		if err != nil {
			return 0, queryError(err)
		}
		total += n
	}
	return total, nil
}

// assignedPools returns the pools that may have accepted jobs of a queue: the one that it uses now, and the
// others that the directory names.
func (g *Gateway) assignedPools(q *config.Queue) []string {
	pools := []string{q.Pool}
	v, _ := g.Directory.View()
	if v == nil {
		return pools
	}
	for _, pool := range v.Queues[q.Key()] {
		if pool != q.Pool {
			pools = append(pools, pool)
		}
	}
	return pools
}

// fixed returns a pool whatever the configuration is.
func fixed(pool string) func() string { return func() string { return pool } }

// queryError returns the error of a query: it changes nothing, so that one without a response has not
// run, and may be repeated.
func queryError(err error) error {
	if errkind.Is(err, errkind.OutcomeUnknown) {
		return errkind.New(errkind.NoTarget, "no response to a query: %v", err)
	}
	return err
}

// callAnyOwner calls the owner of a queue's pool and, if that does not know the job, the owners of the pools that
// the queue has used before and of all others: this node may not have read yet that the queue has moved.
func callAnyOwner[T any](ctx context.Context, g *Gateway, q *config.Queue, do func(context.Context, *PoolHandler) (T, error)) (T, error) {
	result, err := call(ctx, g, fixed(q.Pool), do)
	if !errkind.Is(err, errkind.Gone) {
		return result, err
	}
	for _, pool := range g.otherPools(q) {
		otherResult, otherErr := call(ctx, g, fixed(pool), do)
		if !errkind.Is(otherErr, errkind.Gone) {
			return otherResult, otherErr
		}
	}
	return result, err
}

// otherPools returns all pools but the one that a queue uses now, those that it has used before first.
func (g *Gateway) otherPools(q *config.Queue) []string {
	pools := g.assignedPools(q)
	for _, p := range g.Config().Pools {
		if !p.Headroom && !slices.Contains(pools, p.Name) {
			pools = append(pools, p.Name)
		}
	}
	return pools[1:]
}

// call calls the owner of a pool, and retries while there is no owner, it is not reached, or the queue is
// moving. Retries are safe, because every call may be made twice. Each one goes to the pool of that time.
func call[T any](ctx context.Context, g *Gateway, poolNow func() string, do func(context.Context, *PoolHandler) (T, error)) (T, error) {
	startedAt := g.Clock.Now()
	unknown := false
	for {
		pool := poolNow()
		result, changed, err := callOnce(ctx, g, pool, do)
		switch {
		case errkind.Is(err, errkind.OutcomeUnknown):
			unknown = true
		case errkind.Is(err, errkind.Fenced), errkind.Is(err, errkind.NoTarget), errkind.Is(err, errkind.QueueMoving):
		default:
			return result, refusalError(pool, unknown, err)
		}
		if ctx.Err() != nil || g.Clock.Now().Sub(startedAt) > ownerWait {
			return result, unreachedError(pool, unknown, err)
		}
		select {
		case <-changed:
		case <-g.Clock.After(retryPause):
		case <-ctx.Done():
		}
	}
}

// refusalError returns the error of a call that got a response. A temporary refusal means only that
// this attempt had no effect: if an earlier attempt may have had one, the outcome is reported as
// unknown.
func refusalError(pool string, unknown bool, err error) error {
	if !unknown || err == nil {
		return err
	}
	row := errkind.Of(err).Kind.Response()
	if row.Outcome == errkind.NotRun && row.RetryAfter > 0 {
		return errkind.New(errkind.OutcomeUnknown, "pool %s: an earlier attempt got no response, and then: %v", pool, err)
	}
	return err
}

// unreachedError returns the error of a call that did not reach an owner; a call that may have
// reached one is not reported as refused, nor is a job that another pool may have accepted.
func unreachedError(pool string, unknown bool, err error) error {
	if errkind.Is(err, errkind.QueueMoving) {
		return err
	}
	if unknown {
		return errkind.New(errkind.OutcomeUnknown, "pool %s: %v", pool, err)
	}
	return errkind.New(errkind.NoTarget, "the owner of pool %s can't be reached: %v", pool, err)
}

// callOnce calls the owner that is known now. It also returns a channel that is closed when another
// owner may be known. The call is abandoned once another node owns the pool.
func callOnce[T any](ctx context.Context, g *Gateway, pool string, do func(context.Context, *PoolHandler) (T, error)) (T, <-chan struct{}, error) {
	var none T
	v, changed := g.Directory.View()
	if handler := g.Local(pool); handler != nil {
		result, err := do(ctx, handler)
		return result, changed, err
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
	a := &attempt[T]{do: do, handler: g.Remote(node, pool), result: make(chan callResult[T], 1)}
	go a.run(ctx)
	cancelled := ctx.Done()
	var graceEnd <-chan time.Time
	for {
		select {
		case o := <-a.result:
			if errkind.Is(o.err, errkind.Fenced) && g.OnOutdated != nil {
				g.OnOutdated(node)
			}
			return o.value, changed, o.err
		case <-cancelled:
			cancelled, graceEnd = nil, g.Clock.After(cancelGrace)
		case <-graceEnd:
			return none, changed, errkind.New(errkind.OutcomeUnknown, "node %s: the call was abandoned: %v", node.Name, context.Cause(ctx))
		case <-changed:
			v, changed = g.Directory.View()
			if now, o, present := v.Owner(pool); !present || now.Name != node.Name || o.Epoch != known.Epoch {
				return none, changed, errkind.New(errkind.OutcomeUnknown, "node %s no longer owns pool %s", node.Name, pool)
			}
		}
	}
}

// callResult is the result of an attempt.
type callResult[T any] struct {
	value T
	err   error
}

// attempt is one call to another node.
type attempt[T any] struct {
	do      func(context.Context, *PoolHandler) (T, error)
	handler *PoolHandler
	result  chan callResult[T]
}

// run makes the call and sends its result.
func (a *attempt[T]) run(ctx context.Context) {
	result, err := a.do(ctx, a.handler)
	a.result <- callResult[T]{result, err}
}
