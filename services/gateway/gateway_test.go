// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestRefusalAfterUnknownOutcomeStaysUnknown checks a submission whose first attempt gets no
// response, so that its job may have been accepted, and whose second attempt is refused. The caller
// must not get the refusal, which would mean that the job never runs.
func TestRefusalAfterUnknownOutcomeStaysUnknown(t *testing.T) {
	for _, refusal := range []errkind.Kind{errkind.LogUnavailable, errkind.Overloaded, errkind.Stopping} {
		tries := 0
		g := &Gateway{Directory: &directory.Directory{}}
		g.Local = func(string) *PoolHandler {
			return &PoolHandler{Submit: func(context.Context, job.Submission) error {
				tries++
				if tries == 1 {
					return errkind.New(errkind.OutcomeUnknown, "the connection was lost")
				}
				return errkind.New(refusal, "not accepted")
			}}
		}
		err := g.Submit(t.Context(), &config.Queue{Pool: "p"}, job.Submission{ID: "1"})
		assert.Equal(t, tries, 2)
		assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%s: %v", refusal, err)
	}
}

// TestQueryWithoutResponseMayBeRepeated guards against queries that are answered with an unknown outcome,
// after which a caller may not ask again: a query has no effect. A submission and a cancel may have one.
func TestQueryWithoutResponseMayBeRepeated(t *testing.T) {
	lost := errkind.New(errkind.OutcomeUnknown, "the connection was lost")
	g := &Gateway{Directory: &directory.Directory{}}
	g.Local = func(string) *PoolHandler {
		return &PoolHandler{
			Submit:  func(context.Context, job.Submission) error { return lost },
			State:   func(context.Context, job.ID, string) (job.State, error) { return "", lost },
			Cancel:  func(context.Context, job.ID, string) error { return lost },
			Pending: func(context.Context, string) (int, error) { return 0, lost },
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*retryPause)
	defer cancel()
	q := &config.Queue{Pool: "p"}
	_, stateErr := g.State(ctx, q, "1", "")
	_, pendingErr := g.Pending(ctx, q)
	for _, err := range []error{stateErr, pendingErr} {
		assert.Assert(t, errkind.Is(err, errkind.NoTarget), "%v", err)
	}
	for _, err := range []error{g.Submit(ctx, q, job.Submission{ID: "1"}), g.Cancel(ctx, q, "1", "")} {
		assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	}
}

// movingQueue returns a queue and a configuration in which it uses a pool, "" for one without the queue. Only the
// pools a and b are configured.
func movingQueue(version uint64, pool string) (*config.Queue, *config.Config) {
	q := config.Queue{Name: "q", Host: "h", PathPrefix: "/q/", Pool: pool}
	var queues []config.Queue
	if pool != "" {
		queues = append(queues, q)
	}
	return &q, config.New(version, queues, []config.Pool{{Name: "a"}, {Name: "b"}}, config.Limits{})
}

// TestSubmissionFollowsAMovedQueue guards against TWICE and against a false refusal: a node with an older
// configuration passes a job to the pool that the queue has left. It must reach the pool that the queue uses now,
// and as long as it reaches none that accepts jobs of the queue, its outcome is unknown.
func TestSubmissionFollowsAMovedQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accepted := map[string]bool{}
		g := &Gateway{Directory: &directory.Directory{}}
		g.Local = func(pool string) *PoolHandler {
			return &PoolHandler{Submit: func(context.Context, job.Submission) error {
				if pool == "a" {
					return errkind.New(errkind.QueueMoving, "the queue has left the pool")
				}
				accepted[pool] = true
				return nil
			}}
		}
		older, c := movingQueue(1, "a")
		g.ApplyConfig(c)
		err := g.Submit(t.Context(), older, job.Submission{ID: "1"})
		assert.Assert(t, errkind.Is(err, errkind.QueueMoving), "%v", err)
		assert.Equal(t, errkind.Of(err).Kind.Response().Outcome, errkind.Unknown)
		_, newer := movingQueue(2, "b")
		time.AfterFunc(ownerWait/2, func() { g.ApplyConfig(newer) })
		assert.NilError(t, g.Submit(t.Context(), older, job.Submission{ID: "1"}))
		assert.DeepEqual(t, accepted, map[string]bool{"b": true})
	})
}

