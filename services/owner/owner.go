// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/evacuation"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/budget"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/lateness"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/admission"
	"github.com/yardbridge/yardbridge/services/admission/returns"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// Owner owns one pool from Claim until it is fenced or stopped. Its exported fields are set before
// Claim. Lock order: submissions before mu; nothing that blocks is called while mu is held.
type Owner struct {
	Pool    string
	Journal *journal.Journal
	Workers port.Workers
	Advisor port.Advisor
	Limits  scheduler.Limits
	Clock   clock.Clock
	Logger  log.Logger
	// Count increments a counter; nil for none.
	Count func(counter string)
	// Observe adds a duration to a histogram and counts its outcome; nil for none.
	Observe func(what string, took time.Duration, outcome string)
	// SelectPolicy returns the policy by which jobs are accepted; nil selects by the customers of
	// the configuration.
	SelectPolicy func(hasCustomers bool) admission.Policy
	// Unclaimed returns the time as of which no other node had claimed the pool, by the statements of all nodes
	// that could have, given the owner's epoch and when the store last confirmed it; the zero time and the
	// reason if that is not known. Nil if there are no statements.
	Unclaimed func(epoch uint64, confirmed time.Time) (time.Time, string)
	// Registry shows where queues are assigned; nil if the pool is the only one.
	Registry *Registry
	// Sizes are the sizes that the store accepts.
	Sizes Sizes
	// Memory is what the jobs of all pools of the process may take of its memory; nil for no limit.
	Memory *budget.Budget
	// Returns reports whether refused callers are promised the second in which they may come back; nil
	// for never.
	Returns func() bool

	changed   chan struct{}      // signals that there may be changes to plan or to persist
	adviceDue chan struct{}      // signals that there may be advice to request
	queuesDue chan struct{}      // signals that there may be queues to open
	owned     context.Context    // ends once the pool is no longer owned
	release   context.CancelFunc // ends it
	tasks     sync.WaitGroup

	// submissions is held by the one submission that is decided on or waits for mu: the others wait for it,
	// so that a poll or an order waits for one of them, however many there are.
	submissions sync.Mutex
	submitting  atomic.Int64 // submissions that are decided on or wait for that

	mu        sync.Mutex
	pool      *scheduler.Pool
	links     map[worker.ID]*link
	persisted uint64                     // newest batch that is persisted
	waiting   map[uint64][]chan struct{} // by the batch that is waited for
	promises  returns.Book               // to refused callers
	endReason error                      // why the pool is no longer owned

	intakes         map[string]*intake // of the queues of which new jobs are accepted, by the queue's key
	wantedQueues    map[string]bool    // queues with submissions that are not open
	unrecorded      []string           // queues of restored jobs that no earlier owner has persisted
	notOpenLoggedAt time.Time          // when it was last logged that queues can't be opened

	ownedBy            string // what the evidence of ownership rests on, as logged
	refusals           refusals
	lateness           lateness.Peak // of polls and of the commit loop
	planTime           time.Duration // of all plans
	since              [2]workSince  // one and two periods ago, the older one first
	behindLoggedAt     time.Time     // when it was last logged that the owner is behind its work
	turnedAway         int           // submissions that found too many waiting, since the last line that says so
	turnedAwayLoggedAt time.Time     // when that was
}

// Run serves the pool until the context ends or a higher epoch is seen, and returns the reason.
// Claim must have succeeded before.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.linkKnownWorkers(ctx)
	o.tasks.Go(func() { o.runAdvice(ctx) })
	if o.Registry != nil {
		o.tasks.Go(func() { o.runQueues(ctx) })
	}
	err := o.commitLoop(ctx)
	o.finish(err)
	cancel()
	o.tasks.Wait()
	return err
}

// finish releases all waiting callers and closes the links.
func (o *Owner) finish(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		err = errStopped
	}
	o.endReason = err
	o.pool.Close()
	o.release()
	for _, l := range o.links {
		l.close()
	}
}

// Size returns the number of workers of the pool.
func (o *Owner) Size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.links)
}

// Done returns a channel that is closed once the pool is no longer owned.
func (o *Owner) Done() <-chan struct{} { return o.owned.Done() }

// Epoch returns the epoch under which the pool is owned.
func (o *Owner) Epoch() uint64 { return o.Journal.Epoch() }

// unconfirmedLimit is how old the evidence may be that this node still owns the pool when it extends
// leases. Runs under those leases end one lease later. The next owner waits for a lease and
// ownerOverlap before it starts them again, so they have ended by then.
const unconfirmedLimit = 2 * time.Second

