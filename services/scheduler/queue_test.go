// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
)

// nextOwnerWith persists what has changed in the pool and returns it as its next owner restores it, which then
// reads its first configuration.
func (d *testPool) nextOwnerWith(c *config.Config) *testPool {
	d.t.Helper()
	d.persist()
	n := &testPool{New("p", d.Token+1, testLimits, log.Nop()), d.t, d.now, d.journal}
	assert.NilError(d.t, n.Restore(slices.Collect(maps.Values(d.journal)), n.now, time.Minute))
	n.Configure(c)
	return n
}

func withQueue(version uint64, queues ...config.Queue) *config.Config {
	return config.New(version, queues, []config.Pool{{Name: "p"}}, config.Limits{})
}

var policyQueue = config.Queue{
	Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 2, Priority: 3, Stretch: 1.5, BaseObjective: time.Second,
	Advice: &config.Advice{TicketValidity: time.Second},
}

// TestJobOfADroppedQueueKeepsItsSettings guards against BUDGET and against starts without a ticket: the next
// owner of a pool restores a job whose queue the configuration has dropped, and does not know its attempts, its
// priority and its policy.
func TestJobOfADroppedQueueKeepsItsSettings(t *testing.T) {
	first := newTestPool(t, 1)
	first.Configure(withQueue(2, policyQueue))
	first.submit("1", 1)
	changed := policyQueue
	changed.MaxAttempts = 5
	first.Configure(withQueue(3, changed))
	first.Configure(withQueue(4))
	assert.Equal(t, first.jobs["1"].queue.MaxAttempts, 5)

	second := first.nextOwnerWith(withQueue(4))
	third := second.nextOwnerWith(withQueue(5))
	for _, d := range []*testPool{second, third} {
		assert.DeepEqual(t, d.jobs["1"].queue, changed)
	}
	back := changed
	back.MaxAttempts = 1
	third.Configure(withQueue(6, back))
	assert.DeepEqual(t, third.jobs["1"].queue, back)

	third.Configure(withQueue(7, policyQueue))
	assert.Assert(t, third.OpenQueue("h/q/", 7, nil))
	third.submit("2", 1)
	assert.DeepEqual(t, third.nextOwnerWith(withQueue(8)).jobs["2"].queue, policyQueue)
}

// TestTaskOfADroppedQueueHasNoMoreAttempts guards against BUDGET: a task that fails is started without limit
// after its queue was dropped and its pool has changed its owner.
func TestTaskOfADroppedQueueHasNoMoreAttempts(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	d.listWorker("a")
	assert.DeepEqual(t, d.failAll("a"), []string{"1.0.0.0"})
	for n := range testConfig.Queues[0].MaxAttempts - 1 {
		d = d.nextOwnerWith(withQueue(uint64(2 + n)))
		d.now = d.now.Add(5 * time.Second) // it is not tried at once where it has failed
		d.listWorker("a")
		assert.DeepEqual(t, d.failAll("a"), []string{"1.0.0.0"})
	}
	assert.Equal(t, d.jobs["1"].state, job.Failed)
}

// TestJobOfAnUnknownQueueIsNotRetried guards against BUDGET: neither the configuration nor a record has the
// queue of a job, as for one that an earlier version of the program has persisted.
func TestJobOfAnUnknownQueueIsNotRetried(t *testing.T) {
	first := newTestPool(t, 1)
	first.submit("1", 1)
	first.persist()
	maps.DeleteFunc(first.journal, func(key string, _ port.Record) bool { return strings.HasPrefix(key, keyQueue) })
	second := first.nextOwnerWith(withQueue(2))
	second.listWorker("a")
	assert.DeepEqual(t, second.failAll("a"), []string{"1.0.0.0"})
	assert.Equal(t, second.jobs["1"].state, job.Failed)
}

// TestNextOwnerKnowsWhatIsClosed guards against TWICE: a queue that another pool has accepts new jobs here again
// after a change of the owner, or by an older version of the configuration.
func TestNextOwnerKnowsWhatIsClosed(t *testing.T) {
	d := newTestPool(t, 1)
	assert.Assert(t, d.OpenQueue("h/q/", 3, nil))
	d.submit("1", 1)
	d.persist()
	assert.Assert(t, d.CloseQueue("h/q/", "r", 5) > d.committed, "the change is not persisted yet")
	d = d.nextOwner()
	assert.DeepEqual(t, d.Assignment("h/q/"), Assignment{Version: 5, Others: []string{"r"}})
	assert.Assert(t, !d.OpenQueue("h/q/", 4, nil), "opened by an older version")
	assert.Assert(t, d.CloseQueue("h/q/", "r", 5) <= d.committed, "the same change is persisted again")
	assert.Assert(t, d.OpenQueue("h/q/", 6, []string{"r"}))
	d = d.nextOwner()
	assert.DeepEqual(t, d.Assignment("h/q/"), Assignment{Open: true, Version: 6, Others: []string{"r"}})
	assert.DeepEqual(t, d.JobsOfQueue("h/q/"), map[string][]job.ID{"": {"1"}})
	assert.DeepEqual(t, d.JobsOfQueue("h/other/"), map[string][]job.ID(nil))
}

// TestEndedJobIsListedByTheNextOwner guards against TWICE: of a job that has ended, the next owner knows only
// the ID, and does not list it to the pool that its queue has moved to.
func TestEndedJobIsListedByTheNextOwner(t *testing.T) {
	d := newTestPool(t, 1)
	d.submit("1", 1)
	d.persist()
	_, err := d.Cancel("1", d.now)
	assert.NilError(t, err)
	d = d.nextOwner()
	assert.DeepEqual(t, d.JobsOfQueue("h/q/"), map[string][]job.ID{"": {"1"}})
}

// TestQueuesWithoutJobsLeaveNoRecord guards against records of routes that come and go without jobs, which would
// stay in the journal for good; and checks that a change of the configuration persists what jobs need.
func TestQueuesWithoutJobsLeaveNoRecord(t *testing.T) {
	d := newTestPool(t, 1)
	records := func() []string {
		var keys []string
		for _, r := range d.persist() {
			if key, isQueue := strings.CutPrefix(r.Key, keyQueue); isQueue {
				keys = append(keys, key)
			}
		}
		return keys
	}
	for n := range 10 {
		assert.Assert(t, d.OpenQueue(fmt.Sprintf("h/%d/", n), 1, nil))
	}
	assert.Equal(t, len(records()), 0)
	d.submit("1", 1)
	d.submit("2", 1)
	assert.DeepEqual(t, records(), []string{"h/q/"})
	d.submit("3", 1)
	assert.Equal(t, len(records()), 0, "a record for each job")
	d.Configure(withQueue(2, testConfig.Queues...))
	assert.Equal(t, len(records()), 0, "a record for each version")
	d.Configure(withQueue(3, policyQueue))
	assert.DeepEqual(t, records(), []string{"h/q/"})
}
