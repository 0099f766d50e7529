// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestQueuesOfPoolsWithoutOwnersAreNotAssigned guards against a queue that accepts no job any more: it is assigned to a
// pool that never has an owner, and the pool that it moves to waits for that one.
func TestQueuesOfPoolsWithoutOwnersAreNotAssigned(t *testing.T) {
	queue := func(name, pool string) Queue {
		return Queue{Name: name, Host: "h", PathPrefix: "/" + name + "/", Pool: pool}
	}
	c := New(1, []Queue{queue("a", "runs"), queue("b", "off"), queue("c", "unknown")}, []Pool{{Name: "runs"}, {Name: "off", Headroom: true}}, Limits{})
	assert.DeepEqual(t, c.PoolsOfQueues(), map[string]string{"h/a/": "runs"})
}
