// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"github.com/yardbridge/yardbridge/services/fleet"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// Dump is the state of a node as the node sees it, for troubleshooting.
type Dump struct {
	Node      string                      `json:"node"`
	Ready     bool                        `json:"ready"`
	Version   int64                       `json:"config_version"` // 0 before the first
	Owners    map[string]string           `json:"owners"`         // node by pool
	Moved     map[string][]string         `json:"moved_queues"`   // pools of the queues that have used several, by the queue's key
	Owned     map[string]scheduler.Report `json:"owned"`          // this node's pools, by name
	Workers   int                         `json:"workers"`        // listed by the platform
	Waves     int                         `json:"waves"`
	Evacuated []string                    `json:"evacuated"` // data centres under evacuation
}

// Dump returns the current state of the node.
func (n *Node) Dump() Dump {
	d := Dump{
		Node: n.Setting.Node.Name, Ready: n.Ready(), Version: n.ConfigVersion(),
		Owners: make(map[string]string), Moved: make(map[string][]string), Owned: make(map[string]scheduler.Report),
	}
	if v, _ := n.Directory.View(); v != nil {
		for pool, o := range v.Pools {
			d.Owners[pool] = o.Node
		}
		for queue, pools := range v.Queues {
			if len(pools) > 1 {
				d.Moved[queue] = pools
			}
		}
	}
	for _, o := range n.ownerList() {
		d.Owned[o.Pool] = o.Peek()
	}
	d.Waves, d.Evacuated = len(n.operators.waveList()), n.operators.evacuations().DataCenters
	n.mu.Lock()
	defer n.mu.Unlock()
	d.Workers = len(n.workers)
	return d
}

// OwnedPools returns how many pools the node owns.
func (n *Node) OwnedPools() int64 { return int64(len(n.ownerList())) }

// ConfigVersion returns the version of the configuration in force, 0 before the first.
func (n *Node) ConfigVersion() int64 {
	c := n.Gateway.Config()
	if c == nil {
		return 0
	}
	return int64(c.Version)
}

// EvacuatedDataCenters returns how many data centres are under evacuation.
func (n *Node) EvacuatedDataCenters() int64 { return int64(len(n.operators.evacuations().DataCenters)) }

// InstanceProgress returns how far the instances of all pools are, zeros unless this node holds the role
// for instances.
func (n *Node) InstanceProgress() fleet.Progress {
	if p := n.progress.Load(); p != nil {
		return *p
	}
	return fleet.Progress{}
}

// ListedWorkers returns how many workers of all pools the node keeps, 0 if it owns no pool.
func (n *Node) ListedWorkers() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int64(len(n.workers))
}

// RegisteredNodes returns how many nodes the directory shows.
func (n *Node) RegisteredNodes() int64 {
	v, _ := n.Directory.View()
	if v == nil {
		return 0
	}
	return int64(len(v.Nodes))
}
