// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package worker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWarmUpByRepeatedEntries guards against a warm-up that each reading of an entry prolongs, and
// against a worker that turns cold again, or restarts under its ID, and counts as warm.
func TestWarmUpByRepeatedEntries(t *testing.T) {
	const s = time.Second
	start := time.Unix(1000, 0)
	type reading struct {
		at, warmUp time.Duration
		revision   uint64
		startedAt  int64
		warmAt     time.Duration // 0 if it has not been cold
	}
	for name, readings := range map[string][]reading{
		"the same entry again":         {{0, 8 * s, 5, 1, 8 * s}, {3 * s, 8 * s, 5, 1, 8 * s}, {9 * s, 8 * s, 5, 1, 8 * s}},
		"another field changed":        {{0, 8 * s, 5, 1, 8 * s}, {3 * s, 8 * s, 6, 1, 8 * s}},
		"counted down":                 {{0, 8 * s, 5, 1, 8 * s}, {3 * s, 4 * s, 6, 1, 7 * s}, {5 * s, 3 * s, 7, 1, 7 * s}},
		"warm":                         {{0, 8 * s, 5, 1, 8 * s}, {3 * s, 0, 6, 1, 3 * s}, {5 * s, 0, 7, 1, 3 * s}, {6 * s, 8 * s, 5, 1, 3 * s}},
		"turned cold":                  {{0, 0, 5, 1, 0}, {3 * s, 8 * s, 6, 1, 11 * s}},
		"turned cold again":            {{0, 8 * s, 5, 1, 8 * s}, {6 * s, 2 * s, 6, 1, 8 * s}, {7 * s, 8 * s, 7, 1, 15 * s}},
		"an older entry":               {{0, 2 * s, 6, 1, 2 * s}, {s, 8 * s, 5, 1, 2 * s}},
		"an older entry while warm":    {{0, 0, 6, 1, 0}, {s, 8 * s, 5, 1, 0}},
		"a restart under the same ID":  {{0, 8 * s, 5, 1, 8 * s}, {20 * s, 8 * s, 6, 2, 28 * s}},
		"a restart that is warm":       {{0, 8 * s, 5, 1, 8 * s}, {2 * s, 0, 6, 2, 0}},
		"the start time is not stated": {{0, 8 * s, 5, 0, 8 * s}, {3 * s, 8 * s, 6, 0, 8 * s}},
	} {
		t.Run(name, func(t *testing.T) {
			var before *Worker
			for _, r := range readings {
				w := Worker{WarmUp: r.warmUp, Revision: r.revision, StartedAt: r.startedAt}.WithWarmUp(before, start.Add(r.at))
				want := time.Time{}
				if r.warmAt > 0 {
					want = start.Add(r.warmAt)
				}
				assert.Equal(t, w.WarmAt, want, "read at %s", r.at)
				before = &w
			}
		})
	}
}

// TestWarmthGrowsUntilTheWorkerIsWarm guards against a warm-up that is over at once or never.
func TestWarmthGrowsUntilTheWorkerIsWarm(t *testing.T) {
	now := time.Unix(1000, 0)
	w := Worker{WarmUp: 8 * time.Second}.WithWarmUp(nil, now)
	for at, want := range map[time.Duration]float64{0: 0, 2 * time.Second: 0.25, 8 * time.Second: 1, time.Minute: 1} {
		assert.Equal(t, w.Warmth(now.Add(at)), want)
		assert.Equal(t, w.Cold(now.Add(at)), at < 8*time.Second)
	}
	assert.Equal(t, (&Worker{}).Warmth(now), 1.0)
}
