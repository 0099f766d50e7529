// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// network connects nodes in memory. Their addresses are their names and a port.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	silences  atomic.Int64 // how often all connections have fallen silent
}

// listener takes the connections to one address.
type listener struct {
	w       *World
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// BlackholeConnections lets all connections between nodes that are open fall silent for good: what
// is sent on them is lost, and no end of them is told. New ones work.
func (w *World) BlackholeConnections() { w.networks.silences.Add(1) }

// Listen opens an address.
func (w *World) Listen(address string) (net.Listener, error) {
	n := &w.networks
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{w: w, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[address] = l
	return l, nil
}

// Dial returns a node's way to connect to others.
func (w *World) Dial(node string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return w.dial(ctx, node, address) }
}

func (w *World) dial(ctx context.Context, node, address string) (net.Conn, error) {
	to, _, _ := strings.Cut(address, ":")
	if w.cut(node, to) {
		<-ctx.Done()
		return nil, errors.Trace(ctx.Err())
	}
	w.networks.mu.Lock()
	l := w.networks.listeners[address]
	w.networks.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("%s refuses", address)
	}
	near, far := net.Pipe()
	dead := new(atomic.Bool)
	select {
	case l.conns <- &conn{far, w, node, to, dead, w.networks.silences.Load()}:
		return &conn{near, w, node, to, dead, w.networks.silences.Load()}, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	return nil, errors.Errorf("%s refuses", address)
}

// cut reports whether nothing passes between two nodes.
func (w *World) cut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault(a).PeersCut || w.fault(b).PeersCut
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

// Close ends the listening.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.w.networks.mu.Lock()
		defer l.w.networks.mu.Unlock()
		if l.w.networks.listeners[l.address] == l {
			delete(l.w.networks.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (a address) Network() string { return "model" }
func (a address) String() string  { return string(a) }

// conn is a connection through which nothing passes any more once something was
// sent while one of its nodes was cut off: what is lost on a stream is lost with
// all that follows.
type conn struct {
	net.Conn
	w    *World
	a, b string
	dead *atomic.Bool
	born int64 // how often connections had fallen silent when it was opened
}

// Write writes, or takes what then gets lost: it must not wait, since the caller
// holds a lock that no fake clock can wait on.
func (c *conn) Write(p []byte) (int, error) {
	if c.dead.Load() || c.w.cut(c.a, c.b) || c.w.networks.silences.Load() > c.born {
		c.dead.Store(true)
		return len(p), nil
	}
	return c.Conn.Write(p)
}
