// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/clock"
)

// TestQuietWait guards against a stop that does not wait for a slow load balancer, or that callers
// can delay for ever. The fake clock advances by each time waited for.
func TestQuietWait(t *testing.T) {
	begin := time.Date(2026, 3, 2, 1, 0, 0, 0, time.UTC)
	const span = time.Second
	for name, c := range map[string]struct {
		until time.Duration // requests arrive every 10 ms for this time after the start
		want  time.Duration
	}{
		"no requests":             {0, span},
		"a slow load balancer":    {2500 * time.Millisecond, 3500 * time.Millisecond},
		"callers that never stop": {time.Hour, maxQuietSpans * span},
	} {
		t.Run(name, func(t *testing.T) {
			fake := clock.NewFake(begin)
			after := func(d time.Duration) <-chan time.Time {
				fired := fake.After(d)
				fake.Advance(d)
				return fired
			}
			newest := func() time.Time {
				now := fake.Now()
				if c.until == 0 {
					return time.Unix(0, 0)
				}
				if now.Sub(begin) < c.until {
					return now.Add(-10 * time.Millisecond)
				}
				return begin.Add(c.until)
			}
			quietWait{Clock: clock.Clock{NowFunc: fake.Now, AfterFunc: after}, LastRequest: newest, Quiet: span}.await()
			took := fake.Now().Sub(begin)
			assert.Assert(t, took >= c.want && took < c.want+span, "took %s", took)
		})
	}
}
