// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/modules/tomlfile"
)

// Node holds the settings of a node process.
type Node struct {
	Node      NodeInfo      `toml:"node"`
	Listen    NodeListen    `toml:"listen"`
	Platform  NodePlatform  `toml:"platform"`
	Bounds    NodeBounds    `toml:"bounds"`
	Admission NodeAdmission `toml:"admission"`
	Placement NodePlacement `toml:"placement"`
	Instances NodeInstances `toml:"instances"`
	Log       Log           `toml:"log"`
}

// NodeInfo identifies the node and describes its resources.
type NodeInfo struct {
	Name       string  `toml:"name"`
	DataCenter string  `toml:"data_center"`
	Address    string  `toml:"address"` // IP at which other nodes reach it
	Cores      float64 `toml:"cores"`   // CPU capacity: its share of each core, times the number of cores
	MemoryMB   int64   `toml:"memory_mb"`
	// Descriptors is how many descriptors the process may have open, 0 for its own limit.
	Descriptors int     `toml:"descriptors"`
	LinkMbps    float64 `toml:"link_mbps"` // of its network link, 0 if unknown
}

// NodeListen holds the addresses on which a node listens.
type NodeListen struct {
	Callers     string `toml:"callers"`
	Ready       string `toml:"ready"`
	NodePort    int    `toml:"node_port"`    // for other nodes
	MetricsPort int    `toml:"metrics_port"` // 0 for none
	// What clients may hold, 0 for the defaults.
	Connections     int   `toml:"connections"`       // callers at once
	BodyMemoryMB    int64 `toml:"body_memory_mb"`    // of requests of callers
	MessageMemoryMB int64 `toml:"message_memory_mb"` // of calls of other nodes
}

// NodePlatform holds the addresses of the platform and the layout of its store.
type NodePlatform struct {
	Store      string `toml:"store"`      // IP and port
	Instances  string `toml:"instances"`  // IP and port of the instance API
	Advice     string `toml:"advice"`     // IP and port, "" for none
	Partitions int    `toml:"partitions"` // of a topic
	// The sizes that the store accepts in bytes, 0 for the defaults.
	RecordBytes int `toml:"record_bytes"`
	AppendBytes int `toml:"append_bytes"`
	// Calls that the instance API accepts from all nodes together, 0 for no limit.
	InstanceReadings float64 `toml:"instance_readings_per_s"`
	InstanceOrders   float64 `toml:"instance_orders_per_s"`
}

// NodePlacement holds how tasks are placed on workers.
type NodePlacement struct {
	Ahead     string   `toml:"ahead"`      // PlaceAheadAuto, the default, or PlaceAheadOff
	SlowStart *float64 `toml:"slow_start"` // share of its capacity that a cold worker gets at its start, 1 for all of it; nil for the default
}

// defaultSlowStart is the share of its capacity that a cold worker gets at its start.
const defaultSlowStart = 0.5

// StartShare returns the share of its capacity that a cold worker gets at its start.
func (p *NodePlacement) StartShare() float64 {
	if p.SlowStart == nil {
		return defaultSlowStart
	}
	return *p.SlowStart
}

// NodeInstances holds how instances are moved between pools.
type NodeInstances struct {
	// MoveWorth is how long an instance that its pool does not need is kept: idling of that length is worth
	// as much as a move away and back. 0 for the default.
	MoveWorth tomlfile.Duration `toml:"move_worth"`
}

// Bounds of the time for which an idle instance is kept.
const (
	minMoveWorth = 100 * time.Millisecond
	maxMoveWorth = 10 * time.Minute
)

