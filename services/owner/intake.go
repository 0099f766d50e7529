// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// A queue may move from one pool to another, and back, while its jobs stay where they were accepted. A job ID
// is accepted once, because at most one pool accepts new jobs of a queue, and that pool knows the IDs that
// others have accepted. Before a pool accepts jobs of a queue,
//
//   - the directory shows that the queue is assigned to the pool (services/directory/queues.go);
//   - each other pool that the queue has been assigned to has persisted that it is closed there, by the same
//     version of the configuration or a newer one, and has listed the jobs of the queue that it knows;
//   - no newer version has closed the queue in this pool.
//
// All of it lasts longer than a process: a new owner restores what is open and closed, and requests the lists
// again. A submission to a queue that has used one pool only costs a lookup in memory.

// Registry connects an owner to the directory's assignments of queues and to the owners of other pools.
type Registry struct {
	// Pools returns the pools that queues have been assigned to, by the queue's key; false if they are unknown.
	Pools func() (map[string][]string, bool)
	// Assign assigns queues to a pool and returns all assignments once the directory shows that.
	Assign func(ctx context.Context, pool string, queues []string) (map[string][]string, error)
	// Close sends a request to the owner of another pool and returns the results by the queue's key.
	Close func(ctx context.Context, pool string, r CloseRequest) (map[string]ClosedQueue, error)
}

// CloseRequest requests that a pool refuses new jobs of queues because another one accepts them.
type CloseRequest struct {
	Queues  []string `json:"queues"`
	By      string   `json:"by"`      // the pool that is to accept them
	Version uint64   `json:"version"` // of the configuration that assigns them to it
}

// ClosedQueue is the response to a CloseRequest for one queue.
type ClosedQueue struct {
	Refused bool                `json:"refused,omitempty"` // a newer version assigns the queue to the requested pool
	Jobs    map[string][]job.ID `json:"jobs,omitempty"`    // that the pool knows, by customer
}

// Times of opening queues.
const (
	openTimeout = 2 * time.Second        // for the response of another pool's owner
	openRetry   = 200 * time.Millisecond // until queues that could not be opened are tried again
	openLogGap  = 5 * time.Second        // least time between two log lines about these
)

// intake states that the owner accepts new jobs of a queue.
type intake struct {
	elsewhere map[job.ID]string // jobs that other pools have accepted, with their customers
}

// errElsewhere is the result of submitting a job that another pool has accepted.
var errElsewhere = errkind.New(errkind.AlreadyRun, "another pool has accepted the job")

// restoreIntakes opens the queues that earlier owners had open, unless other pools know jobs of them. Queues
// without a record are those of jobs that were accepted before there were such records.
func (o *Owner) restoreIntakes() {
	o.intakes, o.wantedQueues, o.unrecorded = make(map[string]*intake), make(map[string]bool), o.pool.UnrecordedQueues()
	for _, queue := range o.pool.OpenQueues() {
		if len(o.pool.Assignment(queue).Others) == 0 {
			o.intakes[queue] = &intake{}
		}
	}
}

// checkIntake returns an error unless a job that the pool does not know may be accepted as a new one:
// errElsewhere for one that another pool has accepted. The lock is held.
func (o *Owner) checkIntake(s job.Submission) error {
	if o.Registry == nil || o.pool.Has(s.ID) {
		return nil
	}
	in := o.intakes[s.Queue]
	if in == nil {
		o.wantedQueues[s.Queue] = true
		o.wakeQueues()
		o.count("queue.not-open")
		a := o.pool.Assignment(s.Queue)
		return errkind.New(errkind.QueueMoving, "pool %s does not accept jobs of queue %s now; its state there is of configuration %d, pools that may know the job: %v",
			o.Pool, s.Queue, a.Version, a.Others)
	}
	customer, accepted := in.elsewhere[s.ID]
	if !accepted {
		return nil
	}
	first := job.Submission{Customer: customer}
	if !first.AccessibleBy(s.Customer) {
		return errkind.New(errkind.Forbidden, "job %s does not belong to customer %q", s.ID, s.Customer)
	}
	o.count("queue.known-elsewhere")
	o.Logger.Info().Str("event", "submit").Str("job", string(s.ID)).Str("queue", s.Queue).Strs("pools", o.pool.Assignment(s.Queue).Others).
		Str("outcome", "known elsewhere").Msg("job submitted again that another pool has accepted")
	return errElsewhere
}

