// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/services/directory"
)

// TestOwnedPoolsNeedNoRanks guards against nodes that are busy at rest: each checks for pools without an
// owner at every change of the directory, and with 500 nodes ranking them for no pool took a sixth of
// all processor time of a random day.
func TestOwnedPoolsNeedNoRanks(t *testing.T) {
	s, v := &Manager{}, &directory.View{Nodes: make(map[string]directory.Node)}
	for i := range 1000 {
		v.Nodes[fmt.Sprint(i)] = directory.Node{Cores: 1}
	}
	assert.Equal(t, testing.AllocsPerRun(20, func() { s.rankSuccessors(v, nil) }), 0.0)
	ranked := s.rankSuccessors(v, []string{"a", "b"})
	assert.Equal(t, len(ranked["a"]), 1000)
	assert.Assert(t, ranked["a"][0] != ranked["b"][0])
}

// TestNodesSettleBeforeTheFirstClaims guards against a start of a large fleet at which each pool is
// claimed again and again, by the node that comes first among those registered so far: 600 nodes take
// 2.4 s to register. A small fleet does not wait longer than it has to, and none waits for ever.
func TestNodesSettleBeforeTheFirstClaims(t *testing.T) {
	for _, c := range []struct {
		name           string
		nodes          int           // that register one after the other
		each           time.Duration // for each
		earliest, most time.Duration // when the first claims may be made, by a node that registers first
	}{
		{"small fleet", 6, 4 * time.Millisecond, settle, settle + 100*time.Millisecond},
		{"600 nodes", 600, 4 * time.Millisecond, 2400 * time.Millisecond, 3600 * time.Millisecond},
		{"nodes that come and come", 10000, 4 * time.Millisecond, settleMost, settleMost + 100*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			u, now := startup{began: began}, began
			for !u.settled(min(c.nodes, int(now.Sub(began)/c.each)+1), now) {
				now = now.Add(20 * time.Millisecond)
			}
			took := now.Sub(began)
			assert.Assert(t, took >= c.earliest && took <= c.most, "%s", took)
		})
	}
}
