// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// network connects nodes in memory. An address is a node's name and a port.
type network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	blackholes atomic.Int64 // how often all connections were blackholed
}

// listener accepts the connections to one address.
type listener struct {
	w       *World
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// BlackholeConnections makes all open connections between nodes lose everything that is
// sent on them from now on, without reporting an error to either end. New connections work.
func (w *World) BlackholeConnections() { w.network.blackholes.Add(1) }

// Listen opens an address.
func (w *World) Listen(address string) (net.Listener, error) {
	n := &w.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{w: w, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[address] = l
	return l, nil
}

// Dial returns the dial function of a node.
func (w *World) Dial(node string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return w.dial(ctx, node, address) }
}

func (w *World) dial(ctx context.Context, node, address string) (net.Conn, error) {
	to, _, _ := strings.Cut(address, ":")
	if w.cut(node, to) {
		<-ctx.Done()
		return nil, errors.Trace(ctx.Err())
	}
	w.network.mu.Lock()
	l := w.network.listeners[address]
	w.network.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("%s refuses the connection", address)
	}
	near, far := net.Pipe()
	blackholed := new(atomic.Bool)
	select {
	case l.conns <- &conn{far, w, node, to, blackholed, w.network.blackholes.Load()}:
		return &conn{near, w, node, to, blackholed, w.network.blackholes.Load()}, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	return nil, errors.Errorf("%s refuses the connection", address)
}

// nodeGroup is a group of nodes that are cut off together.
type nodeGroup struct{ members map[string]bool }

// CutTogether cuts a group of nodes off from all others until the returned function is
// called: the nodes of the group reach each other, as do the others. Several groups may be
// cut off at once, also with members in common: two nodes then reach each other if each
// group has both or neither of them. What else the nodes reach is not changed.
func (w *World) CutTogether(nodes ...string) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := &nodeGroup{members: make(map[string]bool, len(nodes))}
	for _, n := range nodes {
		g.members[n] = true
	}
	w.groups = append(w.groups, g)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.unreadUntil = time.Now()
		w.groups = slices.DeleteFunc(w.groups, func(o *nodeGroup) bool { return o == g })
	}
}

// cut reports whether the connection between two nodes is cut.
func (w *World) cut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault(a).PeersCut || w.fault(b).PeersCut {
		return true
	}
	return slices.ContainsFunc(w.groups, func(g *nodeGroup) bool { return g.members[a] != g.members[b] })
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, errors.Trace(net.ErrClosed)
	}
}

// Close closes the listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.w.network.mu.Lock()
		defer l.w.network.mu.Unlock()
		if l.w.network.listeners[l.address] == l {
			delete(l.w.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network returns the name of the model's network.
func (a address) Network() string { return "model" }

// String returns the address.
func (a address) String() string { return string(a) }

// conn is a connection that passes nothing any more once something was sent while one of
// its nodes was cut off: on a stream, everything that follows lost bytes is lost too.
type conn struct {
	net.Conn
	w                *World
	a, b             string
	blackholed       *atomic.Bool
	blackholesAtOpen int64 // how often connections had been blackholed when it was opened
}

// Write writes the bytes, or discards them if they are lost. Discarding must not block: the
// caller holds a lock, and a fake clock does not advance while goroutines wait for a lock.
func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() || c.w.cut(c.a, c.b) || c.w.network.blackholes.Load() > c.blackholesAtOpen {
		c.blackholed.Store(true)
		return len(p), nil
	}
	return c.Conn.Write(p)
}
