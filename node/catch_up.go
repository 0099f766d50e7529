// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"context"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/port"
)

// The store may refuse one node and serve the others. Such a node learns what it misses from the
// nodes that it probes.

// probeResponse is a node's response to a probe: its incarnation, and how far it has read.
type probeResponse struct {
	Incarnation uint64 `json:"life"`
	Version     uint64 `json:"version,omitempty"`   // of its configuration
	Operators   uint64 `json:"operators,omitempty"` // offset up to which it has read the operators' records
	End         uint64 `json:"end,omitempty"`       // offset up to which it has read the directory
}

// nodeState is what a node knows that others may have missed.
type nodeState struct {
	Config       *config.Config  `json:"config"`        // as parsed: it holds hashes of the customers' keys only
	Operators    []port.Record   `json:"operators"`     // all other records of the operators
	OperatorsEnd uint64          `json:"operators_end"` // offset up to which these were read
	Directory    *directory.View `json:"directory"`
}

func (n *Node) onProbe(context.Context, empty) (any, error) {
	a := probeResponse{Incarnation: n.Directory.Self.Incarnation, Operators: n.operators.readUpTo()}
	if c := n.Gateway.Config(); c != nil {
		a.Version = c.Version
	}
	if v, _ := n.Directory.View(); v != nil {
		a.End = v.End
	}
	return a, nil
}

func (n *Node) onCatchUp(context.Context, empty) (any, error) {
	v, _ := n.Directory.View()
	a := nodeState{Directory: v}
	a.Operators, a.OperatorsEnd = n.operators.list()
	a.Config = n.Gateway.Config() // applied after the records with which it was read
	return a, nil
}

// probe checks whether a node is up, and returns its incarnation.
func (n *Node) probe(ctx context.Context, o directory.Node) (uint64, error) {
	var a probeResponse
	if err := n.probes.Call(ctx, o.Address, methodProbe, empty{}, &a); err != nil {
		return 0, err
	}
	if n.behind(a) && n.catchingUp.CompareAndSwap(false, true) {
		go catchUp{n, o}.run(context.WithoutCancel(ctx))
	}
	return a.Incarnation, nil
}

// behindFor is how long this node must have lacked what another node has read until it requests that
// from there: two readings of the store by two nodes return at different times.
const behindFor = 500 * time.Millisecond

// position is how far a node has read what it follows.
type position struct {
	version   uint64 // of the configuration
	operators uint64 // offset in the operators' records
	directory uint64 // offset in the directory
}

// isBehind reports whether a position is behind another one in anything.
func (p position) isBehind(o position) bool {
	return p.version < o.version || p.operators < o.operators || p.directory < o.directory
}

// lag is the position of another node that this node was behind of when it learned of it.
type lag struct {
	mu    sync.Mutex
	ahead position
	since time.Time // zero for no lag
}

// lasts reports whether a node has been behind for behindFor, given its position and another node's.
func (l *lag) lasts(own, other position, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() || !own.isBehind(l.ahead) {
		l.ahead, l.since = other, now
	}
	return own.isBehind(other) && now.Sub(l.since) >= behindFor
}

// position returns how far this node has read, false before the first reading of everything.
func (n *Node) position() (position, bool) {
	c := n.Gateway.Config()
	v, _ := n.Directory.View()
	if c == nil || v == nil {
		return position{}, false
	}
	return position{c.Version, n.operators.readUpTo(), v.End}, true
}

// behind reports whether this node has lacked for some time what another node has read.
func (n *Node) behind(a probeResponse) bool {
	own, has := n.position()
	return has && n.lag.lasts(own, position{a.Version, a.Operators, a.End}, n.Clock.Now())
}

// refreshAfter is how old this node's own reading of the directory must be before it requests the
// directory from the previous owner of a pool: if the store responds, a change of the directory is
// read within some milliseconds.
const refreshAfter = 100 * time.Millisecond

// refreshFrom fetches the directory from a node that no longer owns a pool, in case the store does
// not respond to this node.
func (n *Node) refreshFrom(at directory.Node) {
	if n.Directory.Age() > refreshAfter && n.catchingUp.CompareAndSwap(false, true) {
		go catchUp{n, at}.run(context.Background())
	}
}

// catchUpTimeout bounds a catch-up request.
const catchUpTimeout = time.Second

// catchUp is one request for what this node has missed.
type catchUp struct {
	n  *Node
	at directory.Node
}

// run sends the request and applies the response.
func (c catchUp) run(ctx context.Context) {
	defer c.n.catchingUp.Store(false)
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	var a nodeState
	err := c.n.client.Call(ctx, c.at.Address, methodCatchUp, empty{}, &a)
	c.n.Logger.Info().Str("event", "news").Str("from", c.at.Name).Int("records", len(a.Operators)).AnErr("err", err).
		Dur("age", c.n.Directory.Age()).Msg("missed records were requested from another node")
	if err != nil {
		return
	}
	c.n.applyOperators(a.Operators, a.OperatorsEnd, true)
	if a.Config != nil {
		c.n.configure(config.New(a.Config.Version, a.Config.Queues, a.Config.Pools, a.Config.Limits).WithCustomers(a.Config.Customers))
	}
	if a.Directory != nil {
		c.n.Directory.Merge(a.Directory)
	}
}
