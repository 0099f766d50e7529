// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// limitSeeds is how many random days with limits are run; see randomSeeds.
const limitSeeds = 4

// failedLimitSeeds are seeds of such days that have failed before; they run first.
var failedLimitSeeds = []uint64{
	20,       // pools that could begin nothing within their shares waited forever while another had more than its own
	97,       // the model considered a limit no longer in force whose successor no node could have read
	131, 171, // after a limit was lowered below what ran, capacity was lent again before those runs had ended
}

// TestRandomLimits runs days on which three pools have surges of the same customers, whose limits
// are lowered and raised amid all kinds of faults. No customer may ever exceed a limit that may be
// in force, and by the end everything must be done.
func TestRandomLimits(t *testing.T) { runDays(t, failedLimitSeeds, limitSeeds, limitDay) }

// limitDay draws a day with limits. A customer uses at most what its limits allow in some of its
// pools, and has surges in the others.
func limitDay(seed uint64) script {
	r := rand.New(rand.NewPCG(seed, 5))
	s := script{
		Seed: seed, Nodes: 3 + r.IntN(3), Off: 3, Until: tomlfile.Duration(240 * time.Second), AllRunning: true,
		Pools:     []scriptPool{{"alpha", 5, 2, false}, {"beta", 5, 2, false}, {"gamma", 4, 2, false}},
		Customers: []scriptCustomer{{"north", 3, 16000 + r.IntN(16000), 0}, {"south", 1, 12000, 4000 + r.IntN(8000)}, {"west", 1, 0, 0}},
	}
	for _, p := range s.Pools {
		s.Jobs = append(s.Jobs, scriptJob{At: seconds(2), Pool: p.Name, Steps: []scriptStep{
			{Count: 3, CPU: 1000, MemoryMB: 1000, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 2},
		}})
		for _, c := range s.Customers {
			if r.IntN(4) == 0 {
				continue
			}
			s.Jobs = append(s.Jobs, scriptJob{
				At: seconds(3 + r.IntN(4)), Pool: p.Name, Customer: c.Name, Count: 15 + r.IntN(20), Gap: tomlfile.Duration(time.Duration(100+r.IntN(600)) * time.Millisecond),
				Steps: []scriptStep{{Count: 1 + r.IntN(6), CPU: 500 + r.IntN(3000), MemoryMB: 100 + r.IntN(1000), RunTime: tomlfile.Duration(time.Duration(200+r.IntN(1200)) * time.Millisecond)}},
			})
		}
	}
	for range 3 + r.IntN(4) {
		at := firstFault + time.Duration(r.Int64N(int64(faultsEnd-firstFault)))
		s.Events = append(s.Events, scriptEvent{At: tomlfile.Duration(at), Kind: "limits", Share: 0.4 + 1.2*r.Float64()})
	}
	s.Events = append(s.Events, scriptEvent{At: tomlfile.Duration(faultsEnd), Kind: "limits", Share: 1})
	for range 3 + r.IntN(5) {
		s.Events = append(s.Events, randomEvent(r, s.Nodes))
	}
	return s
}
