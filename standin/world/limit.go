// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
)

// applyTime is the time within which a configuration takes effect everywhere.
const applyTime = 3 * time.Second

// customerLimit is a limit of a customer and when it was replaced.
type customerLimit struct {
	size       job.Size
	replacedAt time.Time // zero for the newest
}

// mayBeInForce reports whether a node may still apply a limit: nodes that could not read
// the configuration apply the last one they know. The caller holds w.mu.
func (w *World) mayBeInForce(l customerLimit) bool {
	return l.replacedAt.IsZero() || time.Since(l.replacedAt) < applyTime || w.mayBeUnread(l.replacedAt)
}

// mayBeUnread reports whether a node may not have read yet what was written at the given
// time, because it cannot read the store, or could not until recently. The caller holds
// w.mu.
func (w *World) mayBeUnread(since time.Time) bool {
	if time.Since(w.unreadUntil) < applyTime && since.Before(w.unreadUntil) {
		return true
	}
	for _, f := range w.faults {
		if f.withoutStore() {
			return true
		}
	}
	return len(w.groups) > 0 // their nodes can't learn it from the others
}

// withoutStore reports whether a node cannot read the store, or cannot learn its content
// from other nodes.
func (f *Faults) withoutStore() bool { return f.StoreUnresponsive || f.StoreUnavailable || f.PeersCut }

// setLimits applies the limits of a configuration. The caller holds w.mu.
func (w *World) setLimits(customers []config.Customer) {
	if w.limits == nil {
		w.limits = make(map[string][]customerLimit)
	}
	for _, c := range customers {
		list := w.limits[c.Name]
		if n := len(list); n > 0 {
			list[n-1].replacedAt = time.Now()
		}
		w.limits[c.Name] = append(list, customerLimit{size: c.Limit})
	}
}

// limit returns the highest limit of a customer that may be in force, per resource; 0 means
// no limit. The caller holds w.mu.
func (w *World) limit(customer string) job.Size {
	var most job.Size
	var none job.Size
	for _, l := range w.limits[customer] {
		if !w.mayBeInForce(l) {
			continue
		}
		most = most.Max(l.size)
		none = none.Max(job.Size{CPU: isNone(l.size.CPU), MemoryMB: isNone(l.size.MemoryMB), Accelerators: isNone(l.size.Accelerators)})
	}
	return job.Size{CPU: most.CPU * (1 - none.CPU), MemoryMB: most.MemoryMB * (1 - none.MemoryMB), Accelerators: most.Accelerators * (1 - none.Accelerators)}
}

func isNone(limit int) int {
	if limit == 0 {
		return 1
	}
	return 0
}

// Usage returns what a customer has running on all workers.
func (w *World) Usage(customer string) job.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usage(customer)
}

func (w *World) usage(customer string) job.Size {
	var used job.Size
	for _, o := range w.workers {
		if o.gone {
			continue
		}
		o.expireLease() // its timer may fire late
		for name, r := range o.runs {
			if ref, _ := job.ParseTask(name); w.jobs[ref.Job] != nil && w.jobs[ref.Job].submission.Customer == customer {
				used = used.Plus(r.step.Size)
			}
		}
	}
	return used
}

// checkLimit checks that a start does not take its customer over its limit. The caller
// holds w.mu.
func (w *World) checkLimit(node string, j *jobRecord, step *job.Step, task string) {
	customer := j.submission.Customer
	if customer == "" {
		return
	}
	limit, used := w.limit(customer), w.usage(customer).Plus(step.Size)
	if limit.CPU > 0 && used.CPU > limit.CPU || limit.MemoryMB > 0 && used.MemoryMB > limit.MemoryMB || limit.Accelerators > 0 && used.Accelerators > limit.Accelerators {
		w.violation("QUOTA: %s starts %s of %s, which then uses %v of %v", node, task, customer, used, limit)
	}
}
