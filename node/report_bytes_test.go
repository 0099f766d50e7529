// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/standin/world"
)

// TestReportsToTheHolderAreShortAtRest guards against owners that report all workers of their pools to the
// holder of the role for instances again and again, 680 bytes for the few workers that pools without jobs
// keep, and plays a loss of all nodes, after which the first reports are full.
func TestReportsToTheHolderAreShortAtRest(t *testing.T) {
	const workers, restBytes = 40, 400
	synctest.Test(t, func(t *testing.T) {
		s := script{Nodes: 4, Pools: []scriptPool{{"alpha", workers, workers, false}, {"beta", workers, workers, false}}}
		st := &scenario{t: t, script: s, world: world.New(1), began: time.Now(), jobOwners: make(map[string]map[job.ID]string), random: rand.New(rand.NewPCG(1, 1))}
		st.build()
		perCall := func(during time.Duration) int64 {
			calls, sent := st.counter("node.pool.report.calls"), st.counter("node.pool.report.bytes-sent")
			time.Sleep(during)
			return (st.counter("node.pool.report.bytes-sent") - sent) / max(st.counter("node.pool.report.calls")-calls, 1)
		}
		time.Sleep(20 * time.Second)
		rest := perCall(10 * time.Second)
		assert.Assert(t, rest > 0 && rest < restBytes, "%d bytes a report", rest)
		st.applyEvent(scriptEvent{Kind: "kill", For: 1e9})
		time.Sleep(time.Second)
		first := perCall(3 * time.Second)
		assert.Assert(t, first > rest, "%d bytes a report, %d at rest", first, rest)
		time.Sleep(10 * time.Second)
		rest = perCall(10 * time.Second)
		assert.Assert(t, rest > 0 && rest < restBytes, "%d bytes a report", rest)
		t.Logf("%d bytes a report after the loss, %d at rest", first, rest)
		for _, n := range st.nodes {
			n.stop()
		}
		for _, v := range st.world.Violations() {
			t.Error(v)
		}
	})
}
