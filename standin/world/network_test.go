// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestGroupsOfNodes guards against a model in which a cut is always of one node alone, so that an owner never
// keeps some nodes and loses others: which nodes reach each other while groups are cut off together.
func TestGroupsOfNodes(t *testing.T) {
	for _, c := range []struct {
		name   string
		groups [][]string
		alone  []string
		want   string // the pairs that reach each other
	}{
		{"no group", nil, nil, "12 13 14 23 24 34"},
		{"one node alone", nil, []string{"n1"}, "23 24 34"},
		{"two nodes alone", nil, []string{"n1", "n2"}, "34"},
		{"a group", [][]string{{"n1", "n2"}}, nil, "12 34"},
		{"two groups", [][]string{{"n1"}, {"n2", "n3"}}, nil, "23"},
		{"groups with a common member", [][]string{{"n1", "n2"}, {"n2", "n3"}}, nil, ""},
		{"the same group twice", [][]string{{"n1", "n2"}, {"n1", "n2"}}, nil, "12 34"},
		{"a node of a group alone", [][]string{{"n1", "n2"}}, []string{"n1"}, "34"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := New(1)
				var ends []func()
				for _, g := range c.groups {
					ends = append(ends, w.CutTogether(g...))
				}
				for _, n := range c.alone {
					w.SetFaults(n, func(f *Faults) { f.PeersCut = true })
				}
				assert.Equal(t, reachablePairs(t, w), c.want)
				assert.Equal(t, w.mayBeUnread(time.Now()), len(c.groups)+len(c.alone) > 0)
				for _, end := range ends {
					end()
				}
				for _, n := range c.alone {
					w.SetFaults(n, func(f *Faults) { f.PeersCut = false })
				}
				assert.Equal(t, reachablePairs(t, w), "12 13 14 23 24 34")
			})
		})
	}
}

// reachablePairs returns which of four nodes reach each other.
func reachablePairs(t *testing.T, w *World) string {
	var pairs []string
	for a := 1; a <= 4; a++ {
		for b := a + 1; b <= 4; b++ {
			if reaches(t, w, a, b) {
				pairs = append(pairs, fmt.Sprint(a)+fmt.Sprint(b))
			}
		}
	}
	return strings.Join(pairs, " ")
}

// reaches reports whether what one node sends arrives at another one.
func reaches(t *testing.T, w *World, a, b int) bool {
	address := fmt.Sprintf("n%d:1", b)
	l, err := w.Listen(address)
	assert.NilError(t, err)
	arrived := make(chan bool, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			arrived <- false
			return
		}
		_, err = c.Read(make([]byte, 1))
		arrived <- err == nil
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	c, err := w.Dial(fmt.Sprintf("n%d", a))(ctx, address)
	if err == nil {
		_, err = c.Write([]byte{1})
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
	assert.NilError(t, l.Close())
	return <-arrived
}

// TestHalvesOfTheWorkers guards against a model in which a node reaches all workers or none, so that the
// successor of an owner reaches each worker that the owner reaches.
func TestHalvesOfTheWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(1)
		for i := range 4 {
			w.AddWorker(fmt.Sprintf("m-%d", i), "p", "r-1", job.Size{})
		}
		reached := func(node string) string {
			var ids []string
			for _, id := range slices.Sorted(maps.Keys(w.workers)) {
				_, a := w.Workers(node).Open(worker.Worker{ID: id}).Poll(t.Context(), port.Poll{})
				if a.Result == port.Accepted {
					ids = append(ids, string(id))
				}
			}
			return strings.Join(ids, " ")
		}
		w.SetFaults("n1", func(f *Faults) { f.HalvesCut[0] = true })
		w.SetFaults("n2", func(f *Faults) { f.HalvesCut[1] = true })
		w.SetFaults("n3", func(f *Faults) { f.HalvesCut = [2]bool{true, true} })
		assert.Equal(t, reached("n1"), "i-0001 i-0003")
		assert.Equal(t, reached("n2"), "i-0002 i-0004")
		assert.Equal(t, reached("n3"), "")
		assert.Equal(t, reached("n4"), "i-0001 i-0002 i-0003 i-0004")
	})
}
