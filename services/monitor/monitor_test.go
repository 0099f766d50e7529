// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package monitor

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/services/directory"
)

// ringOf returns a view of some nodes.
func ringOf(nodes int) *directory.View {
	v := &directory.View{Nodes: make(map[string]directory.Node)}
	for i := range nodes {
		name := fmt.Sprintf("n%d", i+1)
		v.Nodes[name] = directory.Node{Name: name}
	}
	return v
}

// TestSuccessorsFollowInTheRing guards against nodes that nobody probes: each node, also one that is
// not in the directory yet, probes the next ones by name, and the first ones follow the last.
func TestSuccessorsFollowInTheRing(t *testing.T) {
	for _, nodes := range []int{0, 1, 2, 3, 12, 101} {
		v := ringOf(nodes)
		for _, self := range append([]string{"a", "n1x", "z"}, fmt.Sprintf("n%d", nodes), "n1") {
			var names []string
			for name := range v.Nodes {
				if name != self {
					names = append(names, name)
				}
			}
			slices.Sort(names)
			from, _ := slices.BinarySearch(names, self)
			var want, got []string
			for i := range min(watchedSuccessors, len(names)) {
				want = append(want, names[(from+i)%len(names)])
			}
			for _, n := range successors(v, self) {
				got = append(got, n.Name)
			}
			assert.DeepEqual(t, got, want)
		}
	}
}

// TestProbesOfALargeFleetStayCheap guards against nodes that are busy at rest: each looks for those it
// probes four times a second, and with 500 nodes that took more of a node's time than the probes. It
// must take no memory that grows with the fleet.
func TestProbesOfALargeFleetStayCheap(t *testing.T) {
	few, many := ringOf(10), ringOf(1000)
	of := func(v *directory.View) float64 { return testing.AllocsPerRun(20, func() { successors(v, "n5") }) }
	bytes := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			successors(many, "n5")
		}
	}).AllocedBytesPerOp()
	assert.Assert(t, of(many) <= of(few), "%g, %g", of(many), of(few))
	assert.Assert(t, bytes < 4096, "%d bytes", bytes)
}
