// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// partSeeds is how many random days with a partially unavailable store are run; see randomSeeds.
const partSeeds = 8

// TestRandomDaysOfAPartialStore runs random days on which some of the store's partitions are
// unavailable to all nodes, besides all other faults.
func TestRandomDaysOfAPartialStore(t *testing.T) { runDays(t, nil, partSeeds, partDay) }

// partDay draws a random day and adds unavailable partitions.
func partDay(seed uint64) script {
	s := randomDay(seed)
	r := rand.New(rand.NewPCG(seed, 6))
	for range 3 + r.IntN(3) {
		at := firstFault + time.Duration(r.Int64N(int64(faultsEnd-firstFault)))
		s.Events = append(s.Events, scriptEvent{
			At: tomlfile.Duration(at), Kind: []string{"parts-refuse", "parts-silent"}[r.IntN(2)], Share: 0.2 + 0.4*r.Float64(),
			For: tomlfile.Duration(min(time.Duration(500+r.IntN(8000))*time.Millisecond, faultsEnd-at)),
		})
	}
	return s
}
