// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

// sizeFixture is a node that owns the role "p" of a size.
type sizeFixture struct {
	t       *testing.T
	store   port.Store
	d       *directory.Directory
	s       *Manager
	stop    context.CancelFunc
	size    int
	appends atomic.Int64 // of sizes
}

func newSizeFixture(t *testing.T, nodes directory.Node) *sizeFixture {
	pools := map[string]directory.Ownership{"p": {Pool: "p", Epoch: 3, Node: "n0000", Incarnation: 1}}
	return newFixture(t, fleetOf(pools, nodeClass{40, nodes}))
}

// newFixture returns the node n0000 of a fleet.
func newFixture(t *testing.T, v *directory.View) *sizeFixture {
	f := &sizeFixture{t: t}
	store := world.New(1).Store("n0000")
	var records []port.Record
	put := func(key string, of any) {
		value, err := codec.Marshal(of)
		assert.NilError(t, err)
		records = append(records, port.Record{Key: key, Value: value})
	}
	for name, n := range v.Nodes {
		put("n/"+name, n)
	}
	for role, o := range v.Pools {
		put("o/"+role, o)
	}
	assert.NilError(t, store.Put(t.Context(), directory.Partition, records))
	f.store = store
	counted := store
	counted.AppendAt = func(ctx context.Context, p port.Partition, at uint64, r []port.Record) (uint64, error) {
		f.appends.Add(1)
		return store.AppendAt(ctx, p, at, r)
	}
	f.d = &directory.Directory{Store: counted, Logger: log.Nop(), Self: v.Nodes["n0000"]}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go f.d.Run(ctx)
	f.s = &Manager{Directory: f.d, Logger: log.Nop(), owned: map[string]*RoleRunner{
		"p": {Epoch: func() uint64 { return 3 }, Size: func() int { return f.size }},
	}}
	time.Sleep(time.Second)
	return f
}

// after sets the size and returns the published one after some checks.
func (f *sizeFixture) after(size int) int {
	f.size = size
	for range 4 {
		v, _ := f.d.View()
		f.s.publishSizes(f.t.Context(), v)
		time.Sleep(checkPeriod)
	}
	v, _ := f.d.View()
	return v.Pools["p"].Size
}

// TestSizeIsPublishedOnlyWhereItMatters guards against an append to the directory, which each node reads,
// whenever a worker comes or goes: a size is published when other nodes can carry the role, and taken back
// once it was not reached for a while.
func TestSizeIsPublishedOnlyWhereItMatters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSizeFixture(t, directory.Node{Cores: 0.4, MemoryMB: 284, Descriptors: 4100, LinkMbps: 1000})
		defer f.stop()
		for _, c := range []struct{ size, published int }{{10, 0}, {350, 0}, {400, 0}, {1000, 1024}, {1010, 1024}, {990, 1024}, {300, 1024}} {
			assert.Equal(t, f.after(c.size), c.published, "%d workers", c.size)
		}
		assert.Equal(t, f.appends.Load(), int64(1))
		time.Sleep(sizeWindow)
		assert.Equal(t, f.after(300), 1024, "the size was reached within the last window")
		time.Sleep(sizeWindow)
		assert.Equal(t, f.after(300), 320)
		assert.Equal(t, f.appends.Load(), int64(2))
		unlimited := newSizeFixture(t, directory.Node{Cores: 0.4})
		defer unlimited.stop()
		assert.Equal(t, unlimited.after(1000), 0)
		short := newSizeFixture(t, directory.Node{Cores: 0.12, LinkMbps: 2})
		defer short.stop()
		for size := range 20 {
			assert.Equal(t, short.after(10*size), 0, "no node carries it at any size")
		}
	})
}

// lockedLines keeps log lines.
type lockedLines struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write adds a line.
func (l *lockedLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// String returns all lines.
func (l *lockedLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestShortLimitIsLogged guards against a node whose roles outgrow it without a word, and against a line at
// each check.
func TestShortLimitIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSizeFixture(t, directory.Node{Cores: 0.4, MemoryMB: 1000, Descriptors: 4100, LinkMbps: 1000})
		defer f.stop()
		var lines lockedLines
		logger, err := log.New(&lines, "info", "n0000")
		assert.NilError(t, err)
		f.s.Logger = logger
		count := func(part string) int { return strings.Count(lines.String(), part) }
		f.after(100)
		assert.Equal(t, count(`"event":"limits"`), 0)
		f.after(1500)
		f.after(1510)
		assert.Equal(t, count(`"limit":"descriptors"`), 1, lines.String())
		assert.Equal(t, count(`"outcome":"short"`), 1)
		time.Sleep(sizeWindow)
		f.after(100)
		time.Sleep(sizeWindow)
		f.after(100)
		assert.Equal(t, count(`"outcome":"enough"`), 1, lines.String())
	})
}

// TestSizeIsNotPublishedOverALaterOwner guards against a node that has lost its role without knowing it, and
// whose size replaces the entry of the later owner for all nodes that read the directory anew.
func TestSizeIsNotPublishedOverALaterOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSizeFixture(t, directory.Node{Cores: 0.4, Descriptors: 4100})
		defer f.stop()
		outdated, _ := f.d.View()
		value, err := codec.Marshal(directory.Ownership{Pool: "p", Epoch: 4, Node: "n0001", Incarnation: 1})
		assert.NilError(t, err)
		assert.NilError(t, f.store.Put(t.Context(), directory.Partition, []port.Record{{Key: "o/p", Value: value}}))
		f.size = 1000
		f.s.publishSizes(t.Context(), outdated)
		time.Sleep(time.Second)
		fresh := &directory.Directory{Store: f.store, Logger: log.Nop(), Self: directory.Node{Name: "n0001", Incarnation: 1}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go fresh.Run(ctx)
		time.Sleep(time.Second)
		v, _ := fresh.View()
		assert.Equal(t, v.Pools["p"].Epoch, uint64(4))
		assert.Equal(t, f.appends.Load(), int64(1))
	})
}
