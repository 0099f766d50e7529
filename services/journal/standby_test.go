// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

var (
	primaryAt = port.Partition{Topic: "home"}
	standbyAt = port.Partition{Topic: "spare"}
)

// newJournal returns a journal with a standby partition, as a node has it.
func newJournal(w *world.World, node string) *Journal {
	return &Journal{Partition: primaryAt, Standby: standbyAt, Store: w.Store(node), Logger: log.Nop()}
}

// withFakeClock runs a test with a fake clock, and a context that ends before the test does.
func withFakeClock(t *testing.T, run func(t *testing.T, ctx context.Context, w *world.World)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		run(t, ctx, world.New(1))
	})
}

// values returns the values of records by key, without the journal's own records.
func values(records []port.Record) map[string]string {
	byKey := make(map[string]string)
	for _, r := range records {
		if r.Key != keyClaim && r.Key != keyStandby {
			byKey[r.Key] = string(r.Value)
		}
	}
	return byKey
}

// batchGap is the interval of batches in a surge: an owner writes a batch each 20 ms while the
// primary partition of the pool is unavailable.
const batchGap = 20 * time.Millisecond

// TestSurgeWhilePrimaryIsUnavailable makes a part of the store unavailable for six seconds,
// including the primary partition of a pool in a surge. Without a standby partition no batch is
// persisted before the primary responds again, and an owner rejects requests that wait longer than
// 0.4 s.
func TestSurgeWhilePrimaryIsUnavailable(t *testing.T) {
	for _, outage := range []world.Outage{world.Refusing, world.Unresponsive} {
		withFakeClock(t, func(t *testing.T, ctx context.Context, w *world.World) {
			j := newJournal(w, "n1")
			_, err := j.Claim(ctx, "n1")
			assert.NilError(t, err)
			want := make(map[string]string)
			write := func(n int) {
				key, value := fmt.Sprint("k", n%40), fmt.Sprint(n)
				assert.NilError(t, j.Append(ctx, []port.Record{{Key: key, Value: []byte(value)}}))
				want[key] = value
				time.Sleep(batchGap)
			}
			for n := range 20 {
				write(n)
			}
			w.SetOutage(primaryAt, outage)
			began, longest := time.Now(), time.Duration(0)
			n := 20
			for ; time.Since(began) < 6*time.Second; n++ {
				sent := time.Now()
				write(n)
				longest = max(longest, time.Since(sent)-batchGap)
				assert.Assert(t, !j.IsStuck(2*standbyMinDelay))
			}
			assert.Assert(t, longest < 2*standbyMinDelay, "a batch took %s", longest)
			w.SetOutage(primaryAt, world.Available)
			for range 50 {
				write(n)
				n++
			}
			w.SetOutage(standbyAt, outage) // everything is in the primary again, and the standby is not needed
			time.Sleep(standbyMinPeriod)
			write(n)
			time.Sleep(2 * standbyTimeout)
			write(n + 1)
			records, err := newJournal(w, "n2").Claim(ctx, "n2")
			assert.NilError(t, err)
			assert.DeepEqual(t, values(records), want)
			assert.Assert(t, isFenced(j.Append(ctx, []port.Record{{Key: "k", Value: []byte("late")}})))
		})
	}
}

// TestNextWriterReadsStandby ends a writer while its records are in the standby partition: the next
// one, which claims when both partitions respond, reads all of them, and removed keys stay removed.
func TestNextWriterReadsStandby(t *testing.T) {
	withFakeClock(t, func(t *testing.T, ctx context.Context, w *world.World) {
		j := newJournal(w, "n1")
		_, err := j.Claim(ctx, "n1")
		assert.NilError(t, err)
		put := func(j *Journal, key, value string) {
			assert.NilError(t, j.Append(ctx, []port.Record{{Key: key, Value: []byte(value)}}))
			time.Sleep(batchGap)
		}
		put(j, "a", "1")
		put(j, "b", "1")
		put(j, "c", "1")
		w.SetOutage(primaryAt, world.Refusing)
		put(j, "a", "2")
		put(j, "b", "")
		_, err = newJournal(w, "n2").Claim(ctx, "n2")
		assert.Assert(t, err != nil, "an unresponsive partition must not be claimed")
		w.SetOutage(primaryAt, world.Available)
		w.SetOutage(standbyAt, world.Refusing)
		_, err = newJournal(w, "n2").Claim(ctx, "n2")
		assert.Assert(t, err != nil, "must not claim while records may be in an unresponsive partition")
		w.SetOutage(standbyAt, world.Available)
		for n := range 3 { // each claims, and ends before or after it has written
			next := newJournal(w, "n3")
			records, err := next.Claim(ctx, "n3")
			assert.NilError(t, err)
			assert.DeepEqual(t, values(records), map[string]string{"a": "2", "c": "1"})
			if n > 0 {
				put(next, "d", "")
			}
		}
	})
}

