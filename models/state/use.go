// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import "github.com/yardbridge/yardbridge/models/manifest"

// Usage is the room that jobs hold.
type Usage struct {
	Runs         int
	Cores        int
	MemoryGB     int
	Accelerators int
}

// with adds a run, or takes it away with by = -1.
func (u Usage) with(r Run, by int) Usage {
	u.Runs += by
	u.Cores += by * r.Cores
	u.MemoryGB += by * r.MemoryGB
	u.Accelerators += by * r.Job.Accelerators
	return u
}

// Fits reports whether a job of the size fits beside what the worker runs.
func (u Usage) Fits(i Instance, cores, memoryGB, accelerators int) bool {
	w := i.Worker
	return u.Cores+cores <= w.Cores &&
		u.MemoryGB+memoryGB <= w.MemoryGB &&
		u.Accelerators+accelerators <= w.Accelerators
}

// WithinLimit reports whether a job of the size keeps a customer within its limits, of which
// 0 is none; nil has none.
func (u Usage) WithinLimit(c *manifest.Customer, cores, memoryGB, accelerators int) bool {
	if c == nil {
		return true
	}
	return (c.LimitCores == 0 || u.Cores+cores <= c.LimitCores) &&
		(c.LimitMemoryGB == 0 || u.MemoryGB+memoryGB <= c.LimitMemoryGB) &&
		(c.LimitAccelerators == 0 || u.Accelerators+accelerators <= c.LimitAccelerators)
}

// WithinQuota reports whether a job of the size keeps the team within its quota.
func (u Usage) WithinQuota(t *manifest.Team, cores, memoryGB, accelerators int) bool {
	return u.Cores+cores <= t.QuotaCores &&
		u.MemoryGB+memoryGB <= t.QuotaMemoryGB &&
		u.Accelerators+accelerators <= t.QuotaAccelerators
}
