// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// lostSeeds is how many random days on which a machine is lost for good are run.
const lostSeeds = 8

// TestRandomDaysWithALostMachine runs random days on which all nodes are stopped and started in turn, and a machine is
// lost for good meanwhile or soon after, on some of them while all others lose power.
func TestRandomDaysWithALostMachine(t *testing.T) { runDays(t, nil, lostSeeds, lostDay) }

// lostDay draws a random day and adds a restart of all nodes in turn and the loss of one.
func lostDay(seed uint64) script {
	s := randomDay(seed)
	r := rand.New(rand.NewPCG(seed, 13))
	began := firstFault + milliseconds(r, 6000)
	apart := time.Second + milliseconds(r, 1000)
	for n := range s.Nodes {
		s.Events = append(s.Events, scriptEvent{
			At: tomlfile.Duration(began + time.Duration(n)*apart), Kind: "stop", Node: 1 + n, For: tomlfile.Duration(500*time.Millisecond + milliseconds(r, 3000)),
		})
	}
	at := tomlfile.Duration(began + time.Duration(r.IntN(s.Nodes))*apart + milliseconds(r, 6000))
	lost := 1 + r.IntN(s.Nodes)
	s.Events = append(s.Events, scriptEvent{At: at, Kind: "lose", Node: lost})
	if r.IntN(2) == 0 {
		s.Events = append(s.Events, scriptEvent{At: at, Kind: "kill", For: tomlfile.Duration(500*time.Millisecond + milliseconds(r, 1500))})
	}
	return s
}