// wakeQueues makes the owner check which queues are to be opened.
func (o *Owner) wakeQueues() {
	select {
	case o.queuesDue <- struct{}{}:
	default:
	}
}

// runQueues opens queues until the context ends.
func (o *Owner) runQueues(ctx context.Context) {
	for {
		var retry <-chan time.Time
		if !o.openQueues(ctx) {
			retry = o.Clock.After(openRetry)
		}
		select {
		case <-o.queuesDue:
		case <-retry:
		case <-ctx.Done():
			return
		}
	}
}

// openings are queues that are being opened by a version of the configuration.
type openings struct {
	version uint64
	others  map[string][]string // other pools that each queue has been assigned to
}

// openQueues opens the queues that are due, and reports whether all of them are open.
func (o *Owner) openQueues(ctx context.Context) bool {
	due, err := o.dueQueues(ctx)
	if err != nil {
		o.logNotOpen("", err)
		return false
	}
	responses := o.closeElsewhere(ctx, due)
	complete := true
	for _, queue := range slices.Sorted(maps.Keys(due.others)) {
		if err := o.openQueue(queue, due, responses); err != nil {
			o.logNotOpen(queue, err)
			complete = false
		}
	}
	return complete
}

// dueQueues returns the queues of the configuration that are to be opened, once the directory shows that they
// are assigned to the pool. A queue that has never been assigned is due with its first job.
func (o *Owner) dueQueues(ctx context.Context) (openings, error) {
	pools, known := o.Registry.Pools()
	if !known {
		return openings{}, errkind.New(errkind.LogUnavailable, "the directory has not been read yet")
	}
	due := openings{others: make(map[string][]string)}
	var unassigned []string
	o.mu.Lock()
	for _, queue := range o.unrecorded {
		if !slices.Contains(pools[queue], o.Pool) {
			unassigned = append(unassigned, queue)
		}
	}
	queues, version := o.pool.AssignedQueues()
	due.version = version
	for _, queue := range queues {
		a := o.pool.Assignment(queue)
		isNew := len(pools[queue]) == 0 && len(a.Others) == 0 && !slices.Contains(o.unrecorded, queue)
		if o.intakes[queue] != nil || a.Version > version || isNew && !o.wantedQueues[queue] {
			continue
		}
		due.others[queue] = a.Others
		if !slices.Contains(pools[queue], o.Pool) && !slices.Contains(unassigned, queue) {
			unassigned = append(unassigned, queue)
		}
	}
	o.mu.Unlock()
	if len(unassigned) > 0 {
		var err error
		if pools, err = o.Registry.Assign(ctx, o.Pool, unassigned); err != nil {
			return openings{}, err
		}
	}
	for queue, others := range due.others {
		due.others[queue] = o.otherPools(others, pools[queue])
	}
	return due, nil
}

// otherPools returns the pools of two lists other than the owner's, each once.
func (o *Owner) otherPools(a, b []string) []string {
	list := slices.Concat(a, b)
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(pool string) bool { return pool == o.Pool })
}

// closeResponse is the response of one other pool.
type closeResponse struct {
	queues map[string]ClosedQueue
	err    error
}

