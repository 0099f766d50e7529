// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ratelimit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestNoSecondHasMoreThanTheRate guards against calls that the service refuses, and against calls that
// wait although it would accept them: after a pause as well as under constant demand no second has more
// permits than the rate, and after a pause all of them are given at once, as the first orders of a surge
// need them.
func TestNoSecondHasMoreThanTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := Limiter{PerSecond: 64}
		var taken []time.Time
		for range 500 {
			for range l.Take(20) {
				taken = append(taken, time.Now())
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, l.Take(0), 0)
		for n := range 500 {
			got := l.Take(1000)
			assert.Assert(t, n > 0 || got == 64, "%d permits at once after a pause", got)
			for range got {
				taken = append(taken, time.Now())
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, len(taken) > 500, "%d", len(taken))
		for i := range taken {
			if i >= 64 {
				assert.Assert(t, taken[i].Sub(taken[i-64]) >= time.Second, "65 permits within %s", taken[i].Sub(taken[i-64]))
			}
		}
	})
}

// TestWait checks that waiting calls are spaced, and that the end of the context ends the wait.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, began := Limiter{PerSecond: 10}, time.Now()
		for range 30 {
			assert.NilError(t, l.Wait(t.Context()))
		}
		took := time.Since(began)
		assert.Assert(t, took >= 2*time.Second && took < 2200*time.Millisecond, "%s", took)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		assert.Assert(t, l.Wait(ctx) != nil)
		var unlimited Limiter
		assert.Equal(t, unlimited.Take(1000), 1000)
		assert.NilError(t, unlimited.Wait(ctx))
	})
}
