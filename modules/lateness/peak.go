// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lateness

import (
	"sync"
	"time"
)

// Window is for how long a measured lateness counts, at least; it counts for twice that at most.
const Window = 500 * time.Millisecond

// Peak is the largest lateness measured lately. An average would lag behind one that rises within a few turns, and
// would fall at once when the many turns that were waiting are over. The zero value has measured nothing.
type Peak struct {
	mu       sync.Mutex
	began    time.Time // when the current window began
	current  time.Duration
	previous time.Duration // of the window before
}

// Note adds the lateness of a turn that was taken at a time.
func (p *Peak) Note(late time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.current = max(p.current, late)
}

// Value returns the largest lateness lately, 0 if no turn was late or measured.
func (p *Peak) Value(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	return max(p.current, p.previous)
}

// advance begins the window of a time.
func (p *Peak) advance(now time.Time) {
	switch age := now.Sub(p.began); {
	case age < Window:
		return
	case age < 2*Window:
		p.previous = p.current
	default:
		p.previous = 0
	}
	p.current, p.began = 0, now
}