// TestUnresponsiveStandbyDoesNotBlockClaims makes a standby partition unresponsive for six seconds,
// and ends its writer one second later, in a surge. By then the mark in the primary states that the
// standby is not in use, and the next writer claims the journal at once. The failure was seen on a
// day with a third of the store unavailable and then two nodes killed: a pool had no owner for five
// seconds, since its standby partition was probed every two seconds only; twelve claims in the log
// had failed on the unresponsive partition.
func TestUnresponsiveStandbyDoesNotBlockClaims(t *testing.T) {
	withFakeClock(t, func(t *testing.T, ctx context.Context, w *world.World) {
		for start := time.Duration(0); start < time.Second; start += 90 * time.Millisecond {
			writerCtx, end := context.WithCancel(ctx)
			j := newJournal(w, "n1")
			_, err := j.Claim(writerCtx, "n1")
			assert.NilError(t, err)
			writeFor := func(d time.Duration) {
				for began := time.Now(); time.Since(began) < d; time.Sleep(batchGap) {
					assert.NilError(t, j.Append(writerCtx, []port.Record{{Key: "k", Value: []byte("1")}}))
				}
			}
			writeFor(time.Second + start)
			w.SetOutage(standbyAt, world.Unresponsive)
			writeFor(time.Second)
			end()
			_, err = newJournal(w, "n2").Claim(ctx, "n2")
			assert.NilError(t, err, "after %s", start)
			w.SetOutage(standbyAt, world.Available)
			time.Sleep(time.Second)
		}
	})
}

// TestDisabledStandbyIsNotUsed guards against writes to a disabled standby partition: the mark that
// disables it is persisted but the response is lost, and the primary becomes unresponsive when the
// standby responds again. Nothing may be written to the standby any more, since whoever claims the
// journal does not read it.
func TestDisabledStandbyIsNotUsed(t *testing.T) {
	withFakeClock(t, func(t *testing.T, ctx context.Context, w *world.World) {
		j := newJournal(w, "n1")
		_, err := j.Claim(ctx, "n1")
		assert.NilError(t, err)
		put := func(key string, timeout time.Duration) bool {
			result := make(chan error, 1)
			go func() { result <- j.Append(ctx, []port.Record{{Key: key, Value: []byte("1")}}) }()
			select {
			case err := <-result:
				return err == nil
			case <-time.After(timeout):
				return false
			}
		}
		for range 3 { // the last one states that the standby partition is in use
			assert.Assert(t, put("a", time.Second))
			time.Sleep(batchGap)
		}
		w.SetOutage(standbyAt, world.Unresponsive)
		time.Sleep(standbyMinPeriod)
		assert.Assert(t, put("a", time.Second)) // probes the standby partition
		time.Sleep(2 * standbyTimeout)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreLostResponses = 1 })
		time.AfterFunc(batchGap, func() {
			w.SetFaults("n1", func(f *world.Faults) { f.StoreLostResponses = 0 })
			w.SetOutage(primaryAt, world.Unresponsive)
			w.SetOutage(standbyAt, world.Available)
		})
		persisted := put("b", 2*time.Second) && put("c", 2*time.Second)
		w.SetOutage(primaryAt, world.Available)
		records, err := newJournal(w, "n2").Claim(ctx, "n2")
		assert.NilError(t, err)
		_, found := values(records)["c"]
		assert.Assert(t, found || !persisted, "a record was reported as persisted but is lost")
	})
}

