// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/rendezvous"
	"github.com/yardbridge/yardbridge/services/directory"
)

// nodeClass is a number of equal nodes.
type nodeClass struct {
	count int
	of    directory.Node
}

// rolesOf returns roles with the published sizes.
func rolesOf(sizes ...int) map[string]directory.Ownership {
	pools := make(map[string]directory.Ownership)
	for n, size := range sizes {
		role := fmt.Sprint("p", n)
		pools[role] = directory.Ownership{Pool: role, Size: size}
	}
	return pools
}

// fleetOf returns a view of nodes without owned roles.
func fleetOf(pools map[string]directory.Ownership, classes ...nodeClass) *directory.View {
	v := &directory.View{Nodes: make(map[string]directory.Node), Pools: pools}
	for _, c := range classes {
		for range c.count {
			n := c.of
			n.Name, n.Incarnation = fmt.Sprintf("n%04d", len(v.Nodes)), 1
			v.Nodes[n.Name] = n
		}
	}
	return v
}

// byCapacityAlone returns the owners by cores and links alone, each the least loaded node in relation to
// its capacity.
func byCapacityAlone(v *directory.View, roles []string) map[string]string {
	owns, names := make(map[string]int), slices.Sorted(maps.Keys(v.Nodes))
	for role := range v.Pools {
		if n, _, present := v.Owner(role); present {
			owns[n.Name]++
		}
	}
	load := func(name string) float64 { return float64(owns[name]+1) / v.Nodes[name].Capacity() }
	owners := make(map[string]string)
	for _, role := range roles {
		first := rendezvous.Owner(role, names)
		owners[role] = slices.MinFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(load(a), load(b)), cmp.Compare(btoi(a != first), btoi(b != first)), cmp.Compare(a, b))
		})
		owns[owners[role]]++
	}
	return owners
}

// ownersOf returns the first successors.
func ownersOf(v *directory.View, roles []string) map[string]string {
	owners := make(map[string]string)
	for role, list := range (&Manager{}).ranking(v).successors(roles) {
		owners[role] = list[0]
	}
	return owners
}

// TestOwnersStayAsLongAsAllLimitsSuffice guards against deployments whose pools go to other nodes although
// every node carries them: 6 to 98 nodes of up to three classes with pools of 350 workers, and random losses
// of nodes after which the next owners are chosen.
func TestOwnersStayAsLongAsAllLimitsSuffice(t *testing.T) {
	alike := directory.Node{Cores: 0.4, MemoryMB: 284, Descriptors: 4100, LinkMbps: 1000}
	big := directory.Node{Cores: 0.8, MemoryMB: 536, Descriptors: 8192, LinkMbps: 200}
	small := directory.Node{Cores: 0.192, MemoryMB: 184, Descriptors: 4100, LinkMbps: 10}
	old := directory.Node{Cores: 0.4, LinkMbps: 1000}
	for name, classes := range map[string][]nodeClass{
		"6 alike": {{6, alike}}, "9 alike": {{9, alike}}, "31 of two classes": {{8, big}, {23, small}}, "37 of two classes": {{6, big}, {31, small}},
		"98 alike": {{98, alike}}, "of an older version": {{10, old}, {20, alike}},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			v := fleetOf(rolesOf(350, 350, 0, 350, 200, 0), classes...)
			roles := slices.Sorted(maps.Keys(v.Pools))
			for lost := 0; len(v.Nodes) >= len(roles); lost++ {
				want, is := byCapacityAlone(v, roles), ownersOf(v, roles)
				assert.DeepEqual(t, is, want)
				for role, name := range is {
					o := v.Pools[role]
					o.Node, o.Incarnation = name, 1
					v.Pools[role] = o
				}
				names := slices.Sorted(maps.Keys(v.Nodes))
				delete(v.Nodes, names[random.IntN(len(names))])
				roles = slices.DeleteFunc(slices.Sorted(maps.Keys(v.Pools)), func(role string) bool {
					_, _, present := v.Owner(role)
					return present
				})
			}
		})
	}
}

