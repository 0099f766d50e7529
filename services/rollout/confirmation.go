// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// confirmation waits until every entry has folded the log up to a position. It may begin before the
// append, so that each entry responds as soon as it has read the log that far.
type confirmation struct {
	v     *Service
	group sync.WaitGroup

	mu        sync.Mutex
	position  state.Position
	requested map[string]bool
	lagging   []string
}

// begin sends the requests for a position to all member entries without waiting for their
// responses.
func (c *confirmation) begin(ctx context.Context, m state.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.position = m
	c.request(ctx)
}

// request sends requests to the entries that have not got one yet; c.mu is held.
func (c *confirmation) request(ctx context.Context) {
	if c.requested == nil {
		c.requested = map[string]bool{c.v.Name: true}
	}
	for _, entry := range c.v.State().MemberNames() {
		if c.requested[entry] {
			continue
		}
		c.requested[entry] = true
		c.group.Add(1)
		go entryRequest{c, entry, c.position}.run(ctx)
	}
}

// await returns the entries that have not reached the position in time. It also sends requests to
// the entries that have joined since the beginning.
func (c *confirmation) await(ctx context.Context) (lagging []string) {
	c.mu.Lock()
	c.request(ctx)
	c.mu.Unlock()
	c.group.Wait()
	slices.Sort(c.lagging)
	return c.lagging
}

// entryRequest is the request to one entry.
type entryRequest struct {
	c        *confirmation
	entry    string
	position state.Position
}

// retryPause is the time between a call that failed and the next one, as long as an entry that is
// short of processors takes to answer a probe.
const retryPause = 200 * time.Millisecond

func (a entryRequest) run(ctx context.Context) {
	defer a.c.group.Done()
	bounded, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	if a.reached(bounded) {
		return
	}
	a.c.mu.Lock()
	defer a.c.mu.Unlock()
	a.c.lagging = append(a.c.lagging, a.entry)
}

// reached reports whether the entry reaches the position in time. A call that fails tells nothing of
// the entry: it fails together with other calls on its connection. It is made again, unless nothing
// listens at the entry's address.
func (a entryRequest) reached(ctx context.Context) bool {
	for {
		reached, err := a.c.v.Reached(ctx, a.entry, a.position)
		if err == nil || errkind.Is(err, errkind.NotFound) {
			return reached
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return false
		}
	}
}
