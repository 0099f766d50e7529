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
	homeAt  = port.Partition{Topic: "home"}
	spareAt = port.Partition{Topic: "spare"}
)

// newJournal returns a journal with a spare partition, as a node has it.
func newJournal(w *world.World, node string) *Journal {
	return &Journal{Partition: homeAt, Standby: spareAt, Store: w.Store(node), Logger: log.Nop()}
}

// inBubble plays a test with a clock of its own, and a context that ends before it does.
func inBubble(t *testing.T, play func(t *testing.T, ctx context.Context, w *world.World)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		play(t, ctx, world.New(1))
	})
}

// values returns what records hold, the journal's own ones left out.
func values(records []port.Record) map[string]string {
	kept := make(map[string]string)
	for _, r := range records {
		if r.Key != keyClaim && r.Key != keySpare {
			kept[r.Key] = string(r.Value)
		}
	}
	return kept
}

// rush is the pattern of load that a spare partition serves: a batch each 20 ms while the
// partition of the pool is away, as an owner keeps them in a rush.
const rushGap = 20 * time.Millisecond

// TestARushWhileThePartitionIsAway: of a store that is away in part for six seconds, the
// partition of a pool in a rush is among what is away. Without a spare one no batch is kept
// before it answers again, and an owner refuses what comes after 0.4 s.
func TestARushWhileThePartitionIsAway(t *testing.T) {
	for _, absence := range []world.Outage{world.Refusing, world.Unresponsive} {
		inBubble(t, func(t *testing.T, ctx context.Context, w *world.World) {
			j := newJournal(w, "n1")
			_, err := j.Claim(ctx, "n1")
			assert.NilError(t, err)
			want := make(map[string]string)
			keep := func(n int) {
				key, value := fmt.Sprint("k", n%40), fmt.Sprint(n)
				assert.NilError(t, j.Append(ctx, []port.Record{{Key: key, Value: []byte(value)}}))
				want[key] = value
				time.Sleep(rushGap)
			}
			for n := range 20 {
				keep(n)
			}
			w.SetOutage(homeAt, absence)
			began, longest := time.Now(), time.Duration(0)
			n := 20
			for ; time.Since(began) < 6*time.Second; n++ {
				sent := time.Now()
				keep(n)
				longest = max(longest, time.Since(sent)-rushGap)
				assert.Assert(t, !j.IsStuck(2*spareLeast))
			}
			assert.Assert(t, longest < 2*spareLeast, "a batch waited %s", longest)
			w.SetOutage(homeAt, world.Available)
			for range 50 {
				keep(n)
				n++
			}
			w.SetOutage(spareAt, absence) // all is at home again, and the spare one is not needed
			time.Sleep(sparePeriod)
			keep(n)
			time.Sleep(2 * spareSilent)
			keep(n + 1)
			records, err := newJournal(w, "n2").Claim(ctx, "n2")
			assert.NilError(t, err)
			assert.DeepEqual(t, values(records), want)
			assert.Assert(t, isFenced(j.Append(ctx, []port.Record{{Key: "k", Value: []byte("late")}})))
		})
	}
}

