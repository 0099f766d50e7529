// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// splitSeeds is how many random days with splits are run; see randomSeeds.
const splitSeeds = 8

// TestRandomDaysWithSplits guards against an owner that goes on without the store after another node has taken
// its pool over (TWICE): random days on which groups of nodes are cut off together, while some nodes lack the
// store and some reach a half of the workers only. On half of the days workers that crash restart under the
// same id, and on some days a node joins late.
func TestRandomDaysWithSplits(t *testing.T) { runDays(t, nil, splitSeeds, splitDay) }

// splitDay draws a random day and adds one long split and some short ones. There are more nodes than on other
// days, so that a group often has several.
func splitDay(seed uint64) script {
	s := randomDay(seed)
	s.GiveUp, s.Restarts = maxHealthyGiveUps, seed%2 == 0
	r := rand.New(rand.NewPCG(seed, 12))
	s.Nodes += 2 + r.IntN(3)
	s.Events = append(s.Events, drawLongSplit(r, s.Nodes)...)
	for range 1 + r.IntN(3) {
		s.Events = append(s.Events, drawShortSplit(r, s.Nodes)...)
	}
	if r.IntN(4) == 0 {
		at := firstFault + time.Duration(r.Int64N(int64(faultsEnd-firstFault)))
		s.Events = append(s.Events, scriptEvent{At: tomlfile.Duration(at), Kind: "join", Node: s.Nodes})
	}
	return s
}

// The durations of splits: a long one lasts longer than the time from the loss of an owner until its successor
// starts again what ran on workers that it can't reach, which is two seconds, a lease and three seconds.
const (
	shortestSplit, shortSplit = 500 * time.Millisecond, 5 * time.Second
	longSplit, longestSplit   = 10 * time.Second, 16 * time.Second
)

// split is a part of the nodes that is cut off from the others for a while.
type split struct {
	at, lasts     tomlfile.Duration
	group, others []int // numbers of the nodes
}

// drawTimes draws when a split begins, and how long it lasts.
func drawTimes(r *rand.Rand, least, most time.Duration) split {
	lasts := least + time.Duration(r.Int64N(int64(most-least)))
	return split{at: tomlfile.Duration(firstFault + time.Duration(r.Int64N(int64(faultsEnd-firstFault-lasts)))), lasts: tomlfile.Duration(lasts)}
}

// divide draws which nodes are in the group.
func (p *split) divide(r *rand.Rand, nodes, size int) {
	order := drawNodes(r, nodes, nodes)
	p.group, p.others = order[:size], order[size:]
}

// drawNodes draws the numbers of some of the nodes.
func drawNodes(r *rand.Rand, nodes, count int) []int {
	list := r.Perm(nodes)[:count]
	for i := range list {
		list[i]++
	}
	return list
}

// event returns an event that lasts as long as the split.
func (p *split) event(kind string, nodes []int) scriptEvent {
	return scriptEvent{At: p.at, Kind: kind, Nodes: nodes, For: p.lasts}
}

// drawLongSplit draws a split in which a larger group, which loses the store on most days, is cut off from the
// others. They reach a half of the workers on most days, for as long or a little longer.
func drawLongSplit(r *rand.Rand, nodes int) []scriptEvent {
	p := drawTimes(r, longSplit, longestSplit)
	p.divide(r, nodes, nodes-1-r.IntN((nodes+1)/2))
	list := []scriptEvent{p.event("cut-together", p.group)}
	if r.IntN(4) > 0 {
		list = append(list, p.event([]string{"store-silent", "store-silent", "store-refuses"}[r.IntN(3)], p.group))
	}
	if r.IntN(4) > 0 {
		e := p.event("half-cut", p.others)
		e.Half, e.For = r.IntN(2), min(e.For+tomlfile.Duration(r.Int64N(int64(3*time.Second))), tomlfile.Duration(faultsEnd)-e.At)
		list = append(list, e)
	}
	return list
}

// drawShortSplit draws a split into two groups or three. Some nodes of any of them may lack the store, and the
// nodes of each reach all workers or a half.
func drawShortSplit(r *rand.Rand, nodes int) []scriptEvent {
	p := drawTimes(r, shortestSplit, shortSplit)
	p.divide(r, nodes, 1+r.IntN(nodes-1))
	list := []scriptEvent{p.event("cut-together", p.group)}
	if r.IntN(4) == 0 {
		list = append(list, p.event("cut-together", p.others[:(len(p.others)+1)/2]))
	}
	if r.IntN(2) == 0 {
		list = append(list, p.event([]string{"store-silent", "store-refuses"}[r.IntN(2)], drawNodes(r, nodes, 1+r.IntN(nodes))))
	}
	for _, side := range [][]int{p.group, p.others} {
		if r.IntN(3) == 0 {
			e := p.event("half-cut", side)
			e.Half = r.IntN(2)
			list = append(list, e)
		}
	}
	return list
}
