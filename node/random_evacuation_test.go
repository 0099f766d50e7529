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

// TestRandomDaysWithEvacuations runs days on which data centres are put under evacuation, again within
// seconds and at the same time, with workers that turn cold, amid all kinds of faults, restarts of workers and customers' limits that change.
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
	s.Events = append(s.Events, repeatedEvacuations(seed)...)
	return s
}

// repeatedEvacuations draws evacuations that are taken back and announced again within seconds, of one
// data centre or by turns, and workers that are cold at some time around them.
func repeatedEvacuations(seed uint64) []scriptEvent {
	r := rand.New(rand.NewPCG(seed, 10))
	var events []scriptEvent
	at, dataCenter := firstFault+time.Duration(r.Int64N(int64(faultsEnd-firstFault)/2)), r.IntN(2)
	for n := range 2 + r.IntN(4) {
		lasts := time.Duration(50+r.IntN(3000)) * time.Millisecond
		if n%2 == 0 {
			events = append(events, scriptEvent{At: tomlfile.Duration(at - time.Duration(r.IntN(2000))*time.Millisecond), Kind: "cold", Worker: dataCenter, For: seconds(2 + r.IntN(8))})
		}
		events = append(events, scriptEvent{At: tomlfile.Duration(at), Kind: "evacuate", Worker: dataCenter, For: tomlfile.Duration(lasts)})
		at += lasts + time.Duration(r.IntN(2000))*time.Millisecond
		if at > faultsEnd-3*time.Second {
			break
		}
		if r.IntN(3) == 0 {
			dataCenter = 1 - dataCenter
		}
	}
	return events
}