// NodeBounds are the time bounds that the platform and the operators require of a node.
type NodeBounds struct {
	MaxLease            tomlfile.Duration `toml:"lease_most"`   // longest lease of the runs on a worker
	StopTime            tomlfile.Duration `toml:"stop_time"`    // the most that stopping a run takes
	ShutdownGrace       tomlfile.Duration `toml:"grace"`        // from the signal to stop until the process is killed
	StatusRetention     tomlfile.Duration `toml:"status_kept"`  // how long the state of an ended job can be queried
	RemoteSlowdown      float64           `toml:"far_times"`    // factor by which a task takes longer away from its data
	MoveTime            tomlfile.Duration `toml:"move_time"`    // of moving an instance to another pool
	MaintenanceTime     tomlfile.Duration `toml:"repair_time"`  // of an instance's maintenance
	UnavailableAfter    tomlfile.Duration `toml:"notice_time"`  // a long-running task counts as unavailable after this long
	HolderLease         tomlfile.Duration `toml:"holder_lease"` // least time between the orders of two role holders for one instance
	MaxInterferenceTime tomlfile.Duration `toml:"harm_time"`    // the longest that backfill tasks may degrade a serving one
	ContactTime         tomlfile.Duration `toml:"contact_time"` // a node whose connections were fine for this long must act on what is acknowledged, 0 if not set
	ConfigTime          tomlfile.Duration `toml:"config_time"`  // until a configuration must be in force, 0 if not set
	CPUShareDelay       tomlfile.Duration `toml:"pace_time"`    // until a CPU share takes effect
}

// NodeAdmission configures which jobs a pool accepts.
type NodeAdmission struct {
	Policy string `toml:"policy"` // one of the admission policies
}

// The admission policies.
const (
	AdmissionAuto       = "auto"       // by completion where the configuration names customers, by overload elsewhere
	AdmissionOverload   = "overload"   // all jobs, until much work has been overdue for long
	AdmissionCompletion = "completion" // jobs that are expected to end in time
)

var admissionPolicies = []string{AdmissionAuto, AdmissionOverload, AdmissionCompletion}

// Whether tasks are placed on workers that will have room soon.
const (
	PlaceAheadAuto = "auto" // while the store is slow
	PlaceAheadOff  = "off"
)

// minStoreBytes is the least size of a record or an append that the store must accept.
const minStoreBytes = 16 << 10

// ParseNode parses and checks the settings file of a node.
func ParseNode(file, data string) (Node, error) {
	n := Node{Admission: NodeAdmission{AdmissionOverload}}
	problems, isTOML := tomlfile.Decode(file, data, &n)
	if !isTOML {
		return n, problems.Err()
	}
	return n, problems.Merge(n.check(file, tomlfile.NewLocator(data))).Err()
}

