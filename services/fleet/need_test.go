// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// TestSpareFollowsTheFleet guards against a number of spare instances that fits a small fleet only. The
// load is that of turns on a fleet of 6,000: a pool at rest needs 30 instances, and 100 more in the
// first second of its turn, while an instance arrives 1.7 s after it is requested. On a fleet of 350 a
// pool keeps five.
func TestSpareFollowsTheFleet(t *testing.T) {
	size := job.Size{CPU: 1000, MemoryMB: 1000}
	atRest := scheduler.Report{Running: size.Times(30)}
	for fleet, least := range map[int]int{350: 5, 6000: 80, 12000: 160} {
		n := needsOf(atRest, size, fleet)
		assert.Assert(t, n.high-n.hard >= least && n.high-n.hard <= least+least/5, "%d of %d: %+v", least, fleet, n)
		assert.Assert(t, n.low-n.hard == 5)
	}
	patient := atRest
	patient.Slack = patientSlack
	n := needsOf(patient, size, 6000)
	assert.Assert(t, n.high-n.hard < 25, "jobs that can wait: %+v", n)
}

// TestChanceVariationsMoveNoInstances guards against instances that move with each variation of the
// demand: while half of the spare instances are free, none comes, and those there stay.
func TestChanceVariationsMoveNoInstances(t *testing.T) {
	size, now := job.Size{CPU: 1000, MemoryMB: 1000}, time.Unix(1000, 0)
	p, has, moves := &poolState{}, 123, 0
	for n := range 200 {
		now = now.Add(period)
		r := scheduler.Report{Running: size.Times(30 + n%7*5)}
		p.follow(needsOf(r, size, 6000), has)
		p.kept.follow(p.need, has, true, DefaultMoveWorth, now)
		switch {
		case has < p.need:
			moves += p.need - has
			has = p.need
		case has > p.level:
			moves += has - p.level
			has = p.level
		}
	}
	assert.Equal(t, moves, 0)
	p.follow(needsOf(scheduler.Report{Running: size.Times(100)}, size, 6000), has)
	assert.Assert(t, p.need > has+70, "%d of %d: half of the spare instances are in use", has, p.need)
}

// TestLeastNumberOfLabelledInstances guards against tasks with a label that wait for ever (LOST): they must run on
// several instances although they fit into one.
func TestLeastNumberOfLabelledInstances(t *testing.T) {
	v := fleetView(rand.New(rand.NewPCG(1, 1)), false, 0)
	const label, least = "r-60", 3
	r := &v.pools["p0"].report
	r.Labels, r.MinLabelled = map[string]job.Size{label: {}}, map[string]int{label: least}
	v.count()
	there := v.counts.labelled[poolLabel{"p0", label}]
	moves := 0
	for _, a := range v.plan() {
		moves += btoi(a.to == "p0" && has(v.instances[a.instance], label))
	}
	assert.Equal(t, there+moves, least, "%d there", there)
}
