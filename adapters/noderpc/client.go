// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package noderpc

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/rpcconn"
)

// dialTimeout is the longest time to connect to a node, which normally takes milliseconds.
const dialTimeout = 500 * time.Millisecond

// Client calls other nodes; it keeps one connection to each.
type Client struct {
	Logger log.Logger
	// Dial opens a connection; nil opens one over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// OnUnresponsive is called for each connection that was found unresponsive, with the time until
	// it was found; it may be nil.
	OnUnresponsive func(address string, after time.Duration)

	once  sync.Once
	conns rpcconn.Client
}

// table returns the table of connections, which is initialized at the first use.
func (c *Client) table() *rpcconn.Client {
	c.once.Do(func() { c.conns.Dial, c.conns.Logger, c.conns.OnUnresponsive = c.dial, &c.Logger, c.OnUnresponsive })
	return &c.conns
}

// Call calls a method of the node at an address. An error of the kind NoTarget means that the call
// was not sent, one of the kind OutcomeUnknown that it may have been executed.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	err := c.table().Call(ctx, address, method, params, result)
	var refused *jsonrpc2.Error
	var unreached rpcconn.ConnectError
	switch {
	case err == nil:
		return nil
	case stderrors.As(err, &refused):
		return kindOf(refused)
	case stderrors.As(err, &unreached):
		return errkind.New(errkind.NoTarget, "node at %s: %v", address, err)
	}
	return errkind.New(errkind.OutcomeUnknown, "%s at %s: %v", method, address, err)
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	open := c.Dial
	if open == nil {
		var dialer net.Dialer
		open = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	raw, err := open(bounded, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return boundedConn{raw}, nil
}

// writeTimeout is the longest time for a write. A peer that has disappeared without closing the
// connection reads nothing any more, and package rpcconn holds a lock during a write:
// without a limit, every other call to that peer would wait, whatever its own timeout.
const writeTimeout = 400 * time.Millisecond

// boundedConn is a connection whose writes have a timeout.
type boundedConn struct{ net.Conn }

// Write writes with a timeout; a connection on which a write fails is closed.
func (c boundedConn) Write(p []byte) (int, error) {
	// If the deadline can't be set, the write fails as well.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

// NetConn returns the underlying connection, which is needed to reset it.
func (c boundedConn) NetConn() net.Conn { return c.Conn }

// Close closes all connections.
func (c *Client) Close() { c.table().Close() }

// firstErrorCode is the JSON-RPC code of the first error kind between nodes.
const firstErrorCode = 1000

// kindOf converts the error response of a node to an error.
func kindOf(e *jsonrpc2.Error) error {
	kinds := errkind.Kinds()
	if n := int(e.Code - firstErrorCode); n >= 0 && n < len(kinds) {
		var after time.Duration
		var exact exactRetry
		if e.Data != nil && json.Unmarshal(*e.Data, &exact) == nil {
			return errkind.NewExact(kinds[n], exact.After, "%s", e.Message)
		}
		if e.Data != nil && json.Unmarshal(*e.Data, &after) == nil && after > 0 {
			return errkind.NewRetry(kinds[n], after, "%s", e.Message)
		}
		return errkind.New(kinds[n], "%s", e.Message)
	}
	return errkind.New(errkind.Internal, "%s", e.Message)
}

// codeOf converts an error to an error response, with the time after which to retry as its data.
func codeOf(err error) *jsonrpc2.Error {
	e := errkind.Of(err)
	response := &jsonrpc2.Error{Code: firstErrorCode + int64(e.Kind), Message: e.Message}
	switch {
	case e.Exact:
		response.SetError(exactRetry{e.RetryAfter})
	case e.RetryAfter > 0:
		response.SetError(e.RetryAfter)
	}
	return response
}

// exactRetry is the data of an error response whose time is of one caller alone, 0 for none; other times
// are sent as a number.
type exactRetry struct {
	After time.Duration `json:"after"`
}
