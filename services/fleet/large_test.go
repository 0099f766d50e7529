// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/wave"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/journal"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
	"github.com/yardbridge/yardbridge/standin/cputime"
	"github.com/yardbridge/yardbridge/standin/world"
)

// TestPlanOfALargeFleetIsQuick guards against plans whose time grows with the product of moves and
// instances: one for a surge that needs 1,000 of 6,000 instances took 0.7 s of a core.
func TestPlanOfALargeFleetIsQuick(t *testing.T) {
	v := largeFleetView(false, 1000)
	var list []*action
	took, err := cputime.Of(func() { list = v.plan() })
	assert.NilError(t, err)
	assert.Assert(t, len(list) > 1000, "%d moves", len(list))
	assert.Assert(t, took < maxPlanTime, "%s", took)
}

// largeFleetManager returns the holder for a fleet of 2,000 instances, all of which are off, whose list
// takes a second to read, and one pool. The platform accepts 100 orders a second.
func largeFleetManager(t *testing.T, required func() int, ordered func()) *Manager {
	const instances, listTime, rate = 2000, time.Second, 100
	moved := make(chan string, instances)
	pools := make([]string, instances)
	m := &Manager{
		Journal: &journal.Journal{Partition: port.Partition{Topic: "t"}, Store: world.New(1).Store("n1"), Logger: log.Nop()},
		Logger:  log.Nop(), Limits: Limits{HolderLease: time.Second, OrdersPerSecond: rate},
		Config: func() *config.Config {
			return config.New(1, nil, []config.Pool{{Name: "p"}, {Name: "off", Headroom: true}}, config.Limits{})
		},
		Waves: func() []wave.Wave { return nil },
		RequestReport: func(context.Context, string, scheduler.CordonRequest) (scheduler.Report, error) {
			return scheduler.Report{Required: job.Size{CPU: 1000 * required()}}, nil
		},
		Instances: port.Instances{
			List: func(context.Context) ([]port.Instance, error) {
				time.Sleep(listTime)
				for len(moved) > 0 {
					var n int
					_, err := fmt.Sscanf(<-moved, "m-%d", &n)
					assert.NilError(t, err)
					pools[n] = "p"
				}
				list := make([]port.Instance, instances)
				for n := range list {
					list[n] = port.Instance{Name: fmt.Sprintf("m-%04d", n), Pool: "off", Condition: port.Up, Capacity: job.Size{CPU: 1000, MemoryMB: 1000}}
					if pools[n] != "" {
						list[n].Pool = pools[n]
					}
				}
				return list, nil
			},
			Move: func(_ context.Context, _ port.Issuer, instance, _ string) error {
				ordered()
				moved <- instance
				return nil
			},
		},
	}
	assert.NilError(t, m.Claim(t.Context(), "n1"))
	return m
}

// TestSurgeOfALargeFleet guards against a surge that waits for the list of a large fleet, and against
// orders beyond what the platform accepts, which are refused and sent again while others wait.
func TestSurgeOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var orders []time.Time
		var required atomic.Int64
		var mu sync.Mutex
		m := largeFleetManager(t, func() int { return int(required.Load()) }, func() {
			mu.Lock()
			defer mu.Unlock()
			orders = append(orders, time.Now())
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- m.Run(ctx) }()
		time.Sleep(2600 * time.Millisecond) // a reading has just begun
		mu.Lock()
		before := len(orders)
		mu.Unlock()
		required.Store(400)
		began := time.Now()
		time.Sleep(5 * time.Second)
		cancel()
		assert.NilError(t, <-ended)
		surge := orders[before:]
		assert.Assert(t, len(surge) > 300, "%d orders", len(surge))
		assert.Assert(t, surge[0].Sub(began) <= 2*period, "the first order of the surge is sent after %s", surge[0].Sub(began))
		slices.SortFunc(orders, time.Time.Compare)
		for i := 100; i < len(orders); i++ {
			assert.Assert(t, orders[i].Sub(orders[i-100]) >= time.Second, "101 orders within %s", orders[i].Sub(orders[i-100]))
		}
	})
}
