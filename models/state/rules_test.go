// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

func team(name string, quota int) manifest.Object {
	return manifest.Object{Team: &manifest.Team{Name: name, QuotaCores: quota}}
}

func TestConcurrentFiles(t *testing.T) {
	h := seeded(1)
	base := h.state().Catalog.Version
	first := h.put("a", record.Record{Apply: &record.Apply{Deployment: "d", Base: base, Put: []manifest.Object{team("t", 1)}}})
	assert.NilError(t, first.Verdicts[0])
	other := h.put("b", record.Record{Apply: &record.Apply{Deployment: "d", Base: base, Put: []manifest.Object{team("u", 1)}}})
	assert.NilError(t, other.Verdicts[0])
	clash := h.put("c", record.Record{Apply: &record.Apply{Deployment: "d", Base: base, Put: []manifest.Object{team("v", 1), team("t", 2)}}})
	assert.ErrorContains(t, clash.Verdicts[0], "team/t changed in version")
	_, applied := clash.State.Catalog.Get(manifest.Ref{Kind: manifest.KindTeam, Name: "v"})
	assert.Assert(t, !applied, "a rejected file was applied in part")
}

func TestReplacedAndSuspendedWriters(t *testing.T) {
	h := seeded(1)
	lease := record.Record{Lease: &record.Lease{Role: record.RolePools, TTL: time.Second}}
	assert.NilError(t, h.put("a", lease).Verdicts[0])
	assert.Assert(t, errkind.IsErrConflict(h.put("b", lease).Verdicts[0]))
	h.now = h.now.Add(time.Minute)
	assert.NilError(t, h.put("b", lease).Verdicts[0])
	// The suspended holder resumes and continues with its earlier decision.
	i, _ := h.state().Instances.Get("w00")
	stale := record.Record{Move: &record.Move{Worker: "w00", Version: i.Version, To: "p"}}
	assert.NilError(t, h.put("b", stale).Verdicts[0])
	assert.Assert(t, errkind.IsErrConflict(h.put("a", stale).Verdicts[0]))
	// Records of a process that was replaced are ignored.
	h.putBatch(record.Batch{Writer: "a", Incarnation: 2, Sequence: 1, Records: []record.Record{{Join: &record.Join{}}}})
	assert.Assert(t, !h.put("a", lease).Applied)
}

func TestOnlyItsWriterRequestsAReboot(t *testing.T) {
	h := seeded(2)
	h.put("a", record.Record{Lease: &record.Lease{Role: record.RolePools, TTL: time.Hour}})
	i, _ := h.state().Instances.Get("w00")
	assert.NilError(t, h.put("a", record.Record{Drain: &record.Drain{Worker: "w00", Version: i.Version, Purpose: record.ForMaintenance}}).Verdicts[0])
	reboot := func(by string) error {
		i, _ := h.state().Instances.Get("w00")
		return h.put(by, record.Record{Reboot: &record.Reboot{Worker: "w00", Version: i.Version}}).Verdicts[0]
	}
	assert.NilError(t, reboot("a"))
	assert.Assert(t, errkind.IsErrConflict(reboot("b")), "a second process may reboot the worker when it is back in service")
	h.put("b", record.Record{ListUpdate: &record.ListUpdate{Revision: 2, Entries: []string{"a"}}})
	assert.NilError(t, h.put("b", record.Record{Gone: &record.Gone{Entry: "a", Incarnation: 1}}).Verdicts[0])
	assert.NilError(t, reboot("b"))
}

