// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package table

import (
	"iter"

	"github.com/benbjohnson/immutable"
)

// Table maps strings to values in sorted order. Changes return a new table that shares the
// unchanged parts.
type Table[V any] struct {
	m *immutable.SortedMap[string, V] // nil while empty
}

// Get returns the value of a key, and false if there is none.
func (t Table[V]) Get(key string) (V, bool) {
	if t.m == nil {
		var none V
		return none, false
	}
	return t.m.Get(key)
}

// Has reports whether the key has a value.
func (t Table[V]) Has(key string) bool {
	_, ok := t.Get(key)
	return ok
}

// With returns the table with the key set to the value.
func (t Table[V]) With(key string, v V) Table[V] {
	if t.m == nil {
		t.m = immutable.NewSortedMap[string, V](nil)
	}
	return Table[V]{m: t.m.Set(key, v)}
}

// Without returns the table without the key.
func (t Table[V]) Without(key string) Table[V] {
	if t.m == nil {
		return t
	}
	return Table[V]{m: t.m.Delete(key)}
}

// Len returns the number of keys.
func (t Table[V]) Len() int {
	if t.m == nil {
		return 0
	}
	return t.m.Len()
}

// All yields keys and values in the order of the keys.
func (t Table[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if t.m == nil {
			return
		}
		i := t.m.Iterator()
		for !i.Done() {
			k, v, _ := i.Next()
			if !yield(k, v) {
				return
			}
		}
	}
}

// Map returns the table as a plain map, for encoding.
func (t Table[V]) Map() map[string]V {
	m := make(map[string]V, t.Len())
	for k, v := range t.All() {
		m[k] = v
	}
	return m
}

// Of returns a table with the content of a plain map.
func Of[V any](m map[string]V) Table[V] {
	if len(m) == 0 {
		return Table[V]{}
	}
	return Table[V]{m: immutable.NewSortedMapOf(nil, m)}
}
