// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
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
	// Alone reports whether no other node answers, nil for never.
	Alone func() bool

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
	isolated := o.Alone != nil && o.Clock.Now().Sub(o.Journal.Confirmed()) > unconfirmed && o.Alone()
	if isolated == o.pool.Isolated {
		return
	}
	o.pool.Isolated = isolated
	o.Logger.Warn().Str("event", "isolated").Bool("isolated", isolated).Time("confirmed", o.Journal.Confirmed()).
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

// attend wakes the links of workers that there are orders for. The lock is held.
func (o *Owner) attend() {
	for _, id := range o.pool.Attention() {
		if l := o.links[id]; l != nil {
			l.wake()
		}
	}
}

// Configure hands the pool a newer configuration.
func (o *Owner) Configure(c *config.Config) {
	o.change(func(p *scheduler.Pool, _ time.Time) { p.Configure(c) })
}

// See hands the pool what the platform's list says of its workers: those that
// changed, and whether they are all that there are.
func (o *Owner) See(ctx context.Context, listed []worker.Worker, whole bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	present := make(map[worker.ID]bool, len(listed))
	for _, w := range listed {
		if w.Pool != o.Pool {
			continue
		}
		present[w.ID] = true
		o.pool.See(w)
		o.link(ctx, w.ID)
	}
	if whole {
		for _, id := range o.pool.Workers() {
			if !present[id] {
				o.pool.Miss(id)
			}
		}
	}
	o.dropLinks()
	o.attend()
	o.poke()
}

// Miss hands the pool the news that workers are listed no longer.
func (o *Owner) Miss(ids []worker.ID) {
	o.change(func(p *scheduler.Pool, _ time.Time) {
		for _, id := range ids {
			p.Miss(id)
		}
	})
}

// link opens the link to a worker that has none. The lock is held.
func (o *Owner) link(ctx context.Context, id worker.ID) {
	w, known := o.pool.Worker(id)
	if !known || o.links[id] != nil || ctx.Err() != nil || o.over != nil {
		return
	}
	l := &link{owner: o, id: id, port: o.Workers.Open(w), orders: make(chan struct{}, 1), look: make(chan struct{}, 1)}
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
	if o.pool.Kept(id) {
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
	if err := o.pool.Check(s.ID, s.Customer); errkind.Is(err, errkind.Forbidden) {
		return 0, err
	}
	if o.Journal.StuckFor(stuckRefuse) && !o.pool.Has(s.ID) {
		stuck := o.Journal.Stuck()
		o.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Dur("stuck", stuck).Str("outcome", "refused").
			Msg("a job is refused since the store does not answer")
		return 0, errkind.New(errkind.LogUnavailable, "the store has not answered for %s", stuck.Round(time.Millisecond))
	}
	if step, beyond := o.pool.Beyond(s); beyond {
		o.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Str("customer", s.Customer).Int("step", step).Str("outcome", "refused").
			Msg("a job is refused since its customer may not have so much running")
		return 0, errkind.New(errkind.Infeasible, "step %d: what begins together is larger than all that customer %s may have running", step, s.Customer)
	}
	if full := o.pool.Full(s, o.Clock.Now()); full > 0 {
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
	if err := o.pool.Check(id, by); err != nil {
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
	if err := o.pool.Check(id, by); err != nil {
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

// keep makes a change to the pool under the lock, and returns once the batch is kept that the
// change has named.
func (o *Owner) keep(ctx context.Context, change func() (batch uint64, err error)) error {
	o.mu.Lock()
	err := o.live()
	batch := uint64(0)
	if err == nil {
		batch, err = change()
	}
	o.mu.Unlock()
	if err != nil {
		return err
	}
	o.poke()
	return o.await(ctx, batch)
}

// reportWait is how long a report waits for the store to keep the cordons that it was asked for:
// some appends of 4 ms. On a slow store the report goes without; no worker counts as empty in it
// whose cordon is not kept, and what the pool needs is known all the same.
const reportWait = 100 * time.Millisecond

// Report returns what the pool tells of itself, after it has cordoned just the
// workers that are asked for.
func (o *Owner) Report(ctx context.Context, asked scheduler.Cordons) (scheduler.Report, error) {
	bounded, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	err := o.keep(bounded, func() (uint64, error) {
		batch, err := o.pool.Cordon(asked, o.Clock.Now())
		if err == nil {
			o.attend()
		}
		return batch, err
	})
	if err != nil && (bounded.Err() == nil || ctx.Err() != nil) {
		return scheduler.Report{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.live(); err != nil {
		return scheduler.Report{}, err
	}
	return o.pool.Report(asked, o.Clock.Now()), nil
}

// Allow gives the pool other allowances, if the question brings some, and returns what it tells
// of them once it has kept what they lower.
func (o *Owner) Allow(ctx context.Context, q quota.Question) (quota.Statement, error) {
	err := o.keep(ctx, func() (uint64, error) {
		if q.Allow == nil {
			return 0, nil
		}
		return o.pool.Allow(*q.Allow), nil
	})
	if err != nil {
		return quota.Statement{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.Statement(q, o.Clock.Now()), nil
}

// Peek returns what the pool tells of itself, and changes nothing.
func (o *Owner) Peek() scheduler.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.Report(scheduler.Cordons{}, o.Clock.Now())
}

var errStopped = errors.New("stopped")
