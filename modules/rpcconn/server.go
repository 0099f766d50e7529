// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/yardbridge/yardbridge/modules/log"
)

// Handler handles one call.
type Handler func(ctx context.Context, r *jsonrpc2.Request) (any, error)

// Server serves the connections of a listener.
type Server struct {
	// Wrap returns the connection to use in place of an accepted one, which is closed if
	// Wrap fails. Wrap logs the reason itself.
	Wrap   func(ctx context.Context, raw net.Conn) (net.Conn, error)
	Handle Handler
	Logger *log.Logger
	// IdleTimeout is how long a connection may receive nothing before it is closed; 0 means
	// defaultIdleTimeout, and handshakeTimeout until the connection is ready.
	IdleTimeout time.Duration
	// MaxConnections is how many connections may be open, 0 for defaultMaxConnections.
	MaxConnections int64

	open atomic.Int64
}

// Default limits of a server's connections.
const (
	// defaultIdleTimeout is far above the time between two calls of a running process, and
	// short enough that unresponsive connections don't pile up: a process opens a new
	// connection when its old one is closed.
	defaultIdleTimeout = 2 * time.Minute
	// handshakeTimeout bounds the time until a connection is ready for use. A TLS handshake
	// takes some milliseconds, and callers give up after a second.
	handshakeTimeout = 5 * time.Second
	// defaultMaxConnections lets each of 300 processes have two connections here, for calls
	// and for probes, and as many unresponsive ones that are not closed yet.
	defaultMaxConnections = 1200
)

// Run accepts connections until the context ends.
func (s *Server) Run(ctx context.Context, l net.Listener) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		if s.open.Add(1) > cmp.Or(s.MaxConnections, defaultMaxConnections) {
			s.open.Add(-1)
			_ = raw.Close()
			s.Logger.Warn().Str("event", "connection").Str("from", raw.RemoteAddr().String()).Int64("open", s.open.Load()).
				Str("outcome", "refused").Msg("connection limit reached, closing a new connection")
			continue
		}
		go session{s, raw}.run(ctx)
	}
}

// session is one accepted connection.
type session struct {
	s   *Server
	raw net.Conn
}

// run serves the connection until it or the context ends.
func (c session) run(ctx context.Context) {
	defer c.s.open.Add(-1)
	conn, err := c.wrap(ctx)
	if err != nil {
		_ = c.raw.Close()
		return
	}
	conn = idleConn{conn, cmp.Or(c.s.IdleTimeout, defaultIdleTimeout)}
	rpc := newConn(ctx, conn, c.s.handle, c.s.Logger)
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

// wrap prepares the connection for use within the handshake timeout.
func (c session) wrap(ctx context.Context) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, cmp.Or(c.s.IdleTimeout, handshakeTimeout))
	defer cancel()
	return c.s.Wrap(bounded, c.raw)
}

// handle responds to pings and passes other calls to the handler.
func (s *Server) handle(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	if r.Method == methodPing {
		return struct{}{}, nil
	}
	return s.Handle(ctx, r)
}

// idleConn is a connection whose reads time out when it is idle for too long.
type idleConn struct {
	net.Conn
	timeout time.Duration
}

// Read reads from the connection.
func (c idleConn) Read(p []byte) (int, error) {
	// Only connections in tests have no deadlines.
	_ = c.SetReadDeadline(time.Now().Add(c.timeout))
	return c.Conn.Read(p)
}
