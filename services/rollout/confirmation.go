// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rollout

import (
	"context"
	"slices"
	"sync"

	"github.com/yardbridge/yardbridge/models/state"
)

// confirmation asks every entry to say when it has folded the log up to a mark.
// It may be begun before the append, so that each entry answers as soon as the
// log has told it.
type confirmation struct {
	v     *Service
	group sync.WaitGroup

	mu      sync.Mutex
	mark    state.Position
	asked   map[string]bool
	lagging []string
}

// begin asks the entries of the roster about a mark; it does not wait.
func (c *confirmation) begin(ctx context.Context, m state.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mark = m
	c.ask(ctx)
}

// ask asks the entries that have not been asked yet; c.mu is held.
func (c *confirmation) ask(ctx context.Context) {
	if c.asked == nil {
		c.asked = map[string]bool{c.v.Name: true}
	}
	for _, entry := range c.v.State().MemberNames() {
		if c.asked[entry] {
			continue
		}
		c.asked[entry] = true
		c.group.Add(1)
		go asking{c, entry, c.mark}.run(ctx)
	}
}

// await returns the entries that have not reached the mark in time; those that
// have joined since the beginning are asked as well.
func (c *confirmation) await(ctx context.Context) (lagging []string) {
	c.mu.Lock()
	c.ask(ctx)
	c.mu.Unlock()
	c.group.Wait()
	slices.Sort(c.lagging)
	return c.lagging
}

// asking is the question to one entry.
type asking struct {
	c     *confirmation
	entry string
	mark  state.Position
}

func (a asking) run(ctx context.Context) {
	defer a.c.group.Done()
	bounded, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	reached, err := a.c.v.Reached(bounded, a.entry, a.mark)
	if err == nil && reached {
		return
	}
	a.c.mu.Lock()
	defer a.c.mu.Unlock()
	a.c.lagging = append(a.c.lagging, a.entry)
}