// TestNextWriterReadsTheSpare: a writer is gone while its records are in the spare partition;
// the next one, which comes as both answer, has them all, and what was taken away is gone.
func TestNextWriterReadsTheSpare(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, w *world.World) {
		j := newJournal(w, "n1")
		_, err := j.Claim(ctx, "n1")
		assert.NilError(t, err)
		put := func(j *Journal, key, value string) {
			assert.NilError(t, j.Append(ctx, []port.Record{{Key: key, Value: []byte(value)}}))
			time.Sleep(rushGap)
		}
		put(j, "a", "1")
		put(j, "b", "1")
		put(j, "c", "1")
		w.SetOutage(homeAt, world.Refusing)
		put(j, "a", "2")
		put(j, "b", "")
		_, err = newJournal(w, "n2").Claim(ctx, "n2")
		assert.Assert(t, err != nil, "nobody may claim what does not answer")
		w.SetOutage(homeAt, world.Available)
		w.SetOutage(spareAt, world.Refusing)
		_, err = newJournal(w, "n2").Claim(ctx, "n2")
		assert.Assert(t, err != nil, "records may be in what does not answer")
		w.SetOutage(spareAt, world.Available)
		for n := range 3 { // each claims, and is gone before or after it has written
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

// TestASilentSpareKeepsNobodyFromTheJournal: a spare partition falls silent for six seconds, and one
// second later its writer is gone, in a rush. The home says by then that the spare one is out of
// use, and the next writer claims the journal at once. Seen on a day of our own (a third of the store
// away, then two nodes killed): a pool had no owner for five seconds, since its spare partition
// was asked every two seconds only; its log has twelve claims that the silent one has ended.
func TestASilentSpareKeepsNobodyFromTheJournal(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, w *world.World) {
		for start := time.Duration(0); start < time.Second; start += 90 * time.Millisecond {
			tenancy, gone := context.WithCancel(ctx)
			j := newJournal(w, "n1")
			_, err := j.Claim(tenancy, "n1")
			assert.NilError(t, err)
			keepFor := func(d time.Duration) {
				for began := time.Now(); time.Since(began) < d; time.Sleep(rushGap) {
					assert.NilError(t, j.Append(tenancy, []port.Record{{Key: "k", Value: []byte("1")}}))
				}
			}
			keepFor(time.Second + start)
			w.SetOutage(spareAt, world.Unresponsive)
			keepFor(time.Second)
			gone()
			_, err = newJournal(w, "n2").Claim(ctx, "n2")
			assert.NilError(t, err, "after %s", start)
			w.SetOutage(spareAt, world.Available)
			time.Sleep(time.Second)
		}
	})
}

// TestOutOfUseHoldsAtOnce: the mark that takes a silent spare partition out of use is kept, its
// answer is lost, and the home goes silent as the spare one answers again: nothing may be kept
// there any more, since whoever claims the journal does not look there.
func TestOutOfUseHoldsAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, w *world.World) {
		j := newJournal(w, "n1")
		_, err := j.Claim(ctx, "n1")
		assert.NilError(t, err)
		put := func(key string, patience time.Duration) bool {
			kept := make(chan error, 1)
			go func() { kept <- j.Append(ctx, []port.Record{{Key: key, Value: []byte("1")}}) }()
			select {
			case err := <-kept:
				return err == nil
			case <-time.After(patience):
				return false
			}
		}
		for range 3 { // the last one says that the spare partition is in use
			assert.Assert(t, put("a", time.Second))
			time.Sleep(rushGap)
		}
		w.SetOutage(spareAt, world.Unresponsive)
		time.Sleep(sparePeriod)
		assert.Assert(t, put("a", time.Second)) // asks the spare partition
		time.Sleep(2 * spareSilent)
		w.SetFaults("n1", func(f *world.Faults) { f.StoreLostResponses = 1 })
		time.AfterFunc(rushGap, func() {
			w.SetFaults("n1", func(f *world.Faults) { f.StoreLostResponses = 0 })
			w.SetOutage(homeAt, world.Unresponsive)
			w.SetOutage(spareAt, world.Available)
		})
		kept := put("b", 2*time.Second) && put("c", 2*time.Second)
		w.SetOutage(homeAt, world.Available)
		records, err := newJournal(w, "n2").Claim(ctx, "n2")
		assert.NilError(t, err)
		_, there := values(records)["c"]
		assert.Assert(t, there || !kept, "a record was told as kept and is gone")
	})
}

// history is one play of writers that claim a journal, write and are gone, on a store that
// is away in part, forgets to answer and is slow.
type history struct {
	t       *testing.T
	seed    uint64
	r       *rand.Rand
	w       *world.World
	kept    map[string]string // of the batches whose outcome is known
	unsure  map[string]string // of the one whose outcome is not known
	claims  int
	appends int
}

