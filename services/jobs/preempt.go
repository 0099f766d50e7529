// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobs

import (
	"slices"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
)

// preempt selects the fewest repeatable batch runs of one worker whose stop frees enough capacity,
// and reports whether there are such runs.
func (p *planner) preempt(workers []state.Instance, n resources) bool {
	var best []string
	for _, i := range workers {
		if i.EjectedUntil.After(p.s.Now) {
			continue
		}
		if ids := p.preemptible(i, n); ids != nil && (best == nil || len(ids) < len(best)) {
			best = ids
		}
	}
	p.plan.Preempt = append(p.plan.Preempt, best...)
	return best != nil
}

func (p *planner) preemptible(i state.Instance, n resources) []string {
	use := p.s.WorkerUsage(i.Worker.ID)
	var ids []string
	for id, r := range p.s.RunsOn(i.Worker.ID) {
		if n.fits(i, use) {
			break
		}
		if r.State != record.Running || !r.Job.Repeatable || r.Job.Class != manifest.Batch {
			continue
		}
		if slices.Contains(p.plan.Preempt, id) {
			return nil // it is already stopped for another run
		}
		ids = append(ids, id)
		use.Cores -= r.Cores
		use.MemoryGB -= r.MemoryGB
		use.Accelerators -= r.Job.Accelerators
	}
	if !n.fits(i, use) {
		return nil
	}
	return ids
}
