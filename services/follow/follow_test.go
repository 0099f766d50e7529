// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestNothingIsReadWhileIdle checks that a partition of 3,000 workers, each of which changes its
// entry every 1.5 s, costs nothing for a node that does not need it, and that it is read completely
// as soon as the node does.
func TestNothingIsReadWhileIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var complete, tails atomic.Int64
		var idle atomic.Bool
		idle.Store(true)
		wake := make(chan struct{}, 1)
		applied := make(chan bool, 100)
		f := Follower{
			Store: port.Store{
				Newest: func(context.Context, port.Partition, string) (port.Page, error) {
					complete.Add(1)
					return port.Page{Records: []port.Record{{Key: "w"}}, End: 1}, nil
				},
				Read: func(context.Context, port.Partition, uint64, time.Duration) (port.Tail, error) {
					tails.Add(1)
					return port.Tail{End: 1}, nil
				},
			},
			Logger: log.Nop(), Gap: func() time.Duration { return 250 * time.Millisecond }, Wake: wake, Idle: idle.Load,
			Apply: func(_ []port.Record, _ uint64, complete bool) { applied <- complete },
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(ended)
		}()
		time.Sleep(time.Minute)
		assert.Equal(t, complete.Load()+tails.Load(), int64(0))

		idle.Store(false)
		wake <- struct{}{}
		synctest.Wait()
		assert.Assert(t, <-applied)
		time.Sleep(time.Second)
		assert.Equal(t, complete.Load(), int64(1))
		assert.Assert(t, tails.Load() >= 3)

		idle.Store(true)
		time.Sleep(time.Second)
		read := complete.Load() + tails.Load()
		time.Sleep(time.Minute)
		assert.Equal(t, complete.Load()+tails.Load(), read)
		cancel()
		<-ended
	})
}

// TestReadsAtRestWaitLonger guards against calls to the store that grow with the nodes although nothing
// changes: reads without a record wait up to the maximum, and the read after a record waits for the
// shortest time, since a record that arrives while a read begins may be returned by the next one only.
func TestReadsAtRestWaitLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var waits []time.Duration
		record := make(chan struct{}, 1)
		f := Follower{
			Store: port.Store{
				Newest: func(context.Context, port.Partition, string) (port.Page, error) { return port.Page{End: 1}, nil },
				Read: func(ctx context.Context, _ port.Partition, from uint64, wait time.Duration) (port.Tail, error) {
					waits = append(waits, wait)
					select {
					case <-record:
						return port.Tail{Records: []port.Record{{Key: "k", Offset: from}}, End: from + 1}, nil
					case <-time.After(wait):
					case <-ctx.Done():
					}
					return port.Tail{End: from}, nil
				},
			},
			Logger: log.Nop(), Wait: 700 * time.Millisecond, MaxWait: 2500 * time.Millisecond,
			Apply: func([]port.Record, uint64, bool) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(ended)
		}()
		time.Sleep(60 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, waits[:4], []time.Duration{700 * time.Millisecond, 1400 * time.Millisecond, 2500 * time.Millisecond, 2500 * time.Millisecond})
		assert.Assert(t, len(waits) <= 26, "%d reads in a minute", len(waits))
		before := len(waits)
		record <- struct{}{}
		synctest.Wait()
		assert.DeepEqual(t, waits[before:], []time.Duration{700 * time.Millisecond})
		cancel()
		<-ended
	})
}

// TestKeysThatAreSpelledOtherwise guards against a process that reads the same page of a partition until its memory is
// used up: keys that are not UTF-8 fill a page, and what the page spells them as sorts before them. The records before
// them are used, and one line says so.
func TestKeysThatAreSpelledOtherwise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines strings.Builder
		logger, err := log.New(&lines, "info", "n1")
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		pages := 0
		var applied []port.Record
		f := Follower{
			Store: port.Store{
				Newest: func(_ context.Context, _ port.Partition, after string) (port.Page, error) {
					if pages++; pages >= 100 {
						cancel()
						return port.Page{}, ctx.Err()
					}
					if after == "" {
						return port.Page{Records: []port.Record{{Key: "a"}}, More: true, End: 1}, nil
					}
					return port.Page{Records: []port.Record{{Key: "\ufffd"}}, More: true, End: 1}, nil
				},
				Read: func(ctx context.Context, _ port.Partition, _ uint64, _ time.Duration) (port.Tail, error) {
					<-ctx.Done()
					return port.Tail{}, ctx.Err()
				},
			},
			Logger: logger, Apply: func(records []port.Record, _ uint64, _ bool) { applied = records },
		}
		ended := make(chan struct{})
		go func() {
			f.Run(ctx)
			close(ended)
		}()
		synctest.Wait()
		cancel()
		<-ended
		assert.Equal(t, pages, 3)
		assert.Equal(t, applied[0].Key, "a")
		assert.Equal(t, strings.Count(lines.String(), "list cut off"), 1, lines.String())
	})
}
