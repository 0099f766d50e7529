// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
)

// TestMovesAreForgotten: queues that come and go leave nothing behind for good.
func TestMovesAreForgotten(t *testing.T) {
	var m moves
	now := time.Unix(1000, 0)
	queue := config.Queue{Host: "h", PathPrefix: "/q/", Pool: "a"}
	with := config.New(1, []config.Queue{queue}, nil, config.Limits{})
	without := config.New(2, nil, nil, config.Limits{})
	moved := queue
	moved.Pool = "b"
	m.note(with, without, now)
	assert.DeepEqual(t, m.earlier(&moved, now.Add(movedFor)), []string{"a"})
	assert.Equal(t, len(m.earlier(&queue, now)), 0, "the pool that it leads to now is no earlier one")
	assert.Equal(t, len(m.earlier(&moved, now.Add(movedFor+time.Second))), 0)
	m.note(without, without, now.Add(movedFor+time.Second))
	assert.Equal(t, len(m.left), 0)
}
