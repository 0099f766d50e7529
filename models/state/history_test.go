// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
)

// history is a log written by several processes, with the state after each append.
type history struct {
	log    []record.Stored
	states []State
	seq    map[string]uint64
	now    time.Time
}

var begin = time.Date(2026, 3, 2, 1, 0, 0, 0, time.UTC)

func newHistory() *history {
	return &history{seq: make(map[string]uint64), now: begin, states: []State{{}}}
}

func (h *history) state() State { return h.states[len(h.states)-1] }

// put appends a batch of a writer and folds it.
func (h *history) put(writer string, records ...record.Record) Folded {
	h.seq[writer]++
	return h.putBatch(record.Batch{Schema: record.Schema, Writer: writer, Incarnation: 1, Sequence: h.seq[writer], Records: records})
}

func (h *history) putBatch(b record.Batch) Folded {
	data, err := b.Encode()
	if err != nil {
		panic(err)
	}
	return h.putData(data)
}

func (h *history) putData(data []byte) Folded {
	h.now = h.now.Add(100 * time.Millisecond)
	stored := record.Stored{Offset: uint64(len(h.log)), At: h.now, Data: data}
	f := h.state().Fold(stored)
	h.log = append(h.log, stored)
	h.states = append(h.states, f.State)
	return f
}

var writers = []string{"a", "b", "c"}

// seeded returns a history with three entries, two pools and a fleet of racks.
func seeded(racks int) *history {
	h := newHistory()
	for _, w := range writers {
		h.put(w, record.Record{Join: &record.Join{Address: w, DataCenter: "h0"}})
	}
	var workers []fleet.Worker
	for i := range racks * 4 {
		workers = append(workers, fleet.Worker{
			ID: fmt.Sprintf("w%02d", i), DataCenter: fmt.Sprintf("h%d", i/4%2), Rack: fmt.Sprintf("r%d", i/4),
			Cores: 16, MemoryGB: 32, Slots: 8, Condition: fleet.Live,
		})
	}
	h.put("a", record.Record{ListUpdate: &record.ListUpdate{Revision: 1, Workers: workers}})
	h.put("a", record.Record{Apply: &record.Apply{Deployment: "d", Put: []manifest.Object{
		{Team: &manifest.Team{Name: "t", QuotaCores: 64, QuotaMemoryGB: 64}},
		{Pool: &manifest.Pool{Name: "p", Team: "t", Size: 4, MinAvailable: 2, FailureDomain: manifest.DomainRack}},
		{Pool: &manifest.Pool{Name: "q", Team: "t", Size: 3, MinAvailable: 1, FailureDomain: manifest.DomainDataCenter}},
	}}})
	return h
}

// randomRecord draws a proposal that is sometimes valid and often stale.
func randomRecord(t *rapid.T, s State) record.Record {
	worker := fmt.Sprintf("w%02d", rapid.IntRange(0, 15).Draw(t, "worker"))
	i, _ := s.Instances.Get(worker)
	version := i.Version - uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "stale"))
	pool := rapid.SampledFrom([]string{"p", "q", manifest.SparePool}).Draw(t, "pool")
	key := fmt.Sprintf("%d.key-%06d", begin.Add(time.Hour).Unix(), rapid.IntRange(0, 3).Draw(t, "key"))
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0, 1:
		return record.Record{Move: &record.Move{Worker: worker, Version: version, To: pool}}
	case 2:
		return record.Record{Drain: &record.Drain{Worker: worker, Version: version, Purpose: record.ForMaintenance}}
	case 3:
		return record.Record{Drain: &record.Drain{Worker: worker, Version: version, Purpose: record.ForMove, To: pool}}
	case 4:
		return record.Record{Drained: &record.Drained{Worker: worker, Epoch: i.Epoch}}
	case 5:
		return record.Record{Reboot: &record.Reboot{Worker: worker, Version: version}}
	case 6:
		return record.Record{Return: &record.Return{Worker: worker, Version: version}}
	case 7:
		w := i.Worker
		w.Condition = rapid.SampledFrom([]fleet.Condition{fleet.Live, fleet.Leaving, fleet.Gone}).Draw(t, "condition")
		w.BootCount += rapid.IntRange(0, 1).Draw(t, "boot")
		if w.ID == "" {
			w.ID = worker
		}
		return record.Record{ListUpdate: &record.ListUpdate{Revision: s.ListRevision + 1, Workers: []fleet.Worker{w}}}
	case 8:
		return record.Record{Claim: &record.Claim{Key: key, Sum: []byte("s")}}
	case 9:
		c, _ := s.Claim(key)
		return record.Record{Result: &record.Result{Key: key, Claim: c.Offset, NotRun: rapid.Bool().Draw(t, "not run")}}
	case 10:
		id := fmt.Sprintf("j%d@", rapid.IntRange(0, 4).Draw(t, "job"))
		return record.Record{Submit: &record.Submit{ID: id, Job: manifest.Job{Name: id, Team: "t", Pool: "p", Cores: 4, MemoryGB: 4}}}
	default:
		id := fmt.Sprintf("j%d@", rapid.IntRange(0, 4).Draw(t, "job"))
		r, _ := s.Runs.Get(id)
		if rapid.Bool().Draw(t, "place") {
			return record.Record{Place: &record.Place{ID: id, Attempt: r.Attempt + 1, Worker: worker, Cores: 4, MemoryGB: 4}}
		}
		state := rapid.SampledFrom([]record.RunState{record.Running, record.Done, record.Pending}).Draw(t, "state")
		return record.Record{Progress: &record.Progress{ID: id, Attempt: r.Attempt, State: state}}
	}
}

