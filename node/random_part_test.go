// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// partSeeds is how many random days with a store that is away in part are played; see
// randomSeeds.
const partSeeds = 8

// TestRandomDaysOfAPartialStore plays random days on which some of the store's partitions are
// away for all nodes, beside all other faults.
func TestRandomDaysOfAPartialStore(t *testing.T) { playDays(t, nil, partSeeds, partDay) }

// partDay draws a random day and adds to it.
func partDay(seed uint64) script {
	s := randomDay(seed)
	r := rand.New(rand.NewPCG(seed, 6))
	for range 3 + r.IntN(3) {
		at := firstFault + time.Duration(r.Int64N(int64(healed-firstFault)))
		s.Events = append(s.Events, scriptEvent{
			At: tomlfile.Duration(at), Kind: []string{"parts-refuse", "parts-silent"}[r.IntN(2)], Share: 0.2 + 0.4*r.Float64(),
			For: tomlfile.Duration(min(time.Duration(500+r.IntN(8000))*time.Millisecond, healed-at)),
		})
	}
	return s
}
