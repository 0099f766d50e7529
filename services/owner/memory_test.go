// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/budget"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
	"github.com/yardbridge/yardbridge/standin/world"
)

// runOwner returns an owner of a pool that runs until it is stopped.
func runOwner(t *testing.T, w *world.World, store port.Store, memory *budget.Budget, node string) (*Owner, func()) {
	t.Helper()
	o := &Owner{
		Pool: "p", Journal: &journal.Journal{Partition: port.Partition{Topic: "t"}, Standby: port.Partition{Topic: "u"}, Store: store, Logger: log.Nop()},
		Workers: w.Workers(node), Advisor: w.Advisor(), Logger: log.Nop(), Memory: memory,
		Limits: scheduler.Limits{Lease: 4 * time.Second, Retention: time.Minute},
	}
	assert.NilError(t, o.Claim(t.Context(), node))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	return o, func() { cancel(); <-ended }
}

// submit submits a job, which the world is told of.
func submit(t *testing.T, w *world.World, o *Owner, s job.Submission) error {
	t.Helper()
	w.RecordSubmission(s)
	return o.Submit(t.Context(), s)
}

// TestMemoryOfAllJobsIsBounded guards against LOST: jobs that take more memory together than their owners have. They are refused
// at once, by all pools of the process, while small ones are still accepted; what is accepted is restored by the next owner.
func TestMemoryOfAllJobsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, memory := world.New(1), budget.New(8<<20)
		large := func(id string) job.Submission {
			s := submission(id)
			s.Steps[0].Count, s.Steps[0].Label = 2000, "none"
			return s
		}
		huge := submission("huge")
		huge.RepeatCount = 100_000
		a, stopA := runOwner(t, w, w.Store("n1"), memory, "n1")
		ctx := t.Context()
		assert.Assert(t, errkind.Is(submit(t, w, a, huge), errkind.TooLarge))
		accepted := 0
		for {
			began := time.Now()
			err := submit(t, w, a, large(fmt.Sprint("large-", accepted)))
			if err != nil {
				assert.Assert(t, errkind.Is(err, errkind.Overloaded), "%v", err)
				assert.Assert(t, time.Since(began) == 0, "refused after %s", time.Since(began))
				break
			}
			accepted++
		}
		assert.Assert(t, accepted > 1 && memory.Used() <= memory.Limit(), "%d jobs, %d bytes", accepted, memory.Used())
		assert.NilError(t, submit(t, w, a, submission("small")))
		assert.NilError(t, submit(t, w, a, large("large-0")), "a job that is accepted is known")
		used := memory.Used()
		stopA()
		assert.Equal(t, memory.Used(), int64(0))

		next, stopNext := runOwner(t, w, w.Store("n2"), memory, "n2")
		assert.Equal(t, memory.Used(), used)
		assert.Assert(t, errkind.Is(submit(t, w, next, large("another")), errkind.Overloaded))
		for n := range accepted {
			assert.NilError(t, next.Cancel(ctx, job.ID(fmt.Sprint("large-", n)), ""))
		}
		time.Sleep(time.Second)
		assert.NilError(t, submit(t, w, next, large("another")))
		stopNext()
	})
}
