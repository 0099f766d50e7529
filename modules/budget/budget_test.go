// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package budget_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/budget"
)

// TestUsersTogetherStayWithinTheLimit guards against users that each see room for themselves.
func TestUsersTogetherStayWithinTheLimit(t *testing.T) {
	b := budget.New(1000)
	var taken atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				if b.Take(3, 1) {
					taken.Add(3)
				}
			}
		})
	}
	group.Wait()
	assert.Equal(t, taken.Load(), int64(999))
	assert.Equal(t, b.Used(), int64(999))
	b.Add(100)
	assert.Assert(t, !b.Take(1, 1))
	b.Add(-100)
	assert.Assert(t, !b.Take(1, 0.9) && b.Take(1, 1))
}

// TestNoLimit guards against refusals where nothing is limited.
func TestNoLimit(t *testing.T) {
	var none *budget.Budget
	none.Add(1)
	assert.Assert(t, none.Take(1<<60, 1) && none.Used() == 0 && none.Limit() == 0)
	open := budget.New(0)
	assert.Assert(t, open.Take(1<<60, 1) && open.Take(1, 1))
}
