// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// routeSeeds is how many random days with queues that move are run.
const routeSeeds = 8

// TestRandomDaysWithMovingQueues runs random days on which queues move to other pools, move on, are dropped and
// come back while they have jobs, and each job is submitted again several times: it must run once (TWICE), and
// be known (LOST). Nodes are restarted, suspended or down over the changes, amid all other faults.
func TestRandomDaysWithMovingQueues(t *testing.T) { runDays(t, nil, routeSeeds, routeDay) }

// routeDay draws a random day and adds queues that move.
func routeDay(seed uint64) script {
	s := randomDay(seed)
	switch seed % 4 {
	case 1:
		s = ownerDay(seed)
	case 2:
		s = crashDay(seed)
	}
	s.Pools = append(s.Pools, scriptPool{"gamma", 3, 2, false})
	for i := range s.Pools {
		s.Pools[i].Policy = false
	}
	s.GiveUp, s.Restarts, s.Repeats = maxHealthyGiveUps, seed%2 == 0, 3
	r := rand.New(rand.NewPCG(seed, 11))
	for _, p := range s.Pools[:2] { // their tasks fail while the queue is elsewhere
		s.Jobs = append(s.Jobs, scriptJob{At: seconds(4), Pool: p.Name, Count: 8, Gap: seconds(3), Spec: "poison", Steps: []scriptStep{
			{Count: 1, CPU: 500, MemoryMB: 100, RunTime: tomlfile.Duration(time.Duration(500+r.IntN(1500)) * time.Millisecond)},
		}})
	}
	for range 3 + r.IntN(4) {
		s.Events = append(s.Events, drawMove(r, s)...)
	}
	return s
}

// drawMove draws a queue that moves, and what happens beside it.
func drawMove(r *rand.Rand, s script) []scriptEvent {
	at := firstFault + time.Duration(r.Int64N(int64(faultsEnd-firstFault)))
	pool := func() string { return s.Pools[r.IntN(len(s.Pools))].Name }
	milliseconds := func(least, most int) time.Duration { return time.Duration(least+r.IntN(most-least)) * time.Millisecond }
	event := func(kind string, after, lasts time.Duration) scriptEvent {
		begins := max(at+after, firstFault)
		return scriptEvent{At: tomlfile.Duration(begins), Kind: kind, For: tomlfile.Duration(max(min(lasts, faultsEnd-begins), time.Millisecond))}
	}
	move := event("move", 0, 0)
	move.Pool, move.To = s.Pools[r.IntN(2)].Name, pool()
	list := []scriptEvent{move}
	switch r.IntN(8) {
	case 0: // dropped, and back at once or later
		list[0].Kind, list[0].For = "drop", event("drop", 0, milliseconds(1, 8000)).For
		if r.IntN(2) == 0 { // the next owners restore its jobs
			list = append(list, event("kill", milliseconds(0, 800), milliseconds(50, 300)))
		}
	case 1: // twice in a row
		next := event("move", milliseconds(0, 500), 0)
		next.Pool, next.To = move.Pool, pool()
		list = append(list, next)
	case 2: // all nodes are stopped and started in turn
		for n := range s.Nodes {
			e := event("stop", milliseconds(0, 300)+time.Duration(n)*time.Second, milliseconds(50, 500))
			e.Node = n + 1
			list = append(list, e)
		}
	case 3: // all nodes are killed just before or after
		list = append(list, event("kill", milliseconds(-200, 400), milliseconds(50, 800)))
	case 4: // a node is suspended over the change
		e := event("suspend", milliseconds(-500, 50), milliseconds(200, 6000))
		e.Node = 1 + r.IntN(s.Nodes)
		list = append(list, e)
	case 5: // a node is down over the change
		e := event("kill", milliseconds(-500, 0), milliseconds(1000, 4000))
		e.Node = 1 + r.IntN(s.Nodes)
		list = append(list, e)
	case 6: // a pool's partition is away
		e := event([]string{"parts-refuse", "parts-silent"}[r.IntN(2)], milliseconds(-300, 300), milliseconds(300, 3000))
		e.Pool = []string{move.Pool, move.To}[r.IntN(2)]
		list = append(list, e)
	case 7: // its pool is removed for a while
		list[0].Kind, list[0].For = "retire", event("retire", 0, milliseconds(300, 6000)).For
	}
	return list
}
