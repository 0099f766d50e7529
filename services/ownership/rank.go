// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yardbridge/yardbridge/models/resource"
	"github.com/yardbridge/yardbridge/modules/rendezvous"
	"github.com/yardbridge/yardbridge/services/directory"
)

// ranking orders the nodes of a view by how well they can own another role. All nodes compute the same from
// the same view.
type ranking struct {
	v      *directory.View
	demand func(role string, size int) resource.Roles
	owns   map[string]resource.Roles // by node
}

// ranking returns the ranking of the nodes of a view.
func (s *Manager) ranking(v *directory.View) *ranking {
	r := &ranking{v, s.Demand, make(map[string]resource.Roles)}
	if r.demand == nil {
		r.demand = poolDemand
	}
	for role, o := range v.Pools {
		if n, _, present := v.Owner(role); present {
			r.owns[n.Name] = r.owns[n.Name].Plus(r.demand(role, o.Size))
		}
	}
	return r
}

// poolDemand returns what a pool with a number of workers takes.
func poolDemand(_ string, workers int) resource.Roles {
	return resource.Roles{Count: 1, Workers: workers}
}

// needs returns what a role takes by its published size.
func (r *ranking) needs(role string) resource.Roles { return r.demand(role, r.v.Pools[role].Size) }

// candidate is a node as the owner of one more role.
type candidate struct {
	name   string
	excess float64 // factor by which it would exceed its limits, 1 if it carries the role
	load   float64 // roles in relation to its capacity
}

// candidate returns a node as the owner of one more role.
func (r *ranking) candidate(name string, role resource.Roles) candidate {
	n, with := r.v.Nodes[name], r.owns[name].Plus(role)
	return candidate{name, resource.Excess(with, len(r.v.Nodes), n.Limits()), float64(with.Count) / n.Capacity()}
}

// compare orders candidates: those that carry the role first, then those that come nearest, then by their
// load.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(c.excess, o.excess), cmp.Compare(c.load, o.load))
}

// successors returns for each role without an owner the nodes that may own it, the best first.
func (r *ranking) successors(roles []string) map[string][]string {
	names := slices.Sorted(maps.Keys(r.v.Nodes))
	list := make(map[string][]string, len(roles))
	for _, role := range roles {
		takes, first := r.needs(role), rendezvous.Owner(role, names)
		candidates := make([]candidate, len(names))
		for i, name := range names {
			candidates[i] = r.candidate(name, takes)
		}
		slices.SortStableFunc(candidates, func(a, b candidate) int {
			return cmp.Or(a.compare(b), cmp.Compare(btoi(a.name != first), btoi(b.name != first)))
		})
		ranked := make([]string, len(names))
		for i, c := range candidates {
			ranked[i] = c.name
		}
		list[role] = ranked
		if len(ranked) > 0 {
			r.owns[ranked[0]] = r.owns[ranked[0]].Plus(takes)
		}
	}
	return list
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
