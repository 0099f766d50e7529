// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/services/directory"
)

// inDataCenter returns nodes in a data centre.
func inDataCenter(dc string, count int, n directory.Node) nodeClass {
	n.DataCenter = dc
	return nodeClass{count, n}
}

// rolesByDataCenter counts owners by their data centre.
func rolesByDataCenter(v *directory.View, owners map[string]string) map[string]int {
	count := make(map[string]int)
	for _, name := range owners {
		count[v.Nodes[name].DataCenter]++
	}
	return count
}

// TestOwnersAreNotAllInOneDataCenter guards against a data centre whose loss takes all owners and the holder
// of the role for instances together: all best nodes are in it.
func TestOwnersAreNotAllInOneDataCenter(t *testing.T) {
	best := directory.Node{Cores: 0.8, Descriptors: 8192}
	half, quarter := directory.Node{Cores: 0.4, Descriptors: 8192}, directory.Node{Cores: 0.2, Descriptors: 8192}
	short := directory.Node{Cores: 0.8, Descriptors: 2500}
	for _, c := range []struct {
		name    string
		size    int
		classes []nodeClass
		roles   map[string]int // by data centre, of five
	}{
		{"equal nodes", 350, []nodeClass{inDataCenter("a", 2, best), inDataCenter("b", 20, best), inDataCenter("c", 2, best)}, map[string]int{"a": 1, "b": 2, "c": 2}},
		{"the best in one", 350, []nodeClass{inDataCenter("a", 8, best), inDataCenter("b", 8, half), inDataCenter("c", 8, half)}, map[string]int{"a": 4, "b": 1}},
		{"the others much worse", 350, []nodeClass{inDataCenter("a", 8, best), inDataCenter("b", 8, quarter)}, map[string]int{"a": 5}},
		{"the others can't carry one", 350, []nodeClass{inDataCenter("a", 8, best), inDataCenter("b", 8, short)}, map[string]int{"a": 5}},
		{"data centres unknown", 350, []nodeClass{inDataCenter("", 8, best), inDataCenter("", 8, half)}, map[string]int{"": 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := fleetOf(rolesOf(c.size, c.size, c.size, c.size, c.size), c.classes...)
			is := rolesByDataCenter(v, ownersOf(v, slices.Sorted(maps.Keys(v.Pools))))
			counts := func(m map[string]int) []int { return slices.Sorted(maps.Values(m)) }
			assert.DeepEqual(t, counts(is), counts(c.roles))
			assert.Assert(t, is["a"] >= c.roles["b"], "%v", is)
		})
	}
}

// TestLossOfADataCenterLeavesAnOwner guards against histories of losses and returns of nodes after which one
// data centre holds all roles although another could hold one. Nodes are lost and return at random, and each
// role without an owner goes to its first successor.
func TestLossOfADataCenterLeavesAnOwner(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, seed))
		v := fleetOf(rolesOf(350, 0, 200, 0), inDataCenter("a", 4, directory.Node{Cores: 0.8}), inDataCenter("b", 4, directory.Node{Cores: 0.5}), inDataCenter("c", 4, directory.Node{Cores: 0.4}))
		all := maps.Clone(v.Nodes)
		for range 30 {
			name := fmt.Sprintf("n%04d", random.IntN(len(all)))
			if _, present := v.Nodes[name]; present && len(v.Nodes) > 6 {
				delete(v.Nodes, name)
			} else {
				v.Nodes[name] = all[name]
			}
			var unowned []string
			for _, role := range slices.Sorted(maps.Keys(v.Pools)) {
				if _, _, present := v.Owner(role); !present {
					unowned = append(unowned, role)
				}
			}
			for role, name := range ownersOf(v, unowned) {
				v.Pools[role] = directory.Ownership{Pool: role, Node: name, Incarnation: 1, Size: v.Pools[role].Size}
			}
			if len(unowned) == 0 {
				continue
			}
			r := (&Manager{}).ranking(v)
			assert.Assert(t, r.onlyDataCenter() == "", "seed %d: all roles are in %s after the loss of %s", seed, r.onlyDataCenter(), name)
		}
	}
}

// TestRoleMovesToAnotherDataCenter guards against roles that stay in one data centre after the other ones
// have come back, and against owners that all move their roles away at once: the last role moves, and no
// other.
func TestRoleMovesToAnotherDataCenter(t *testing.T) {
	for _, c := range []struct {
		name  string
		owned []string // by the node
		away  float64  // cores of the nodes in the other data centre
		moves []string
	}{
		{"the last role", []string{"p"}, 1, []string{"p"}},
		{"another role", []string{"a"}, 1, nil},
		{"much worse nodes", []string{"p"}, 0.3, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pools := map[string]directory.Ownership{"a": {Pool: "a", Epoch: 3, Node: "n0001", Incarnation: 1}, "p": {Pool: "p", Epoch: 3, Node: "n0001", Incarnation: 1}}
				for _, role := range c.owned {
					o := pools[role]
					o.Node = "n0000"
					pools[role] = o
				}
				f := newFixture(t, fleetOf(pools, inDataCenter("x", 2, directory.Node{Cores: 1}), inDataCenter("y", 2, directory.Node{Cores: c.away})))
				defer f.stop()
				var moved []string
				f.s.ProbeTakeOver = func(context.Context, directory.Node) (time.Duration, error) { return time.Millisecond, nil }
				f.s.RequestTakeOver = func(_ context.Context, n directory.Node, role string, _ uint64) (directory.Ownership, error) {
					assert.Equal(t, n.DataCenter, "y")
					moved = append(moved, role)
					return directory.Ownership{Pool: role, Epoch: 4, Node: n.Name, Incarnation: 1}, nil
				}
				f.s.owned = make(map[string]*RoleRunner)
				for _, role := range c.owned {
					f.s.owned[role] = &RoleRunner{Epoch: func() uint64 { return 3 }, Stuck: func(time.Duration) bool { return false }}
				}
				for range 5 {
					v, _ := f.d.View()
					f.s.improve(t.Context(), v)
					time.Sleep(time.Second)
				}
				f.s.tasks.Wait()
				assert.DeepEqual(t, moved, c.moves)
			})
		})
	}
}
