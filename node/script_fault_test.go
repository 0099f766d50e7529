// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

// newFaultScenario returns a scenario with one node that runs no process.
func newFaultScenario(t *testing.T) (*scenario, *scenarioNode) {
	n := &scenarioNode{name: "n1", number: 1}
	return &scenario{t: t, world: world.New(1), nodes: []*scenarioNode{n}, random: rand.New(rand.NewPCG(1, 1))}, n
}

// TestOverlappingFaultsEndSeparately guards against a model in which a suspended node acts, by a
// clock that stands still: the end of another fault connected it to the store again, and two
// holders of the role for instances sent orders within the lease.
func TestOverlappingFaultsEndSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, n := newFaultScenario(t)
		st.applyEvent(scriptEvent{Kind: "store-silent", For: seconds(2)})
		st.applyEvent(scriptEvent{Kind: "suspend", For: seconds(4)})
		store := st.world.Store(n.name)
		reach := func() error {
			_, err := store.Newest(t.Context(), port.Partition{Topic: "t"}, "")
			return err
		}
		time.Sleep(3 * time.Second)
		assert.Assert(t, errkind.Is(reach(), errkind.OutcomeUnknown), "a suspended node reaches the store")
		time.Sleep(2 * time.Second)
		assert.NilError(t, reach())
	})
}

// TestProcessOnAResumedMachineKnowsTheTime guards against a model in which a process that starts
// after a suspension of its machine takes the time of day to be earlier than it is.
func TestProcessOnAResumedMachineKnowsTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, n := newFaultScenario(t)
		st.applyEvent(scriptEvent{Kind: "suspend", For: seconds(4)})
		time.Sleep(5 * time.Second)
		c := n.clock(t)
		assert.Equal(t, time.Since(c.Now()), time.Duration(0))
		st.applyEvent(scriptEvent{Kind: "suspend", For: seconds(4)})
		time.Sleep(5 * time.Second)
		assert.Equal(t, time.Since(c.Now()), time.Duration(0))
	})
}

// TestCutsOfSomeNodesAndWorkersEndSeparately guards against a model in which the end of a cut ends another one:
// events for the nodes of a list, each with half of the workers.
func TestCutsOfSomeNodesAndWorkersEndSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, _ := newFaultScenario(t)
		st.nodes = append(st.nodes, &scenarioNode{name: "n2", number: 2}, &scenarioNode{name: "n3", number: 3})
		id := st.world.AddWorker("m-1", "p", "r-1", testCapacity)
		reached := func() (list []int) {
			for _, n := range st.nodes {
				if _, a := st.world.Workers(n.name).Open(worker.Worker{ID: id}).Poll(t.Context(), port.Poll{}); a.Result == port.Accepted {
					list = append(list, n.number)
				}
			}
			return list
		}
		st.applyEvent(scriptEvent{Kind: "half-cut", Nodes: []int{1, 3}, Half: 1, For: seconds(10)})
		st.applyEvent(scriptEvent{Kind: "half-cut", Node: 3, Half: 1, For: seconds(5)})
		st.applyEvent(scriptEvent{Kind: "half-cut", Half: 0, For: seconds(20)})
		assert.DeepEqual(t, reached(), []int{2}) // the worker has the number 1
		time.Sleep(6 * time.Second)
		assert.DeepEqual(t, reached(), []int{2})
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, reached(), []int{1, 2, 3})
	})
}
