// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// Work is an amount of work: a size times the seconds for which it is occupied.
type Work struct {
	CPU          float64 // thousandths of a core times seconds
	MemoryMB     float64 // MiB times seconds
	Accelerators float64 // accelerators times seconds
}

// WorkOf returns the work of tasks that occupy a size for a time.
func WorkOf(size job.Size, lasts time.Duration) Work {
	s := max(lasts, 0).Seconds()
	return Work{float64(size.CPU) * s, float64(size.MemoryMB) * s, float64(size.Accelerators) * s}
}

// Plus returns the sum of two amounts of work.
func (w Work) Plus(o Work) Work {
	return Work{w.CPU + o.CPU, w.MemoryMB + o.MemoryMB, w.Accelerators + o.Accelerators}
}

// Scale returns the work multiplied by a factor.
func (w Work) Scale(factor float64) Work {
	return Work{w.CPU * factor, w.MemoryMB * factor, w.Accelerators * factor}
}

// Min returns the minimum of two amounts of work in each dimension.
func (w Work) Min(o Work) Work {
	return Work{min(w.CPU, o.CPU), min(w.MemoryMB, o.MemoryMB), min(w.Accelerators, o.Accelerators)}
}
