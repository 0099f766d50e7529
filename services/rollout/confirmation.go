// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rollout

import (
	"context"
	"slices"
	"sync"

	"github.com/yardbridge/yardbridge/models/state"
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

func (a entryRequest) run(ctx context.Context) {
	defer a.c.group.Done()
	bounded, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	reached, err := a.c.v.Reached(bounded, a.entry, a.position)
	if err == nil && reached {
		return
	}
	a.c.mu.Lock()
	defer a.c.mu.Unlock()
	a.c.lagging = append(a.c.lagging, a.entry)
}
