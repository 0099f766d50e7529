// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/resource"
	"github.com/yardbridge/yardbridge/standin/world"
)

// TestOwnersCarryTheirPools guards against a pool whose owner runs out of descriptors while another node has
// enough: the nodes with the most cores carry a pool without workers only, and own nothing else once the
// sizes of the pools are known, also after a loss of the owners.
func TestOwnersCarryTheirPools(t *testing.T) {
	const nodes, pool = 6, 4
	empty := int(resource.Needed(resource.Roles{}, nodes).Descriptors)
	synctest.Test(t, func(t *testing.T) {
		s := script{
			Nodes: nodes, Off: 2, Pools: []scriptPool{{"alpha", pool, 2, false}, {"beta", pool, 2, false}},
			Cores: []float64{2, 2, 2, 1, 1, 1}, Descriptors: []int{empty + pool, empty + pool, empty + pool, empty + 100, empty + 100, empty + 100},
		}
		st := &scenario{t: t, script: s, world: world.New(1), began: time.Now(), jobOwners: make(map[string]map[job.ID]string), random: rand.New(rand.NewPCG(1, 1))}
		st.build()
		check := func(when string) {
			t.Helper()
			for _, n := range st.nodes[:3] {
				for _, o := range n.node.ownerList() {
					assert.Assert(t, o.Size() <= pool/2, "%s: %s owns pool %s with %d workers", when, n.name, o.Pool, o.Size())
				}
			}
			assert.Equal(t, len(st.owners()), 3, when)
		}
		time.Sleep(20 * time.Second)
		check("after the start")
		st.applyEvent(scriptEvent{Kind: "kill", Node: 4, For: 1e9})
		time.Sleep(20 * time.Second)
		check("after a kill")
		for _, n := range st.nodes {
			n.stop()
		}
		for _, v := range st.world.Violations() {
			t.Error(v)
		}
	})
}
