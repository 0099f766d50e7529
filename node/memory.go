// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"cmp"

	"github.com/yardbridge/yardbridge/modules/oslimit"
	"github.com/yardbridge/yardbridge/modules/setting"
)

// The parts of a node's memory that clients may fill. docs/CAPACITY.md has the sum of all parts.
const (
	// jobMemoryShare is the part that accepted jobs may take: with as much for the pools of two other nodes that it takes
	// over, it stays below the runtime's memory limit.
	jobMemoryShare = 0.2
	// bodyMemoryShare is the part that requests of callers may hold: their bodies and what was decoded from them.
	bodyMemoryShare = 0.12
	// messageMemoryShare is the part that calls of other nodes may hold.
	messageMemoryShare = 0.05
	// connectionMemoryShare is the part of what is beyond ownMemoryMB that callers' connections may take: 200 MB carry
	// maxConnections beside all parts but that of accepted jobs, 284 MB beside all.
	connectionMemoryShare = 0.86
)

const (
	// unknownMemoryMB is the memory of a node that has no limit, in MiB.
	unknownMemoryMB = 1024
	// ownMemoryMB is what a node takes beside its shares, in MiB: its program, its state at rest, connections of other
	// nodes, what is being decoded and the garbage of it.
	ownMemoryMB = 100
	// connectionBytes is what a connection of a caller takes at most beside the body of its request: 22 kB for its two
	// buffers, its goroutine and a head, and 16 kB of the kernel's for what has arrived and isn't read. An eighth more than the
	// limit may be open, to be told that there are too many.
	connectionBytes = (22 + 16) << 10 * 9 / 8
	// maxConnections is the largest number of callers at once. Of 4,100 descriptors the rest is for workers, other nodes
	// and the store.
	maxConnections = 2048
	// minConnections is the least number of callers at once.
	minConnections = 64
	// maxNodeConnections lets each of 300 nodes have two connections here, for calls and for probes, and as many
	// unresponsive ones that are not closed yet.
	maxNodeConnections = 1200
	// maxProbeConnections is the largest number of connections of the readiness probe, and of readers of the metrics. The
	// platform has one, which it opens anew.
	maxProbeConnections = 256
	// minBodyMemory lets the longest bodies through on the smallest node.
	minBodyMemory = 4 << 20
)

// The parts of a node's descriptors that connections to its listeners may take. The rest, a sixth, is for the store, workers
// and other nodes, and for files.
const (
	callerDescriptors = 0.5
	nodeDescriptors   = 0.25
	probeDescriptors  = 1.0 / 64 // each for the readiness probe and for readers of the metrics
)

// Memory is how much of a node's memory its clients may fill.
type Memory struct {
	Jobs        int64 // bytes of accepted jobs
	Bodies      int64 // bytes of requests of callers
	Messages    int64 // bytes of calls of other nodes
	Connections int   // callers at once
	Nodes       int   // connections of other nodes at once
	Probes      int   // connections at once, each of the readiness probe and of readers of the metrics
}

// DivideMemory returns how much of a node's memory its clients may fill, by its settings and the limits of the process.
func DivideMemory(s setting.Node) Memory {
	total := cmp.Or(s.Node.MemoryMB, oslimit.MemoryMB(), unknownMemoryMB) << 20
	part := func(share float64) int64 { return int64(share * float64(total)) }
	connections := int64(connectionMemoryShare * float64(max(total-ownMemoryMB<<20, 0)) / connectionBytes)
	nodes, probes := maxNodeConnections, maxProbeConnections
	if d := float64(cmp.Or(s.Node.Descriptors, oslimit.Descriptors())); d > 0 {
		connections = min(connections, int64(callerDescriptors*d))
		nodes, probes = min(nodes, int(nodeDescriptors*d)), min(probes, int(probeDescriptors*d))
	}
	return Memory{
		Jobs:        part(jobMemoryShare),
		Bodies:      cmp.Or(s.Listen.BodyMemoryMB<<20, max(part(bodyMemoryShare), minBodyMemory)),
		Messages:    cmp.Or(s.Listen.MessageMemoryMB<<20, max(part(messageMemoryShare), minBodyMemory)),
		Connections: cmp.Or(s.Listen.Connections, int(max(min(connections, maxConnections), minConnections))),
		Nodes:       nodes,
		Probes:      probes,
	}
}
