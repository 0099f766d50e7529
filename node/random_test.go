// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// randomSeeds is how many random days are run; YARDBRIDGE_TEST_SEEDS sets another number, and
// YARDBRIDGE_TEST_SEED selects one seed.
const randomSeeds = 40

// failedSeeds are seeds of random days that have failed before; they run first.
var failedSeeds = []uint64{
	22,                                      // a node was asked to take a pool over before it had a configuration
	32,                                      // the model considered a task down because of an order although the task had been running since
	2, 6, 7, 8, 47, 48, 66, 70, 73, 86, 168, // failed during the development of package node: see the commits that name them
}

// TestRandomDays runs days with faults drawn from a seed. All faults end before faultsEnd, and by
// the end everything that was requested must be done.
func TestRandomDays(t *testing.T) { runDays(t, failedSeeds, randomSeeds, randomDay) }

// runDays runs days that are drawn from seeds: those that have failed before, and the first ones up
// to a count, unless the environment sets another count or one seed.
func runDays(t *testing.T, failed []uint64, count int, day func(seed uint64) script) {
	t.Parallel() // beside the other kinds of days: the last days of a kind leave processors idle
	if text := os.Getenv("YARDBRIDGE_TEST_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		runScript(t, day(seed))
		return
	}
	if text := os.Getenv("YARDBRIDGE_TEST_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		assert.NilError(t, err)
		count = n
	}
	seeds := slices.Clone(failed)
	for n := range count {
		if seed := uint64(n + 1); !slices.Contains(failed, seed) {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runScript(t, day(seed))
		})
	}
}

// The times of a random day.
const (
	firstFault = 5 * time.Second
	faultsEnd  = 26 * time.Second
	dayEnd     = 70 * time.Second
)

// randomDay draws a day.
func randomDay(seed uint64) script {
	r := rand.New(rand.NewPCG(seed, 2))
	s := script{
		Seed: seed, Nodes: 3 + r.IntN(3), Off: 4 + r.IntN(3), Until: tomlfile.Duration(dayEnd), AllRunning: true, Complete: []int{1},
		Pools: []scriptPool{{"alpha", 4 + r.IntN(3), 2, false}, {"beta", 3 + r.IntN(3), 2, r.IntN(3) == 0}},
	}
	for _, p := range s.Pools {
		s.Jobs = append(s.Jobs,
			scriptJob{At: seconds(2), Pool: p.Name, Steps: []scriptStep{
				{Count: 3 + r.IntN(3), CPU: 1500, MemoryMB: 1000, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 2},
			}},
			scriptJob{At: seconds(3), Pool: p.Name, Count: 20 + r.IntN(40), Gap: tomlfile.Duration(time.Duration(200+r.IntN(400)) * time.Millisecond), Steps: []scriptStep{
				{Count: 1 + r.IntN(6), CPU: 500 + r.IntN(2000), MemoryMB: 500, RunTime: tomlfile.Duration(time.Duration(300+r.IntN(1500)) * time.Millisecond)},
				{Count: 1 + r.IntN(6), CPU: 500 + r.IntN(2000), MemoryMB: 500, RunTime: tomlfile.Duration(time.Duration(300+r.IntN(900)) * time.Millisecond), DependsOn: []int{0}},
			}},
			scriptJob{At: seconds(4), Pool: p.Name, Count: 3, Gap: seconds(4), Spec: "poison", Steps: []scriptStep{{Count: 2, CPU: 500, MemoryMB: 100, RunTime: tomlfile.Duration(300 * time.Millisecond)}}},
			scriptJob{At: seconds(4), Pool: p.Name, Count: 5, Gap: seconds(3), Steps: []scriptStep{{Count: 2 + r.IntN(3), CPU: 1000, MemoryMB: 100, RunTime: tomlfile.Duration(500 * time.Millisecond), Gang: true}}},
		)
	}
	s.Events = append(s.Events, scriptEvent{At: seconds(6), Kind: "wave", Share: 0.5, AtOnce: 2 + r.IntN(2), Within: seconds(25)})
	for range 4 + r.IntN(6) {
		s.Events = append(s.Events, randomEvent(r, s.Nodes))
	}
	return s
}

func seconds(n int) tomlfile.Duration { return tomlfile.Duration(time.Duration(n) * time.Second) }

// randomEvent draws a fault that ends before faultsEnd.
func randomEvent(r *rand.Rand, nodes int) scriptEvent {
	kinds := []string{
		"kill", "kill", "stop", "cut", "store-silent", "store-refuses", "store-lost", "workers-cut", "crash", "crash", "silent", "late",
		"hangs", "fails", "drain", "history", "orders-lost", "relist",
	}
	at := firstFault + time.Duration(r.Int64N(int64(faultsEnd-firstFault)))
	e := scriptEvent{
		At: tomlfile.Duration(at), Kind: kinds[r.IntN(len(kinds))], Node: 1 + r.IntN(nodes), Worker: r.IntN(4),
		Pool: []string{"alpha", "beta"}[r.IntN(2)], Share: 0.35,
		For: tomlfile.Duration(min(time.Duration(500+r.IntN(8000))*time.Millisecond, faultsEnd-at)),
	}
	if r.IntN(4) == 0 {
		e.Node = 0 // all nodes
	}
	return e
}
