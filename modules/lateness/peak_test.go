// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lateness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPeakOutlastsTheTurnsThatFollow guards against a late process that counts as on time again as soon as the turns
// that were waiting are over, and against one that counts as late for ever.
func TestPeakOutlastsTheTurnsThatFollow(t *testing.T) {
	var p Peak
	now := time.Unix(1000, 0)
	assert.Equal(t, p.Value(now), time.Duration(0))
	p.Note(300*time.Millisecond, now)
	assert.Equal(t, p.Value(now), 300*time.Millisecond, "one late turn is enough")
	for end := now.Add(Window); now.Before(end); now = now.Add(time.Millisecond) {
		p.Note(0, now)
		assert.Equal(t, p.Value(now), 300*time.Millisecond)
	}
	for end := now.Add(Window); now.Before(end); now = now.Add(time.Millisecond) {
		p.Note(0, now)
	}
	assert.Equal(t, p.Value(now), time.Duration(0))
	p.Note(time.Second, now)
	assert.Equal(t, p.Value(now.Add(2*Window)), time.Duration(0), "a lateness without turns after it counts for ever")
}
