// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"math"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// When the capacity does not suffice for all waiting tasks, customers that use less of the pool
// than their share come before the others, however urgent the work of those is; within each group,
// urgency decides. The use of a customer is that of its dominant resource, the one of which it uses
// the largest share. With five customers of equal shares, one of whom submits a hundred times its
// own, all jobs of the others are in time; ordered by share within each urgency, 0.85 of them are,
// since work that was about to lose its value came first, and by urgency alone 0.73
// (TestFloodDoesNotAffectOtherCustomers).

// usageSpan is the time constant of a customer's average use: jobs arrive one by one, and each
// takes more than its customer's share while it runs.
const usageSpan = 2 * time.Second

// usage is a customer's average use of a pool.
type usage struct{ cpu, memory, accelerators float64 }

// updateUsage adds the use since the last update to the averages.
func (p *Pool) updateUsage(now time.Time) {
	weight := 1 - math.Exp(-now.Sub(p.usageUpdatedAt).Seconds()/usageSpan.Seconds())
	p.usageUpdatedAt = now
	if p.usageByCustomer == nil {
		p.usageByCustomer = make(map[string]usage)
	}
	for customer := range p.allowances.used {
		if _, known := p.usageByCustomer[customer]; !known {
			p.usageByCustomer[customer] = usage{}
		}
	}
	for customer, u := range p.usageByCustomer {
		used := p.allowances.used[customer]
		u.cpu += (float64(used.CPU) - u.cpu) * weight
		u.memory += (float64(used.MemoryMB) - u.memory) * weight
		u.accelerators += (float64(used.Accelerators) - u.accelerators) * weight
		if used == (job.Size{}) && u.cpu < 1 && u.memory < 1 && u.accelerators < 1 {
			delete(p.usageByCustomer, customer)
			continue
		}
		p.usageByCustomer[customer] = u
	}
}

// placeAll places candidates, which are sorted: in each priority, first those of customers below
// their share.
func (p *Pool) placeAll(list []candidate, now time.Time) {
	for len(list) > 0 {
		n := 1
		for n < len(list) && list[n].job.queue.Priority == list[0].job.queue.Priority {
			n++
		}
		p.placeFairly(list[:n], now)
		list = list[n:]
	}
}

// placeFairly places candidates of one priority.
func (p *Pool) placeFairly(list []candidate, now time.Time) {
	below := p.belowShare(list, now)
	var deferred []candidate
	for _, c := range list {
		if c.urgency != longRunning && below != nil && !below(c.job.sub.Customer) {
			deferred = append(deferred, c)
			continue
		}
		p.place(c, now)
	}
	for _, c := range deferred {
		p.place(c, now)
	}
}

// belowShare returns a function that reports whether a customer uses less of the pool than its
// share, nil if all candidates belong to one customer. Jobs without a customer count as one
// customer's.
func (p *Pool) belowShare(list []candidate, now time.Time) func(customer string) bool {
	weights := make(map[string]float64)
	for _, c := range list {
		if _, known := weights[c.job.sub.Customer]; !known {
			weights[c.job.sub.Customer] = p.weightOf(c.job.sub.Customer)
		}
	}
	if len(weights) < 2 {
		return nil
	}
	for customer := range p.usageByCustomer {
		if _, known := weights[customer]; !known {
			weights[customer] = p.weightOf(customer)
		}
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	capacity, cache := p.schedulableCapacity(now), make(map[string]bool, len(weights))
	return func(customer string) bool {
		below, known := cache[customer]
		if !known {
			below = p.shareOf(customer, capacity) < weights[customer]/total
			cache[customer] = below
		}
		return below
	}
}

// shareOf returns the share of the capacity that a customer has recently used.
func (p *Pool) shareOf(customer string, capacity job.Size) float64 {
	u := p.usageByCustomer[customer]
	share := 0.0
	for _, of := range []struct {
		used     float64
		capacity int
	}{{u.cpu, capacity.CPU}, {u.memory, capacity.MemoryMB}, {u.accelerators, capacity.Accelerators}} {
		if of.capacity > 0 {
			share = max(share, of.used/float64(of.capacity))
		}
	}
	return share
}

// weightOf returns the weight of a customer's share.
func (p *Pool) weightOf(customer string) float64 {
	if p.config == nil {
		return 1
	}
	return p.config.Customer(customer).Weight()
}

// schedulableCapacity returns the capacity of the workers on which tasks may be placed.
func (p *Pool) schedulableCapacity(now time.Time) job.Size {
	var capacity job.Size
	for _, w := range p.workers {
		if w.schedulable(now) {
			capacity = capacity.Plus(w.info.Capacity)
		}
	}
	return capacity
}
