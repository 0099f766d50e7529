// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

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
	"github.com/yardbridge/yardbridge/standin/world"
)

// slow is how much longer than usual a slow store's answers take.
const slow = 200 * time.Millisecond

// claimed returns the journal of a partition of a store that has become slow, and
// counts its appends.
func claimed(t *testing.T) (*Journal, func() int) {
	t.Helper()
	w := world.New(1)
	store := w.Store("n1")
	var mu sync.Mutex
	count := 0
	counted := store
	counted.Append = func(ctx context.Context, p port.Partition, by port.Writer, records []port.Record) error {
		mu.Lock()
		count++
		mu.Unlock()
		return store.Append(ctx, p, by, records)
	}
	j := &Journal{Partition: port.Partition{Topic: "t"}, Store: counted, Logger: log.Nop()}
	_, err := j.Claim(t.Context(), "n1")
	assert.NilError(t, err)
	w.SetFaults("n1", func(f *world.Faults) { f.StoreLatency = slow })
	mu.Lock()
	count = 0
	mu.Unlock()
	return j, func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

// TestRecordsDoNotWaitBehindQuestions: in a rush on a slow store, many callers ask for
// jobs that are not there, each of whom is told so only after the store was asked whether
// this process still is the writer. The records that come meanwhile wait for one answer.
func TestRecordsDoNotWaitBehindQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j, appends := claimed(t)
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() { assert.Check(t, j.Confirm(t.Context())) })
		}
		time.Sleep(time.Millisecond)
		began := time.Now()
		assert.NilError(t, j.Append(t.Context(), []port.Record{{Key: "k", Value: []byte{1}}}))
		assert.Assert(t, time.Since(began) < 3*slow, "the records were kept after %s", time.Since(began))
		all.Wait()
		assert.Assert(t, appends() <= 3, "%d appends", appends())
	})
}

// TestConfirmationIsAsked: an append that was sent before somebody asks tells nothing.
func TestConfirmationIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j, appends := claimed(t)
		assert.NilError(t, j.Append(t.Context(), []port.Record{{Key: "k", Value: []byte{1}}}))
		time.Sleep(time.Millisecond)
		assert.NilError(t, j.Confirm(t.Context()))
		assert.Equal(t, appends(), 2)
	})
}

// TestSlowIsNotStuck: an append that takes as long as the one before is under way, and
// not stuck; where the store answers no more, it is.
func TestSlowIsNotStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j, _ := claimed(t)
		assert.NilError(t, j.Append(t.Context(), []port.Record{{Key: "k", Value: []byte{1}}}))
		go func() { _ = j.Append(t.Context(), []port.Record{{Key: "k", Value: []byte{2}}}) }()
		time.Sleep(slow - time.Millisecond)
		assert.Assert(t, !j.IsStuck(slow/2))
		time.Sleep(time.Second)
		assert.Assert(t, !j.IsStuck(slow/2))
		stuck := &Journal{stuck: time.Now(), took: slow}
		time.Sleep(2 * slowTimes * slow)
		assert.Assert(t, stuck.IsStuck(slow/2))
		assert.Assert(t, !stuck.IsStuck(time.Minute))
	})
}

// TestATakeOverOnASlowStoreIsShort: a pool in a rush has 1,500 keys and is handed over while each
// answer of the store takes 0.2 s. Nobody keeps anything from the moment at which the last
// writer is fenced until the next one has read all: two answers, of which the first is that of
// the fence. All that the last writer has kept meanwhile is there.
func TestATakeOverOnASlowStoreIsShort(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, w *world.World) {
		const keys = 1500
		last := newJournal(w, "n1")
		_, err := last.Claim(ctx, "n1")
		assert.NilError(t, err)
		for n := range keys / 100 {
			var records []port.Record
			for k := range 100 {
				records = append(records, port.Record{Key: fmt.Sprint("k", n*100+k), Value: []byte("1")})
			}
			assert.NilError(t, last.Append(ctx, records))
		}
		for _, node := range []string{"n1", "n2"} {
			w.SetFaults(node, func(f *world.Faults) { f.StoreLatency = slow })
		}
		var claimed time.Time
		var tasks sync.WaitGroup
		kept, at := 0, time.Now()
		tasks.Go(func() {
			records, err := newJournal(w, "n2").Claim(ctx, "n2")
			claimed = time.Now()
			assert.Check(t, err)
			assert.Check(t, len(values(records)) == keys+kept, "%d keys are read, %d were kept", len(values(records)), keys+kept)
		})
		for {
			if err := last.Append(ctx, []port.Record{{Key: fmt.Sprint("late", kept), Value: []byte("1")}}); err != nil {
				assert.Assert(t, isFenced(err))
				break
			}
			kept, at = kept+1, time.Now()
		}
		tasks.Wait()
		assert.Assert(t, kept > 2, "the last writer goes on while all is read")
		assert.Assert(t, claimed.Sub(at) < 3*slow, "nothing was kept for %s", claimed.Sub(at))
	})
}
