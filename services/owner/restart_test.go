// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
	"github.com/yardbridge/yardbridge/standin/world"
)

// TestWorkerListedInAnotherPoolIsRemoved guards against the use of a worker whose list entry names
// another pool: it has restarted there under the same ID.
func TestWorkerListedInAnotherPoolIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		listed := worker.Worker{Pool: "p", Instance: "m-1", Address: "a", Capacity: job.Size{CPU: 1000}}
		listed.ID = w.AddWorker(listed.Instance, listed.Pool, "r-0", listed.Capacity)
		o := open(t, w)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o.UpdateWorkers(ctx, []worker.Worker{listed}, true)
		listed.Pool = "q"
		o.UpdateWorkers(ctx, []worker.Worker{listed}, false)
		assert.Equal(t, len(o.Peek().Workers), 0)
	})
}

// TestLinkReopenedForNewAddress guards against polling a worker at an old address when its newest
// list entry has another one. Calls of the old link that get no response say nothing about the
// worker.
func TestLinkReopenedForNewAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := open(t, world.New(1))
		var opened []string
		o.Workers.Open = func(w worker.Worker) *port.Link {
			opened = append(opened, w.Address)
			return &port.Link{
				Poll: func(ctx context.Context, _ port.Poll) (worker.PollResult, port.Response) {
					if w.Address == "b" {
						return worker.PollResult{}, port.Response{Result: port.Accepted, Clock: time.Second}
					}
					<-ctx.Done()
					return worker.PollResult{}, port.Response{Result: port.Unknown}
				},
				Close: func() {},
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- o.Run(ctx) }()
		synctest.Wait()
		listed := worker.Worker{ID: "i-1", Pool: "p", Instance: "m-1", Address: "a", Capacity: job.Size{CPU: 1000}}
		o.UpdateWorkers(ctx, []worker.Worker{listed}, true)
		synctest.Wait()
		listed.Address = "b"
		o.UpdateWorkers(ctx, []worker.Worker{listed}, false)
		synctest.Wait()
		assert.DeepEqual(t, opened, []string{"a", "b"})
		assert.Assert(t, o.pool.Report(scheduler.CordonRequest{}, o.Clock.Now()).Workers[0].Open)
		cancel()
		<-ended
	})
}
