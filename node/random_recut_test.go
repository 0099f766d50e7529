// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// recutSeeds is how many random days with workers that restart under the same id and are cut off soon after are run.
const recutSeeds = 20

// TestRandomDaysWithRestartsAndCuts runs random days on which workers come back under the same id and fall silent, or are
// cut off from the nodes, within a second, while tasks start that last longer than a lease; just before that, nodes are
// killed, suspended or cut off.
func TestRandomDaysWithRestartsAndCuts(t *testing.T) { runDays(t, nil, recutSeeds, recutDay) }

// recutDay draws a random day and adds restarts of several workers at a time, each followed by a cut.
func recutDay(seed uint64) script {
	s := randomDay(seed)
	s.GiveUp = maxHealthyGiveUps
	s.Restarts = true
	for n := range s.Pools {
		s.Pools[n].Workers += 8
	}
	r := rand.New(rand.NewPCG(seed, 5))
	for at := firstFault + milliseconds(r, 2000); at < faultsEnd-recutTime; at += recutTime + milliseconds(r, 1000) {
		for _, p := range s.Pools {
			down := restartTimes[r.IntN(len(restartTimes)-2)] + milliseconds(r, 250)
			s.Jobs = append(s.Jobs, longJob(r, p.Name, at+down+milliseconds(r, 40)))
			s.Events = append(s.Events, recut(r, p.Name, at, down)...)
		}
		if r.IntN(2) == 0 {
			s.Events = append(s.Events, cutNodes(r, s.Nodes, at+milliseconds(r, 700)))
		}
	}
	return s
}

// recutTime is how long the restarts and the cuts after them last.
const recutTime = 7 * time.Second

// milliseconds draws a time of less than a number of milliseconds.
func milliseconds(r *rand.Rand, below int) time.Duration {
	return time.Duration(r.IntN(below)) * time.Millisecond
}

// longJob draws tasks of a pool that last longer than a lease, from a time on.
func longJob(r *rand.Rand, pool string, at time.Duration) scriptJob {
	return scriptJob{
		At: tomlfile.Duration(at), Pool: pool, Count: 20 + r.IntN(15), Gap: tomlfile.Duration(time.Duration(2+r.IntN(5)) * time.Millisecond),
		Steps: []scriptStep{{Count: 1, CPU: 2000 + r.IntN(3000), MemoryMB: 100, RunTime: tomlfile.Duration(6*time.Second + milliseconds(r, 6000))}},
	}
}

// recut draws restarts of workers of a pool, and cuts that begin just after them.
func recut(r *rand.Rand, pool string, at, down time.Duration) []scriptEvent {
	e := scriptEvent{
		At: tomlfile.Duration(at), Kind: []string{"crash", "crash-dark", "crash-dark"}[r.IntN(3)], Pool: pool, Count: 3 + r.IntN(3), For: tomlfile.Duration(down),
	}
	cut := scriptEvent{
		At: tomlfile.Duration(at + down + 100*time.Millisecond + milliseconds(r, 300)), Kind: "silent", Pool: pool, Count: e.Count, Apart: tomlfile.Duration(milliseconds(r, 40)),
		For: tomlfile.Duration(recutTime - time.Second),
	}
	return []scriptEvent{e, cut}
}

// cutNodes draws a fault of half of the nodes.
func cutNodes(r *rand.Rand, nodes int, at time.Duration) scriptEvent {
	e := scriptEvent{
		At: tomlfile.Duration(at), Kind: []string{"kill", "suspend", "cut", "workers-cut"}[r.IntN(4)], For: tomlfile.Duration(2*time.Second + milliseconds(r, 4000)),
	}
	for _, n := range r.Perm(nodes)[:nodes/2] {
		e.Nodes = append(e.Nodes, n+1)
	}
	return e
}
