// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/port"
)

// The store may turn away one node and serve the others. What such a node misses,
// it learns from the nodes that it probes.

// probeAnswer is what a node answers to a probe: its life, and how much it knows.
type probeAnswer struct {
	Life    uint64 `json:"life"`
	Version uint64 `json:"version,omitempty"` // of its configuration
	End     uint64 `json:"end,omitempty"`     // of the directory, as far as it has read
}

// news is what a node knows that others may have missed.
type news struct {
	Config    *config.Config  `json:"config"`    // as read: of keys it has the hashes
	Operators []port.Record   `json:"operators"` // other records of the operators
	Directory *directory.View `json:"directory"`
}

func (n *Node) onProbe(context.Context, empty) (any, error) {
	a := probeAnswer{Life: n.Directory.Self.Incarnation}
	if c := n.Gateway.Config(); c != nil {
		a.Version = c.Version
	}
	if v, _ := n.Directory.View(); v != nil {
		a.End = v.End
	}
	return a, nil
}

func (n *Node) onNews(context.Context, empty) (any, error) {
	v, _ := n.Directory.View()
	a := news{Config: n.Gateway.Config(), Directory: v}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.said {
		a.Operators = append(a.Operators, r)
	}
	return a, nil
}

// probe asks a node whether it is there, and returns its life.
func (n *Node) probe(ctx context.Context, o directory.Node) (uint64, error) {
	var a probeAnswer
	if err := n.probes.Call(ctx, o.Address, methodProbe, empty{}, &a); err != nil {
		return 0, err
	}
	n.answered.Store(n.Clock.Now().UnixNano())
	if n.behind(a) && n.catching.CompareAndSwap(false, true) {
		go catchUp{n, o}.run(context.WithoutCancel(ctx))
	}
	return a.Life, nil
}

// alone reports whether there are other nodes and none has answered a probe for a
// while. Two are probed every 250 ms.
func (n *Node) alone() bool {
	v, _ := n.Directory.View()
	return v != nil && len(v.Nodes) > 1 && n.Clock.Now().Sub(time.Unix(0, n.answered.Load())) > aloneAfter
}

// aloneAfter is how long no other node may have answered until this one counts as
// alone.
const aloneAfter = time.Second

// stale is how old this node's own reading must be before others are asked: two
// readings of the store.
const stale = 2 * time.Second

// behind reports whether another node knows more, since this one does not reach
// the store.
func (n *Node) behind(a probeAnswer) bool {
	if c := n.Gateway.Config(); c != nil && a.Version > c.Version && n.operatorFeed.Age() > stale {
		return true
	}
	v, _ := n.Directory.View()
	return v != nil && a.End > v.End && n.Directory.Age() > stale
}

// outdatedAfter is how old this node's own reading of the directory must be for it to ask a
// node that has given a pool away to whom: what is written there is read within some
// milliseconds.
const outdatedAfter = 100 * time.Millisecond

// outdated asks a node that does not own a pool any more who does, where the store may not
// answer this node.
func (n *Node) outdated(at directory.Node) {
	if n.Directory.Age() > outdatedAfter && n.catching.CompareAndSwap(false, true) {
		go catchUp{n, at}.run(context.Background())
	}
}

// newsTimeout bounds the asking for news.
const newsTimeout = time.Second

// catchUp is one asking for news.
type catchUp struct {
	n  *Node
	at directory.Node
}

// run asks the node and takes over what it knows.
func (c catchUp) run(ctx context.Context) {
	defer c.n.catching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	var a news
	err := c.n.client.Call(ctx, c.at.Address, methodNews, empty{}, &a)
	c.n.Logger.Info().Str("event", "news").Str("from", c.at.Name).Int("records", len(a.Operators)).AnErr("err", err).
		Dur("age", c.n.Directory.Age()).Msg("another node is asked what this one has missed")
	if err != nil {
		return
	}
	if a.Config != nil {
		c.n.configure(config.New(a.Config.Version, a.Config.Queues, a.Config.Pools, a.Config.Limits).WithCustomers(a.Config.Customers))
	}
	c.n.operators(a.Operators, false)
	if a.Directory != nil {
		c.n.Directory.Merge(a.Directory)
	}
}
