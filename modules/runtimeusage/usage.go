// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtimeusage

import "runtime/metrics"

// Usage is what the runtime has used since the process began.
type Usage struct {
	Collections uint64 // completed cycles of the garbage collector
	Allocated   uint64 // bytes allocated on the heap
}

// Minus returns the usage since an earlier one.
func (u Usage) Minus(o Usage) Usage {
	return Usage{Collections: u.Collections - o.Collections, Allocated: u.Allocated - o.Allocated}
}

// The names of the runtime's metrics.
const (
	collections = "/gc/cycles/total:gc-cycles"
	allocated   = "/gc/heap/allocs:bytes"
)

// Read returns the usage as the runtime reports it; a figure that it does not report is 0.
func Read() Usage {
	samples := []metrics.Sample{{Name: collections}, {Name: allocated}}
	metrics.Read(samples)
	return Usage{Collections: number(samples[0].Value), Allocated: number(samples[1].Value)}
}

// number returns a metric that is a whole number.
func number(v metrics.Value) uint64 {
	if v.Kind() != metrics.KindUint64 {
		return 0
	}
	return v.Uint64()
}