// TestHistoriesOfTwoPartitions: whatever is away and whoever claims, the next writer reads
// all that was told as kept, and of the last batch all or nothing; two are never writers at once.
func TestHistoriesOfTwoPartitions(t *testing.T) {
	const histories = 300
	claims, appends := 0, 0
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			h := &history{t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 4)), w: world.New(seed), kept: make(map[string]string)}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			h.play(ctx)
			claims, appends = claims+h.claims, appends+h.appends
		})
	}
	t.Logf("%d claims, %d appends", claims, appends)
	assert.Assert(t, claims > histories && appends > 20*histories)
}

func (h *history) play(ctx context.Context) {
	troubles := []func(){
		func() { h.w.SetOutage(homeAt, world.Outage(h.r.IntN(3))) },
		func() { h.w.SetOutage(spareAt, world.Outage(h.r.IntN(3))) },
		func() { h.w.SetOutage(homeAt, world.Available); h.w.SetOutage(spareAt, world.Available) },
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
			troubles[h.r.IntN(len(troubles))]()
		}
		j := newJournal(h.w, "n")
		bounded, cancel := context.WithTimeout(ctx, 3*time.Second)
		records, err := j.Claim(bounded, "n")
		cancel()
		if err != nil {
			continue // one that has raised the epoch of the home has ended the last writer
		}
		h.claims++
		if last != nil {
			bounded, cancel := context.WithTimeout(ctx, time.Second)
			err := last.Append(bounded, []port.Record{{Key: "late", Value: []byte("1")}})
			cancel()
			assert.Assert(h.t, err != nil, "seed %d: two are writers", h.seed)
		}
		h.check(records)
		tenancy, end := context.WithCancel(ctx)
		for range h.r.IntN(40) {
			if h.r.IntN(8) == 0 {
				troubles[h.r.IntN(len(troubles))]()
			}
			if !h.append(tenancy, end, j) {
				break
			}
		}
		if last = j; h.r.IntN(2) == 0 {
			end() // the process is gone; what it has sent may be carried out yet
			last = nil
		}
		defer end()
	}
	h.w.SetOutage(homeAt, world.Available)
	h.w.SetOutage(spareAt, world.Available)
	h.w.SetFaults("n", func(f *world.Faults) { f.StoreLostResponses, f.StoreLatency = 0, 0 })
	records, err := newJournal(h.w, "n").Claim(ctx, "n")
	assert.NilError(h.t, err)
	h.check(records)
}

// append has a batch kept, with patience for a while, and reports whether it is. Where it may
// be kept yet its writer is gone.
func (h *history) append(tenancy context.Context, end func(), j *Journal) bool {
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
	giveUp := time.AfterFunc(time.Duration(h.r.IntN(8000))*time.Millisecond, end)
	if err := j.Append(tenancy, records); err != nil {
		h.unsure = batch
		return false
	}
	apply(h.kept, batch)
	giveUp.Stop()
	if h.r.IntN(6) == 0 {
		asked, cancel := context.WithTimeout(tenancy, time.Second)
		defer cancel()
		_ = j.Confirm(asked) // that it does not answer is one of the histories
	}
	time.Sleep(time.Duration(h.r.IntN(400)) * time.Millisecond)
	return true
}

func apply(kept, batch map[string]string) {
	for key, value := range batch {
		if kept[key] = value; value == "" {
			delete(kept, key)
		}
	}
}

// check compares what a writer has read with what was kept.
func (h *history) check(records []port.Record) {
	got := values(records)
	with := maps.Clone(h.kept)
	apply(with, h.unsure)
	if maps.Equal(got, with) {
		h.kept = with
	}
	h.unsure = nil
	assert.Assert(h.t, maps.Equal(got, h.kept), "seed %d: read %v, kept %v, or with the last batch %v", h.seed, got, h.kept, with)
}
