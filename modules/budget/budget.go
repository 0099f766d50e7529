// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package budget

import "sync/atomic"

// Budget is a limited amount that several users take parts of; nil has no limit and counts nothing. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget with a limit, 0 for none.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the limit, 0 for none.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Used returns how much is taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Take takes an amount unless more than a share of the limit, from 0 to 1, would be taken then, and reports whether it
// did.
func (b *Budget) Take(n int64, share float64) bool {
	if b == nil {
		return true
	}
	most := int64(float64(b.limit) * share)
	for {
		used := b.used.Load()
		if b.limit > 0 && used+n > most {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Add adds to what is taken, also beyond the limit; a negative amount is given back.
func (b *Budget) Add(n int64) {
	if b != nil {
		b.used.Add(n)
	}
}
