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

// serveBounded serves with bounds and returns the address.
func serveBounded(t *testing.T, s *Server) string {
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
	s.Handle = func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return struct{}{}, nil }
	go s.Run(ctx, l)
	return l.Addr().String()
}

// ended waits until the server closes a connection.
func ended(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := c.Read(make([]byte, 1))
	timeout, is := err.(net.Error) //nolint:errorlint // the connection's own error
	assert.Assert(t, err != nil && (!is || !timeout.Timeout()), "the connection stays open: %v", err)
}

// TestAConnectionThatBringsNothingIsClosed: one that fell silent, or was opened and
// never used, gives its room back.
func TestAConnectionThatBringsNothingIsClosed(t *testing.T) {
	address := serveBounded(t, &Server{IdleTimeout: 50 * time.Millisecond})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	ended(t, c)
}

// TestConnectionsAreBoundedInNumber: one beyond the bound is closed, and room that is
// given back is used again.
func TestConnectionsAreBoundedInNumber(t *testing.T) {
	address := serveBounded(t, &Server{MaxConnections: 1})
	logger := log.Nop()
	var dialer net.Dialer
	table := &Client{Logger: &logger, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}}
	var nothing struct{}
	assert.NilError(t, table.Call(t.Context(), address, "work", struct{}{}, &nothing))
	beyond, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer beyond.Close()
	ended(t, beyond)
	table.Close()
	for { // until the server has seen that the first has gone
		if table.Call(t.Context(), address, "work", struct{}{}, &nothing) == nil {
			break
		}
	}
	table.Close()
}

// TestAConnectionThatIsNeverSecuredGivesItsRoomBack: one whose far end says nothing
// while it is made ready for use is closed as one that brings nothing later.
func TestAConnectionThatIsNeverSecuredGivesItsRoomBack(t *testing.T) {
	address := serveBounded(t, &Server{IdleTimeout: 50 * time.Millisecond, Wrap: func(ctx context.Context, raw net.Conn) (net.Conn, error) {
		secure := tls.Server(raw, &tls.Config{MinVersion: tls.VersionTLS13})
		return secure, secure.HandshakeContext(ctx)
	}})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	ended(t, c)
}
