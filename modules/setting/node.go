// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// Node is what a node process on the users' platform is told about itself.
type Node struct {
	Node     NodeInfo     `toml:"node"`
	Listen   NodeListen   `toml:"listen"`
	Platform NodePlatform `toml:"platform"`
	Bounds   NodeBounds   `toml:"bounds"`
	Log      Log          `toml:"log"`
}

// NodeInfo names the process and its place.
type NodeInfo struct {
	Name       string  `toml:"name"`
	DataCenter string  `toml:"data_center"`
	Address    string  `toml:"address"` // IP at which other nodes reach it
	Cores      float64 `toml:"cores"`   // its share of one, times how many it has
	MemoryMB   int64   `toml:"memory_mb"`
	LinkMbps   float64 `toml:"link_mbps"` // of its network link, 0 for not stated
}

// NodeListen holds the IP and port of each surface.
type NodeListen struct {
	Callers     string `toml:"callers"`
	Ready       string `toml:"ready"`
	NodePort    int    `toml:"node_port"`    // for other nodes
	MetricsPort int    `toml:"metrics_port"` // 0 for none
}

// NodePlatform says where the platform is and what its store is like.
type NodePlatform struct {
	Store      string `toml:"store"`      // IP and port
	Instances  string `toml:"instances"`  // IP and port of the control of instances
	Advice     string `toml:"advice"`     // IP and port, "" for none
	Partitions int    `toml:"partitions"` // of a topic
}

// NodeBounds are the promises that the platform and the operators hold a node
// to.
type NodeBounds struct {
	MaxLease            tomlfile.Duration `toml:"lease_most"`   // longest lease of what runs on a worker
	StopTime            tomlfile.Duration `toml:"stop_time"`    // the most that a stop of a run takes
	ShutdownGrace       tomlfile.Duration `toml:"grace"`        // from a request to stop until the process is killed
	StatusRetention     tomlfile.Duration `toml:"status_kept"`  // how long the state of an ended job is told
	RemoteSlowdown      float64           `toml:"far_times"`    // how much longer a task takes away from its data
	MoveTime            tomlfile.Duration `toml:"move_time"`    // of an instance to another pool
	MaintenanceTime     tomlfile.Duration `toml:"repair_time"`  // of an instance's maintenance
	UnavailableAfter    tomlfile.Duration `toml:"notice_time"`  // a task that lasts counts as away for this long
	HolderLease         tomlfile.Duration `toml:"holder_lease"` // between the orders of two holders for one instance
	MaxInterferenceTime tomlfile.Duration `toml:"harm_time"`    // the longest that filling tasks may harm a serving one
	CPUShareDelay       tomlfile.Duration `toml:"pace_time"`    // until a pace works
}

// ParseNode checks the settings of a node, which a file holds.
func ParseNode(file, data string) (Node, error) {
	var n Node
	problems, isTOML := tomlfile.Decode(file, data, &n)
	if !isTOML {
		return n, problems.Err()
	}
	return n, problems.Merge(n.check(file, tomlfile.NewLocator(data))).Err()
}

func (n *Node) check(file string, l tomlfile.Locator) tomlfile.Problems {
	c := checker{file: file, locator: l}
	if n.Node.Name == "" {
		c.add("node", 0, "name", "missing")
	}
	if _, err := netip.ParseAddr(n.Node.Address); err != nil {
		c.add("node", 0, "address", "%q is no IP number; allowed is one such as 10.0.0.1", n.Node.Address)
	}
	if n.Node.LinkMbps < 0 {
		c.add("node", 0, "link_mbps", "%v is not allowed; allowed is 0 for not stated, or more", n.Node.LinkMbps)
	}
	c.address("listen", "callers", n.Listen.Callers)
	c.address("listen", "ready", n.Listen.Ready)
	c.address("platform", "store", n.Platform.Store)
	c.address("platform", "instances", n.Platform.Instances)
	if n.Platform.Advice != "" {
		c.address("platform", "advice", n.Platform.Advice)
	}
	c.within("listen", "node_port", n.Listen.NodePort, maxPort)
	c.within("platform", "partitions", n.Platform.Partitions, maxPartitions)
	c.atLeast("bounds", "lease_most", n.Bounds.MaxLease, time.Millisecond)
	c.atLeast("bounds", "grace", n.Bounds.ShutdownGrace, time.Millisecond)
	return c.problems
}

func (c *checker) within(table, key string, value, high int) {
	if value < 1 || value > high {
		c.add(table, 0, key, "%d is not allowed; allowed is 1 to %d", value, high)
	}
}

const (
	maxPort       = 65535
	maxPartitions = 1 << 16
)

// PeerAddress returns the IP and port for other nodes.
func (n *Node) PeerAddress() string {
	return net.JoinHostPort(n.Node.Address, strconv.Itoa(n.Listen.NodePort))
}

// MetricsAddress returns the IP and port at which the node tells its figures.
func (n *Node) MetricsAddress() string {
	return net.JoinHostPort(n.Node.Address, strconv.Itoa(n.Listen.MetricsPort))
}
