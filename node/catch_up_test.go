// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLagMustLast guards against two errors: a node that waits long for news at the store requests them
// from another node although its own reading is about to return, and a node that the store refuses does
// not learn of a configuration or an evacuation.
func TestLagMustLast(t *testing.T) {
	now, at := time.Unix(1000, 0), func(version, operators, directory uint64) position { return position{version, operators, directory} }
	var l lag
	own := at(3, 10, 100)
	for _, ahead := range []position{at(4, 10, 100), at(4, 11, 100), at(4, 11, 101)} {
		assert.Assert(t, !l.lasts(own, ahead, now))
		now = now.Add(behindFor / 2)
		assert.Assert(t, !l.lasts(own, ahead, now))
		now = now.Add(behindFor / 2)
		assert.Assert(t, l.lasts(own, ahead, now), "%+v", ahead)
		assert.Assert(t, !l.lasts(own, own, now), "a node that is not ahead is asked")
		own = ahead
		now = now.Add(behindFor)
		assert.Assert(t, !l.lasts(own, ahead, now), "%+v", ahead)
	}
	// Another change just after one that has been read meanwhile is a lag of its own.
	assert.Assert(t, !l.lasts(own, at(9, 12, 110), now))
	now, own = now.Add(behindFor), at(9, 12, 110)
	assert.Assert(t, !l.lasts(own, at(9, 12, 111), now))
}
