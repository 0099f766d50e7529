// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"cmp"
	"maps"
	"math"
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
	// rolesIn counts the roles by the data centre of their owner.
	rolesIn map[string]int
	last    string // role with an owner, the last one by name
	// claims is whether the roles are claimed, not handed over: then nodes that their last owner knows come first.
	claims bool
}

// ranking returns the ranking of the nodes of a view.
func (s *Manager) ranking(v *directory.View) *ranking {
	r := &ranking{v: v, demand: s.Demand, owns: make(map[string]resource.Roles), rolesIn: make(map[string]int)}
	if r.demand == nil {
		r.demand = poolDemand
	}
	for role, o := range v.Pools {
		if n, _, present := v.Owner(role); present {
			r.add(n.Name, r.demand(role, o.Size))
			r.last = max(r.last, role)
		}
	}
	return r
}

// poolDemand returns what a pool with a number of workers takes.
func poolDemand(_ string, workers int) resource.Roles {
	return resource.Roles{Count: 1, Workers: workers}
}

// add adds a role to those of a node.
func (r *ranking) add(name string, role resource.Roles) {
	r.owns[name] = r.owns[name].Plus(role)
	r.rolesIn[r.v.Nodes[name].DataCenter]++
}

// onlyDataCenter returns the data centre that all roles are in, "" for none: its loss would take all owners
// and the holder of the role for instances together.
func (r *ranking) onlyDataCenter() string {
	for dc := range r.rolesIn {
		if len(r.rolesIn) == 1 {
			return dc
		}
	}
	return ""
}

// spreads reports whether a candidate that carries the role lies in another data centre than all roles,
// though a node with the least load of those that carry it would not be much better.
func (r *ranking) spreads(c candidate, least float64) bool {
	only, dc := r.onlyDataCenter(), r.v.Nodes[c.name].DataCenter
	return only != "" && dc != "" && dc != only && c.excess == 1 && c.load < least*muchBetter
}

// leastLoad returns the least load of the candidates that carry a role.
func leastLoad(candidates []candidate) float64 {
	least := math.Inf(1)
	for _, c := range candidates {
		if c.excess == 1 {
			least = min(least, c.load)
		}
	}
	return least
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

// rankSuccessors returns the successors of roles, nil at nearly all checks: without a role nothing is
// ranked, since that grows with the number of nodes.
func (s *Manager) rankSuccessors(v *directory.View, roles []string) map[string][]string {
	if len(roles) == 0 {
		return nil
	}
	return s.ranking(v).successors(roles)
}

// rankClaimants returns the successors of roles whose owner is gone. A node that it may not have known can't claim its
// role yet, see mayReplace.
func (s *Manager) rankClaimants(v *directory.View, roles []string) map[string][]string {
	if len(roles) == 0 {
		return nil
	}
	r := s.ranking(v)
	r.claims = true
	return r.successors(roles)
}

// mayClaim reports whether a node may claim a role as far as the directory shows.
func (r *ranking) mayClaim(name, role string) bool {
	o := r.v.Pools[role]
	if !r.claims || o.Node == "" || o.Node == name || r.v.Nodes[o.Node].Incarnation > o.Incarnation {
		return true
	}
	return r.v.KnownBy(name, directory.Reading{Node: o.Node, Incarnation: o.Incarnation, From: o.From, Read: o.Read})
}

// successors returns for each role without an owner the nodes that may own it, the best first. Where all
// other roles are in one data centre, those in others come first if they are not much worse. Of nodes that
// are equal, one in the data centre with the fewest roles does.
func (r *ranking) successors(roles []string) map[string][]string {
	names := slices.Sorted(maps.Keys(r.v.Nodes))
	list := make(map[string][]string, len(roles))
	for _, role := range roles {
		takes, first := r.needs(role), rendezvous.Owner(role, names)
		candidates := make([]candidate, len(names))
		for i, name := range names {
			candidates[i] = r.candidate(name, takes)
		}
		ranked := r.sorted(candidates, first)
		slices.SortStableFunc(ranked, func(a, b string) int {
			return cmp.Compare(btoi(!r.mayClaim(a, role)), btoi(!r.mayClaim(b, role)))
		})
		list[role] = ranked
		if len(ranked) > 0 {
			r.add(ranked[0], takes)
		}
	}
	return list
}

// sorted returns the names of candidates in order; first is the one that comes first of equal ones.
func (r *ranking) sorted(candidates []candidate, first string) []string {
	least := leastLoad(candidates)
	spreads, rolesThere := make(map[string]bool), make(map[string]int)
	for _, c := range candidates {
		spreads[c.name], rolesThere[c.name] = r.spreads(c, least), r.rolesIn[r.v.Nodes[c.name].DataCenter]
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(btoi(!spreads[a.name]), btoi(!spreads[b.name])), a.compare(b),
			cmp.Compare(rolesThere[a.name], rolesThere[b.name]), cmp.Compare(btoi(a.name != first), btoi(b.name != first)),
		)
	})
	ranked := make([]string, len(candidates))
	for i, c := range candidates {
		ranked[i] = c.name
	}
	return ranked
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
