// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
)

// TestMovesExpire checks that queues which are added and removed leave no records behind
// permanently.
func TestMovesExpire(t *testing.T) {
	var m poolMoves
	now := time.Unix(1000, 0)
	queue := config.Queue{Host: "h", PathPrefix: "/q/", Pool: "a"}
	with := config.New(1, []config.Queue{queue}, nil, config.Limits{})
	without := config.New(2, nil, nil, config.Limits{})
	moved := queue
	moved.Pool = "b"
	m.record(with, without, now)
	assert.DeepEqual(t, m.earlierPools(&moved, now.Add(moveTTL)), []string{"a"})
	assert.Equal(t, len(m.earlierPools(&queue, now)), 0, "the pool that it uses now is not an earlier one")
	assert.Equal(t, len(m.earlierPools(&moved, now.Add(moveTTL+time.Second))), 0)
	m.record(without, without, now.Add(moveTTL+time.Second))
	assert.Equal(t, len(m.previous), 0)
}
