// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// evacuationSeeds is how many random days with evacuations are run.
const evacuationSeeds = 20

// TestRandomDaysWithEvacuations runs days on which data centres are put under evacuation, again and
// at the same time, amid all kinds of faults, restarts of workers and customers' limits that change.
// No task may start there once that may be known, and by the end everything must be done.
func TestRandomDaysWithEvacuations(t *testing.T) { runDays(t, nil, evacuationSeeds, evacuationDay) }

// evacuationDay draws a day with evacuations: an odd seed draws a day with customers' limits, an even
// one a day with a wave and restarts.
func evacuationDay(seed uint64) script {
	s := limitDay(seed)
	if seed%2 == 0 {
		s = restartDay(seed)
	}
	r := rand.New(rand.NewPCG(seed, 9))
	for range 2 + r.IntN(4) {
		at := firstFault + time.Duration(r.Int64N(int64(faultsEnd-firstFault)))
		s.Events = append(s.Events, scriptEvent{
			At: tomlfile.Duration(at), Kind: "evacuate", Worker: r.IntN(2),
			For: tomlfile.Duration(min(time.Duration(2+r.IntN(16))*time.Second, faultsEnd-at)),
		})
	}
	return s
}
