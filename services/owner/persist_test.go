// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

// strictStore refuses some appends of a store for good.
type strictStore struct {
	refuses func(records []port.Record) bool
	refused atomic.Int64
}

// port returns a store that refuses.
func (s *strictStore) port(store port.Store) port.Store {
	p := store
	p.Append = func(ctx context.Context, at port.Partition, w port.Writer, records []port.Record) error {
		if s.refuses != nil && s.refuses(records) {
			s.refused.Add(1)
			return errkind.New(errkind.BadRequest, "the store refuses the call with status 400")
		}
		return store.Append(ctx, at, w, records)
	}
	return p
}

// refusesProgressOf returns a function that refuses the progress of a job, unless it has ended.
func refusesProgressOf(id string) func([]port.Record) bool {
	return func(records []port.Record) bool {
		for _, r := range records {
			if r.Key == "p/"+id && !strings.Contains(string(r.Value), string(job.Failed)) {
				return true
			}
		}
		return false
	}
}

// state returns the state of a job.
func state(t *testing.T, o *Owner, id string) job.State {
	t.Helper()
	s, err := o.State(t.Context(), job.ID(id), "")
	assert.NilError(t, err)
	return s
}

// TestRefusedRecordsCostTheirOwnJob guards against LOST: records of one job that the store refuses for good keep all others of
// its pool from being persisted, by the next owner too.
func TestRefusedRecordsCostTheirOwnJob(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		t.Run(fmt.Sprint("accepted before: ", accepted), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, s := world.New(1), &strictStore{}
				listed := addWorkers(w, 1, job.Size{CPU: 4000, MemoryMB: 4000})
				if !accepted {
					s.refuses = refusesProgressOf("bad")
				}
				o, stop := runOwner(t, w, s.port(w.Store("n1")), nil, "n1")
				ctx := t.Context()
				submitted := make(chan error, 3)
				for _, id := range []string{"good-1", "bad", "good-2"} {
					go func() { submitted <- submit(t, w, o, submission(id)) }()
				}
				refused := 0
				for range 3 {
					if err := <-submitted; err != nil {
						assert.Assert(t, errkind.Is(err, errkind.TooLarge), "%v", err)
						refused++
					}
				}
				if accepted {
					assert.Equal(t, refused, 0)
					s.refuses = refusesProgressOf("bad") // from its first run on
				} else {
					assert.Equal(t, refused, 1)
					_, err := o.State(ctx, "bad", "")
					assert.Assert(t, errkind.Is(err, errkind.Gone))
				}
				o.UpdateWorkers(ctx, listed, true)
				time.Sleep(5 * time.Second)
				check := func(o *Owner) {
					t.Helper()
					assert.Equal(t, state(t, o, "good-1"), job.Completed)
					assert.Equal(t, state(t, o, "good-2"), job.Completed)
					if accepted {
						assert.Equal(t, state(t, o, "bad"), job.Failed)
					}
				}
				check(o)
				stop()
				next, stop := runOwner(t, w, s.port(w.Store("n2")), nil, "n2")
				check(next)
				assert.NilError(t, submit(t, w, next, submission("good-3")))
				stop()
				assert.DeepEqual(t, w.Violations(), []string(nil))
			})
		})
	}
}

// TestStoreThatRefusesEverythingCostsNoJob guards against jobs that are failed for a fault of the store.
func TestStoreThatRefusesEverythingCostsNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, s := world.New(1), &strictStore{}
		listed := addWorkers(w, 1, job.Size{CPU: 4000, MemoryMB: 4000})
		o, stop := runOwner(t, w, s.port(w.Store("n1")), nil, "n1")
		ctx := t.Context()
		for n := range 5 {
			assert.NilError(t, submit(t, w, o, submission(fmt.Sprint(n))))
		}
		var refuses atomic.Bool
		refuses.Store(true)
		s.refuses = func(records []port.Record) bool { return refuses.Load() && len(records) > 0 }
		o.UpdateWorkers(ctx, listed, true)
		time.Sleep(10 * time.Second)
		assert.Assert(t, s.refused.Load() < 100, "%d appends are refused", s.refused.Load())
		refuses.Store(false)
		time.Sleep(5 * time.Second)
		for n := range 5 {
			assert.Equal(t, state(t, o, fmt.Sprint(n)), job.Completed)
		}
		stop()
		assert.DeepEqual(t, w.Violations(), []string(nil))
	})
}

// TestLargeBatchesAreDivided guards against LOST: more changes between two appends than the store accepts in one.
func TestLargeBatchesAreDivided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, maxAppend, maxRecord = 400, 32 << 10, 16 << 10
		w, s := world.New(1), &strictStore{}
		s.refuses = func(records []port.Record) bool {
			all, largest := 0, 0
			for _, r := range records {
				all, largest = all+5+len(r.Key)+len(r.Value), max(largest, len(r.Key)+len(r.Value))
			}
			return all > maxAppend || largest > maxRecord
		}
		o, stop := runOwner(t, w, s.port(w.Store("n1")), nil, "n1")
		o.Sizes = Sizes{Record: maxRecord, Append: maxAppend}
		ctx := t.Context()
		submitted := make(chan error, jobs)
		for n := range jobs {
			go func() { submitted <- submit(t, w, o, submission(fmt.Sprintf("%016x", n))) }()
		}
		large := submission("large")
		large.Spec = strings.Repeat("s", 2*maxRecord)
		assert.Assert(t, errkind.Is(submit(t, w, o, large), errkind.TooLarge))
		for range jobs {
			assert.NilError(t, <-submitted)
		}
		o.UpdateWorkers(ctx, addWorkers(w, 40, job.Size{CPU: 4000, MemoryMB: 4000}), true)
		time.Sleep(10 * time.Second)
		stop()
		next, stop := runOwner(t, w, s.port(w.Store("n2")), nil, "n2")
		for n := range jobs {
			assert.Equal(t, state(t, next, fmt.Sprintf("%016x", n)), job.Completed)
		}
		stop()
		assert.Equal(t, s.refused.Load(), int64(0), "appends that are known to be too large are sent")
		assert.DeepEqual(t, w.Violations(), []string(nil))
	})
}
