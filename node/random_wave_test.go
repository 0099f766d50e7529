// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// waveSeeds is how many random days with maintenance under long tasks are run.
const waveSeeds = 8

// TestRandomDaysWithMaintenanceUnderLongTasks runs random days on which instances are due for maintenance, or move, while
// they run tasks for long: no job may wait while there is capacity for it, also one that only one worker suits.
func TestRandomDaysWithMaintenanceUnderLongTasks(t *testing.T) { runDays(t, nil, waveSeeds, waveDay) }

// waveDay draws a day.
func waveDay(seed uint64) script {
	r := rand.New(rand.NewPCG(seed, 17))
	s := script{Seed: seed, Nodes: 3, Off: r.IntN(3), Until: tomlfile.Duration(dayEnd), Prompt: true}
	for _, name := range []string{"alpha", "beta"} {
		workers := 4 + r.IntN(5)
		p := scriptPool{name, workers, workers, r.IntN(3) == 0}
		s.Pools = append(s.Pools, p)
		for range 1 + r.IntN(3) {
			s.Jobs = append(s.Jobs, scriptJob{At: seconds(2 + r.IntN(10)), Pool: name, Steps: []scriptStep{
				{Count: 1 + r.IntN(workers), CPU: 500 + r.IntN(2000), MemoryMB: 500, RunTime: randomTime(r, 4000, 24000), MaxPerWorker: 1},
			}})
		}
		for range 1 + r.IntN(3) {
			step := scriptStep{Count: 1 + r.IntN(2), CPU: 200 + r.IntN(1500), MemoryMB: 100, RunTime: randomTime(r, 50, 1500)}
			if !p.Policy || r.IntN(2) == 0 {
				step.Label = fmt.Sprint("r-", r.IntN(workers))
			}
			s.Jobs = append(s.Jobs, scriptJob{
				At: seconds(3 + r.IntN(4)), Pool: name, Count: 40 + r.IntN(40), Gap: randomTime(r, 200, 800), Hopeless: step.Label != "", Steps: []scriptStep{step},
			})
		}
	}
	s.Events = append(s.Events, scriptEvent{
		At: seconds(4 + r.IntN(6)), Kind: "wave", Share: 0.3 + 0.7*r.Float64(), AtOnce: 1 + r.IntN(3), Within: seconds(25 + r.IntN(30)),
	})
	return s
}
