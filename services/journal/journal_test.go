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

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

// slow is the additional response time of a slow store.
const slow = 200 * time.Millisecond

// slowJournal returns the journal of a partition of a store that has become slow, and a counter of
// its appends.
func slowJournal(t *testing.T) (*Journal, func() int) {
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

// TestRecordsDoNotWaitBehindConfirmations guards against records queueing behind confirmations: in
// a surge on a slow store, many callers ask for unknown jobs, and each gets its response only after
// the store has confirmed that this process still is the writer. Records that arrive meanwhile wait
// for one response only.
func TestRecordsDoNotWaitBehindConfirmations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j, appends := slowJournal(t)
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() { assert.Check(t, j.Confirm(t.Context())) })
		}
		time.Sleep(time.Millisecond)
		began := time.Now()
		assert.NilError(t, j.Append(t.Context(), []port.Record{{Key: "k", Value: []byte{1}}}))
		assert.Assert(t, time.Since(began) < 3*slow, "the records were persisted after %s", time.Since(began))
		all.Wait()
		assert.Assert(t, appends() <= 3, "%d appends were sent", appends())
	})
}

// TestConfirmSendsAnAppend checks that an append that was sent before Confirm was called confirms
// nothing.
func TestConfirmSendsAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j, appends := slowJournal(t)
		assert.NilError(t, j.Append(t.Context(), []port.Record{{Key: "k", Value: []byte{1}}}))
		time.Sleep(time.Millisecond)
		assert.NilError(t, j.Confirm(t.Context()))
		assert.Equal(t, appends(), 2)
	})
}

// TestSlowIsNotStuck checks that an append that takes as long as the previous one is not stuck, and
// that it is once the store no longer responds.
func TestSlowIsNotStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j, _ := slowJournal(t)
		assert.NilError(t, j.Append(t.Context(), []port.Record{{Key: "k", Value: []byte{1}}}))
		go func() { _ = j.Append(t.Context(), []port.Record{{Key: "k", Value: []byte{2}}}) }()
		time.Sleep(slow - time.Millisecond)
		assert.Assert(t, !j.IsStuck(slow/2))
		time.Sleep(time.Second)
		assert.Assert(t, !j.IsStuck(slow/2))
		stuck := &Journal{pendingSince: time.Now(), lastDuration: slow}
		time.Sleep(2 * slowFactor * slow)
		assert.Assert(t, stuck.IsStuck(slow/2))
		assert.Assert(t, !stuck.IsStuck(time.Minute))
	})
}

// TestTakeoverOnSlowStoreIsShort hands over a pool with 1,500 keys in a surge while each response
// of the store takes 0.2 s. Nothing is persisted from the time at which the last writer is fenced
// until the next one has read everything: this takes two responses, the first of which is that of
// the fence. Everything that the last writer has persisted meanwhile is read.
func TestTakeoverOnSlowStoreIsShort(t *testing.T) {
	withFakeClock(t, func(t *testing.T, ctx context.Context, w *world.World) {
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
		persisted, at := 0, time.Now()
		tasks.Go(func() {
			records, err := newJournal(w, "n2").Claim(ctx, "n2")
			claimed = time.Now()
			assert.Check(t, err)
			assert.Check(t, len(values(records)) == keys+persisted, "%d keys were read, want %d", len(values(records)), keys+persisted)
		})
		for {
			if err := last.Append(ctx, []port.Record{{Key: fmt.Sprint("late", persisted), Value: []byte("1")}}); err != nil {
				assert.Assert(t, isFenced(err))
				break
			}
			persisted, at = persisted+1, time.Now()
		}
		tasks.Wait()
		assert.Assert(t, persisted > 2, "the last writer must continue while the next one reads")
		assert.Assert(t, claimed.Sub(at) < 3*slow, "nothing was persisted for %s", claimed.Sub(at))
	})
}

// TestClaimIsCheckedAgainstTheLastOne guards against a process that replaces another writer than it was asked or
// permitted to: the check sees the last claim, whatever the directory says, and nothing is fenced if it fails.
func TestClaimIsCheckedAgainstTheLastOne(t *testing.T) {
	withFakeClock(t, func(t *testing.T, ctx context.Context, w *world.World) {
		var seen []Claim
		claim := func(node string, incarnation, replaces uint64) (*Journal, error) {
			j := newJournal(w, node)
			j.Terms = Terms{Incarnation: incarnation, Read: 10 * incarnation, From: incarnation, Check: func(last Claim) error {
				seen = append(seen, last)
				if last.Epoch != replaces {
					return errkind.New(errkind.Fenced, "epoch %d", last.Epoch)
				}
				return nil
			}}
			_, err := j.Claim(ctx, node)
			return j, err
		}
		_, err := claim("n1", 7, 0)
		assert.NilError(t, err)
		second, err := claim("n2", 8, 1)
		assert.NilError(t, err)
		_, err = claim("n3", 9, 1)
		assert.Assert(t, errkind.Is(err, errkind.Fenced), "%v", err)
		assert.NilError(t, second.Append(ctx, []port.Record{{Key: "k", Value: []byte("1")}}))
		assert.DeepEqual(t, seen, []Claim{{}, {Epoch: 1, Node: "n1", Incarnation: 7, Read: 70, From: 7}, {Epoch: 2, Node: "n2", Incarnation: 8, Read: 80, From: 8}})
	})
}
