// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"cmp"
	"context"
	stderrors "errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/yardbridge/yardbridge/modules/budget"
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
	// Memory is what calls of more than firstBuffer bytes hold while they arrive and are handled, nil for no limit. A call
	// for which there is too little gets Refusal as its response; without one its connection is closed.
	Memory  *budget.Budget
	Refusal error

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
	// minAcceptRetry and maxAcceptRetry are the first and the longest pause after a connection could not be accepted, mostly
	// since the process has no descriptor left.
	minAcceptRetry = 5 * time.Millisecond
	maxAcceptRetry = 200 * time.Millisecond
	// messageTimeout bounds the time in which a message arrives that has begun. A large one takes a second on the slowest
	// links.
	messageTimeout = 10 * time.Second
)

// Run accepts connections until the context ends or the listener is closed.
func (s *Server) Run(ctx context.Context, l net.Listener) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	var pause time.Duration // after a failed accept
	for {
		raw, err := l.Accept()
		switch {
		case err == nil:
			pause = 0
		case ctx.Err() != nil || stderrors.Is(err, net.ErrClosed):
			return
		default:
			s.Logger.Warn().Str("event", "connection").Err(err).Int64("open", s.open.Load()).Str("outcome", "not accepted").
				Msg("accepting a connection failed; it is tried again")
			pause = min(max(2*pause, minAcceptRetry), maxAcceptRetry)
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
			continue
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
	idle := &idleConn{Conn: conn, timeout: cmp.Or(c.s.IdleTimeout, defaultIdleTimeout)}
	rpc := newLimitedConn(ctx, idle, c.s.handle, c.s.Logger, limits{c.s.Memory, idle.boundMessage, c.s.Refusal})
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

// idleConn is a connection whose reads time out when it is idle for too long, or a message takes too long. It is used by
// one goroutine that reads.
type idleConn struct {
	net.Conn
	timeout time.Duration
	end     time.Time // of the message that has begun, zero for none
}

// boundMessage bounds the time in which the rest of a message arrives, or ends that bound.
func (c *idleConn) boundMessage(begun bool) {
	c.end = time.Time{}
	if begun {
		c.end = time.Now().Add(messageTimeout)
	}
}

// Read reads from the connection.
func (c *idleConn) Read(p []byte) (int, error) {
	end := time.Now().Add(c.timeout)
	if !c.end.IsZero() && c.end.Before(end) {
		end = c.end
	}
	// Only connections in tests have no deadlines.
	_ = c.SetReadDeadline(end)
	return c.Conn.Read(p)
}
