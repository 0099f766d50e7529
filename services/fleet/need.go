// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"math"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// poolState is the known state of one pool.
type poolState struct {
	report     scheduler.Report
	reported   poolReport
	reportedAt time.Time // when the report was received
	surge      surge
	expected   int // instances that the current surge is expected to need, 0 for no expectation
	hard       int // instances needed for the current load
	low        int // hard plus the least spare instances
	need       int // hard plus spare instances, as many as the pool is to have
	kept
	logged      capacityLogged
	loggedLacks map[string]int // instances lacked by label in the last log message
}

// capacityLogged is the numbers of instances in the last log message of a pool's capacity.
type capacityLogged struct{ need, supply, serving int }

// Parameters of the number of instances that a pool needs.
const (
	spareShare   = 1.1                     // multiple of the used or requested capacity
	maxSpare     = 5.0                     // least spare instances of a pool whose jobs can't wait
	minSpare     = 1.0                     // least spare instances of a pool whose jobs can wait
	spareOfFleet = 0.015                   // spare instances of a pool whose jobs can't wait, as a share of all instances, if that is more
	urgentSlack  = 1500 * time.Millisecond // slack of jobs that can't wait: an instance takes longer to arrive
	patientSlack = 3 * time.Second         // slack of jobs that can wait
	keepFrom     = 1                       // instances that a pool keeps beyond its need when others get instances from it
)

// needs is how many instances a pool needs.
type needs struct {
	hard int // for work that can still complete in time, excluding instances with labels
	low  int // including the least spare instances, and overdue work
	high int // including all spare instances, and overdue work
}

// needsOf returns how many instances of a size a pool needs, in a fleet of a number of instances.
// Overdue work takes no instance from work that can still be in time. Tasks that must run apart leave
// most of their instances free, which serve as spare ones.
func needsOf(r scheduler.Report, size job.Size, fleet int) needs {
	used := r.Lasting.Plus(r.Running.Max(r.ArrivalLoad)).Plus(r.Required)
	share := shareOf(used, size) * spareShare
	least, overdue := spareFor(r.Slack), shareOf(r.Overdue, size)
	most := max(least, least/maxSpare*spareOfFleet*float64(fleet))
	return needs{
		hard: max(int(math.Ceil(share)), r.MinWorkers),
		low:  max(int(math.Ceil(share+max(least, overdue))), r.MinWorkers),
		high: max(int(math.Ceil(share+max(most, overdue))), r.MinWorkers),
	}
}

// spareFor returns the least number of instances that a pool needs to keep free, so that a surge of
// jobs with the given slack finds capacity until more instances arrive.
func spareFor(slack time.Duration) float64 {
	if slack == 0 {
		return maxSpare
	}
	part := float64(patientSlack-slack) / float64(patientSlack-urgentSlack)
	return minSpare + (maxSpare-minSpare)*min(max(part, 0), 1)
}

// instances returns how many instances of a size the capacity takes, including a reserve.
func instances(used, size job.Size) int {
	return int(math.Ceil(shareOf(used, size) * spareShare))
}

// shareOf returns how many instances of a size the capacity fills.
func shareOf(used, size job.Size) float64 {
	share := 0.0
	for _, d := range []struct{ used, size int }{
		{used.CPU, size.CPU}, {used.MemoryMB, size.MemoryMB}, {used.Accelerators, size.Accelerators},
	} {
		if d.size > 0 {
			share = max(share, float64(d.used)/float64(d.size))
		}
	}
	return share
}

// refillShare is the part of the spare instances beyond the least ones that may be in use before a
// pool gets more: each instance that moves for a chance variation moves back soon.
const refillShare = 0.5

// follow updates the needs of a pool, which has a number of instances.
func (p *poolState) follow(n needs, has int) {
	p.hard, p.low, p.need = n.hard, n.low, n.high
	if refill := n.low + int(math.Ceil(float64(n.high-n.low)*(1-refillShare))); has >= refill {
		p.need = min(max(has, n.low), n.high)
	}
}

// needs returns how many instances a pool must keep now.
func (v *view) needs(pool string) int {
	if p := v.pools[pool]; p != nil {
		return max(p.low, p.expected)
	}
	return 0
}

func (p *poolState) hardNeed() int { return p.hard }
func (p *poolState) softNeed() int { return max(p.need, p.expected) }