// closeElsewhere closes queues in all other pools that they have been assigned to, and returns the responses
// by pool.
func (o *Owner) closeElsewhere(ctx context.Context, due openings) map[string]closeResponse {
	requests := make(map[string]CloseRequest)
	for queue, others := range due.others {
		for _, pool := range others {
			r := requests[pool]
			requests[pool] = CloseRequest{Queues: append(r.Queues, queue), By: o.Pool, Version: due.version}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	responses := make(map[string]closeResponse, len(requests))
	for pool, r := range requests {
		group.Go(func() {
			queues, err := o.Registry.Close(ctx, pool, r)
			mu.Lock()
			defer mu.Unlock()
			responses[pool] = closeResponse{queues, err}
		})
	}
	group.Wait()
	return responses
}

// openQueue opens a queue that all other pools have closed.
func (o *Owner) openQueue(queue string, due openings, responses map[string]closeResponse) error {
	in := &intake{elsewhere: make(map[job.ID]string)}
	var withJobs []string
	for _, pool := range due.others[queue] {
		r := responses[pool]
		closed, has := r.queues[queue]
		switch {
		case r.err != nil:
			return errkind.New(errkind.NoTarget, "pool %s has not closed it: %v", pool, r.err)
		case !has || closed.Refused:
			return errkind.New(errkind.Conflict, "pool %s has it by a newer configuration than %d", pool, due.version)
		case len(closed.Jobs) > 0:
			withJobs = append(withJobs, pool)
		}
		for customer, ids := range closed.Jobs {
			for _, id := range ids {
				in.elsewhere[id] = customer
			}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkOwned(); err != nil {
		return err
	}
	if !o.pool.OpenQueue(queue, due.version, withJobs) {
		return errkind.New(errkind.Conflict, "configuration %d has closed it", o.pool.Assignment(queue).Version)
	}
	o.intakes[queue] = in
	delete(o.wantedQueues, queue)
	o.count("queue.opened")
	o.Logger.Info().Str("event", "queue").Str("queue", queue).Uint64("config", due.version).Strs("others", due.others[queue]).
		Strs("with_jobs", withJobs).Int("jobs", len(in.elsewhere)).Str("outcome", "open").Msg("pool accepts new jobs of a queue")
	o.notifyChange()
	return nil
}

// logNotOpen logs that a queue, or all that are due, can't be opened now.
func (o *Owner) logNotOpen(queue string, err error) {
	o.count("queue.open-failed")
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	if now.Sub(o.notOpenLoggedAt) < openLogGap {
		return
	}
	o.notOpenLoggedAt = now
	o.Logger.Warn().Str("event", "queue").Str("queue", queue).Err(err).Str("outcome", "not open").
		Msg("queue can't be opened; its submissions get an unknown outcome until it is")
}

// CloseQueues refuses new jobs of queues from now on, and returns the jobs that the pool knows once that is
// persisted.
func (o *Owner) CloseQueues(ctx context.Context, r CloseRequest) (map[string]ClosedQueue, error) {
	batch, closed, err := o.closeQueues(r)
	if err != nil {
		return nil, err
	}
	o.notifyChange()
	if err := o.await(ctx, batch); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkOwned(); err != nil {
		return nil, err
	}
	for queue, c := range closed {
		if !c.Refused {
			closed[queue] = ClosedQueue{Jobs: o.pool.JobsOfQueue(queue)}
		}
	}
	return closed, nil
}

// closeQueues closes queues, unless a newer version of the configuration assigns them to this pool, and
// returns the batch that carries the changes.
func (o *Owner) closeQueues(r CloseRequest) (uint64, map[string]ClosedQueue, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.checkOwned(); err != nil {
		return 0, nil, err
	}
	var batch uint64
	closed := make(map[string]ClosedQueue, len(r.Queues))
	for _, queue := range r.Queues {
		refused, outcome := o.pool.IsAssignedAfter(queue, r.Version), "closed"
		closed[queue] = ClosedQueue{Refused: refused}
		if refused {
			outcome = "refused"
		} else {
			delete(o.intakes, queue)
			batch = max(batch, o.pool.CloseQueue(queue, r.By, r.Version))
		}
		o.count("queue." + outcome)
		o.Logger.Info().Str("event", "queue").Str("queue", queue).Str("by", r.By).Uint64("config", r.Version).Uint64("batch", batch).
			Str("outcome", outcome).Msg("another pool is to accept new jobs of a queue")
	}
	return batch, closed, nil
}
