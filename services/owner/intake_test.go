// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
	"github.com/yardbridge/yardbridge/standin/world"
)

// poolSet is a set of pools whose owners run, and what the directory shows of their queues.
type poolSet struct {
	t     *testing.T
	world *world.World

	mu     sync.Mutex
	owners map[string]*Owner // nil for a pool without an owner
	cancel map[string]context.CancelFunc
	queues map[string][]string
	hidden string // pool that the directory does not show yet, as read by the owners
	closes int    // requests to close queues
}

func newPoolSet(t *testing.T, pools ...string) *poolSet {
	s := &poolSet{t: t, world: world.New(1), owners: make(map[string]*Owner), cancel: make(map[string]context.CancelFunc), queues: make(map[string][]string)}
	for _, pool := range pools {
		s.start(pool, nil)
	}
	return s
}

// start starts the next owner of a pool, with a configuration if one is given.
func (s *poolSet) start(pool string, c *config.Config) {
	s.t.Helper()
	s.stop(pool)
	store := s.world.Store("n1")
	o := &Owner{
		Pool: pool, Journal: &journal.Journal{Partition: port.Partition{Topic: pool}, Store: store, Logger: log.Nop()},
		Workers: s.world.Workers("n1"), Advisor: s.world.Advisor(), Logger: log.Nop(), Clock: clock.Clock{},
		Limits:   scheduler.Limits{Lease: 4 * time.Second, Retention: time.Minute},
		Registry: &Registry{Pools: func() (map[string][]string, bool) { return s.assignments(), true }, Assign: s.assign, Close: s.close},
	}
	ctx, cancel := context.WithCancel(context.Background())
	assert.NilError(s.t, o.Claim(ctx, "n1"))
	if c != nil {
		o.Configure(c)
	}
	s.setOwner(pool, o)
	s.cancel[pool] = cancel
	go func() { _ = o.Run(ctx) }()
	synctest.Wait()
}

// stop stops the owner of a pool.
func (s *poolSet) stop(pool string) {
	if s.owner(pool) != nil {
		s.cancel[pool]()
		s.setOwner(pool, nil)
	}
	synctest.Wait()
}

func (s *poolSet) owner(pool string) *Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[pool]
}

func (s *poolSet) setOwner(pool string, o *Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners[pool] = o
}

func (s *poolSet) end() {
	for _, pool := range slices.Collect(maps.Keys(s.cancel)) {
		s.stop(pool)
	}
}

func (s *poolSet) assign(_ context.Context, pool string, queues []string) (map[string][]string, error) {
	s.mu.Lock()
	for _, q := range queues {
		if !slices.Contains(s.queues[q], pool) {
			s.queues[q] = append(slices.Clone(s.queues[q]), pool)
		}
	}
	s.mu.Unlock()
	return s.assignments(), nil
}

func (s *poolSet) assignments() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := maps.Clone(s.queues)
	for q, pools := range shown {
		shown[q] = slices.DeleteFunc(slices.Clone(pools), func(pool string) bool { return pool == s.hidden })
	}
	return shown
}

func (s *poolSet) close(ctx context.Context, pool string, r CloseRequest) (map[string]ClosedQueue, error) {
	s.mu.Lock()
	s.closes++
	o := s.owners[pool]
	s.mu.Unlock()
	if o == nil {
		return nil, errkind.New(errkind.NoTarget, "pool %s has no owner", pool)
	}
	return o.CloseQueues(ctx, r)
}

// configure passes a version of the configuration, in which the queue uses a pool, to the owners of pools.
func (s *poolSet) configure(c *config.Config, pools ...string) {
	for _, pool := range pools {
		s.owner(pool).Configure(c)
	}
	synctest.Wait()
	time.Sleep(time.Second)
}

// assigned returns a configuration whose queue uses a pool, "" for one without the queue.
func assigned(version uint64, pool string) *config.Config {
	var queues []config.Queue
	if pool != "" {
		queues = []config.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: pool, MaxAttempts: 3}}
	}
	return config.New(version, queues, []config.Pool{{Name: "a"}, {Name: "b"}, {Name: "c"}}, config.Limits{})
}

// submit submits a job to a pool's owner.
func (s *poolSet) submit(pool, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return s.owner(pool).Submit(ctx, submission(id))
}

// has reports whether the owner knows a job.
func (o *Owner) has(id job.ID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.Has(id)
}

// accepts checks which pools know a job.
func (s *poolSet) accepts(id string, pools ...string) {
	s.t.Helper()
	var known []string
	for _, pool := range []string{"a", "b", "c"} {
		if o := s.owner(pool); o != nil && o.has(job.ID(id)) {
			known = append(known, pool)
		}
	}
	assert.DeepEqual(s.t, known, pools)
}

