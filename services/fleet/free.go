// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"cmp"
	"container/heap"
	"iter"
	"slices"

	"github.com/yardbridge/yardbridge/services/port"
)

// freeList holds instances that had no action when they were counted, in the order in which they are
// used. Those that have an action by now are skipped.
type freeList struct {
	instances []port.Instance
	from      int // all before have an action
	taken     int // how many have an action
}

// each yields the instances of a list that have no action.
func (v *view) each(l *freeList) iter.Seq[port.Instance] {
	return func(yield func(port.Instance) bool) {
		if l == nil {
			return
		}
		for l.from < len(l.instances) && v.actions[l.instances[l.from].Name] != nil {
			l.from++
		}
		for _, i := range l.instances[l.from:] {
			if v.actions[i.Name] == nil && !yield(i) {
				return
			}
		}
	}
}

// free returns the instances of a pool that have no action and are available for one, those with
// the least to move off them first.
func (v *view) free(pool string) []port.Instance { return slices.Collect(v.each(v.counts.free[pool])) }

// freeCount returns how many these are.
func (v *view) freeCount(pool string) int {
	l := v.counts.free[pool]
	if l == nil {
		return 0
	}
	return len(l.instances) - l.taken
}

// sourceGroup holds free instances that are off and equally suited for a pool but for their names.
type sourceGroup struct {
	due  bool // they have pending wave maintenance
	rack string
	kind string
	list freeList
}

// sources orders the groups of instances that are off by how well they suit one pool; see better. It
// is a heap whose keys are as of when a group was last pushed.
type sources struct {
	groups []*sourceGroup
	inRack []int // the pool's instances in the rack of each group
}

// Len returns the number of groups.
func (s *sources) Len() int { return len(s.groups) }

// Less reports whether one group suits the pool better than another.
func (s *sources) Less(a, b int) bool {
	x, y := s.groups[a], s.groups[b]
	if x.due != y.due {
		return !x.due
	}
	return cmp.Or(cmp.Compare(s.inRack[a], s.inRack[b]), cmp.Compare(x.list.instances[0].Name, y.list.instances[0].Name)) < 0
}

// Swap swaps two groups.
func (s *sources) Swap(a, b int) {
	s.groups[a], s.groups[b] = s.groups[b], s.groups[a]
	s.inRack[a], s.inRack[b] = s.inRack[b], s.inRack[a]
}

// Push adds a group without instances of the pool in its rack; the caller sets their number.
func (s *sources) Push(group any) {
	s.groups, s.inRack = append(s.groups, group.(*sourceGroup)), append(s.inRack, 0)
}

// Pop removes the last group.
func (s *sources) Pop() any {
	last := len(s.groups) - 1
	group := s.groups[last]
	s.groups, s.inRack = s.groups[:last], s.inRack[:last]
	return group
}

// groupKey identifies a group of instances.
type groupKey struct {
	due        bool
	rack, kind string
}

// sourceGroups groups the free instances that are off.
func (v *view) sourceGroups() []*sourceGroup {
	if v.counts.groups != nil {
		return v.counts.groups
	}
	byKey := make(map[groupKey]*sourceGroup)
	for i := range v.each(v.counts.free[v.headroom]) {
		key := groupKey{v.due(i.Name), rack(i), kind(i)}
		if byKey[key] == nil {
			byKey[key] = &sourceGroup{due: key.due, rack: key.rack, kind: key.kind}
			v.counts.groups = append(v.counts.groups, byKey[key])
		}
		byKey[key].list.instances = append(byKey[key].list.instances, i)
	}
	return v.counts.groups
}

// sourcesOf returns the sources of a pool.
func (v *view) sourcesOf(pool string) *sources {
	if s := v.counts.sources[pool]; s != nil {
		return s
	}
	s := &sources{}
	for _, g := range v.sourceGroups() {
		if !v.bars(g.kind, pool) {
			s.groups, s.inRack = append(s.groups, g), append(s.inRack, v.counts.racks[poolRack{pool, g.rack}])
		}
	}
	heap.Init(s)
	v.counts.sources[pool] = s
	return s
}

// findOff returns the instance that is off and suits a pool best.
func (v *view) findOff(pool string) (port.Instance, bool) {
	s := v.sourcesOf(pool)
	for s.Len() > 0 {
		g := s.groups[0]
		if now := v.counts.racks[poolRack{pool, g.rack}]; now != s.inRack[0] {
			s.inRack[0] = now
			heap.Fix(s, 0)
			continue
		}
		for i := range v.each(&g.list) {
			return i, true
		}
		heap.Pop(s)
	}
	return port.Instance{}, false
}
