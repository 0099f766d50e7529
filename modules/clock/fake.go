// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"sync"
	"time"
)

// Fake is a clock that moves only when Advance is called.
type Fake struct {
	mu      sync.Mutex
	now     time.Time
	waiting []timer
}

type timer struct {
	at   time.Time
	fire chan time.Time
}

// NewFake returns a fake clock that starts at the given time.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Clock returns a Clock that reads the fake.
func (f *Fake) Clock() Clock { return Clock{NowFunc: f.Now, AfterFunc: f.After} }

// Now returns the fake's time.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After returns a channel that receives the time once the fake was advanced by d.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := timer{at: f.now.Add(d), fire: make(chan time.Time, 1)}
	if d <= 0 {
		t.fire <- f.now
		return t.fire
	}
	f.waiting = append(f.waiting, t)
	return t.fire
}

// Advance advances the fake by d and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	rest := f.waiting[:0]
	for _, t := range f.waiting {
		if t.at.After(f.now) {
			rest = append(rest, t)
			continue
		}
		t.fire <- f.now
	}
	f.waiting = rest
}
