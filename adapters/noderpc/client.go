// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package noderpc

import (
	"context"
	stderrors "errors"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
)

// dialTimeout bounds the time to connect to a node, which takes milliseconds.
const dialTimeout = 500 * time.Millisecond

// Client calls other nodes; it keeps one connection to each.
type Client struct {
	Logger log.Logger
	// Dial opens a connection; nil does over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn // by address
}

// noHandler answers what nodes ask on connections of this side: nothing.
var noHandler = jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
})

// Call calls a method of the node at an address. An error of the kind NoTarget
// says that nothing was sent, OutcomeUnknown that the call may have been taken;
// others are the node's own.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return errkind.New(errkind.NoTarget, "node at %s: %v", address, err)
	}
	err = conn.Call(ctx, method, params, result)
	var refused *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case stderrors.As(err, &refused):
		return kindOf(refused)
	}
	c.forget(address, conn)
	return errkind.New(errkind.OutcomeUnknown, "%s at %s: %v", method, address, err)
}

// conn returns the connection to an address, a new one if need be.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	known := c.conns[address]
	c.mu.Unlock()
	if known != nil {
		select {
		case <-known.DisconnectNotify():
		default:
			return known, nil
		}
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(boundedConn{raw}, jsonrpc2.VarintObjectCodec{})
	fresh := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, noHandler, jsonrpc2.SetLogger(&c.Logger))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = make(map[string]*jsonrpc2.Conn)
	}
	c.conns[address] = fresh
	return fresh, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if c.Dial != nil {
		return c.Dial(bounded, address)
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(bounded, "tcp", address)
	return raw, errors.Trace(err)
}

// writeTimeout bounds a write. A peer that has gone without a word takes nothing
// any more, and the library holds its lock while it writes: without a bound every
// other call to that peer would wait, whatever its own time limit.
const writeTimeout = 400 * time.Millisecond

// boundedConn is a connection whose writes end in time.
type boundedConn struct{ net.Conn }

// Write writes within the bound; a connection that does not take it is closed.
func (c boundedConn) Write(p []byte) (int, error) {
	// A connection that takes no deadline fails the write as well.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

// forget closes a connection on which a call has failed. Calls of others on it
// that wait would wait for nothing as well.
func (c *Client) forget(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	// Closing a connection that is closed tells nothing.
	_ = conn.Close()
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// codeBase is the code of the first error kind between nodes.
const codeBase = 1000

// kindOf returns the error of a node's answer.
func kindOf(e *jsonrpc2.Error) error {
	kinds := errkind.Kinds()
	if n := int(e.Code - codeBase); n >= 0 && n < len(kinds) {
		return errkind.New(kinds[n], "%s", e.Message)
	}
	return errkind.New(errkind.Internal, "%s", e.Message)
}

// codeOf returns the answer of an error.
func codeOf(err error) *jsonrpc2.Error {
	e := errkind.Of(err)
	return &jsonrpc2.Error{Code: codeBase + int64(e.Kind), Message: e.Message}
}