// updateIsolation records whether this owner is isolated: it lacks recent evidence that it still owns the
// pool. That another node responds is none, as it may know as little. The lock is held.
func (o *Owner) updateIsolation(now time.Time) {
	confirmed := o.Journal.LastConfirmed()
	owned, basis := confirmed, basisStore
	if now.Sub(confirmed) > unconfirmedLimit && o.Unclaimed != nil {
		unclaimed, lack := o.Unclaimed(o.Epoch(), confirmed)
		if unclaimed.After(owned) {
			owned = unclaimed
		}
		if basis = basisStatements; now.Sub(owned) > unconfirmedLimit {
			basis = lack
		}
	}
	isolated := now.Sub(owned) > unconfirmedLimit
	if isolated == o.pool.Isolated && basis == o.ownedBy {
		return
	}
	if isolated != o.pool.Isolated {
		o.count(isolationChanged)
	}
	o.pool.Isolated, o.ownedBy = isolated, basis
	o.Logger.Warn().Str("event", "isolated").Bool("isolated", isolated).Uint64("epoch", o.Epoch()).Dur("confirmed", now.Sub(confirmed)).
		Dur("evidence", now.Sub(owned)).Str("basis", basis).
		Msg("evidence that this node owns the pool has changed; leases are not extended while isolated")
}

// NotePublished records that the directory names this owner. Only then does a later process of this node know of its
// claim and state it, so that the owner before this one extends no lease any more, as records for the next one say.
func (o *Owner) NotePublished() {
	o.change(func(p *scheduler.Pool, _ time.Time) { p.Published = true })
}

// What the evidence of ownership rests on.
const (
	basisStore      = "store"
	basisStatements = "statements of all nodes"
)

// isolationChanged counts how often leases were no longer, or again, extended.
const isolationChanged = "owner.isolated.changed"

// notifyChange wakes the commit loop to plan and to persist changes.
func (o *Owner) notifyChange() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// change calls a function on the pool under the lock and processes the work that results from it.
func (o *Owner) change(do func(p *scheduler.Pool, now time.Time)) {
	o.mu.Lock()
	do(o.pool, o.Clock.Now())
	o.processPending()
	o.mu.Unlock()
	o.notifyChange()
}

// processPending wakes the links of workers that have pending orders and reopens the links that are
// no longer usable. The lock is held.
func (o *Owner) processPending() {
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

// Configure passes a newer configuration to the pool.
func (o *Owner) Configure(c *config.Config) {
	o.change(func(p *scheduler.Pool, _ time.Time) { p.Configure(c) })
	o.wakeQueues()
}

// SetEvacuated passes the data centres under evacuation to the pool.
func (o *Owner) SetEvacuated(l evacuation.List) {
	o.change(func(p *scheduler.Pool, _ time.Time) { p.SetEvacuated(l) })
}

// UpdateWorkers passes entries of the platform's worker list to the pool; complete means that the
// list contains every worker.
func (o *Owner) UpdateWorkers(ctx context.Context, listed []worker.Worker, complete bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	present := make(map[worker.ID]bool, len(listed))
	for _, w := range listed {
		if w.Pool != o.Pool {
			o.pool.UnlistWorker(w.ID) // the worker may have restarted there under the same ID
			continue
		}
		present[w.ID] = true
		o.pool.UpdateWorker(w)
		o.link(ctx, w.ID)
	}
	if complete {
		for _, id := range o.pool.Workers() {
			if !present[id] {
				o.pool.UnlistWorker(id)
			}
		}
	}
	o.dropLinks()
	o.processPending()
	o.notifyChange()
}

// UnlistWorkers notifies the pool that workers are no longer listed.
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
	if !known || o.links[id] != nil || ctx.Err() != nil || o.endReason != nil {
		return
	}
	l := &link{owner: o, id: id, parent: ctx, port: o.Workers.Open(w), orders: make(chan struct{}, 1), pollDue: make(chan struct{}, 1)}
	o.links[id] = l
	l.ctx, l.cancel = context.WithCancel(ctx)
	o.tasks.Add(2)
	go l.runOrders()
	go l.runPolls()
}

// dropLinks closes the links of workers that are no longer known. The lock is held.
func (o *Owner) dropLinks() {
	for id, l := range o.links {
		if _, known := o.pool.Worker(id); !known {
			l.close()
			delete(o.links, id)
		}
	}
}

// linkKnownWorkers opens links to the workers that an earlier owner used.
func (o *Owner) linkKnownWorkers(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range o.pool.Workers() {
		o.link(ctx, id)
	}
}

// await waits until a batch is persisted.
func (o *Owner) await(ctx context.Context, batch uint64) error {
	o.mu.Lock()
	if batch <= o.persisted {
		o.mu.Unlock()
		return nil
	}
	persisted := make(chan struct{})
	o.waiting[batch] = append(o.waiting[batch], persisted)
	o.mu.Unlock()
	select {
	case <-persisted:
		return nil
	case <-o.owned.Done():
		return errkind.New(errkind.OutcomeUnknown, "the pool's owner is changing")
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "the store did not respond in time")
	}
}

// checkOwned returns an error once the pool is no longer owned. The lock is held.
func (o *Owner) checkOwned() error {
	if o.endReason != nil {
		return errkind.New(errkind.Fenced, "pool %s has another owner", o.Pool)
	}
	return nil
}

var errStopped = errors.New("stopped")
