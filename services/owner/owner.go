// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// Owner owns one pool from Claim until it is fenced or stopped. Its fields are
// set before that. Lock order: mu is the only lock, and nothing that waits is
// called under it.
type Owner struct {
	Pool    string
	Journal *journal.Journal
	Workers port.Workers
	Advisor port.Advisor
	Limits  scheduler.Limits
	Clock   clock.Clock
	Logger  log.Logger
	// Count adds one to a counter, nil for none.
	Count func(counter string)
	// NoPeers reports whether no other node answers, nil for never.
	NoPeers func() bool

	changed   chan struct{} // there may be something to plan or to keep
	questions chan struct{} // there may be something to ask the advice service
	done      chan struct{} // closed once the pool is not owned any more
	tasks     sync.WaitGroup

	mu      sync.Mutex
	pool    *scheduler.Pool
	links   map[worker.ID]*link
	kept    uint64                     // newest batch that is kept
	waiting map[uint64][]chan struct{} // by the batch that is waited for
	over    error                      // why the pool is not owned any more
}

// Run serves the pool until the context ends or a higher epoch is seen, and
// returns why it has ended. Claim must have succeeded.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.adopt(ctx)
	o.tasks.Go(func() { o.runAdvice(ctx) })
	err := o.commits(ctx)
	o.end(err)
	cancel()
	o.tasks.Wait()
	return err
}

// end lets go of all who wait.
func (o *Owner) end(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		err = errStopped
	}
	o.over = err
	close(o.done)
	for _, l := range o.links {
		l.close()
	}
}

// Done is closed once the pool is not owned any more.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Epoch returns the epoch under which the pool is owned.
func (o *Owner) Epoch() uint64 { return o.Journal.Epoch() }

// unconfirmed is after how long without a word from the store an owner that reaches
// no other node extends leases no longer. What it lets run is over a lease later,
// before the next owner, which waits for a lease and three seconds, begins it anew.
const unconfirmed = 2 * time.Second

// isolate notes whether the owner could learn that another has taken over: from the
// store, or from another node. The lock is held.
func (o *Owner) isolate() {
	isolated := o.NoPeers != nil && o.Clock.Now().Sub(o.Journal.LastConfirmed()) > unconfirmed && o.NoPeers()
	if isolated == o.pool.Isolated {
		return
	}
	o.pool.Isolated = isolated
	o.Logger.Warn().Str("event", "isolated").Bool("isolated", isolated).Time("confirmed", o.Journal.LastConfirmed()).
		Msg("whether this owner reaches the store or another node has changed; while it does not, leases are not extended")
}

// poke has the pool planned and its changes kept.
func (o *Owner) poke() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// change calls a function on the pool under the lock, and acts on what it has
// brought.
func (o *Owner) change(do func(p *scheduler.Pool, now time.Time)) {
	o.mu.Lock()
	do(o.pool, o.Clock.Now())
	o.attend()
	o.mu.Unlock()
	o.poke()
}

// attend wakes the links of workers that there are orders for, and opens those anew that are
// of no use any more. The lock is held.
func (o *Owner) attend() {
	for _, id := range o.pool.WorkersToReconnect() {
		if l := o.links[id]; l != nil {
			l.close()
			delete(o.links, id)
			o.link(l.parent, id)
		}
	}
	for _, id := range o.pool.PendingWorkers() {
		if l := o.links[id]; l != nil {
			l.wake()
		}
	}
}

// Configure hands the pool a newer configuration.
func (o *Owner) Configure(c *config.Config) {
	o.change(func(p *scheduler.Pool, _ time.Time) { p.Configure(c) })
}

// UpdateWorkers hands the pool what the platform's list says of its workers: those that
// changed, and whether they are all that there are.
func (o *Owner) UpdateWorkers(ctx context.Context, listed []worker.Worker, whole bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	present := make(map[worker.ID]bool, len(listed))
	for _, w := range listed {
		if w.Pool != o.Pool {
			o.pool.UnlistWorker(w.ID) // it may have started again there under its id
			continue
		}
		present[w.ID] = true
		o.pool.UpdateWorker(w)
		o.link(ctx, w.ID)
	}
	if whole {
		for _, id := range o.pool.Workers() {
			if !present[id] {
				o.pool.UnlistWorker(id)
			}
		}
	}
	o.dropLinks()
	o.attend()
	o.poke()
}

// UnlistWorkers hands the pool the news that workers are listed no longer.
func (o *Owner) UnlistWorkers(ids []worker.ID) {
	o.change(func(p *scheduler.Pool, _ time.Time) {
		for _, id := range ids {
			p.UnlistWorker(id)
		}
	})
}

// link opens the link to a worker that has none. The lock is held.
func (o *Owner) link(ctx context.Context, id worker.ID) {
	w, known := o.pool.Worker(id)
	if !known || o.links[id] != nil || ctx.Err() != nil || o.over != nil {
		return
	}
	l := &link{owner: o, id: id, parent: ctx, port: o.Workers.Open(w), orders: make(chan struct{}, 1), look: make(chan struct{}, 1)}
	o.links[id] = l
	l.ctx, l.cancel = context.WithCancel(ctx)
	o.tasks.Add(2)
	go l.runOrders()
	go l.runLooks()
}

// dropLinks ends the links of workers that are not known any more. The lock is
// held.
func (o *Owner) dropLinks() {
	for id, l := range o.links {
		if _, known := o.pool.Worker(id); !known {
			l.close()
			delete(o.links, id)
		}
	}
}

// adopt opens links to the workers that an earlier owner has used.
func (o *Owner) adopt(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range o.pool.Workers() {
		o.link(ctx, id)
	}
}

// await waits until a batch is kept.
func (o *Owner) await(ctx context.Context, batch uint64) error {
	o.mu.Lock()
	if batch <= o.kept {
		o.mu.Unlock()
		return nil
	}
	kept := make(chan struct{})
	o.waiting[batch] = append(o.waiting[batch], kept)
	o.mu.Unlock()
	select {
	case <-kept:
		return nil
	case <-o.done:
		return errkind.New(errkind.OutcomeUnknown, "the pool's owner changes")
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "the store has not answered in time")
	}
}

// live returns an error once the pool is not owned any more. The lock is held.
func (o *Owner) live() error {
	if o.over != nil {
		return errkind.New(errkind.Fenced, "pool %s has another owner", o.Pool)
	}
	return nil
}

var errStopped = errors.New("stopped")
