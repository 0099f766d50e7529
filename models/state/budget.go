// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"slices"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// Headroom describes how far a pool is from violating its budget.
type Headroom struct {
	Serving       int // instances in service on live workers
	LargestDomain int // of them in the largest failure domain
	MinAvailable  int // that must stay in service
}

// Spare returns how many instances could be removed such that the loss of the largest domain still
// leaves the required ones; it is negative if too few are in service.
func (h Headroom) Spare() int { return h.Serving - h.LargestDomain - h.MinAvailable }

// Headroom returns the headroom of a pool without the named workers.
func (s State) Headroom(p *manifest.Pool, excluded ...string) Headroom {
	return s.HeadroomWith(p, nil, excluded...)
}

// HeadroomWith returns the headroom that a pool would have with more instances in service, possibly
// none, and without the named workers.
func (s State) HeadroomWith(p *manifest.Pool, more []Instance, without ...string) Headroom {
	h := Headroom{MinAvailable: p.MinAvailable}
	domains := make(map[string]int)
	for _, i := range append(s.PoolInstances(p.Name), more...) {
		if !i.Serving() || slices.Contains(without, i.Worker.ID) {
			continue
		}
		h.Serving++
		d := domainOf(p.FailureDomain, i)
		domains[d]++
		h.LargestDomain = max(h.LargestDomain, domains[d])
	}
	return h
}

// domainOf returns the failure domain of an instance.
func domainOf(d manifest.FailureDomain, i Instance) string {
	switch d {
	case manifest.DomainDataCenter:
		return i.Worker.DataCenter
	case manifest.DomainWorker:
		return i.Worker.ID
	}
	return i.Worker.DataCenter + "/" + i.Worker.Rack
}

// CheckDrain returns nil if the instance can be taken out of service and its pool keeps its budget
// even after the loss of a further domain.
func (s State) CheckDrain(i Instance) error {
	p := s.Catalog.Pool(i.Pool)
	if p == nil || !i.Serving() {
		return nil // a spare or lost instance does not count for a budget
	}
	h := s.Headroom(p, i.Worker.ID)
	if h.Spare() >= 0 {
		return nil
	}
	return errkind.New(errkind.Conflict, "pool %s would keep %d in service, %d of them in one %s, and must keep %d through its loss",
		p.Name, h.Serving, h.LargestDomain, p.FailureDomain, h.MinAvailable)
}