func TestRunThatMayNotRepeat(t *testing.T) {
	h := seeded(2)
	i, _ := h.state().Instances.Get("w00")
	h.put("a", record.Record{Move: &record.Move{Worker: "w00", Version: i.Version, To: "p"}})
	submit := record.Record{Submit: &record.Submit{ID: "deposit@2026-03-02", Job: manifest.Job{Name: "deposit", Team: "t", Pool: "p", Cores: 1, MemoryGB: 1}}}
	assert.NilError(t, h.put("a", submit).Verdicts[0])
	assert.Assert(t, errkind.Is(h.put("b", submit).Verdicts[0], errkind.AlreadyRun))
	place := record.Record{Place: &record.Place{ID: "deposit@2026-03-02", Attempt: 1, Worker: "w00", Cores: 1, MemoryGB: 1}}
	assert.NilError(t, h.put("a", place).Verdicts[0])
	assert.Assert(t, errkind.IsErrConflict(h.put("b", place).Verdicts[0]))
	// The only process that may start the run is lost: it is unknown whether it did.
	h.put("b", record.Record{ListUpdate: &record.ListUpdate{Revision: 2, Entries: []string{"a"}}})
	f := h.put("b", record.Record{Gone: &record.Gone{Entry: "a", Incarnation: 1}})
	r, _ := f.State.Runs.Get("deposit@2026-03-02")
	assert.Equal(t, r.State, record.Unknown)
	place.Place.Attempt = 2
	assert.Assert(t, errkind.IsErrConflict(h.put("b", place).Verdicts[0]))
	assert.Assert(t, errkind.Is(h.put("b", submit).Verdicts[0], errkind.AlreadyRun))
}

func TestKeysAreKeptUntilTheirExpiry(t *testing.T) {
	h := seeded(1)
	key := fmt.Sprintf("%d.abcdefgh", h.now.Add(time.Minute).Unix())
	claim := record.Record{Claim: &record.Claim{Key: key, Sum: []byte("s")}}
	assert.NilError(t, h.put("a", claim).Verdicts[0])
	assert.Assert(t, errkind.Is(h.put("b", claim).Verdicts[0], errkind.KeyInProgress))
	h.now = h.now.Add(2 * time.Minute)
	f := h.put("b", claim)
	assert.Assert(t, errkind.Is(f.Verdicts[0], errkind.KeyExpired))
	assert.Equal(t, f.State.Claims.Len(), 0)
}

func TestUnplannedLossStopsDrains(t *testing.T) {
	h := seeded(4)
	for n, w := range []string{"w00", "w04", "w08", "w12"} {
		i, _ := h.state().Instances.Get(w)
		assert.NilError(t, h.put("a", record.Record{Move: &record.Move{Worker: w, Version: i.Version, To: "p"}}).Verdicts[0], n)
	}
	drain := func(w string) error {
		i, _ := h.state().Instances.Get(w)
		return h.put("a", record.Record{Drain: &record.Drain{Worker: w, Version: i.Version, Purpose: record.ForMaintenance}}).Verdicts[0]
	}
	lost, _ := h.state().Instances.Get("w04")
	h.put("a", record.Record{ListUpdate: &record.ListUpdate{Revision: 2, Workers: []fleet.Worker{lost.Worker.WithCondition(fleet.Gone)}}})
	assert.ErrorContains(t, drain("w00"), "pool p would keep 2 in service")
	h.put("a", record.Record{ListUpdate: &record.ListUpdate{Revision: 3, Workers: []fleet.Worker{lost.Worker}}})
	assert.NilError(t, drain("w00"))
	assert.ErrorContains(t, drain("w08"), "must keep 2 through its loss")
}

// claimModel is a register for each key: the first claim takes it, and a result with NotRun frees
// it.
func claimModel() porcupine.Model {
	type holder struct{ by string }
	return porcupine.Model{
		Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[string][]porcupine.Operation)
			for _, o := range ops {
				in, _ := o.Input.(claimInput)
				byKey[in.key] = append(byKey[in.key], o)
			}
			var parts [][]porcupine.Operation
			for _, p := range byKey {
				parts = append(parts, p)
			}
			return parts
		},
		Init: func() any { return holder{} },
		Step: func(state, input, output any) (bool, any) {
			s, _ := state.(holder)
			in, _ := input.(claimInput)
			won, _ := output.(bool)
			if in.free {
				if won {
					return s.by == in.by, holder{}
				}
				return true, s
			}
			if won {
				return s.by == "", holder{in.by}
			}
			return s.by != "", s
		},
	}
}