// inPools runs a test with the pools a, b and c; the queue uses a in version 1, which all owners know.
func inPools(t *testing.T, test func(s *poolSet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newPoolSet(t, "a", "b", "c")
		defer s.end()
		s.configure(assigned(1, "a"), "a", "b", "c")
		assert.Assert(t, errkind.Is(s.submit("a", "0"), errkind.QueueMoving)) // the queue is opened with its first job
		time.Sleep(time.Second)
		assert.NilError(t, s.submit("a", "1"))
		test(s)
	})
}

// TestJobOfMovedQueueIsAcceptedOnce guards against TWICE: a queue moves to another pool, owners change, and the
// same job is submitted again. It is accepted, and runs where it was accepted first.
func TestJobOfMovedQueueIsAcceptedOnce(t *testing.T) {
	inPools(t, func(s *poolSet) {
		s.configure(assigned(2, "b"), "a", "b")
		assert.NilError(t, s.submit("b", "1"))
		s.accepts("1", "a")
		assert.NilError(t, s.submit("b", "2"))
		s.accepts("2", "b")
		for _, pool := range []string{"a", "b"} {
			s.start(pool, assigned(2, "b"))
		}
		time.Sleep(time.Second)
		assert.NilError(t, s.submit("b", "1"))
		s.accepts("1", "a")
		assert.Assert(t, errkind.Is(s.submit("a", "3"), errkind.QueueMoving), "accepted by a pool that the queue has left")
	})
}

// TestQueueThatMovesOnAndBack guards against TWICE: the pool that a queue comes back to, or a third one, does
// not know what was accepted in between.
func TestQueueThatMovesOnAndBack(t *testing.T) {
	inPools(t, func(s *poolSet) {
		for i, pool := range []string{"b", "c", "a", "b"} {
			s.configure(assigned(uint64(i+2), pool), "a", "b", "c")
			for n := 1; n <= i+1; n++ {
				assert.NilError(t, s.submit(pool, fmt.Sprint(n)))
			}
			assert.NilError(t, s.submit(pool, fmt.Sprint(i+2)))
			s.start(pool, assigned(uint64(i+2), pool))
		}
		s.accepts("1", "a")
		s.accepts("2", "b")
		s.accepts("3", "c")
		s.accepts("4", "a")
		s.accepts("5", "b")
	})
}

// TestQueueMovesTwiceInARow guards against TWICE: the owner of the first pool skips a version, and the one of
// the last pool learns of the pool in between from the directory only.
func TestQueueMovesTwiceInARow(t *testing.T) {
	inPools(t, func(s *poolSet) {
		s.configure(assigned(2, "b"), "b")
		assert.NilError(t, s.submit("b", "2"))
		s.configure(assigned(3, "c"), "c")
		assert.NilError(t, s.submit("c", "1"))
		assert.NilError(t, s.submit("c", "2"))
		s.accepts("1", "a")
		s.accepts("2", "b")
		for _, pool := range []string{"a", "b"} { // whose owners have older versions
			assert.Assert(t, errkind.Is(s.submit(pool, "3"), errkind.QueueMoving))
		}
	})
}

// TestPoolThatClosedAQueueIsAsked guards against TWICE: the node of a pool that the queue comes back to has not
// read in the directory yet which pool had it in between.
func TestPoolThatClosedAQueueIsAsked(t *testing.T) {
	inPools(t, func(s *poolSet) {
		s.configure(assigned(2, "b"), "a", "b")
		assert.NilError(t, s.submit("b", "2"))
		s.hidden = "b"
		s.start("a", assigned(3, "a"))
		time.Sleep(time.Second)
		assert.NilError(t, s.submit("a", "2"))
		s.accepts("2", "b")
		assert.Assert(t, errkind.Is(s.submit("b", "3"), errkind.QueueMoving))
	})
}

// TestOwnerWithAnOlderConfigurationOpensNothing guards against TWICE: the owner of a pool has an older version of
// the configuration, by which the queue is its own, and closes it where a newer version has opened it.
func TestOwnerWithAnOlderConfigurationOpensNothing(t *testing.T) {
	inPools(t, func(s *poolSet) {
		s.configure(assigned(3, "b"), "b")
		s.start("a", assigned(1, "a"))
		s.configure(assigned(2, "c"), "c")
		assert.Assert(t, errkind.Is(s.submit("a", "2"), errkind.QueueMoving))
		assert.Assert(t, errkind.Is(s.submit("c", "2"), errkind.QueueMoving))
		assert.NilError(t, s.submit("b", "2"))
		s.accepts("2", "b")
	})
}

