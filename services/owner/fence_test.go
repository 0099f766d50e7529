// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

// TestRunPersistedLongAgoIsNotStarted guards against a start order that is sent too late. The
// append that persists a run succeeds at once, but the owner reads the response five seconds later,
// as a frozen node would. Meanwhile another node has taken the pool over, and callers may have
// cancelled the job there. The order's age counts from when the append was sent, not from when its
// response was read.
func TestRunPersistedLongAgoIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		queues := []config.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 1.5, BaseObjective: time.Second}}
		first := open(t, w)
		var frozen, takenOver atomic.Bool
		appendRecords := first.Journal.Store.Append
		first.Journal.Store.Append = func(ctx context.Context, p port.Partition, wr port.Writer, records []port.Record) error {
			err := appendRecords(ctx, p, wr, records)
			if len(records) > 0 && frozen.CompareAndSwap(true, false) {
				open(t, w) // fences the first owner
				takenOver.Store(true)
				time.Sleep(5 * time.Second)
			}
			return err
		}
		var starts atomic.Int32
		openLink := first.Workers.Open
		first.Workers.Open = func(o worker.Worker) *port.Link {
			l := openLink(o)
			start := l.Start
			l.Start = func(ctx context.Context, s port.Start) port.Response {
				starts.Add(1)
				return start(ctx, s)
			}
			return l
		}
		id := w.AddWorker("i", "p", "r", job.Size{CPU: 4000, MemoryMB: 4000})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- first.Run(ctx) }()
		first.Configure(config.New(1, queues, []config.Pool{{Name: "p"}}, config.Limits{}))
		first.UpdateWorkers(ctx, []worker.Worker{{ID: id, Instance: "i", Pool: "p", Capacity: job.Size{CPU: 4000, MemoryMB: 4000}}}, true)
		synctest.Wait()
		time.Sleep(time.Second)

		frozen.Store(true)
		submitted := make(chan error, 1)
		go func() { submitted <- first.Submit(ctx, submission("1")) }()
		time.Sleep(10 * time.Second)
		assert.Assert(t, takenOver.Load(), "the pool was not taken over")
		assert.Equal(t, starts.Load(), int32(0), "a run that was persisted before another node took the pool over is started")
		cancel()
		<-ended
		<-submitted
	})
}

// TestDeposedOwnerEndsWhileAQueryWaits guards against an owner that stays while its node is cut from the store: a
// query of another node, which has no time limit, waits for the store to confirm that an unknown job is unknown, and
// the owner waits behind it to append, although another node has taken the pool over.
func TestDeposedOwnerEndsWhileAQueryWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		o := open(t, w)
		ctx, yield := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- o.Run(ctx) }()
		assert.NilError(t, o.Submit(ctx, submission("1")))
		time.Sleep(100 * time.Millisecond)

		w.SetFaults("n1", func(f *world.Faults) { f.StoreUnresponsive = true })
		queried, submitted := make(chan error, 1), make(chan error, 1)
		go func() {
			_, err := o.State(context.Background(), "unknown", "")
			queried <- err
		}()
		time.Sleep(10 * time.Millisecond)
		go func() { submitted <- o.Submit(context.Background(), submission("2")) }()
		time.Sleep(time.Second)
		yield()
		select {
		case <-ended:
		case <-time.After(time.Second):
			t.Error("the owner goes on after another node has taken the pool over")
		}
		select {
		case err := <-queried:
			assert.Assert(t, errkind.Is(err, errkind.Fenced), "%v", err)
		case <-time.After(time.Second):
			t.Error("the query still waits")
		}
		w.SetFaults("n1", func(f *world.Faults) { f.StoreUnresponsive = false })
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}
