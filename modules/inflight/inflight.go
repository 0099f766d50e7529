// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package inflight

import "sync"

// Counter counts operations in progress; its zero value counts none.
type Counter struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n reaches 0; nil if nobody waits
}

// Begin adds one operation.
func (c *Counter) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

// End removes one operation.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Idle returns a channel that is closed once no operation is in progress.
func (c *Counter) Idle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	if c.n == 0 {
		close(c.idle)
		c.idle = nil
	}
	return idle
}

// Wait returns once no operation is in progress.
func (c *Counter) Wait() { <-c.Idle() }