// history is one run of writers that claim a journal, write and end, on a store that is partly
// unavailable, loses responses and is slow.
type history struct {
	t           *testing.T
	seed        uint64
	r           *rand.Rand
	w           *world.World
	persisted   map[string]string // of the batches with a known outcome
	unconfirmed map[string]string // of the batch with an unknown outcome
	claims      int
	appends     int
	refusals    bool // some batches have a record that the store refuses
	refused     int
}

// TestRandomHistoriesOfTwoPartitions checks that, whatever is unavailable and whoever claims, the
// next writer reads everything that was reported as persisted, and all or nothing of the last
// batch; there are never two writers at the same time.
func TestRandomHistoriesOfTwoPartitions(t *testing.T) {
	const histories = 300
	claims, appends := 0, 0
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			h := &history{t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 4)), w: world.New(seed), persisted: make(map[string]string)}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			h.run(ctx)
			claims, appends = claims+h.claims, appends+h.appends
		})
	}
	t.Logf("%d claims, %d appends were made", claims, appends)
	assert.Assert(t, claims > histories && appends > 20*histories)
}

// TestRandomHistoriesWithRefusedAppends guards against records that the store refuses for good and that keep a journal from
// persisting others, or take others with them.
func TestRandomHistoriesWithRefusedAppends(t *testing.T) {
	const histories = 300
	refused, appends := 0, 0
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			h := &history{t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 5)), w: world.New(seed), persisted: make(map[string]string), refusals: true}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			h.run(ctx)
			refused, appends = refused+h.refused, appends+h.appends
		})
	}
	t.Logf("%d appends were made, %d refused", appends, refused)
	assert.Assert(t, refused > 2*histories && appends > 20*histories)
}

// tryRefused writes a batch with a record that the store refuses, and reports whether it is known that it did.
func (h *history) tryRefused(ctx context.Context, end func(), j *Journal, records []port.Record) bool {
	large := port.Record{Key: fmt.Sprint("k", h.r.IntN(12)), Value: make([]byte, 300<<10)}
	giveUp := time.AfterFunc(time.Duration(h.r.IntN(8000))*time.Millisecond, end)
	err := j.TryAppend(ctx, append(records, large))
	giveUp.Stop()
	assert.Assert(h.t, err != nil, "seed %d", h.seed)
	if IsRefused(err) {
		h.refused++
	}
	return IsRefused(err)
}

func (h *history) run(ctx context.Context) {
	faults := []func(){
		func() { h.w.SetOutage(primaryAt, world.Outage(h.r.IntN(3))) },
		func() { h.w.SetOutage(standbyAt, world.Outage(h.r.IntN(3))) },
		func() { h.w.SetOutage(primaryAt, world.Available); h.w.SetOutage(standbyAt, world.Available) },
		func() {
			lost, slow := h.r.Float64()/2, time.Duration(h.r.IntN(300))*time.Millisecond
			h.w.SetFaults("n", func(f *world.Faults) { f.StoreLostResponses, f.StoreLatency = lost, slow })
		},
		func() { h.w.SetFaults("n", func(f *world.Faults) { f.StoreLostResponses, f.StoreLatency = 0, 0 }) },
		h.w.CompactLog,
	}
	var last *Journal
	for range 12 {
		for range h.r.IntN(3) {
			faults[h.r.IntN(len(faults))]()
		}
		j := newJournal(h.w, "n")
		bounded, cancel := context.WithTimeout(ctx, 3*time.Second)
		records, err := j.Claim(bounded, "n")
		cancel()
		if err != nil {
			continue // if it has raised the epoch of the primary, it has ended the last writer
		}
		h.claims++
		if last != nil {
			bounded, cancel := context.WithTimeout(ctx, time.Second)
			err := last.Append(bounded, []port.Record{{Key: "late", Value: []byte("1")}})
			cancel()
			assert.Assert(h.t, err != nil, "seed %d: there are two writers", h.seed)
		}
		h.check(records)
		writerCtx, end := context.WithCancel(ctx)
		for range h.r.IntN(40) {
			if h.r.IntN(8) == 0 {
				faults[h.r.IntN(len(faults))]()
			}
			if !h.append(writerCtx, end, j) {
				break
			}
		}
		if last = j; h.r.IntN(2) == 0 {
			end() // the process is gone; what it has sent may still take effect
			last = nil
		}
		defer end()
	}
	h.w.SetOutage(primaryAt, world.Available)
	h.w.SetOutage(standbyAt, world.Available)
	h.w.SetFaults("n", func(f *world.Faults) { f.StoreLostResponses, f.StoreLatency = 0, 0 })
	records, err := newJournal(h.w, "n").Claim(ctx, "n")
	assert.NilError(h.t, err)
	h.check(records)
}