// randomHistory draws a history in which three processes make proposals concurrently.
func randomHistory(t *rapid.T) *history {
	h := seeded(4)
	for range rapid.IntRange(1, 60).Draw(t, "appends") {
		writer := rapid.SampledFrom(writers).Draw(t, "writer")
		var records []record.Record
		for range rapid.IntRange(1, 3).Draw(t, "records") {
			records = append(records, randomRecord(t, h.state()))
		}
		before := h.state()
		f := h.put(writer, records...)
		checkStep(t, before, f)
		if rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
			h.repeatLast(t)
		}
	}
	return h
}

// repeatLast appends the newest batch again, as a writer does that missed the log's response.
func (h *history) repeatLast(t *rapid.T) {
	before := h.state()
	f := h.putData(h.log[len(h.log)-1].Data)
	if f.Applied {
		t.Fatalf("a repeated batch was applied as a new one")
	}
	after := f.State
	after.Offset, after.Now = before.Offset, before.Now
	if !bytes.Equal(encoded(t, before), encoded(t, after)) {
		t.Fatalf("a repeated batch changed the state")
	}
}

func encoded(t interface{ Fatalf(string, ...any) }, s State) []byte {
	data, err := s.Encode()
	if err != nil {
		t.Fatalf("%v", err)
	}
	return data
}

// checkStep checks the invariants after one append. It does its own counting, without the code
// under test.
func checkStep(t *rapid.T, before State, f Folded) {
	s := f.State
	members := make(map[string]string)
	for _, pool := range []string{"p", "q", manifest.SparePool} {
		for _, i := range s.PoolInstances(pool) {
			if other, twice := members[i.Worker.ID]; twice {
				t.Fatalf("%s is in pool %s and in pool %s", i.Worker.ID, other, pool)
			}
			members[i.Worker.ID] = pool
		}
	}
	if len(members) != s.Instances.Len() {
		t.Fatalf("%d instances are in pools, %d are known", len(members), s.Instances.Len())
	}
	checkBudgets(t, before, f)
	if s.Catalog.Version < before.Catalog.Version || s.Offset <= before.Offset {
		t.Fatalf("the version or the offset went back")
	}
	for id, r := range before.Runs.All() {
		after, _ := s.Runs.Get(id)
		if r.Attempt > 0 && after.Attempt > r.Attempt && !r.Job.Repeatable {
			t.Fatalf("run %s may not be repeated but got attempt %d", id, after.Attempt)
		}
	}
}

// checkBudgets finds a drain that the batch began although the pool would not survive the loss of a
// further domain.
func checkBudgets(t *rapid.T, before State, f Folded) {
	for n, r := range f.Batch.Records {
		if r.Drain == nil || f.Verdicts[n] != nil {
			continue
		}
		was, _ := before.Instances.Get(r.Drain.Worker)
		p := before.Catalog.Pool(was.Pool)
		if p == nil || was.Worker.Condition != fleet.Live {
			continue
		}
		if left := survivors(f.State, p); left < p.MinAvailable && onlyDrains(f) {
			t.Fatalf("draining %s leaves pool %s with %d instances after the loss of a domain, want at least %d", r.Drain.Worker, p.Name, left, p.MinAvailable)
		}
	}
}

// onlyDrains reports whether the batch contains accepted drains only, so that the state after it
// shows their effect.
func onlyDrains(f Folded) bool {
	for n, r := range f.Batch.Records {
		if r.Drain == nil && f.Verdicts[n] == nil {
			return false
		}
	}
	return true
}

func survivors(s State, p *manifest.Pool) int {
	all := 0
	domains := make(map[string]int)
	for _, i := range s.Instances.All() {
		if i.Pool != p.Name || i.Phase != InService || i.Worker.Condition != fleet.Live {
			continue
		}
		all++
		if p.FailureDomain == manifest.DomainDataCenter {
			domains[i.Worker.DataCenter]++
		} else {
			domains[i.Worker.DataCenter+i.Worker.Rack]++
		}
	}
	worst := 0
	for _, n := range domains {
		worst = max(worst, n)
	}
	return all - worst
}

func TestFoldKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { randomHistory(t) })
}

func TestSnapshotAndTailEqualsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := randomHistory(t)
		at := rapid.IntRange(0, len(h.log)).Draw(t, "snapshot at")
		var assembler Assembler
		var s State
		complete := false
		for _, c := range Chunks(h.states[at].Offset, encoded(t, h.states[at])) {
			s, complete = assembler.Add(c)
		}
		if !complete {
			t.Fatalf("the snapshot is not complete")
		}
		for _, r := range h.log[at:] {
			s = s.Fold(r).State
		}
		if !bytes.Equal(encoded(t, s), encoded(t, h.state())) {
			t.Fatalf("snapshot and tail lead to another state than the complete log")
		}
	})
}

func TestUnreadableRecordsAreSkipped(t *testing.T) {
	h := seeded(1)
	before := h.state()
	f := h.putData([]byte("no batch"))
	assert.Assert(t, !f.Applied)
	assert.Equal(t, f.State.Unreadable, uint64(1))
	// A record of a newer release has no field that this release knows.
	f = h.put("b", record.Record{}, record.Record{Lease: &record.Lease{Role: record.RolePools, TTL: time.Second}})
	assert.Equal(t, f.State.Unreadable, uint64(2))
	assert.Assert(t, f.State.HoldsRole(record.RolePools, "b", 1))
	assert.Equal(t, f.State.Instances.Len(), before.Instances.Len())
}

func FuzzFold(f *testing.F) {
	h := seeded(1)
	for _, r := range h.log {
		f.Add(r.Data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		before := h.state()
		after := before.Fold(record.Stored{Offset: before.Offset, At: begin, Data: data}).State
		if after.Offset != before.Offset+1 {
			t.Fatalf("offset %d after %d", after.Offset, before.Offset)
		}
	})
}
