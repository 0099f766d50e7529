// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"context"
	"net"

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
}

// Run takes connections until the context ends.
func (s *Server) Run(ctx context.Context, l net.Listener) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		raw, err := l.Accept()
		if err != nil {
			return
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
	conn, err := c.s.Wrap(ctx, c.raw)
	if err != nil {
		_ = c.raw.Close()
		return
	}
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(c.s.Handle)), jsonrpc2.SetLogger(c.s.Logger))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}
