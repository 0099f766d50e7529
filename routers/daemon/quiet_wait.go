// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon

import (
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
)

// maxQuietSpans is the number of quiet spans after which a stop no longer waits for callers that
// continue to send requests.
const maxQuietSpans = 10

// quietWait is the wait of a planned stop until the load balancer sends no more requests. A
// balancer may notice late that an entry is not ready, and a connection that it opens while the
// entry stops listening would be cut off.
type quietWait struct {
	Clock       clock.Clock
	LastRequest func() time.Time // arrival of the newest request
	Quiet       time.Duration    // time without a request that ends the wait
}

// await returns once no request has arrived for the quiet span, or after maxQuietSpans spans.
func (c quietWait) await() {
	startedAt := c.Clock.Now()
	for {
		now := c.Clock.Now()
		since := startedAt
		if last := c.LastRequest(); last.After(since) {
			since = last
		}
		remaining := c.Quiet - now.Sub(since)
		if remaining <= 0 || now.Sub(startedAt) >= maxQuietSpans*c.Quiet {
			return
		}
		<-c.Clock.After(remaining)
	}
}
