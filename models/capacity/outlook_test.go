// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
)

// cpu returns a size of a number of cores.
func cpu(cores int) job.Size { return job.Size{CPU: cores * 1000} }

// work returns the work of a number of cores for a second.
func work(cores int) Work { return WorkOf(cpu(cores), time.Second) }

// TestWorkWaitsForCapacityOnItsWay guards against waits that count instances as there while they are on
// their way, or not at all: work for 40 core-seconds on 10 cores takes 4 s, and less by what the 20
// cores do that serve after 2 s.
func TestWorkWaitsForCapacityOnItsWay(t *testing.T) {
	o := New(time.Time{}, cpu(10), job.Size{})
	assert.Equal(t, o.TimeFor(work(40)), 4*time.Second)
	o = o.WithArrivals([]Change{{2 * time.Second, cpu(10)}}, 0)
	assert.Equal(t, o.TimeFor(work(40)), 3*time.Second)
	assert.Equal(t, o.TimeFor(work(20)), 2*time.Second)
	assert.Equal(t, o.Serving(time.Second), cpu(10))
	assert.Equal(t, o.Serving(2*time.Second), cpu(20))
	assert.Equal(t, New(time.Time{}, job.Size{}, job.Size{}).TimeFor(work(1)), Never)
}

// TestOutdatedReportsCountForLess guards against capacity that is promised for ever: what another node
// has reported counts in full at first, then for less, and in the end for nothing.
func TestOutdatedReportsCountForLess(t *testing.T) {
	o := New(time.Time{}, cpu(10), job.Size{})
	reported := []Change{{4 * time.Second, cpu(10)}}
	for _, c := range []struct {
		age   time.Duration
		cores int
	}{{0, 10}, {freshFor, 10}, {(freshFor + staleAfter) / 2, 5}, {staleAfter, 0}, {time.Minute, 0}} {
		assert.Equal(t, o.WithArrivals(reported, c.age).Arriving(), cpu(c.cores), "%s", c.age)
		assert.Equal(t, o.WithPotential(reported, c.age).Potential(), cpu(c.cores), "%s", c.age)
	}
}

// TestArrivalsThatAreOverdueCountOnce guards against instances that count twice: as workers that serve
// and as on their way by an older report.
func TestArrivalsThatAreOverdueCountOnce(t *testing.T) {
	o := New(time.Time{}, cpu(10), job.Size{}).WithArrivals([]Change{{0, cpu(10)}}, arrivalGrace+time.Millisecond)
	assert.Equal(t, o.Arriving(), job.Size{})
}

// TestLimitCapsWhatACustomerCanUse guards against waits of a customer at its limit that count the whole
// pool.
func TestLimitCapsWhatACustomerCanUse(t *testing.T) {
	o := New(time.Time{}, cpu(10), cpu(2)).WithArrivals([]Change{{time.Second, cpu(10)}}, 0).CappedAt(cpu(15))
	assert.Equal(t, o.Serving(2*time.Second), cpu(15))
	assert.Equal(t, o.TimeFor(work(25)), 2*time.Second)
	assert.Equal(t, o.CappedAt(job.Size{MemoryMB: 1}).Serving(0), cpu(10))
}

// TestFreeCapacityGrowsAsRunsEnd checks what is free when, and that a pool without reports of others has
// only its own.
func TestFreeCapacityGrowsAsRunsEnd(t *testing.T) {
	o := New(time.Time{}, cpu(10), cpu(2)).WithEnds([]Change{{2 * time.Second, cpu(5)}, {time.Second, cpu(3)}})
	assert.Equal(t, o.Free(0), cpu(2))
	assert.Equal(t, o.Free(time.Second), cpu(5))
	assert.Equal(t, o.Free(2*time.Second), cpu(10))
	o = o.WithPotential([]Change{{time.Second, cpu(4)}}, 0)
	assert.Equal(t, o.Free(time.Second), cpu(9))
	assert.Equal(t, o.Promised().Free(time.Second), cpu(5))
	assert.Equal(t, o.Scale(0.5).Free(time.Second), job.Size{CPU: 4500})
}

// TestWorkWithinCountsWhatBeginsToServe guards against seconds in a surge for which too little is promised:
// capacity that begins to serve in their course does part of its work in them.
func TestWorkWithinCountsWhatBeginsToServe(t *testing.T) {
	o := New(time.Time{}, cpu(10), cpu(10)).WithArrivals([]Change{{1500 * time.Millisecond, cpu(4)}}, 0).WithPotential([]Change{{500 * time.Millisecond, cpu(8)}}, 0)
	assert.DeepEqual(t, o.WorkWithin(0, time.Second), work(14))
	assert.DeepEqual(t, o.WorkWithin(time.Second, 2*time.Second), work(20))
	assert.DeepEqual(t, o.Promised().WorkWithin(time.Second, 2*time.Second), work(12))
	assert.DeepEqual(t, o.WorkWithin(5*time.Second, 6*time.Second), work(22))
}
