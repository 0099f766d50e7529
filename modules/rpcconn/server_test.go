// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/log"
)

// serveWithLimits starts a server with the given limits and returns its address.
func serveWithLimits(t *testing.T, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	logger := log.Nop()
	s.Logger = &logger
	if s.Wrap == nil {
		s.Wrap = func(_ context.Context, raw net.Conn) (net.Conn, error) { return raw, nil }
	}
	s.Handle = func(context.Context, *jsonrpc2.Request) (any, error) { return struct{}{}, nil }
	go s.Run(ctx, l)
	return l.Addr().String()
}

// awaitClose waits until the server closes a connection.
func awaitClose(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error) //nolint:errorlint // the connection's own error
	assert.Assert(t, err != nil && (!ok || !timeout.Timeout()), "the connection stays open: %v", err)
}

// TestIdleConnectionIsClosed: a connection that becomes unresponsive, or is never used,
// must not count against the connection limit for ever.
func TestIdleConnectionIsClosed(t *testing.T) {
	address := serveWithLimits(t, &Server{IdleTimeout: 50 * time.Millisecond})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	awaitClose(t, c)
}

// TestMaxConnections: a connection beyond the limit is closed, and a slot that becomes free
// is used again.
func TestMaxConnections(t *testing.T) {
	address := serveWithLimits(t, &Server{MaxConnections: 1})
	logger := log.Nop()
	var dialer net.Dialer
	client := &Client{Logger: &logger, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}}
	var nothing struct{}
	assert.NilError(t, client.Call(t.Context(), address, "work", struct{}{}, &nothing))
	excess, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer excess.Close()
	awaitClose(t, excess)
	client.Close()
	for { // until the server has noticed that the first is closed
		if client.Call(t.Context(), address, "work", struct{}{}, &nothing) == nil {
			break
		}
	}
	client.Close()
}

// TestHandshakeTimeout: a connection whose peer sends nothing during the handshake is
// closed like an idle one.
func TestHandshakeTimeout(t *testing.T) {
	address := serveWithLimits(t, &Server{IdleTimeout: 50 * time.Millisecond, Wrap: func(ctx context.Context, raw net.Conn) (net.Conn, error) {
		secure := tls.Server(raw, &tls.Config{MinVersion: tls.VersionTLS13})
		return secure, secure.HandshakeContext(ctx)
	}})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	awaitClose(t, c)
}
