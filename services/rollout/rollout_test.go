// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// rig is a service of entry "a" with a state in memory.
type rig struct {
	Service
	s         state.State
	requested chan string // entries that have received a request, in order
	behind    string      // the entry that does not reach the position
}

func newRig(entries ...string) *rig {
	r := &rig{requested: make(chan string, 16)}
	for _, name := range entries {
		r.join(name)
	}
	r.Service = Service{
		Name:  "a",
		State: func() state.State { return r.s },
		Propose: func(_ context.Context, c record.Record, sent func(state.Position)) error {
			sent(state.Position{Writer: "a", Incarnation: 1, Sequence: 2})
			return r.fold("a", 2, c)
		},
		Reached: func(_ context.Context, entry string, m state.Position) (bool, error) {
			r.requested <- entry
			if m.Writer != "a" || m.Sequence != 2 {
				return false, errkind.New(errkind.BadRequest, "request with position %+v", m)
			}
			return entry != r.behind, nil
		},
	}
	return r
}

func (r *rig) join(name string) {
	if err := r.fold(name, 1, record.Record{Join: &record.Join{Address: name}}); err != nil {
		panic(err)
	}
}

// fold folds one record and returns its verdict.
func (r *rig) fold(writer string, sequence uint64, c record.Record) error {
	data, err := record.Batch{Writer: writer, Incarnation: 1, Sequence: sequence, Records: []record.Record{c}}.Encode()
	if err != nil {
		panic(err)
	}
	f := r.s.Fold(record.Stored{Offset: r.s.Offset, At: time.Unix(0, 0), Data: data})
	r.s = f.State
	return f.Verdicts[0]
}

func aTeam(base uint64) Request {
	return Request{Base: &base, File: manifest.File{Deployment: "d", Teams: []manifest.Team{{Name: "t"}}}}
}

// TestRequestsAreSentBeforeTheVerdict guards against slow applies: the responses of the other
// entries must not wait for this entry's own read of the log.
func TestRequestsAreSentBeforeTheVerdict(t *testing.T) {
	r := newRig("a", "b", "c")
	propose := r.Propose
	r.Propose = func(ctx context.Context, c record.Record, sent func(state.Position)) error {
		sent(state.Position{Writer: "a", Incarnation: 1, Sequence: 2})
		for range 2 {
			select {
			case <-r.requested:
			case <-ctx.Done():
				return errkind.New(errkind.Internal, "no request was sent meanwhile")
			}
		}
		return propose(ctx, c, func(state.Position) {})
	}
	result, err := r.Apply(context.Background(), aTeam(0))
	assert.NilError(t, err)
	assert.Assert(t, result.InForce)
	assert.Equal(t, result.Version, r.s.Catalog.Version)
}

func TestLaggingEntryIsNamed(t *testing.T) {
	r := newRig("a", "b", "c")
	r.behind = "c"
	result, err := r.Apply(context.Background(), aTeam(0))
	assert.NilError(t, err)
	assert.Assert(t, !result.InForce)
	assert.DeepEqual(t, result.Lagging, []string{"c"})
}

// TestFailedCallIsNoLag guards against an apply that names an entry as lagging because its connection was
// closed: on a busy machine a probe gets no response in time, and all calls on its connection fail.
func TestFailedCallIsNoLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig("a", "b", "c")
		reached, failures := r.Reached, 2
		r.Reached = func(ctx context.Context, entry string, m state.Position) (bool, error) {
			if entry == "b" && failures > 0 {
				failures--
				return false, errkind.New(errkind.Internal, "the connection is closed")
			}
			return reached(ctx, entry, m)
		}
		result, err := r.Apply(t.Context(), aTeam(0))
		assert.NilError(t, err)
		assert.Assert(t, result.InForce, "lagging: %v", result.Lagging)
	})
}

// TestUnreachableEntryIsNamed guards against an apply that never ends, or takes longer than it may, while
// all calls to an entry fail, and against one that waits for an entry that is not running.
func TestUnreachableEntryIsNamed(t *testing.T) {
	for kind, want := range map[errkind.Kind]time.Duration{errkind.Internal: waitLimit, errkind.NotFound: 0} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig("a", "b", "c")
			reached, began := r.Reached, time.Now()
			r.Reached = func(ctx context.Context, entry string, m state.Position) (bool, error) {
				if entry == "c" {
					return false, errkind.New(kind, "no connection")
				}
				return reached(ctx, entry, m)
			}
			result, err := r.Apply(t.Context(), aTeam(0))
			assert.NilError(t, err)
			assert.DeepEqual(t, result.Lagging, []string{"c"})
			assert.Equal(t, time.Since(began), want)
		})
	}
}

func TestEntryThatJoinsMeanwhileGetsARequest(t *testing.T) {
	r := newRig("a", "b")
	propose := r.Propose
	r.Propose = func(ctx context.Context, c record.Record, sent func(state.Position)) error {
		err := propose(ctx, c, sent)
		r.join("late")
		return err
	}
	r.behind = "late"
	result, err := r.Apply(context.Background(), aTeam(0))
	assert.NilError(t, err)
	assert.DeepEqual(t, result.Lagging, []string{"late"})
}

func TestRejectedChangeIsNotInForce(t *testing.T) {
	r := newRig("a", "b")
	propose := r.Propose
	r.Propose = func(ctx context.Context, c record.Record, sent func(state.Position)) error {
		// Another operator's file for the same object precedes it in the log.
		other := aTeam(0).File.Objects()
		other[0].Team.QuotaCores = 1
		assert.NilError(t, r.fold("b", 2, record.Record{Apply: &record.Apply{Deployment: "e", Put: other}}))
		return propose(ctx, c, sent)
	}
	result, err := r.Apply(context.Background(), aTeam(0))
	assert.Assert(t, errkind.Is(err, errkind.Conflict), "%v", err)
	assert.Assert(t, !result.InForce)
}
