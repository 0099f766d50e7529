// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/codec"
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

// TestOddRecords guards against a foreign record that counts as a node or a pool, or keeps the records beside it from
// counting. Each has one log line that names its key.
func TestOddRecords(t *testing.T) {
	encode := func(v any) []byte {
		data, err := codec.Marshal(v)
		assert.NilError(t, err)
		return data
	}
	odd := map[string][]byte{
		keyNode + "other":  encode(Node{Name: "n-9", Incarnation: 1}),
		keyNode + "nan":    encode(Node{Name: "nan", Incarnation: 1, Cores: math.NaN()}),
		keyNode + "inf":    encode(Node{Name: "inf", Incarnation: 1, LinkMbps: math.Inf(1)}),
		keyNode + "below":  encode(Node{Name: "below", Incarnation: 1, MemoryMB: -1}),
		keyNode + "nested": bytes.Repeat([]byte{0x81}, 100_000),
		keyNode + "text":   []byte("{}"),
		keyPool + "other":  encode(Ownership{Pool: "q", Epoch: 9}),
		keyPool + "slot":   encode(Ownership{Pool: "slot", Slot: -1}),
		keyPool + "\xff":   encode(map[int]string{1: "\xff"}),
		keyPool + "number": encode(map[int]any{1: "number", 2: 1e300}),
		keyQueue + "x":     encode(map[string]int{"a": 1}),
		keyQueue + "long":  {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	}
	ignored := map[string][]byte{"": {1}, "x": {1}, strings.Repeat("\xff", 255): {1}}
	records := []port.Record{{Key: keyNode + "n-1", Value: encode(Node{Name: "n-1", Incarnation: 1, Cores: 2})}}
	for _, list := range []map[string][]byte{odd, ignored} {
		for key, value := range list {
			records = append(records, port.Record{Key: key, Value: value})
		}
	}
	records = append(records, port.Record{Key: keyPool + "p", Value: encode(Ownership{Pool: "p", Slot: 3, Epoch: 1})})
	var lines strings.Builder
	logger, err := log.New(&lines, "info", "n-1")
	assert.NilError(t, err)
	d := &Directory{Logger: logger, Self: Node{Name: "n-1", Incarnation: 1}}
	d.apply(records, uint64(len(records)), true)
	v, _ := d.View()
	assert.DeepEqual(t, slices.Collect(maps.Keys(v.Nodes)), []string{"n-1"})
	assert.DeepEqual(t, v.Pools, map[string]Ownership{"p": {Pool: "p", Slot: 3, Epoch: 1}})
	assert.Equal(t, len(v.Queues), 0)
	assert.Equal(t, strings.Count(lines.String(), "is skipped"), len(odd), lines.String())
	for line := range strings.Lines(lines.String()) {
		assert.Assert(t, len(line) < 600, "%d bytes: %.100s", len(line), line)
	}
}
