// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/setting"
)

// TestPartsOfTheMemoryFit guards against parts that clients may fill and that together are more than the machine has, and
// against fewer callers than the pages name where the machine carries them.
func TestPartsOfTheMemoryFit(t *testing.T) {
	for _, c := range []struct {
		memoryMB    int64
		descriptors int
		connections int  // at least
		jobs        bool // whether there is also room for all jobs that the node may accept
	}{{184, 4100, 1700, false}, {200, 4100, 2048, false}, {284, 4100, 2048, true}, {1048, 16384, 2048, true}} {
		m := DivideMemory(setting.Node{Node: setting.NodeInfo{MemoryMB: c.memoryMB, Descriptors: c.descriptors}})
		sum := ownMemoryMB<<20*3/4 + m.Bodies + m.Messages + int64(m.Connections)*connectionBytes
		if c.jobs {
			sum += m.Jobs
		}
		assert.Assert(t, sum <= c.memoryMB<<20, "%d MB: %d of %d bytes", c.memoryMB, sum, c.memoryMB<<20)
		assert.Assert(t, m.Connections >= c.connections && m.Connections <= maxConnections, "%d MB: %d connections", c.memoryMB, m.Connections)
	}
}

// TestConnectionsLeaveDescriptors guards against a node whose listeners take up all descriptors, so that it reaches neither the
// store nor workers.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	for _, descriptors := range []int{600, 4100, 8192, 16384} {
		m := DivideMemory(setting.Node{Node: setting.NodeInfo{MemoryMB: 1048, Descriptors: descriptors}})
		callers := m.Connections + m.Connections/8
		probes := 2 * (m.Probes + max(m.Probes/8, 8))
		assert.Assert(t, callers+m.Nodes+probes <= descriptors*7/8, "%d: %+v", descriptors, m)
	}
}

// TestMemorySettingsApply guards against settings that are not used.
func TestMemorySettingsApply(t *testing.T) {
	var s setting.Node
	s.Node.MemoryMB, s.Listen.BodyMemoryMB, s.Listen.MessageMemoryMB, s.Listen.Connections = 284, 7, 8, 9
	m := DivideMemory(s)
	assert.Equal(t, m.Bodies, int64(7<<20))
	assert.Equal(t, m.Messages, int64(8<<20))
	assert.Equal(t, m.Connections, 9)
}
