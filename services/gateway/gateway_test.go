// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/directory"
)

// TestARefusalAfterAnUnknownOutcomeIsNoRefusal: the first try of a submission got no
// answer, so its job may be taken yet. The second is refused, which says that it was
// not taken by that try; the customer must not be told that the job never runs.
func TestARefusalAfterAnUnknownOutcomeIsNoRefusal(t *testing.T) {
	for _, refusal := range []errkind.Kind{errkind.LogUnavailable, errkind.Overloaded, errkind.Stopping} {
		tries := 0
		g := &Gateway{Directory: &directory.Directory{}}
		g.Local = func(string) *Desk {
			return &Desk{Submit: func(context.Context, job.Submission) error {
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
	g.Local = func(pool string) *Desk {
		return &Desk{
			Submit: func(context.Context, job.Submission) error {
				taken[pool] = true
				return nil
			},
			State: func(context.Context, job.ID) (job.State, error) {
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
		g.Configure(config.New(uint64(version+1), []config.Queue{queue}, pools, config.Limits{}))
		assert.NilError(t, g.Submit(t.Context(), &queue, job.Submission{ID: "1"}))
	}
	assert.Assert(t, !taken["b"], "one job is taken by two pools")
}
