// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"context"
	stderrors "errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/silence"
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Client keeps one connection to each address; its zero value with a Dial function is ready
// for use. It distinguishes an unresponsive connection from an unresponsive peer: if a call
// waits and a ping on its connection gets no response either, the client pings over a new
// connection, which replaces the old one if that gets a response.
type Client struct {
	Dial   Dial
	Logger *log.Logger
	// OnUnresponsive is called for each connection that was found unresponsive, with its
	// address and how long a call had waited on it; it may be nil.
	OnUnresponsive func(address string, after time.Duration)

	mu    sync.Mutex
	peers map[string]*peer // by address
}

// peer is a connection of a client.
type peer struct {
	client      *Client
	address     string
	rpc         *conn
	conn        *silence.Conn
	endpoint    silence.Endpoint
	retryPolicy silence.RetryPolicy
	probing     atomic.Bool // a new connection is being opened to check this one
}

// pingTimeout bounds the ping on a new connection. A running peer responds within a few
// milliseconds, and one short of CPU time within 0.2 s.
const pingTimeout = 400 * time.Millisecond

// Call calls a method at an address. A ConnectError means that the call was not sent.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	p, err := c.get(ctx, address)
	if err != nil {
		return ConnectError{err}
	}
	began := time.Now()
	reads := p.conn.ReadCount()
	w := p.watch(ctx, began)
	err = p.rpc.Call(ctx, method, params, result)
	w.end()
	if _, responded := err.(*jsonrpc2.Error); err == nil || responded { //nolint:errorlint // Call returns it as it is
		p.retryPolicy.RecordResponse(began, 0)
		return err
	}
	if stderrors.Is(err, context.Canceled) || stderrors.Is(err, context.DeadlineExceeded) && p.conn.ReadCount() != reads {
		return err // the call was cancelled, or late, and the connection stays in use for others
	}
	c.drop(p)
	return err
}

// Notify sends a notification, which has no response.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	p, err := c.get(ctx, address)
	if err != nil {
		return ConnectError{err}
	}
	if err := p.rpc.Notify(ctx, method, params); err != nil {
		c.drop(p)
		return err
	}
	return nil
}

// ConnectError is the error of a call for which no connection could be opened.
type ConnectError struct{ Err error }

// Error returns the message of the underlying error.
func (e ConnectError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e ConnectError) Unwrap() error { return e.Err }

// get returns the connection to an address, and opens one if there is none.
func (c *Client) get(ctx context.Context, address string) (*peer, error) {
	c.mu.Lock()
	current := c.peers[address]
	c.mu.Unlock()
	if current.isOpen() {
		return current, nil
	}
	fresh, err := c.open(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	current = c.peers[address]
	if !current.isOpen() {
		c.register(fresh)
		current = fresh
	}
	c.mu.Unlock()
	if current != fresh {
		_ = fresh.rpc.Close() // another call has opened one concurrently
	}
	return current, nil
}

// isOpen reports whether there is a connection and it is not closed.
func (p *peer) isOpen() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

func (c *Client) open(ctx context.Context, address string) (*peer, error) {
	raw, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p := &peer{client: c, address: address}
	p.conn = p.endpoint.Track(raw)
	p.rpc = newConn(context.WithoutCancel(ctx), p.conn, nil, c.Logger) // only the client makes calls on it
	return p, nil
}

// register makes a connection the one to its address. The caller holds c.mu.
func (c *Client) register(p *peer) {
	if c.peers == nil {
		c.peers = make(map[string]*peer)
	}
	c.peers[p.address] = p
}

// drop closes a connection on which a call failed, unless it is closed already.
func (c *Client) drop(p *peer) {
	c.mu.Lock()
	if c.peers[p.address] == p {
		delete(c.peers, p.address)
	}
	c.mu.Unlock()
	// Closing a closed connection returns an error without significance.
	_ = p.rpc.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		_ = p.rpc.Close()
	}
	c.peers = nil
}