// TestNodeShortOfOneLimitOwnsNothing guards against a large pool on a node with the most cores that is short
// of one other resource, and against one on a node with little of it while another node carries the pool.
func TestNodeShortOfOneLimitOwnsNothing(t *testing.T) {
	enough := directory.Node{Cores: 0.8, MemoryMB: 1048, Descriptors: 16384, LinkMbps: 1000}
	for name, short := range map[string]directory.Node{
		"descriptors": {Cores: 8, MemoryMB: 1048, Descriptors: 4100, LinkMbps: 1000},
		"memory":      {Cores: 8, MemoryMB: 184, Descriptors: 16384, LinkMbps: 1000},
		"link":        {Cores: 8, MemoryMB: 1048, Descriptors: 16384, LinkMbps: 20},
		"cores":       {Cores: 0.4, MemoryMB: 1048, Descriptors: 16384, LinkMbps: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			v := fleetOf(rolesOf(3000), nodeClass{999, short}, nodeClass{1, enough})
			assert.Equal(t, ownersOf(v, []string{"p0"})["p0"], "n0999")
		})
	}
}

// TestPoolsOfOneNodeAddUp guards against a node that carries one pool and owns two, while another node
// carries one of them.
func TestPoolsOfOneNodeAddUp(t *testing.T) {
	strong := directory.Node{Cores: 8, MemoryMB: 1048, Descriptors: 16384, LinkMbps: 1000}
	weak := directory.Node{Cores: 0.5, MemoryMB: 1048, Descriptors: 11100, LinkMbps: 1000}
	v := fleetOf(rolesOf(3500, 3500, 3500), nodeClass{1, strong}, nodeClass{998, directory.Node{Cores: 0.2, Descriptors: 4100}}, nodeClass{2, weak})
	owners := slices.Sorted(maps.Values(ownersOf(v, []string{"p0", "p1", "p2"})))
	assert.DeepEqual(t, owners, []string{"n0000", "n0999", "n1000"})
}

// TestNearestNodeOwnsWhatNoneCarries guards against a pool without an owner, or with any owner, where no
// node carries it.
func TestNearestNodeOwnsWhatNoneCarries(t *testing.T) {
	v := fleetOf(rolesOf(3000), nodeClass{3, directory.Node{Cores: 8, Descriptors: 4100}}, nodeClass{1, directory.Node{Cores: 0.1, Descriptors: 1000}},
		nodeClass{1, directory.Node{Cores: 0.4, Descriptors: 8000}}, nodeClass{2, directory.Node{Cores: 4, Descriptors: 4100}})
	assert.DeepEqual(t, (&Manager{}).ranking(v).successors([]string{"p0"})["p0"], []string{"n0004", "n0000", "n0001", "n0002", "n0005", "n0006", "n0003"})
}

// TestRoleMovesToANodeThatCarriesIt guards against a pool that stays where it has outgrown the limits, and
// against one that goes back and forth between two nodes that can't carry it.
func TestRoleMovesToANodeThatCarriesIt(t *testing.T) {
	for _, c := range []struct {
		name       string
		owner, can candidate
		moves      bool
	}{
		{"carried elsewhere", candidate{"", 1.1, 1}, candidate{"", 1, 9}, true},
		{"clearly nearer", candidate{"", 3, 1}, candidate{"", 2, 1}, true},
		{"as short as here", candidate{"", 3, 1}, candidate{"", 2.9, 1}, false},
		{"as short as here, much more capacity", candidate{"", 3, 3}, candidate{"", 3, 1}, true},
		{"carried by both, much more capacity", candidate{"", 1, 3}, candidate{"", 1, 1}, true},
		{"carried by both", candidate{"", 1, 2.9}, candidate{"", 1, 1}, false},
		{"carried here alone", candidate{"", 1, 10}, candidate{"", 1.1, 1}, false},
	} {
		assert.Equal(t, c.can.muchBetterThan(c.owner), c.moves, c.name)
	}
}