// append writes a batch with a timeout, and reports whether it is persisted. If that is unknown,
// its writer ends.
func (h *history) append(writerCtx context.Context, end func(), j *Journal) bool {
	batch := make(map[string]string)
	var records []port.Record
	for range h.r.IntN(4) {
		key, value := fmt.Sprint("k", h.r.IntN(12)), ""
		if _, twice := batch[key]; twice {
			continue
		}
		if h.r.IntN(4) > 0 {
			value = fmt.Sprint(h.r.IntN(1000))
		}
		batch[key] = value
		records = append(records, port.Record{Key: key, Value: []byte(value)})
	}
	h.appends++
	if h.refusals && h.r.IntN(4) == 0 {
		return h.tryRefused(writerCtx, end, j, records)
	}
	giveUp := time.AfterFunc(time.Duration(h.r.IntN(8000))*time.Millisecond, end)
	if err := j.Append(writerCtx, records); err != nil {
		h.unconfirmed = batch
		return false
	}
	apply(h.persisted, batch)
	giveUp.Stop()
	if h.r.IntN(6) == 0 {
		bounded, cancel := context.WithTimeout(writerCtx, time.Second)
		defer cancel()
		_ = j.Confirm(bounded) // no response is one of the possible histories
	}
	time.Sleep(time.Duration(h.r.IntN(400)) * time.Millisecond)
	return true
}

func apply(persisted, batch map[string]string) {
	for key, value := range batch {
		if persisted[key] = value; value == "" {
			delete(persisted, key)
		}
	}
}

// check compares what a writer has read with what was persisted.
func (h *history) check(records []port.Record) {
	got := values(records)
	with := maps.Clone(h.persisted)
	apply(with, h.unconfirmed)
	if maps.Equal(got, with) {
		h.persisted = with
	}
	h.unconfirmed = nil
	assert.Assert(h.t, maps.Equal(got, h.persisted), "seed %d: read %v, persisted %v, or with the last batch %v", h.seed, got, h.persisted, with)
}

// TestUnusedStandbyConfirmsNothing guards against a replaced writer that takes a response of its standby partition
// for a confirmation: the mark in the primary states that the standby is not in use, so the next writer has fenced
// the primary only, and the earlier one's probe of the standby succeeds.
func TestUnusedStandbyConfirmsNothing(t *testing.T) {
	withFakeClock(t, func(t *testing.T, ctx context.Context, w *world.World) {
		j := newJournal(w, "n1")
		_, err := j.Claim(ctx, "n1")
		assert.NilError(t, err)
		put := func() {
			assert.NilError(t, j.Append(ctx, []port.Record{{Key: "a", Value: []byte("1")}}))
			time.Sleep(batchGap)
		}
		for range 3 { // the last one states that the standby partition is in use
			put()
		}
		w.SetOutage(standbyAt, world.Unresponsive)
		time.Sleep(standbyMinPeriod)
		put() // probes the standby partition
		time.Sleep(2 * standbyTimeout)
		put() // states that it is not in use
		_, err = newJournal(w, "n2").Claim(ctx, "n2")
		assert.NilError(t, err)
		replacedAt := time.Now()
		w.SetOutage(primaryAt, world.Unresponsive)
		w.SetOutage(standbyAt, world.Available)
		time.Sleep(3 * time.Second) // the probe succeeds
		assert.Assert(t, !j.LastConfirmed().After(replacedAt), "confirmed %s after it was replaced", j.LastConfirmed().Sub(replacedAt))
		bounded, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		assert.Assert(t, j.Confirm(bounded) != nil, "a replaced writer is confirmed")
		assert.Assert(t, !j.LastConfirmed().After(replacedAt), "confirmed %s after it was replaced", j.LastConfirmed().Sub(replacedAt))
	})
}
