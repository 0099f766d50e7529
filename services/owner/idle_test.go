// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

// callLog records the calls that workers get until the first start has a response.
type callLog struct {
	mu      sync.Mutex
	polls   int
	result  port.Result
	started time.Time
}

// record returns workers whose calls are recorded.
func (c *callLog) record(workers port.Workers) port.Workers {
	return port.Workers{Open: func(of worker.Worker) *port.Link {
		l := workers.Open(of)
		start, poll := l.Start, l.Poll
		l.Start = func(ctx context.Context, s port.Start) port.Response {
			r := start(ctx, s)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.started.IsZero() {
				c.result, c.started = r.Result, time.Now()
			}
			return r
		}
		l.Poll = func(ctx context.Context, k port.Poll) (worker.PollResult, port.Response) {
			c.mu.Lock()
			if c.started.IsZero() {
				c.polls++
			}
			c.mu.Unlock()
			return poll(ctx, k)
		}
		return l
	}}
}

// read returns how many polls preceded the first response to a start, that response, and when it came.
func (c *callLog) read() (int, port.Result, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.polls, c.result, c.started
}

// TestStartOnAnIdleWorker guards against a start that waits longer than for one poll, or is refused as late, on a worker
// that was idle for long, and against polls of a worker that has nothing to do, each of which is charged for.
func TestStartOnAnIdleWorker(t *testing.T) {
	for _, idle := range []time.Duration{30 * time.Second, 2 * time.Minute, 10 * time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			w := world.New(1)
			o := open(t, w)
			var calls callLog
			o.Workers = calls.record(o.Workers)
			listed := addWorkers(w, 1, job.Size{CPU: 4000, MemoryMB: 4000})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- o.Run(ctx) }()
			queues := []config.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, BaseObjective: time.Second}}
			o.Configure(config.New(1, queues, []config.Pool{{Name: "p"}}, config.Limits{}))
			o.UpdateWorkers(ctx, listed, true)
			time.Sleep(idle)
			polls, _, _ := calls.read()
			assert.Equal(t, polls, 1, "polls of a worker that was idle for %s", idle)
			assert.NilError(t, submit(t, w, o, submission("1")))
			at := time.Now()
			time.Sleep(time.Second)
			polls, result, started := calls.read()
			assert.Equal(t, result, port.Accepted, "idle for %s", idle)
			assert.Assert(t, started.Sub(at) < 50*time.Millisecond && polls <= 2, "idle for %s: the start takes %s and %d polls", idle, started.Sub(at), polls-1)
			cancel()
			<-ended
		})
	}
}
