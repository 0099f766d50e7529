// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"testing"
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

// TestResubmittedJobOfMovedQueueRunsOnce checks that a job which is submitted again after its queue
// has moved to another pool does not start in the new pool if the previous one has accepted it.
func TestResubmittedJobOfMovedQueueRunsOnce(t *testing.T) {
	accepted := map[string]bool{}
	g := &Gateway{Directory: &directory.Directory{}}
	g.Local = func(pool string) *PoolHandler {
		return &PoolHandler{
			Submit: func(context.Context, job.Submission) error {
				accepted[pool] = true
				return nil
			},
			State: func(context.Context, job.ID, string) (job.State, error) {
				if accepted[pool] {
					return job.Running, nil
				}
				return "", errkind.New(errkind.Gone, "no such job")
			},
		}
	}
	pools := []config.Pool{{Name: "a"}, {Name: "b"}}
	for version, pool := range []string{"a", "b"} {
		queue := config.Queue{Name: "q", Host: "h", PathPrefix: "/q/", Pool: pool}
		g.ApplyConfig(config.New(uint64(version+1), []config.Queue{queue}, pools, config.Limits{}))
		assert.NilError(t, g.Submit(t.Context(), &queue, job.Submission{ID: "1"}))
	}
	assert.Assert(t, !accepted["b"], "one job is accepted by two pools")
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
	records := []port.Record{
		{Key: "n/other", Value: encode(directory.Node{Name: "other", Incarnation: 1})},
		{Key: "n/self", Value: encode(directory.Node{Name: "self", Incarnation: 1}), Offset: 1},
		{Key: "o/" + pool, Value: encode(directory.Ownership{Pool: pool, Epoch: 1, Node: "other", Incarnation: 1}), Offset: 2},
	}
	d := &directory.Directory{Self: directory.Node{Name: "self", Incarnation: 1}, Store: port.Store{
		Newest: func(context.Context, port.Partition, string) (port.Page, error) {
			return port.Page{Records: records, End: uint64(len(records))}, nil
		},
		Read: func(ctx context.Context, _ port.Partition, _ uint64, _ time.Duration) (port.Tail, error) {
			<-ctx.Done()
			return port.Tail{}, ctx.Err()
		},
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
