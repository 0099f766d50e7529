// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"math"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// When not all that waits finds room, a customer that uses less of the pool than its share
// comes before the others, whatever is urgent of theirs; beside that urgency decides. What a
// customer uses is what it uses of the resource that it uses most of (its dominant share).
// With five customers of one share, one of whom hands in a hundred times its own, all jobs of
// the others are in time; ordered by share within each urgency, 0.85 are, since what is about
// to be of no use came first, and by urgency alone 0.73 (TestFloodTakesNothingFromOthers).

// useSpan is the span over which what a customer uses is averaged: jobs come one by one, and
// each takes more than its customer's share while it runs.
const useSpan = 2 * time.Second

// use is what a customer uses of a pool, averaged over a while.
type use struct{ cpu, memory, accelerators float64 }

// averageUse takes what customers have been using since the last time.
func (p *Pool) averageUse(now time.Time) {
	part := 1 - math.Exp(-now.Sub(p.averaged).Seconds()/useSpan.Seconds())
	p.averaged = now
	if p.uses == nil {
		p.uses = make(map[string]use)
	}
	for customer := range p.allowed.used {
		if _, known := p.uses[customer]; !known {
			p.uses[customer] = use{}
		}
	}
	for customer, u := range p.uses {
		used := p.allowed.used[customer]
		u.cpu += (float64(used.CPU) - u.cpu) * part
		u.memory += (float64(used.MemoryMB) - u.memory) * part
		u.accelerators += (float64(used.Accelerators) - u.accelerators) * part
		if used == (job.Size{}) && u.cpu < 1 && u.memory < 1 && u.accelerators < 1 {
			delete(p.uses, customer)
			continue
		}
		p.uses[customer] = u
	}
}

// placeAll places candidates, which are in order: of each priority first those of customers
// below their share.
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
	var later []candidate
	for _, c := range list {
		if c.urgency != lasting && below != nil && !below(c.job.sub.Customer) {
			later = append(later, c)
			continue
		}
		p.place(c, now)
	}
	for _, c := range later {
		p.place(c, now)
	}
}

// belowShare returns what tells whether a customer uses less of the pool than its share, nil
// where all candidates are of one customer. Jobs that are nobody's count as one customer's.
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
	for customer := range p.uses {
		if _, known := weights[customer]; !known {
			weights[customer] = p.weightOf(customer)
		}
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	room, answers := p.openRoom(now), make(map[string]bool, len(weights))
	return func(customer string) bool {
		below, known := answers[customer]
		if !known {
			below = p.shareOf(customer, room) < weights[customer]/total
			answers[customer] = below
		}
		return below
	}
}

// shareOf returns which share of the room a customer has used lately.
func (p *Pool) shareOf(customer string, room job.Size) float64 {
	u := p.uses[customer]
	share := 0.0
	for _, of := range []struct {
		used float64
		room int
	}{{u.cpu, room.CPU}, {u.memory, room.MemoryMB}, {u.accelerators, room.Accelerators}} {
		if of.room > 0 {
			share = max(share, of.used/float64(of.room))
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

// openRoom returns the room of the workers on which tasks may be placed.
func (p *Pool) openRoom(now time.Time) job.Size {
	var room job.Size
	for _, w := range p.workers {
		if w.open(now) {
			room = room.Plus(w.info.Capacity)
		}
	}
	return room
}
