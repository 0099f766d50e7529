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

// Handler answers one call.
type Handler func(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error)

// Server serves the connections of a listener.
type Server struct {
	// Wrap returns the connection to use in place of one that has come in; where it
	// fails, that is closed. Wrap says why.
	Wrap   func(ctx context.Context, raw net.Conn) (net.Conn, error)
	Handle Handler
	Logger *log.Logger
	// IdleTimeout is for how long a connection may bring nothing until it is closed, 0 for
	// idleLimit, and for wrapLimit until it is ready for use.
	IdleTimeout time.Duration
	// MaxConnections is how many connections may be open at once, 0 for mostOpen.
	MaxConnections int64

	open atomic.Int64
}

// The bounds of a server's connections.
const (
	// idleLimit is far above the time between two calls of a process that lives, and
	// short enough that connections that fell silent don't pile up: a process opens a
	// fresh one where its old one is closed.
	idleLimit = 2 * time.Minute
	// wrapLimit is for a connection to be made ready for use: a secure handshake takes
	// some milliseconds, and whoever calls gives up after a second.
	wrapLimit = 5 * time.Second
	// mostOpen lets each of 300 processes have two connections here, for calls and for
	// probes, and as many that fell silent and are not closed yet.
	mostOpen = 1200
)

// Run takes connections until the context ends.
func (s *Server) Run(ctx context.Context, l net.Listener) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		if s.open.Add(1) > cmp.Or(s.MaxConnections, mostOpen) {
			s.open.Add(-1)
			_ = raw.Close()
			s.Logger.Warn().Str("event", "connection").Str("from", raw.RemoteAddr().String()).Int64("open", s.open.Load()).
				Str("outcome", "refused").Msg("too many connections are open; one more is closed")
			continue
		}
		go session{s, raw}.run(ctx)
	}
}

// session is one connection that has come in.
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
	conn = idleConn{conn, cmp.Or(c.s.IdleTimeout, idleLimit)}
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(c.s.handle)), jsonrpc2.SetLogger(c.s.Logger))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

// wrap makes the connection ready for use, for no longer than one may bring nothing.
func (c session) wrap(ctx context.Context) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, cmp.Or(c.s.IdleTimeout, wrapLimit))
	defer cancel()
	return c.s.Wrap(bounded, c.raw)
}

// handle answers whether this process is there, and leaves the rest to the owner.
func (s *Server) handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method == methodPing {
		return struct{}{}, nil
	}
	return s.Handle(ctx, conn, r)
}

// idleConn is a connection that ends where it brings nothing for too long.
type idleConn struct {
	net.Conn
	limit time.Duration
}

// Read reads from the connection.
func (c idleConn) Read(p []byte) (int, error) {
	// A connection that takes no deadline is one of a test.
	_ = c.SetReadDeadline(time.Now().Add(c.limit))
	return c.Conn.Read(p)
}
