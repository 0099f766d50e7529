// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
	"github.com/yardbridge/yardbridge/standin/world"
)

// crashSeeds is how many random days with tasks that crash their workers are run.
const crashSeeds = 30

// maxHealthyGiveUps is how many jobs may be given up apart from those whose tasks crash workers, of
// some 70 a day. One in some thousand days gives up one: the users allow that for a task under
// which two workers have crashed, and on these days four have.
const maxHealthyGiveUps = 1

// TestRandomDaysWithCrashes runs random days on which some tasks crash each worker that starts
// them, worker capacities shrink and machines are suspended, besides all other faults: the jobs of
// such tasks fail, and all others end as they must.
func TestRandomDaysWithCrashes(t *testing.T) { runDays(t, nil, crashSeeds, crashDay) }

// crashDay draws a random day and adds crashing tasks, shrinking workers and suspended machines.
func crashDay(seed uint64) script {
	s := randomDay(seed)
	s.Pools[1].Policy = false
	s.GiveUp = maxHealthyGiveUps
	r := rand.New(rand.NewPCG(seed, 3))
	within := func() tomlfile.Duration {
		return tomlfile.Duration(firstFault + time.Duration(r.Int64N(int64(faultsEnd-firstFault))))
	}
	for range 2 + r.IntN(4) {
		s.Jobs = append(s.Jobs, scriptJob{At: within(), Pool: s.Pools[0].Name, Spec: world.CrashingSpec, Steps: []scriptStep{
			{Count: 1 + r.IntN(4), CPU: 500, MemoryMB: 100, RunTime: seconds(1)},
		}})
	}
	for range 2 + r.IntN(3) {
		at := within()
		s.Events = append(s.Events, scriptEvent{
			At: at, Kind: "shrink", Pool: s.Pools[r.IntN(2)].Name, Worker: r.IntN(4), Share: 0.1 + 0.6*r.Float64(),
			For: min(tomlfile.Duration(time.Duration(1+r.IntN(10))*time.Second), tomlfile.Duration(faultsEnd)-at),
		})
	}
	for range r.IntN(3) {
		at := within()
		s.Events = append(s.Events, scriptEvent{
			At: at, Kind: "suspend", Node: r.IntN(s.Nodes + 1),
			For: min(tomlfile.Duration(time.Duration(500+r.IntN(8000))*time.Millisecond), tomlfile.Duration(faultsEnd)-at),
		})
	}
	return s
}
