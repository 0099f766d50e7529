// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/setting"
)

// cores returns a size of a number of cores.
func cores(n float64) job.Size { return job.Size{CPU: int(n * 1000)} }

// load returns the load of tasks that take a number of cores for a second.
func load(n float64) Load { return Load{capacity.WorkOf(cores(n), time.Second), cores(n)} }

// ten is a pool of which ten cores are usable.
var ten = capacity.New(time.Time{}, job.Size{CPU: 11112}, job.Size{})

// state returns the state of a pool of ten cores with work ahead.
func state(ahead float64) State {
	return State{FleetKnown: true, ShareUsed: 1, Pool: Lane{Outlook: ten, Ahead: load(ahead)}}
}

// aSecond is a job of a core for a second that is planned for within a second.
var aSecond = Request{Load: load(1), Latest: partOf(time.Second, 1/plannedPart), Useful: 6 * time.Second}

// TestRefusalTellsWhenSuchAJobIsInTime guards against refusals with a time after which the job would be
// refused again, and against times that are longer than needed.
func TestRefusalTellsWhenSuchAJobIsInTime(t *testing.T) {
	d := Completion.Decide(aSecond, state(29))
	assert.Equal(t, d, Decision{Reason: Late, Wait: 3 * time.Second, After: 2 * time.Second})
	left := 29 - 10*d.After.Seconds()
	assert.Assert(t, Completion.Decide(aSecond, state(left-0.1)).Accepted)
	assert.Assert(t, !Completion.Decide(aSecond, state(left+0.1)).Accepted)
}

// TestAcceptedWorkKeepsItsPlace guards against jobs with little time that are accepted before work which
// then would be late.
func TestAcceptedWorkKeepsItsPlace(t *testing.T) {
	s := state(0)
	latest := partOf(2*time.Second, 1/keptPart)
	s.Pool.Behind = []Due{{latest, load(20)}}
	d := Completion.Decide(aSecond, s)
	assert.Equal(t, d.Reason, Displaces)
	assert.Equal(t, d.After, 100*time.Millisecond)
	s.Pool.Behind = []Due{{latest, load(19)}}
	assert.Assert(t, Completion.Decide(aSecond, s).Accepted)
	s.Pool.Behind = []Due{{latest, load(40)}} // late in any case
	assert.Assert(t, Completion.Decide(aSecond, s).Accepted)
}

// TestNothingIsRefusedBeforeTheFleetIsKnown guards against refusals in a surge that has just begun while
// it is not known what instances are on their way.
func TestNothingIsRefusedBeforeTheFleetIsKnown(t *testing.T) {
	s := state(1000)
	s.FleetKnown = false
	assert.Assert(t, Completion.Decide(aSecond, s).Accepted)
	s.Overloaded, s.OverloadWait = true, 5*time.Second
	assert.Equal(t, Completion.Decide(aSecond, s), Overload.Decide(aSecond, s))
	assert.Equal(t, Overload.Decide(aSecond, s), Decision{Reason: Overloaded, Wait: 5 * time.Second, After: 5*time.Second - aSecond.Latest})
}

// TestNothingIsRefusedThatTheFleetBrings guards against refusals with instances free: ten times the
// capacity serves within the time in which the job is of value, or it does not.
func TestNothingIsRefusedThatTheFleetBrings(t *testing.T) {
	s := state(60)
	for _, c := range []struct {
		after  time.Duration
		reason Reason
	}{{time.Second, InTime}, {1500 * time.Millisecond, Brought}, {3 * time.Second, Brought}, {20 * time.Second, Late}} {
		s.Pool.Outlook = ten.WithPotential([]capacity.Change{{After: c.after, Size: cores(100)}}, 0)
		assert.Equal(t, Completion.Decide(aSecond, s).Reason, c.reason, "%s", c.after)
	}
}

