// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
)

// window is the time in which a service accepts its number of calls, and a reserve: calls that are sent
// a second apart may arrive closer together.
const window = time.Second + 50*time.Millisecond

// Limiter gives permits for calls to a service: in each window as many as the service accepts in a second,
// at once if that many are wanted. The zero value gives as many as are wanted.
type Limiter struct {
	PerSecond float64 // calls a second that the service accepts, 0 for no limit
	Clock     clock.Clock

	mu    sync.Mutex
	given []time.Time // when permits were given within the last window, oldest first
}

// Take takes up to a number of permits and returns how many it got.
func (l *Limiter) Take(wanted int) int {
	if l.PerSecond <= 0 {
		return wanted
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.forget(now)
	n := min(wanted, max(int(l.PerSecond), 1)-len(l.given))
	for range n {
		l.given = append(l.given, now)
	}
	return n
}

// forget drops the permits that were given before the window. The lock is held.
func (l *Limiter) forget(now time.Time) {
	past := 0
	for past < len(l.given) && now.Sub(l.given[past]) >= window {
		past++
	}
	l.given = append(l.given[:0], l.given[past:]...)
}

// Wait waits for a permit, or for the context to end.
func (l *Limiter) Wait(ctx context.Context) error {
	for l.Take(1) == 0 {
		select {
		case <-l.Clock.After(l.untilNext()):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// untilNext returns how long it takes until there is a permit.
func (l *Limiter) untilNext() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.given) == 0 {
		return 0
	}
	return max(window-l.Clock.Now().Sub(l.given[0]), time.Millisecond)
}
