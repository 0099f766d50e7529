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

// TestARefusalAfterAnUnknownOutcomeIsNoRefusal: the first try of a submission got no
// answer, so its job may be taken yet. The second is refused, which says that it was
// not taken by that try; the caller must not be told that the job never runs.
func TestARefusalAfterAnUnknownOutcomeIsNoRefusal(t *testing.T) {
	for _, refusal := range []errkind.Kind{errkind.LogUnavailable, errkind.Overloaded, errkind.Stopping} {
		tries := 0
		g := &Gateway{Directory: &directory.Directory{}}
		g.Local = func(string) *PoolHandler {
			return &PoolHandler{Submit: func(context.Context, job.Submission) error {
				tries++
				if tries == 1 {
					return errkind.New(errkind.OutcomeUnknown, "the connection broke off")
				}
				return errkind.New(refusal, "not taken")
			}}
		}
		err := g.Submit(t.Context(), &config.Queue{Pool: "p"}, job.Submission{ID: "1"})
		assert.Equal(t, tries, 2)
		assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%s: %v", refusal, err)
	}
}

// TestAJobThatComesAgainIsOneThoughItsQueueHasMoved: a job was taken by the pool that
// its queue led to. The same job comes again after the queue has come to lead to another
// pool: it must not begin there as well.
func TestAJobThatComesAgainIsOneThoughItsQueueHasMoved(t *testing.T) {
	taken := map[string]bool{}
	g := &Gateway{Directory: &directory.Directory{}}
	g.Local = func(pool string) *PoolHandler {
		return &PoolHandler{
			Submit: func(context.Context, job.Submission) error {
				taken[pool] = true
				return nil
			},
			State: func(context.Context, job.ID, string) (job.State, error) {
				if taken[pool] {
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
	assert.Assert(t, !taken["b"], "one job is taken by two pools")
}

// TestACallToAnotherNodeEndsWithItsContext: a node that stops tells its calls to give up
// and has 0.3 s for their answers; one that is being written to a node that takes nothing
// does not see that, and its caller gets an answer all the same.
func TestACallToAnotherNodeEndsWithItsContext(t *testing.T) {
	d := ownedElsewhere(t, "p")
	asked, never := make(chan struct{}), make(chan struct{})
	defer close(never)
	g := &Gateway{Directory: d, Local: func(string) *PoolHandler { return nil }}
	g.Remote = func(directory.Node, string) *PoolHandler {
		return &PoolHandler{Submit: func(context.Context, job.Submission) error {
			close(asked)
			<-never
			return nil
		}}
	}
	ctx, giveUp := context.WithCancel(t.Context())
	answered := make(chan error, 1)
	go func() { answered <- g.Submit(ctx, &config.Queue{Pool: "p"}, job.Submission{ID: "1"}) }()
	<-asked
	giveUp()
	select {
	case err := <-answered:
		assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	case <-time.After(10 * time.Second):
		t.Fatal("the call goes on though it was given up")
	}
}

// ownedElsewhere returns a directory that says that another node owns a pool.
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
