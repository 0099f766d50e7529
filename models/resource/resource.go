// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package resource

// Amount is an amount of each of a node's resources; as a limit, 0 is unknown.
type Amount struct {
	Cores       float64
	MemoryMB    float64
	Descriptors float64
	LinkMbps    float64
}

// The names of the resources.
const (
	Cores       = "cores"
	Memory      = "memory"
	Descriptors = "descriptors"
	Link        = "link"
)

// Roles sums up the roles of a node.
type Roles struct {
	Count     int // of roles
	Workers   int // of the pools that the node owns
	Instances int // of all pools, once for each role that decides on these
}

// Plus returns the sum of two sets of roles.
func (r Roles) Plus(o Roles) Roles {
	return Roles{r.Count + o.Count, r.Workers + o.Workers, r.Instances + o.Instances}
}

// What a node takes; docs/CAPACITY.md, "What owning a pool takes", shows where the figures come from.
const (
	// callerDescriptors is the number of descriptors kept for callers and the platform.
	callerDescriptors = 2048
	// descriptorsPerNode is the number of connections with each other node, for calls and for probes.
	descriptorsPerNode = 2
	// descriptorsPerWorker is the number of connections to a worker of a pool.
	descriptorsPerWorker = 2

	// baseMemoryMB is the memory in MB of a node that owns a small pool.
	baseMemoryMB = 28
	// memoryMBPerWorker is the memory in MB for a worker of a pool, with its runs and jobs.
	memoryMBPerWorker = 0.1
	// memoryMBPerInstance is the memory in MB for an instance, of the role that decides on instances.
	memoryMBPerInstance = 0.02

	// baseCores is the CPU load in cores of a node without a role.
	baseCores = 0.02
	// coresPerWorker is the CPU load in cores for a worker of a pool.
	coresPerWorker = 0.00014
	// coresPerInstance is the CPU load in cores for an instance, of the role that decides on instances.
	coresPerInstance = 0.00002

	// baseLinkKB is the load on the link in kB a second of a node that owns a small pool.
	baseLinkKB = 700
	// linkKBPerWorker is the load on the link in kB a second for a worker of a pool.
	linkKBPerWorker = 1
	// linkKBPerInstance is the load on the link in kB a second for an instance, of the role that decides on
	// instances.
	linkKBPerInstance = 0.2
)

// mbpsPerKB is the rate in Mbit/s that corresponds to a kB a second.
const mbpsPerKB = 8.0 / 1000

// Needed returns what a node takes with its roles in a fleet with a number of nodes.
func Needed(r Roles, nodes int) Amount {
	workers, instances := float64(r.Workers), float64(r.Instances)
	a := Amount{
		Cores:       baseCores + coresPerWorker*workers + coresPerInstance*instances,
		Descriptors: callerDescriptors + descriptorsPerNode*float64(nodes) + descriptorsPerWorker*workers,
	}
	if r.Count > 0 {
		a.MemoryMB = baseMemoryMB + memoryMBPerWorker*workers + memoryMBPerInstance*instances
		a.LinkMbps = mbpsPerKB * (baseLinkKB + linkKBPerWorker*workers + linkKBPerInstance*instances)
	}
	return a
}

// Share returns how much of its limit is needed of the resource that is closest to it or furthest beyond,
// and the name of that resource. What is unknown counts as enough.
func (a Amount) Share(limits Amount) (most float64, of string) {
	for _, r := range []struct {
		name          string
		needed, limit float64
	}{
		{Cores, a.Cores, limits.Cores}, {Memory, a.MemoryMB, limits.MemoryMB},
		{Descriptors, a.Descriptors, limits.Descriptors}, {Link, a.LinkMbps, limits.LinkMbps},
	} {
		if r.limit > 0 && r.needed/r.limit > most {
			most, of = r.needed/r.limit, r.name
		}
	}
	return most, of
}

// Excess returns by what factor the roles exceed the limit that is exceeded most, 1 if a node with these
// limits carries them.
func Excess(r Roles, nodes int, limits Amount) float64 {
	share, _ := Needed(r, nodes).Share(limits)
	return max(share, 1)
}
