// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import "github.com/yardbridge/yardbridge/models/manifest"

// Usage is the capacity that jobs use.
type Usage struct {
	Runs         int
	Cores        int
	MemoryGB     int
	Accelerators int
}

// with adds a run, or removes it with by = -1.
func (u Usage) with(r Run, by int) Usage {
	u.Runs += by
	u.Cores += by * r.Cores
	u.MemoryGB += by * r.MemoryGB
	u.Accelerators += by * r.Job.Accelerators
	return u
}

// Fits reports whether a job of the size fits on the worker in addition to its current usage.
func (u Usage) Fits(i Instance, cores, memoryGB, accelerators int) bool {
	w := i.Worker
	return u.Cores+cores <= w.Cores &&
		u.MemoryGB+memoryGB <= w.MemoryGB &&
		u.Accelerators+accelerators <= w.Accelerators
}

// WithinLimit reports whether a customer stays within its limits with another job of the size; 0 is
// no limit, and a nil customer has none.
func (u Usage) WithinLimit(c *manifest.Customer, cores, memoryGB, accelerators int) bool {
	if c == nil {
		return true
	}
	return (c.LimitCores == 0 || u.Cores+cores <= c.LimitCores) &&
		(c.LimitMemoryGB == 0 || u.MemoryGB+memoryGB <= c.LimitMemoryGB) &&
		(c.LimitAccelerators == 0 || u.Accelerators+accelerators <= c.LimitAccelerators)
}

// WithinQuota reports whether the team stays within its quota with another job of the size.
func (u Usage) WithinQuota(t *manifest.Team, cores, memoryGB, accelerators int) bool {
	return u.Cores+cores <= t.QuotaCores &&
		u.MemoryGB+memoryGB <= t.QuotaMemoryGB &&
		u.Accelerators+accelerators <= t.QuotaAccelerators
}
