// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"time"

	"github.com/yardbridge/yardbridge/models/job"
)

// A step that the pool can't run, whatever ends there and whatever the fleet brings, asks for nothing: instances and
// allowances that it gets are taken from work that can use them, and it is no work that others wait for. It is found to
// be such a step after unsuitedAfter, in which instances may arrive that suit it.

// reach is what the workers of a pool can hold when they are empty; the zero value is not computed yet.
type reach struct {
	computed bool
	total    job.Size
	largest  map[string]job.Size // by label, "" for all workers: no worker holds more in any dimension
	bringing job.Size            // capacity that the fleet brings or could bring
	known    bool                // that is known
}

// currentReach returns what the pool's workers can hold, as of the last plan or report.
func (p *Pool) currentReach(now time.Time) *reach {
	if !p.reach.computed {
		p.reach = p.computeReach(now)
	}
	return &p.reach
}

func (p *Pool) computeReach(now time.Time) reach {
	r := reach{computed: true, largest: make(map[string]job.Size), known: p.fleetKnown(now)}
	for _, w := range p.workers {
		if !w.reachable() {
			continue
		}
		size := w.info.Capacity.Max(w.mostCapacity) // it may have shrunk for a while
		r.total = r.total.Plus(size)
		r.largest[""] = r.largest[""].Max(size)
		for _, label := range w.info.Labels {
			r.largest[label] = r.largest[label].Max(size)
		}
	}
	for _, c := range p.lastCordonRequest.Arriving {
		r.bringing = r.bringing.Plus(c.Size)
	}
	for _, c := range p.lastCordonRequest.Potential {
		r.bringing = r.bringing.Plus(c.Size)
	}
	return r
}

// mayBeUnsuited reports whether a step has waited for so long that an instance on its way would have come.
func (s *stepState) mayBeUnsuited(now time.Time) bool {
	return !s.waitingSince.IsZero() && now.Sub(s.waitingSince) >= unsuitedAfter
}

// outOfReach reports whether a step has waited for some time and its tasks are larger than any worker that has its label,
// or its gang larger than the pool with all that the fleet can bring.
func (p *Pool) outOfReach(s *stepState, now time.Time) bool {
	if !s.mayBeUnsuited(now) {
		return false
	}
	size := s.spec.Reservation()
	r := p.currentReach(now)
	largest, has := r.largest[s.spec.Label]
	switch {
	case has && !size.FitsIn(largest):
		return true
	case s.spec.Gang && r.known && len(r.largest) > 0:
		return !size.Times(s.count()).FitsIn(r.total.Plus(r.bringing))
	}
	return false
}

// hasNoWorker reports whether a step is out of reach or no worker of the pool has its label: an allowance is of no use to
// it now.
func (p *Pool) hasNoWorker(s *stepState, now time.Time) bool {
	if !s.mayBeUnsuited(now) {
		return false
	}
	r := p.currentReach(now)
	_, has := r.largest[s.spec.Label]
	return p.outOfReach(s, now) || !has && len(r.largest) > 0
}
