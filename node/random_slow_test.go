// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// slowSeeds is how many random days with a slow store are run; see randomSeeds.
const slowSeeds = 4

// TestRandomDaysOfASlowStore runs random days on which the store is slow in surges, so that tasks are
// placed ahead, while owners are killed and stopped, workers crash and start again, and partitions are
// away.
func TestRandomDaysOfASlowStore(t *testing.T) { runDays(t, nil, slowSeeds, slowDay) }

// slowDay draws a random day, with workers that restart or partitions that are away, and adds surges
// beside a slow store in which owners change.
func slowDay(seed uint64) script {
	s := restartDay(seed)
	if seed%3 == 0 {
		s = partDay(seed)
	}
	r := rand.New(rand.NewPCG(seed, 7))
	for _, p := range s.Pools {
		s.Jobs = append(s.Jobs, scriptJob{At: seconds(5), Pool: p.Name, Count: 80, Gap: tomlfile.Duration(time.Duration(80+r.IntN(120)) * time.Millisecond), Steps: []scriptStep{
			{Count: 3 + r.IntN(4), CPU: 1500 + r.IntN(2500), MemoryMB: 500, RunTime: tomlfile.Duration(time.Duration(300+r.IntN(600)) * time.Millisecond)},
			{Count: 1 + r.IntN(4), CPU: 1500 + r.IntN(2500), MemoryMB: 500, RunTime: tomlfile.Duration(time.Duration(300+r.IntN(600)) * time.Millisecond), DependsOn: []int{0}},
		}})
	}
	for at := firstFault; at < faultsEnd-4*time.Second; at += 6 * time.Second {
		slow := tomlfile.Duration(time.Duration(40+r.IntN(120)) * time.Millisecond)
		s.Events = append(s.Events, scriptEvent{At: tomlfile.Duration(at), Kind: "store-slow", Within: slow, For: seconds(4)})
		within := func() tomlfile.Duration { return tomlfile.Duration(at + time.Duration(r.IntN(4000))*time.Millisecond) }
		s.Events = append(s.Events,
			scriptEvent{At: within(), Kind: []string{"kill", "stop", "cut", "store-silent", "workers-cut"}[r.IntN(5)], Node: r.IntN(s.Nodes + 1), For: seconds(2)},
			scriptEvent{At: within(), Kind: []string{"evacuate", "drain", "silent", "late", "shrink"}[r.IntN(5)], Pool: s.Pools[r.IntN(2)].Name, Worker: r.IntN(2), Share: 0.5, For: seconds(2)},
		)
	}
	return s
}