// TestEarlierPoolsAreAsked guards against MIXED and LOST after a queue has moved: its jobs in the pools that it
// has left are not counted as waiting, and a pool without an owner is taken for one that does not know a job. The
// configuration no longer has the pool c.
func TestEarlierPoolsAreAsked(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*ownerWait)
	defer cancel()
	pools := []string{"a", "b", "c"}
	value, err := codec.Marshal(pools)
	assert.NilError(t, err)
	g := &Gateway{Directory: openDirectory(t, port.Record{Key: "q/h/q/", Value: value, Offset: 9})}
	known, owned := map[string]int{"a": 1, "b": 2, "c": 4}, map[string]bool{"a": true, "b": true, "c": true}
	g.Local = func(pool string) *PoolHandler {
		if !owned[pool] {
			return nil
		}
		return &PoolHandler{
			State: func(context.Context, job.ID, string) (job.State, error) {
				if pool == "c" {
					return job.Running, nil
				}
				return "", errkind.New(errkind.Gone, "no such job")
			},
			Cancel: func(context.Context, job.ID, string) error {
				if pool == "c" {
					return nil
				}
				return errkind.New(errkind.Gone, "no such job")
			},
			Pending: func(context.Context, string) (int, error) { return known[pool], nil },
		}
	}
	q, c := movingQueue(3, "b")
	g.ApplyConfig(c)
	n, err := g.Pending(ctx, q)
	assert.NilError(t, err)
	assert.Equal(t, n, 7)
	state, err := g.State(ctx, q, "1", "")
	assert.NilError(t, err)
	assert.Equal(t, state, job.Running)
	assert.NilError(t, g.Cancel(ctx, q, "1", ""))
	owned["c"] = false
	_, err = g.Pending(ctx, q)
	assert.Assert(t, errkind.Is(err, errkind.NoTarget), "%v", err)
	_, err = g.State(ctx, q, "1", "")
	assert.Assert(t, errkind.Is(err, errkind.NoTarget), "%v", err)
	assert.Assert(t, !errkind.Is(g.Cancel(ctx, q, "1", ""), errkind.Gone), "a cancel is reported as of no job")
}

// TestRemoteCallEndsWithItsContext checks that a caller gets a response when its call is cancelled,
// even if the call is being written to a node that reads nothing and does not notice the
// cancellation. A node that stops cancels its calls and has 0.3 s for their responses.
func TestRemoteCallEndsWithItsContext(t *testing.T) {
	d := ownedElsewhere(t, "p")
	called, never := make(chan struct{}), make(chan struct{})
	defer close(never)
	g := &Gateway{Directory: d, Local: func(string) *PoolHandler { return nil }}
	g.Remote = func(directory.Node, string) *PoolHandler {
		return &PoolHandler{Submit: func(context.Context, job.Submission) error {
			close(called)
			<-never
			return nil
		}}
	}
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- g.Submit(ctx, &config.Queue{Pool: "p"}, job.Submission{ID: "1"}) }()
	<-called
	cancel()
	select {
	case err := <-result:
		assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	case <-time.After(10 * time.Second):
		t.Fatal("the call continues after it was cancelled")
	}
}

// ownedElsewhere returns a directory in which another node owns a pool.
func ownedElsewhere(t *testing.T, pool string) *directory.Directory {
	t.Helper()
	encode := func(v any) []byte {
		data, err := codec.Marshal(v)
		assert.NilError(t, err)
		return data
	}
	return openDirectory(t,
		port.Record{Key: "n/other", Value: encode(directory.Node{Name: "other", Incarnation: 1})},
		port.Record{Key: "n/self", Value: encode(directory.Node{Name: "self", Incarnation: 1}), Offset: 1},
		port.Record{Key: "o/" + pool, Value: encode(directory.Ownership{Pool: pool, Epoch: 1, Node: "other", Incarnation: 1}), Offset: 2},
	)
}

// openDirectory returns a directory that has read records.
func openDirectory(t *testing.T, records ...port.Record) *directory.Directory {
	t.Helper()
	d := &directory.Directory{Self: directory.Node{Name: "self", Incarnation: 1}, Store: port.Store{
		Newest: func(context.Context, port.Partition, string) (port.Page, error) {
			return port.Page{Records: records, End: uint64(len(records))}, nil
		},
		Read: func(ctx context.Context, _ port.Partition, _ uint64, _ time.Duration) (port.Tail, error) {
			<-ctx.Done()
			return port.Tail{}, ctx.Err()
		},
		Put: func(context.Context, port.Partition, []port.Record) error { return nil },
	}}
	go d.Run(t.Context())
	for {
		v, changed := d.View()
		if v != nil {
			return d
		}
		<-changed
	}
}
