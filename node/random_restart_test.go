// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// restartSeeds is how many random days with workers that restart under the same id are run.
const restartSeeds = 30

// TestRandomDaysWithRestarts runs random days, some with tasks that crash their workers, on which
// crashed workers come back under the same id: at once or after seconds, twice in a row, behind a
// network cut, while orders to them are late, and amid all other faults.
func TestRandomDaysWithRestarts(t *testing.T) { runDays(t, nil, restartSeeds, restartDay) }

// restartDay draws a random day and adds workers that crash and restart.
func restartDay(seed uint64) script {
	s := randomDay(seed)
	if seed%2 == 0 {
		s = crashDay(seed)
	}
	s.GiveUp = maxHealthyGiveUps
	s.Restarts = true
	r := rand.New(rand.NewPCG(seed, 4))
	for range 4 + r.IntN(8) {
		at := firstFault + time.Duration(r.Int64N(int64(faultsEnd-firstFault)))
		e := scriptEvent{At: tomlfile.Duration(at), Kind: "crash", Pool: s.Pools[r.IntN(2)].Name, Worker: r.IntN(4)}
		e.For = min(tomlfile.Duration(restartTimes[r.IntN(len(restartTimes))]), tomlfile.Duration(faultsEnd-at))
		s.Events = append(s.Events, e)
		switch r.IntN(4) {
		case 0: // once more, just after the restart
			e.At += e.For + tomlfile.Duration(time.Duration(r.IntN(300))*time.Millisecond)
			s.Events = append(s.Events, e)
		case 1: // orders in flight reach the next incarnation
			late := e
			late.Kind, late.For = "late", seconds(2)
			late.At = max(0, e.At-tomlfile.Duration(300*time.Millisecond))
			s.Events = append(s.Events, late)
		}
	}
	return s
}

// restartTimes are how long a worker may take to start again.
var restartTimes = []time.Duration{100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second}
