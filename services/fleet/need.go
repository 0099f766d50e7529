// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"math"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// poolState is what is known of one pool.
type poolState struct {
	report   scheduler.Report
	at       time.Time // when it was told
	rush     rush
	expected int            // instances that a rush is expected to need that has begun, 0 for no more than it does
	hard     int            // instances that what is there needs now
	need     int            // the same and the spare ones
	level    int            // the same, held for a while after a peak
	peak     time.Time      // when it last needed as many
	logged   [2]int         // need and supply, as logged last
	lacked   map[string]int // instances lacked by label, as logged last
}

// The numbers of instances that are held for a pool.
const (
	spareShare   = 1.1                     // of the room that is in use or waited for
	mostSpare    = 5.0                     // instances that a pool whose jobs can't wait has free
	leastSpare   = 1.0                     // the same for one whose jobs can
	hastySlack   = 1500 * time.Millisecond // of jobs that can't wait: an instance takes longer to come
	patientSlack = 3 * time.Second         // of jobs that can
	keepFrom     = 1                       // instances that a pool keeps beyond its need when others take from it
	holdLevel    = 3 * time.Second         // after a peak; a move there and back takes as long
)

// needs returns how many instances of a size a pool needs for what is of use, those
// with labels aside, and how many with the spare ones and for what is overdue, which
// takes no instance from what can still be in time. What must be apart leaves most of
// its instances free, which are as good as spare ones.
func needs(r scheduler.Report, size job.Size) (hard, soft int) {
	used := r.Lasting.Plus(r.Running.Max(r.ArrivalLoad)).Plus(r.Required)
	share := shareOf(used, size) * spareShare
	more := max(spareFor(r.Slack), shareOf(r.Overdue, size))
	return max(int(math.Ceil(share)), r.MinWorkers), max(int(math.Ceil(share+more)), r.MinWorkers)
}

// spareFor returns how many instances a pool is to have free, so that a rush of
// jobs with a slack finds room until more instances have come.
func spareFor(slack time.Duration) float64 {
	if slack == 0 {
		return mostSpare
	}
	part := float64(patientSlack-slack) / float64(patientSlack-hastySlack)
	return leastSpare + (mostSpare-leastSpare)*min(max(part, 0), 1)
}

// instances returns how many instances of a size room takes, with some to spare.
func instances(used, size job.Size) int {
	return int(math.Ceil(shareOf(used, size) * spareShare))
}

// shareOf returns how many instances of a size room fills.
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

// follow takes a need into the level of a pool that has so many instances. A holder that looks
// for the first time does not know the last peak, and a pool that has changed its owner
// with it does not know what arrives: what the pool has is held as after a peak.
func (p *poolState) follow(hard, n, has int, now time.Time) {
	p.hard, p.need = hard, n
	if p.peak.IsZero() {
		p.level, p.peak = max(n, has), now
	}
	if n >= p.level {
		p.level, p.peak = n, now
		return
	}
	if now.Sub(p.peak) > holdLevel {
		p.level, p.peak = n, now
	}
}

// needs returns how many instances a pool needs now.
func (v *view) needs(pool string) int {
	if p := v.pools[pool]; p != nil {
		return p.softNeed()
	}
	return 0
}

func (p *poolState) hardNeed() int { return p.hard }
func (p *poolState) softNeed() int { return max(p.need, p.expected) }