// TestLimitRefusesOnItsOwn guards against a customer at its limit whose jobs wait for that while the pool
// has room.
func TestLimitRefusesOnItsOwn(t *testing.T) {
	s := state(0)
	s.Limit = Lane{Outlook: ten.CappedAt(cores(1 / usableCapacity)), Ahead: load(4)}
	assert.Equal(t, Completion.Decide(aSecond, s).Reason, OverLimit)
	assert.Equal(t, s.Ahead(OverLimit), load(4))
	s.Limit.Ahead = Load{}
	assert.Assert(t, Completion.Decide(aSecond, s).Accepted)
}

// TestWorkOfEachDimensionCounts guards against waits by processor time alone in a pool that is short of
// memory.
func TestWorkOfEachDimensionCounts(t *testing.T) {
	s := state(0)
	s.Pool.Outlook = capacity.New(time.Time{}, job.Size{CPU: 10000, MemoryMB: 1000}, job.Size{})
	s.Pool.Ahead.Work = capacity.WorkOf(job.Size{CPU: 1, MemoryMB: 1000}, 4*time.Second)
	s.Pool.Ahead.Size = job.Size{CPU: 1, MemoryMB: 1000}
	r := aSecond
	r.Load.Work.MemoryMB = 1
	assert.Equal(t, Completion.Decide(r, s).Reason, Late)
}

// TestHopelessJobIsAcceptedByAnIdlePool guards against refusals without end of jobs that are never in
// time, such as one that is larger than its pool.
func TestHopelessJobIsAcceptedByAnIdlePool(t *testing.T) {
	large := Request{Load: load(100), Latest: time.Second, Useful: 5 * time.Second}
	assert.Assert(t, Completion.Decide(large, state(0)).Accepted)
	assert.Assert(t, Completion.Decide(large, state(10)).Accepted)
	assert.Assert(t, !Completion.Decide(large, state(100)).Accepted)
}

// TestPolicyOfASetting checks which policy a setting selects.
func TestPolicyOfASetting(t *testing.T) {
	for _, c := range []struct {
		name      string
		customers bool
		want      Policy
	}{
		{"", false, Overload}, {"", true, Completion}, {setting.AdmissionAuto, false, Overload}, {setting.AdmissionAuto, true, Completion},
		{setting.AdmissionOverload, true, Overload}, {setting.AdmissionCompletion, false, Completion},
	} {
		assert.Equal(t, Select(c.name, c.customers).Name, c.want.Name)
	}
}

// TestMoreIsPlannedForThoseWithinTheirShares guards against a customer that floods the pool up to what is
// planned for all, so that the others find nothing left.
func TestMoreIsPlannedForThoseWithinTheirShares(t *testing.T) {
	for _, c := range []struct {
		used, seconds float64
	}{{0, partOfNewcomer}, {1, plannedPart}, {2, partAboveShare}, {9, partAboveShare}} {
		s := state(0)
		s.ShareUsed = c.used
		r := Request{Load: load(1), Latest: 10 * time.Second, Useful: time.Minute}
		s.Pool.Ahead = load(100*c.seconds - 2)
		assert.Assert(t, Completion.Decide(r, s).Accepted, "%v", c.used)
		s.Pool.Ahead = load(100*c.seconds + 2)
		assert.Assert(t, !Completion.Decide(r, s).Accepted, "%v", c.used)
	}
}

// BenchmarkCompletion decides on a job behind much accepted work, with capacity on its way: the owner of a
// pool in a surge does so for each call, under its lock.
func BenchmarkCompletion(b *testing.B) {
	var changes []capacity.Change
	for n := range 8 {
		changes = append(changes, capacity.Change{After: time.Duration(n) * 300 * time.Millisecond, Size: cores(4)})
	}
	s := state(5)
	s.Pool.Outlook = ten.WithEnds(changes).WithArrivals(changes, 0).WithPotential(changes, 0)
	for n := range 60 {
		s.Pool.Behind = append(s.Pool.Behind, Due{time.Duration(n) * 100 * time.Millisecond, load(0.2)})
	}
	s.Limit = s.Pool
	b.ReportAllocs()
	for b.Loop() {
		Completion.Decide(aSecond, s)
	}
}
