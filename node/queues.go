// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"context"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/owner"
)

// registry connects the owners of this node to the directory and to the owners of other pools.
func (n *Node) registry() *owner.Registry {
	return &owner.Registry{Pools: n.assignedPools, Assign: n.assignQueues, Close: n.closeQueues}
}

// assignedPools returns the pools that queues have been assigned to, false before the directory was read.
func (n *Node) assignedPools() (map[string][]string, bool) {
	v, _ := n.Directory.View()
	if v == nil {
		return nil, false
	}
	return v.Queues, true
}

func (n *Node) assignQueues(ctx context.Context, pool string, queues []string) (map[string][]string, error) {
	v, err := n.Directory.AssignQueues(ctx, pool, queues)
	if err != nil {
		return nil, err
	}
	return v.Queues, nil
}

// closeRequest requests that the owner of a pool closes queues.
type closeRequest struct {
	Pool    string             `json:"pool"`
	Request owner.CloseRequest `json:"request"`
}

func (n *Node) onClose(ctx context.Context, a closeRequest) (any, error) {
	o, err := n.ownedPool(a.Pool)
	if err != nil {
		return nil, err
	}
	return o.CloseQueues(ctx, a.Request)
}

// closeQueues requests that the owner of a pool, on this node or another, closes queues.
func (n *Node) closeQueues(ctx context.Context, pool string, r owner.CloseRequest) (map[string]owner.ClosedQueue, error) {
	if o := n.owner(pool); o != nil {
		return o.CloseQueues(ctx, r)
	}
	var closed map[string]owner.ClosedQueue
	err := n.callOwner(ctx, pool, methodClose, closeRequest{pool, r}, &closed)
	if errkind.Is(err, errkind.Fenced) {
		n.refreshOwner(pool)
	}
	return closed, err
}

// refreshOwner requests the directory from a node that no longer owns a pool.
func (n *Node) refreshOwner(pool string) {
	if v, _ := n.Directory.View(); v != nil {
		if at, _, present := v.Owner(pool); present {
			n.refreshFrom(at)
		}
	}
}