// TestQueueWaitsForAPoolWithoutAnOwner guards against TWICE: "no owner" is taken for "no such job". Until the
// pool has one, the outcome of a submission is unknown; it is not reported as refused, and no job is accepted.
func TestQueueWaitsForAPoolWithoutAnOwner(t *testing.T) {
	inPools(t, func(s *poolSet) {
		s.stop("a")
		s.configure(assigned(2, "b"), "b")
		for _, id := range []string{"1", "2"} {
			err := s.submit("b", id)
			assert.Assert(t, errkind.Is(err, errkind.QueueMoving), "%v", err)
			assert.Equal(t, errkind.Of(err).Kind.Response().Outcome, errkind.Unknown)
		}
		s.accepts("1")
		s.start("a", assigned(2, "b"))
		time.Sleep(time.Second)
		assert.NilError(t, s.submit("b", "1"))
		assert.NilError(t, s.submit("b", "2"))
		s.accepts("1", "a")
		s.accepts("2", "b")
	})
}

// TestDroppedQueueComesBackToAnotherPool guards against TWICE and checks that a cancelled job stays cancelled.
func TestDroppedQueueComesBackToAnotherPool(t *testing.T) {
	inPools(t, func(s *poolSet) {
		assert.NilError(t, s.owner("a").Cancel(s.t.Context(), "1", ""))
		s.configure(assigned(2, ""), "a", "b")
		s.start("a", assigned(2, ""))
		s.start("b", assigned(2, ""))
		s.configure(assigned(3, "b"), "a", "b")
		assert.NilError(t, s.submit("b", "1"))
		s.accepts("1", "a")
		state, err := s.owner("a").State(s.t.Context(), "1", "")
		assert.NilError(t, err)
		assert.Equal(t, state, job.Cancelled)
	})
}

// TestClosedQueueStaysClosedOnASlowStore guards against TWICE: a pool reports a queue as closed before that is
// persisted, and its next owner accepts a job that the other pool accepts as well.
func TestClosedQueueStaysClosedOnASlowStore(t *testing.T) {
	inPools(t, func(s *poolSet) {
		s.world.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = 5 * time.Second })
		s.configure(assigned(2, "b"), "b")
		assert.Assert(t, errkind.Is(s.submit("b", "2"), errkind.QueueMoving), "accepted before the other pool has closed the queue")
		s.world.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = 0 })
		time.Sleep(10 * time.Second)
		assert.NilError(t, s.submit("b", "2"))
		s.start("a", assigned(1, "a"))
		time.Sleep(time.Second)
		assert.Assert(t, errkind.Is(s.submit("a", "3"), errkind.QueueMoving))
	})
}

// TestJobOfAnotherCustomerInAnotherPool guards against a caller who learns of, or repeats, the job of another
// customer that was accepted before its queue moved.
func TestJobOfAnotherCustomerInAnotherPool(t *testing.T) {
	inPools(t, func(s *poolSet) {
		own := submission("2")
		own.Customer = "north"
		assert.NilError(t, s.owner("a").Submit(s.t.Context(), own))
		s.configure(assigned(2, "b"), "a", "b")
		assert.NilError(t, s.owner("b").Submit(s.t.Context(), own))
		other := own
		other.Customer = "south"
		assert.Assert(t, errkind.Is(s.owner("b").Submit(s.t.Context(), other), errkind.Forbidden))
		s.accepts("2", "a")
	})
}

// TestQueueOfOnePoolCostsNoCall guards against a submission, or a change of the owner, that costs calls of other
// pools although its queue has used one pool only.
func TestQueueOfOnePoolCostsNoCall(t *testing.T) {
	inPools(t, func(s *poolSet) {
		for v := range 5 {
			s.configure(assigned(uint64(v+2), "a"), "a", "b", "c")
			s.start("a", assigned(uint64(v+2), "a"))
			assert.NilError(t, s.submit("a", fmt.Sprint(v+2)))
		}
		assert.Equal(t, s.closes, 0)
	})
}

// TestQueueOfRestoredJobsIsAssigned guards against TWICE: jobs that were accepted by an earlier version of the
// program have no record of their queue, and the directory does not name their pool.
func TestQueueOfRestoredJobsIsAssigned(t *testing.T) {
	inPools(t, func(s *poolSet) {
		s.stop("a")
		s.queues = make(map[string][]string)
		s.world.Write(port.Partition{Topic: "a"}, port.Record{Key: "e/h/q/"})
		s.start("a", assigned(2, ""))
		time.Sleep(time.Second)
		assert.DeepEqual(t, s.queues["h/q/"], []string{"a"})
		s.configure(assigned(3, "b"), "a", "b")
		assert.NilError(t, s.submit("b", "1"))
		s.accepts("1", "a")
	})
}
