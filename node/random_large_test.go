// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// The size of a large fleet, and how many random days of one are run; YARDBRIDGE_TEST_NODES and
// YARDBRIDGE_TEST_INSTANCES set another size.
const (
	largeNodes, largeInstances = 30, 160
	largeSeeds                 = 1
)

// telltaleSeeds are seeds of such days that a node which ignores evacuations fails.
var telltaleSeeds = []uint64{3}

// TestRandomDaysOfALargeFleet runs random days of a fleet with many nodes and instances: a fifth of the nodes
// is killed at once, others stop in turn, a data centre is evacuated while the store is slow, workers
// crash, and owners change, beside the faults of other random days.
func TestRandomDaysOfALargeFleet(t *testing.T) {
	nodes, instances := sizeFromEnv(t, "YARDBRIDGE_TEST_NODES", largeNodes), sizeFromEnv(t, "YARDBRIDGE_TEST_INSTANCES", largeInstances)
	runDays(t, telltaleSeeds, largeSeeds, func(seed uint64) script { return largeDay(seed, nodes, instances) })
}

// sizeFromEnv returns the number in an environment variable, or a default.
func sizeFromEnv(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// largePools is how many pools share the instances of a large fleet.
const largePools = 4

// largeDay draws a day of a fleet of the given size.
func largeDay(seed uint64, nodes, instances int) script {
	r := rand.New(rand.NewPCG(seed, 11))
	s := script{
		Seed: seed, Nodes: nodes, Off: instances / 20, AppendTime: tomlfile.Duration(4 * time.Millisecond), Until: tomlfile.Duration(dayEnd), AllRunning: true, Complete: []int{1},
	}
	each := (instances - s.Off) / largePools
	for i := range largePools {
		p := scriptPool{Name: fmt.Sprintf("pool-%d", i), Workers: each, Racks: 4}
		s.Pools = append(s.Pools, p)
		s.Jobs = append(s.Jobs, largeJobs(r, p)...)
	}
	s.Events = append(s.Events, scriptEvent{At: seconds(6), Kind: "wave", Share: 0.1, AtOnce: max(2, instances/50), Within: seconds(25)})
	s.Events = append(s.Events, killsAtOnce(r, nodes)...)
	s.Events = append(s.Events, stopsInTurn(r, nodes)...)
	evacuation := tomlfile.Duration(firstFault + time.Duration(r.IntN(4000))*time.Millisecond)
	s.Events = append(s.Events, // long enough that all nodes must know of it, also where some can't read the store for a while
		scriptEvent{At: evacuation, Kind: "evacuate", Worker: r.IntN(4), For: seconds(12 + r.IntN(5))},
		scriptEvent{At: evacuation + seconds(r.IntN(6)), Kind: "store-slow", Within: tomlfile.Duration(time.Duration(10+r.IntN(30)) * time.Millisecond), For: seconds(4)},
	)
	for range 4 + r.IntN(6) { // these name the pools and few workers of small days
		e := randomEvent(r, nodes)
		e.Pool, e.Worker = s.Pools[r.IntN(largePools)].Name, r.IntN(each)
		s.Events = append(s.Events, e)
	}
	for range instances / 100 {
		kind := []string{"crash", "crash", "drain", "silent", "hangs"}[r.IntN(5)]
		s.Events = append(s.Events, scriptEvent{At: faultTime(r), Kind: kind, Pool: s.Pools[r.IntN(largePools)].Name, Worker: r.IntN(each), For: seconds(1)})
	}
	return s
}

// faultTime draws the time of a fault.
func faultTime(r *rand.Rand) tomlfile.Duration {
	return tomlfile.Duration(firstFault + time.Duration(r.Int64N(int64(faultsEnd-firstFault-time.Second))))
}

// killsAtOnce draws the kill of a fifth of the nodes at one time, and on one day in three of all of them.
func killsAtOnce(r *rand.Rand, nodes int) []scriptEvent {
	var events []scriptEvent
	at := faultTime(r)
	for _, n := range r.Perm(nodes)[:nodes/5] {
		events = append(events, scriptEvent{At: at, Kind: "kill", Node: n + 1, For: tomlfile.Duration(time.Duration(200+r.IntN(800)) * time.Millisecond)})
	}
	if r.IntN(3) == 0 {
		events = append(events, scriptEvent{At: faultTime(r), Kind: "kill", For: tomlfile.Duration(500 * time.Millisecond)})
	}
	return events
}

// stopsInTurn draws the stop of a tenth of the nodes, one after the other.
func stopsInTurn(r *rand.Rand, nodes int) []scriptEvent {
	var events []scriptEvent
	at := faultTime(r)
	gap := (tomlfile.Duration(faultsEnd) - at) / tomlfile.Duration(nodes/10+1)
	for i, n := range r.Perm(nodes)[:nodes/10] {
		events = append(events, scriptEvent{At: at + tomlfile.Duration(i)*gap, Kind: "stop", Node: n + 1, For: tomlfile.Duration(300 * time.Millisecond)})
	}
	return events
}

// largeJobs draws the jobs of a pool: a long-running one on a tenth of its workers, and others of two
// steps, some of whose tasks fail or belong to gangs.
func largeJobs(r *rand.Rand, p scriptPool) []scriptJob {
	tasks := func() int { return 1 + r.IntN(max(1, p.Workers/10)) }
	takes := func(least, most int) tomlfile.Duration {
		return tomlfile.Duration(time.Duration(least+r.IntN(most)) * time.Millisecond)
	}
	return []scriptJob{
		{At: seconds(2), Pool: p.Name, Steps: []scriptStep{
			{Count: max(3, p.Workers/10), CPU: 1500, MemoryMB: 1000, LongRunning: true, MaxUnavailable: 1 + p.Workers/100, MaxPerWorker: 2},
		}},
		{At: seconds(3), Pool: p.Name, Count: 30 + r.IntN(20), Gap: takes(300, 300), Steps: []scriptStep{
			{Count: tasks(), CPU: 1000 + r.IntN(4000), MemoryMB: 500, RunTime: takes(300, 1500)},
			{Count: tasks(), CPU: 1000 + r.IntN(4000), MemoryMB: 500, RunTime: takes(300, 900), DependsOn: []int{0}},
		}},
		{At: seconds(4), Pool: p.Name, Count: 3, Gap: seconds(4), Spec: "poison", Steps: []scriptStep{{Count: 2, CPU: 500, MemoryMB: 100, RunTime: takes(300, 1)}}},
		{At: seconds(4), Pool: p.Name, Count: 5, Gap: seconds(3), Steps: []scriptStep{{Count: 2 + r.IntN(6), CPU: 1000, MemoryMB: 100, RunTime: takes(500, 1), Gang: true}}},
	}
}
