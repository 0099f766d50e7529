// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// TestFirstSecondsAfterAllNodesWereKilled guards against owners that serve worse in the first two seconds
// after a kill of all nodes than in the third: work arrives steadily, at 0.8 of what the pool can do,
// and all nodes are killed at once and are back after a second.
func TestFirstSecondsAfterAllNodesWereKilled(t *testing.T) {
	t.Parallel()
	const (
		kill      = 10 * time.Second
		runTime   = 800 * time.Millisecond
		objective = runTime*16/10 + 600*time.Millisecond
	)
	s := script{
		Seed: 3, Nodes: 4, Off: 2, Until: seconds(25), MayRemain: true,
		Pools: []scriptPool{{"alpha", 6, 2, false}},
		Jobs: []scriptJob{{At: seconds(3), Pool: "alpha", Count: 160, Gap: tomlfile.Duration(100 * time.Millisecond), Steps: []scriptStep{
			{Count: 10, CPU: 1000, MemoryMB: 200, RunTime: tomlfile.Duration(runTime)},
		}}},
		Events: []scriptEvent{{At: tomlfile.Duration(kill), Kind: "kill", For: seconds(1)}},
	}
	submitted, took := make(map[job.ID]time.Duration), make(map[job.ID]time.Duration)
	var back time.Duration
	watchScript(t, s, func(st *scenario) {
		before := uint64(0)
		for time.Since(st.began) < s.Until.Std() {
			now := time.Since(st.began)
			if now < kill {
				before = st.owners()["alpha"]
			} else if epoch := st.owners()["alpha"]; back == 0 && epoch > before && now > kill+s.Events[0].For.Std() {
				back = now
			}
			st.mu.Lock()
			for id := range st.jobOwners["alpha"] {
				if _, known := submitted[id]; !known {
					submitted[id] = now
				}
			}
			st.mu.Unlock()
			for id, at := range submitted {
				if _, known := took[id]; !known && st.world.HasCompleted(id) {
					took[id] = now - at
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	inTime, all := make([]int, 4), make([]int, 4)
	for id, at := range submitted {
		n := int((at - back) / time.Second)
		if at < back || n >= len(all) {
			continue
		}
		all[n]++
		if d, done := took[id]; done && d <= objective {
			inTime[n]++
		}
	}
	t.Logf("owned again %s after the kill; in time %v of %v", back-kill, inTime, all)
	assert.Assert(t, back > 0 && back < kill+2*time.Second, "%s", back)
	for n := range 2 {
		assert.Assert(t, all[n] > 0 && float64(inTime[n])/float64(all[n]) >= 0.95*float64(inTime[2])/float64(all[2]), "second %d: %d of %d", n+1, inTime[n], all[n])
	}
	assert.Assert(t, inTime[2] > 0)
}
