// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import "iter"

// Groups maps keys to values within named groups. A group without keys does not exist.
// Changes return new Groups, as with Table.
type Groups[V any] struct {
	groups Table[Table[V]]
}

// Of returns the table of a group, empty if there is none.
func (g Groups[V]) Of(group string) Table[V] {
	t, _ := g.groups.Get(group)
	return t
}

// With returns the groups with a key of one group set to the value.
func (g Groups[V]) With(group, key string, v V) Groups[V] {
	return Groups[V]{g.groups.With(group, g.Of(group).With(key, v))}
}

// Without returns the groups without a key of one group.
func (g Groups[V]) Without(group, key string) Groups[V] {
	rest := g.Of(group).Without(key)
	if rest.Len() == 0 {
		return Groups[V]{g.groups.Without(group)}
	}
	return Groups[V]{g.groups.With(group, rest)}
}

// All yields the groups in the order of their names.
func (g Groups[V]) All() iter.Seq2[string, Table[V]] { return g.groups.All() }
