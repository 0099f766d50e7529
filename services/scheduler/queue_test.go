// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
)

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
// stay in the journal for good.
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
}
