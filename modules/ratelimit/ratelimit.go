// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/clock"
)

// Shares of the rate that a service accepts. Together they are at most one, so that no second has more
// calls than the service accepts, whenever that second begins.
const (
	steadyShare = 0.8  // permits a second
	burstShare  = 0.15 // permits that may be unused
)

// Limiter gives permits for calls to a service. The zero value gives as many as are wanted.
type Limiter struct {
	PerSecond float64 // calls a second that the service accepts, 0 for no limit
	Clock     clock.Clock

	mu      sync.Mutex
	permits float64
	at      time.Time // when permits was computed
}

// Take takes up to a number of permits and returns how many it got.
func (l *Limiter) Take(wanted int) int {
	if l.PerSecond <= 0 {
		return wanted
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, most := l.Clock.Now(), max(l.PerSecond*burstShare, 1)
	if l.at.IsZero() {
		l.permits = most
	} else {
		l.permits = min(most, l.permits+now.Sub(l.at).Seconds()*l.PerSecond*steadyShare)
	}
	l.at = now
	n := min(wanted, int(l.permits))
	l.permits -= float64(n)
	return n
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
	return max(time.Duration((1-l.permits)/(l.PerSecond*steadyShare)*float64(time.Second)), time.Millisecond)
}
