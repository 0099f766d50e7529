// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// ownerSeeds is how many random days with owners that change often are run.
const ownerSeeds = 4

// TestRandomDaysWithChangingOwners runs random days on which nodes are killed every few seconds, so that pools
// change their owners more often than leases expire, while workers do not respond for shorter and longer times:
// what an owner leaves to the next one about these workers must never make a task run twice (TWICE), and all
// tasks must run in the end. On half of the days workers that crash restart under the same id.
func TestRandomDaysWithChangingOwners(t *testing.T) { runDays(t, nil, ownerSeeds, ownerDay) }

// ownerDay draws a random day and adds kills of nodes and workers that do not respond.
func ownerDay(seed uint64) script {
	s := randomDay(seed)
	s.GiveUp = maxHealthyGiveUps
	s.Restarts = seed%2 == 0
	r := rand.New(rand.NewPCG(seed, 9))
	for at := firstFault; at < faultsEnd; at += 2*time.Second + time.Duration(r.Int64N(int64(3*time.Second))) {
		s.Events = append(s.Events, scriptEvent{
			At: tomlfile.Duration(at), Kind: "kill", Node: r.IntN(s.Nodes + 1),
			For: min(tomlfile.Duration(time.Duration(100+r.IntN(900))*time.Millisecond), tomlfile.Duration(faultsEnd-at)),
		})
	}
	for range 4 + r.IntN(4) {
		at := firstFault + time.Duration(r.Int64N(int64(faultsEnd-firstFault)))
		s.Events = append(s.Events, scriptEvent{
			At: tomlfile.Duration(at), Kind: "silent", Pool: s.Pools[r.IntN(2)].Name, Worker: r.IntN(4),
			For: min(tomlfile.Duration(time.Duration(300+r.IntN(9000))*time.Millisecond), tomlfile.Duration(faultsEnd-at)),
		})
	}
	return s
}
