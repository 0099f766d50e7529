// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// roundSeeds is how many random days with jobs of many rounds are run.
const roundSeeds = 5

// TestRandomDaysWithRounds runs random days with jobs of many rounds, beside all other faults and workers that restart:
// rounds that overlap, that are all due at once, more than are opened at a time, and whose later steps can't be started.
func TestRandomDaysWithRounds(t *testing.T) { runDays(t, nil, roundSeeds, roundDay) }

// roundDay draws a random day and adds jobs of many rounds.
func roundDay(seed uint64) script {
	s := restartDay(seed)
	r := rand.New(rand.NewPCG(seed, 6))
	short := func() tomlfile.Duration {
		return tomlfile.Duration(time.Duration(20+r.IntN(200)) * time.Millisecond)
	}
	step := func(most int, after ...int) scriptStep {
		return scriptStep{Count: 1 + r.IntN(most), CPU: 50, MemoryMB: 10, RunTime: short(), DependsOn: after}
	}
	for _, p := range s.Pools {
		gang := step(3, 0)
		gang.Gang = true
		blocked := step(2, 0)
		blocked.Label = noLabel
		s.Jobs = append(s.Jobs,
			scriptJob{At: seconds(2 + r.IntN(20)), Pool: p.Name, Rounds: 20 + r.IntN(150), Every: tomlfile.Duration(time.Duration(10+r.IntN(100)) * time.Millisecond),
				Steps: []scriptStep{step(3), step(4, 0)}},
			scriptJob{At: seconds(2 + r.IntN(20)), Pool: p.Name, Rounds: 100 + r.IntN(200), Steps: []scriptStep{step(2), step(2), step(1, 0, 1)}},
			scriptJob{At: seconds(2 + r.IntN(10)), Pool: p.Name, Rounds: 10 + r.IntN(80), Every: tomlfile.Duration(50 * time.Millisecond), Steps: []scriptStep{step(2), gang}},
			scriptJob{At: seconds(2 + r.IntN(10)), Pool: p.Name, Rounds: 500 + r.IntN(1500), Steps: []scriptStep{step(1), blocked}},
		)
	}
	return s
}