type claimInput struct {
	key  string
	by   string
	free bool
}

// TestClaimsAreLinearizable has processes claim and free keys concurrently; their appends arrive in
// any order and some of them twice.
func TestClaimsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := seeded(1)
		var ops []porcupine.Operation
		clock := int64(0)
		type pendingOp struct {
			op    porcupine.Operation
			batch record.Batch
		}
		pending := make(map[string]*pendingOp)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			clock++
			w := rapid.SampledFrom(writers).Draw(t, "writer")
			p := pending[w]
			if p == nil {
				in := claimInput{key: fmt.Sprintf("%d.key-%06d", begin.Add(time.Hour).Unix(), rapid.IntRange(0, 1).Draw(t, "key")), by: w}
				c, claimed := h.state().Claim(in.key)
				in.free = claimed && c.Entry == w
				r := record.Record{Claim: &record.Claim{Key: in.key}}
				if in.free {
					r = record.Record{Result: &record.Result{Key: in.key, Claim: c.Offset, NotRun: true}}
				}
				h.seq[w]++
				pending[w] = &pendingOp{
					op:    porcupine.Operation{ClientId: int(w[0]), Input: in, Call: clock},
					batch: record.Batch{Writer: w, Incarnation: 1, Sequence: h.seq[w], Records: []record.Record{r}},
				}
				continue
			}
			f := h.putBatch(p.batch)
			if rapid.Bool().Draw(t, "response lost") {
				h.putBatch(p.batch)
			}
			p.op.Output = f.Verdicts[0] == nil
			p.op.Return = clock
			ops = append(ops, p.op)
			delete(pending, w)
		}
		if !porcupine.CheckOperations(claimModel(), ops) {
			t.Fatalf("claims are not linearizable: %v", ops)
		}
	})
}

func TestStaleDrainOfASuspendedProcess(t *testing.T) {
	h := seeded(2)
	i, _ := h.state().Instances.Get("w00")
	stale := record.Record{Drain: &record.Drain{Worker: "w00", Version: i.Version, Purpose: record.ForMaintenance}}
	// The worker has changed since the decision was made.
	rebooted := i.Worker
	rebooted.BootCount++
	h.put("b", record.Record{ListUpdate: &record.ListUpdate{Revision: 2, Workers: []fleet.Worker{rebooted}}})
	assert.ErrorContains(t, h.put("a", stale).Verdicts[0], "the proposal was made on")
}

func TestRecordsOfAProcessThatLeftAreIgnored(t *testing.T) {
	h := seeded(1)
	assert.NilError(t, h.put("a", record.Record{Leave: &record.Leave{}}).Verdicts[0])
	assert.Assert(t, !h.put("a", record.Record{Lease: &record.Lease{Role: record.RoleJobs}}).Applied)
}

func TestSubmissionWithAKeyCountsOnce(t *testing.T) {
	h := seeded(1)
	key := fmt.Sprintf("%d.abcdefgh", h.now.Add(time.Hour).Unix())
	submit := record.Record{Submit: &record.Submit{ID: key, Job: manifest.Job{Name: "deposit", Team: "t", Pool: "p"}}}
	assert.NilError(t, h.put("a", submit).Verdicts[0])
	assert.NilError(t, h.put("b", record.Record{Cancel: &record.Cancel{IDs: []string{key}}}).Verdicts[0])
	f := h.put("b", submit)
	assert.Assert(t, errkind.Is(f.Verdicts[0], errkind.AlreadyRun))
	r, _ := f.State.Runs.Get(key)
	assert.Equal(t, r.State, record.Cancelled)
}
