// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/quota"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
	"github.com/yardbridge/yardbridge/standin/world"
)

// claimTestRole has a node claim the role for instances; its moves get the response of a function.
func claimTestRole(t *testing.T, w *world.World, node string, move func() error) *Manager {
	t.Helper()
	m := &Manager{
		Journal: &journal.Journal{Partition: port.Partition{Topic: "t"}, Store: w.Store(node), Logger: log.Nop()},
		Logger:  log.Nop(), Limits: Limits{MaintenanceTime: time.Second, HolderLease: 3 * time.Second},
		Instances: port.Instances{Move: func(context.Context, port.Issuer, string, string) error { return move() }},
	}
	assert.NilError(t, m.Claim(t.Context(), node))
	return m
}

// sendUnansweredOrder returns a holder that has sent an order to an instance once, without a response, and how often
// it has sent it; the next attempt succeeds.
func sendUnansweredOrder(t *testing.T, w *world.World) (m *Manager, tries *int) {
	t.Helper()
	tries = new(int)
	m = claimTestRole(t, w, "n1", func() error {
		if *tries++; *tries == 1 {
			return errkind.New(errkind.OutcomeUnknown, "no response")
		}
		return nil
	})
	m.view.instances = map[string]port.Instance{"i": {Name: "i", Pool: "off", Condition: port.Up}}
	m.view.actions["i"] = &action{instance: "i", from: "off", to: "p", began: time.Now()}
	assert.NilError(t, m.act(t.Context()))
	return m, tries
}

// TestNextHolderWaitsForARepeatedOrder guards against two holders that send orders to an instance within the lease
// (ONE): the first attempt of an order gets no response and the second one succeeds. The first may still be carried
// out, so the next holder waits for it although the outcome of the order is known.
func TestNextHolderWaitsForARepeatedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		m, tries := sendUnansweredOrder(t, w)
		unknown := time.Now()
		assert.NilError(t, m.act(t.Context()))
		assert.Equal(t, *tries, 2)
		next := claimTestRole(t, w, "n2", func() error { return nil })
		assert.Equal(t, len(next.view.actions), 0, "the outcome is known")
		least := time.Until(unknown.Add(unsettled))
		assert.Assert(t, next.wait("i") >= least, "the next holder waits %s, not %s", next.wait("i"), least)
	})
}

// TestNextHolderDoesNotWaitForAnOldAttempt guards against a wait that is of no use: the attempt without a response is
// so old that it can't be carried out any more.
func TestNextHolderDoesNotWaitForAnOldAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := world.New(1)
		m, _ := sendUnansweredOrder(t, w)
		time.Sleep(unsettled)
		assert.NilError(t, m.act(t.Context()))
		next := claimTestRole(t, w, "n2", func() error { return nil })
		assert.Assert(t, next.wait("i") <= m.Limits.HolderLease+orderTransit+intentAge, "%s", next.wait("i"))
	})
}

// TestHolderWithoutTheStoreReadsNoLists guards against a replaced holder that takes the platform's readings of the
// list from its successor: it can't append, so that it makes no plan, and may not learn that it was replaced.
func TestHolderWithoutTheStoreReadsNoLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := world.New(1)
		m := claimTestRole(t, w, "n1", func() error { return nil })
		var readings atomic.Int64
		m.Instances.List = func(context.Context) ([]port.Instance, error) {
			readings.Add(1)
			return []port.Instance{{Name: "i", Pool: "off", Condition: port.Up}}, nil
		}
		m.Config = func() *config.Config { return nil }
		read := func(d time.Duration) int64 {
			before := readings.Load()
			time.Sleep(d)
			return readings.Load() - before
		}
		var running sync.WaitGroup
		running.Go(func() {
			if err := m.Run(ctx); ctx.Err() == nil {
				t.Errorf("the role has ended: %v", err)
			}
		})
		assert.Check(t, read(2*time.Second) > 5)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreUnresponsive = true })
		time.Sleep(2 * maxListAge)
		without := read(10 * time.Second)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreUnresponsive = false })
		time.Sleep(time.Second)
		again := read(2 * time.Second)
		cancel()
		running.Wait()
		assert.Equal(t, without, int64(0), "the list is read although the role is not confirmed")
		assert.Assert(t, again > 5, "%d readings after the store is back", again)
	})
}

// TestHolderWithoutTheStoreSendsNothing guards against cordons and allowances of a replaced holder: the last response
// of the store is the evidence that it holds the role, and none is sent that is much later.
func TestHolderWithoutTheStoreSendsNothing(t *testing.T) {
	const most = 2 * time.Second // confirmAfter, and a plan whose reports get no response in time
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := world.New(1)
		m := claimTestRole(t, w, "n1", func() error { return nil })
		customers := []config.Customer{{Name: "c", Limit: job.Size{CPU: 4000}}}
		c := config.New(1, nil, []config.Pool{{Name: "off", Headroom: true}, {Name: "p"}}, config.Limits{}).WithCustomers(customers)
		m.Config, m.Waves = func() *config.Config { return c }, func() []wave.Wave { return nil }
		m.Instances.List = func(context.Context) ([]port.Instance, error) {
			return []port.Instance{{Name: "i", Pool: "off", Condition: port.Up}}, nil
		}
		var last time.Time
		sent := make(map[string]int)
		var mu sync.Mutex
		note := func(what string) {
			mu.Lock()
			defer mu.Unlock()
			last, sent[what] = time.Now(), sent[what]+1
		}
		m.RequestReport = func(context.Context, string, scheduler.CordonRequest) (scheduler.Report, error) {
			note("cordons")
			return scheduler.Report{Epoch: 1, Quota: quota.Report{OwnerEpoch: 1, ConfigVersion: 1}}, nil
		}
		m.UpdateAllowances = func(ctx context.Context, _ string, _ quota.Query) (quota.Report, error) {
			note("allowances")
			<-ctx.Done() // the pool never confirms them
			return quota.Report{}, ctx.Err()
		}
		var running sync.WaitGroup
		running.Go(func() {
			if err := m.Run(ctx); ctx.Err() == nil {
				t.Errorf("the role has ended: %v", err)
			}
		})
		time.Sleep(3 * time.Second)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreUnresponsive = true })
		lost := time.Now()
		time.Sleep(20 * time.Second)
		cancel()
		running.Wait()
		assert.Assert(t, sent["cordons"] > 0 && sent["allowances"] > 0, "%v", sent)
		assert.Assert(t, last.Sub(lost) <= most, "sent %s after the store was lost", last.Sub(lost))
		t.Logf("the last one was sent %s after the store was lost", last.Sub(lost))
	})
}
