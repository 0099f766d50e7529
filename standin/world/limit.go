// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
)

// applyTime is within which a configuration is in force everywhere.
const applyTime = 3 * time.Second

// setLimit is a limit of a customer, and since when there is a newer one.
type setLimit struct {
	size     job.Size
	replaced time.Time // zero for the newest
}

// mayBeInForce reports whether a limit may be: nodes that could not read the configuration
// go by the one they know. The lock is held.
func (w *World) mayBeInForce(l setLimit) bool {
	return l.replaced.IsZero() || time.Since(l.replaced) < applyTime || w.mayBeUnread(l.replaced)
}

// mayBeUnread reports whether a node may not know yet what was written at a time: it can't read
// the store, or could not until a moment ago. The lock is held.
func (w *World) mayBeUnread(since time.Time) bool {
	if time.Since(w.unread) < applyTime && since.Before(w.unread) {
		return true
	}
	for _, f := range w.faults {
		if f.storeless() {
			return true
		}
	}
	return false
}

// storeless reports whether a node can't read the store, or learn from others what it says.
func (f *Faults) storeless() bool { return f.StoreUnresponsive || f.StoreUnavailable || f.PeersCut }

// setLimits takes the limits of a configuration. The lock is held.
func (w *World) setLimits(customers []config.Customer) {
	if w.limits == nil {
		w.limits = make(map[string][]setLimit)
	}
	for _, c := range customers {
		list := w.limits[c.Name]
		if n := len(list); n > 0 {
			list[n-1].replaced = time.Now()
		}
		w.limits[c.Name] = append(list, setLimit{size: c.Limit})
	}
}

// limit returns the highest limit of a customer that may be in force, by its parts, of which
// 0 is none. The lock is held.
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

// Usage returns what a customer has running, over all workers.
func (w *World) Usage(customer string) job.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.using(customer)
}

func (w *World) using(customer string) job.Size {
	var used job.Size
	for _, o := range w.workers {
		if o.over {
			continue
		}
		o.lapse() // its timer may be late
		for name, r := range o.runs {
			if ref, _ := job.ParseTask(name); w.jobs[ref.Job] != nil && w.jobs[ref.Job].sub.Customer == customer {
				used = used.Plus(r.step.Size)
			}
		}
	}
	return used
}

// checkLimit checks that a start does not take its customer over a limit. The lock is held.
func (w *World) checkLimit(node string, j *submitted, step *job.Step, task string) {
	customer := j.sub.Customer
	if customer == "" {
		return
	}
	limit, used := w.limit(customer), w.using(customer).Plus(step.Size)
	if limit.CPU > 0 && used.CPU > limit.CPU || limit.MemoryMB > 0 && used.MemoryMB > limit.MemoryMB || limit.Accelerators > 0 && used.Accelerators > limit.Accelerators {
		w.broken("QUOTA: %s starts %s of %s, which then uses %v of %v", node, task, customer, used, limit)
	}
}