func (n *Node) check(file string, l tomlfile.Locator) tomlfile.Problems {
	c := checker{file: file, locator: l}
	if n.Node.Name == "" {
		c.addProblem("node", 0, "name", "missing")
	}
	if _, err := netip.ParseAddr(n.Node.Address); err != nil {
		c.addProblem("node", 0, "address", "%q is not an IP address; allowed is one such as 10.0.0.1", n.Node.Address)
	}
	if n.Node.LinkMbps < 0 {
		c.addProblem("node", 0, "link_mbps", "%v is not allowed; allowed is 0 for unknown, or more", n.Node.LinkMbps)
	}
	if d := n.Node.Descriptors; d < 0 || d > maxDescriptors {
		c.addProblem("node", 0, "descriptors", "%d is not allowed; allowed is 0 for the limit of the process, to %d", d, maxDescriptors)
	}
	if n.Node.MemoryMB < 0 {
		c.addProblem("node", 0, "memory_mb", "%d is not allowed; allowed is 0 for the limit of the process, or more", n.Node.MemoryMB)
	}
	for _, rate := range []struct {
		key   string
		value float64
	}{{"instance_readings_per_s", n.Platform.InstanceReadings}, {"instance_orders_per_s", n.Platform.InstanceOrders}} {
		if !(rate.value >= 0) {
			c.addProblem("platform", 0, rate.key, "%v is not allowed; allowed is 0 for no limit, or more", rate.value)
		}
	}
	for _, size := range []struct {
		key   string
		value int
	}{{"record_bytes", n.Platform.RecordBytes}, {"append_bytes", n.Platform.AppendBytes}} {
		if size.value < 0 || size.value > 0 && size.value < minStoreBytes {
			c.addProblem("platform", 0, size.key, "%d is not allowed; allowed is 0 for the default, or %d and more", size.value, minStoreBytes)
		}
	}
	n.checkListen(&c)
	c.checkAddress("listen", "callers", n.Listen.Callers)
	c.checkAddress("listen", "ready", n.Listen.Ready)
	c.checkAddress("platform", "store", n.Platform.Store)
	c.checkAddress("platform", "instances", n.Platform.Instances)
	if n.Platform.Advice != "" {
		c.checkAddress("platform", "advice", n.Platform.Advice)
	}
	c.checkRange("listen", "node_port", n.Listen.NodePort, maxPort)
	c.checkRange("platform", "partitions", n.Platform.Partitions, maxPartitions)
	if a := n.Placement.Ahead; a != "" && a != PlaceAheadAuto && a != PlaceAheadOff {
		c.addProblem("placement", 0, "ahead", "%q is not allowed; allowed are %q and %q", a, PlaceAheadAuto, PlaceAheadOff)
	}
	c.checkMin("bounds", "lease_most", n.Bounds.MaxLease, time.Millisecond)
	c.checkMin("bounds", "grace", n.Bounds.ShutdownGrace, time.Millisecond)
	c.checkMin("bounds", "contact_time", n.Bounds.ContactTime, 0)
	c.checkMin("bounds", "config_time", n.Bounds.ConfigTime, 0)
	if !slices.Contains(admissionPolicies, n.Admission.Policy) {
		c.addProblem("admission", 0, "policy", "%q is not allowed; allowed are %s", n.Admission.Policy, strings.Join(admissionPolicies, ", "))
	}
	if s := n.Placement.StartShare(); !(s >= 0 && s <= 1) {
		c.addProblem("placement", 0, "slow_start", "%v is not allowed; allowed is 0 to 1", s)
	}
	if w := n.Instances.MoveWorth.Std(); w != 0 && (w < minMoveWorth || w > maxMoveWorth) {
		c.addProblem("instances", 0, "move_worth", "%v is not allowed; allowed is %v to %v", w, minMoveWorth, maxMoveWorth)
	}
	return c.problems
}

// checkListen checks the limits of what clients may hold.
func (n *Node) checkListen(c *checker) {
	for _, limit := range []struct {
		key         string
		value, most int64
	}{
		{"connections", int64(n.Listen.Connections), maxDescriptors},
		{"body_memory_mb", n.Listen.BodyMemoryMB, maxClientMemoryMB},
		{"message_memory_mb", n.Listen.MessageMemoryMB, maxClientMemoryMB},
	} {
		if limit.value < 0 || limit.value > limit.most {
			c.addProblem("listen", 0, limit.key, "%d is not allowed; allowed is 0 for the default, to %d", limit.value, limit.most)
		}
	}
}

func (c *checker) checkRange(table, key string, value, high int) {
	if value < 1 || value > high {
		c.addProblem(table, 0, key, "%d is not allowed; allowed is 1 to %d", value, high)
	}
}

const (
	maxPort       = 65535
	maxPartitions = 1 << 16
	// maxDescriptors is the highest number of descriptors that a process can be given on any system.
	maxDescriptors = 1 << 30
	// maxClientMemoryMB is the most memory that clients can be given, in MiB, so that it has a number of bytes.
	maxClientMemoryMB = 1 << 30
)

// MaxReadWait returns how long a read of the store may wait for new records: a connection that has
// fallen silent is found by then, in half of the shorter of the times after which the node must act on
// what is acknowledged. It is 0 if these are not set.
func (n *Node) MaxReadWait() time.Duration {
	return min(n.Bounds.ContactTime, n.Bounds.ConfigTime).Std() / 2
}

// PeerAddress returns the IP and port for other nodes.
func (n *Node) PeerAddress() string {
	return net.JoinHostPort(n.Node.Address, strconv.Itoa(n.Listen.NodePort))
}

// MetricsAddress returns the IP and port at which the node serves its metrics.
func (n *Node) MetricsAddress() string {
	return net.JoinHostPort(n.Node.Address, strconv.Itoa(n.Listen.MetricsPort))
}
