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

// Client holds one connection to each address; its zero value with a way to open
// them works. A connection that has fallen silent is told apart from a far end that
// is: where a call waits and the connection does not answer a question either, a fresh
// one is asked, and takes its place.
type Client struct {
	Dial   Dial
	Logger *log.Logger
	// OnUnresponsive is told of each connection that was found silent, by address, and how
	// long a call had waited on it; nil tells nobody.
	OnUnresponsive func(address string, after time.Duration)

	mu    sync.Mutex
	peers map[string]*peer // by address
}

// peer is a connection of a table.
type peer struct {
	table   *Client
	address string
	rpc     *jsonrpc2.Conn
	conn    *silence.Conn
	end     silence.Endpoint
	repeats silence.RetryPolicy
	asked   atomic.Bool // a fresh connection is being asked about it
}

// noHandler takes no calls: a client's connection carries its own only.
var noHandler = jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
})

// pingTimeout bounds the question on a fresh connection, which a far end that lives
// answers within a few milliseconds, and one short of processor time within 0.2 s.
const pingTimeout = 400 * time.Millisecond

// Call makes a call to an address. Unreached says that it was not sent.
func (t *Client) Call(ctx context.Context, address, method string, params, result any) error {
	p, err := t.get(ctx, address)
	if err != nil {
		return ConnectError{err}
	}
	began := time.Now()
	heard := p.conn.ReadCount()
	w := p.watch(ctx, began)
	err = p.rpc.Call(ctx, method, params, result)
	w.end()
	if _, answered := err.(*jsonrpc2.Error); err == nil || answered { //nolint:errorlint // the library returns it as it is
		p.repeats.RecordResponse(began, 0)
		return err
	}
	if stderrors.Is(err, context.Canceled) || stderrors.Is(err, context.DeadlineExceeded) && p.conn.ReadCount() != heard {
		return err // the call was given up, or was late, and others go on over the connection
	}
	t.forget(p)
	return err
}

// Notify sends a message that has no answer.
func (t *Client) Notify(ctx context.Context, address, method string, params any) error {
	p, err := t.get(ctx, address)
	if err != nil {
		return ConnectError{err}
	}
	if err := p.rpc.Notify(ctx, method, params); err != nil {
		t.forget(p)
		return err
	}
	return nil
}

// ConnectError is the error of a call for which there was no connection.
type ConnectError struct{ Err error }

// Error says why there was no connection.
func (u ConnectError) Error() string { return u.Err.Error() }

// Unwrap returns why there was no connection.
func (u ConnectError) Unwrap() error { return u.Err }

// get returns the connection to an address, a fresh one where there is none.
func (t *Client) get(ctx context.Context, address string) (*peer, error) {
	t.mu.Lock()
	known := t.peers[address]
	t.mu.Unlock()
	if known.live() {
		return known, nil
	}
	fresh, err := t.open(ctx, address)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	known = t.peers[address]
	if !known.live() {
		t.put(fresh)
		known = fresh
	}
	t.mu.Unlock()
	if known != fresh {
		_ = fresh.rpc.Close() // another call has opened one in the meantime
	}
	return known, nil
}

// live reports whether there is a connection and it has not ended.
func (p *peer) live() bool {
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

func (t *Client) open(ctx context.Context, address string) (*peer, error) {
	raw, err := t.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p := &peer{table: t, address: address}
	p.conn = p.end.Track(raw)
	stream := jsonrpc2.NewBufferedStream(p.conn, jsonrpc2.VarintObjectCodec{})
	p.rpc = jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, noHandler, jsonrpc2.SetLogger(t.Logger))
	return p, nil
}

// put makes a connection the one to its address. The lock is held.
func (t *Client) put(p *peer) {
	if t.peers == nil {
		t.peers = make(map[string]*peer)
	}
	t.peers[p.address] = p
}

// forget ends a connection that failed a call, unless it ended before.
func (t *Client) forget(p *peer) {
	t.mu.Lock()
	if t.peers[p.address] == p {
		delete(t.peers, p.address)
	}
	t.mu.Unlock()
	// Closing a connection that is closed tells nothing.
	_ = p.rpc.Close()
}

// Close ends all connections.
func (t *Client) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		_ = p.rpc.Close()
	}
	t.peers = nil
}
