// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestRegistrationsAreSpread guards against two errors at a restart of a large fleet: all nodes register at
// the same moment, and the next owner of a pool is known late because the last one waits like the others.
func TestRegistrationsAreSpread(t *testing.T) {
	const nodes = 500
	synctest.Test(t, func(t *testing.T) {
		v := &View{Nodes: make(map[string]Node), Pools: map[string]Ownership{"p": {Pool: "p", Node: "n-0", Incarnation: 1, Epoch: 1}}}
		for n := range nodes {
			name := fmt.Sprint("n-", n)
			v.Nodes[name] = Node{Name: name, Incarnation: 1}
		}
		var mu sync.Mutex
		registered := make(map[string]time.Duration)
		began, ctx := time.Now(), t.Context()
		for name := range v.Nodes {
			d := &Directory{Logger: log.Nop(), Self: Node{Name: name, Incarnation: 2}, view: v, Reclaim: func(context.Context, *View) {}}
			d.Store = port.Store{
				Put: func(_ context.Context, _ port.Partition, r []port.Record) error {
					mu.Lock()
					registered[name] = time.Since(began)
					mu.Unlock()
					d.apply(r, 0, false)
					return nil
				},
			}
			child, cancel := context.WithCancel(ctx)
			go d.keepRegistered(child)
			defer cancel()
		}
		count := func() int {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return len(registered)
		}
		assert.Equal(t, count(), 1, "registered at once")
		mu.Lock()
		after, first := registered["n-0"]
		mu.Unlock()
		assert.Assert(t, first && after == 0, "a node that owned a pool waits")
		time.Sleep(nodes * registrationSpacing / 2)
		half := count()
		assert.Assert(t, half > nodes/3 && half < nodes*2/3, "%d nodes", half)
		time.Sleep(nodes * registrationSpacing)
		assert.Equal(t, count(), nodes)
	})
}
