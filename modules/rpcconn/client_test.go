// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/log"
)

// testServer is a server whose connections can be blackholed in each direction, while new
// ones work.
type testServer struct {
	address string
	calls   atomic.Int64
	opened  atomic.Int64
	release chan struct{} // closed to let calls of "hold" return

	mu    sync.Mutex
	conns []*droppingConn
}

// droppingConn is a connection that can drop what is received or sent.
type droppingConn struct {
	net.Conn
	dropRequests, dropResponses atomic.Bool
}

func (c *droppingConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.dropRequests.Load() {
			return n, err
		}
	}
}

func (c *droppingConn) Write(p []byte) (int, error) {
	if c.dropResponses.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// blackhole makes all open connections drop the given directions.
func (h *testServer) blackhole(requests, responses bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.dropRequests.Store(requests)
		c.dropResponses.Store(responses)
	}
}

func serve(t *testing.T) (*testServer, *Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &testServer{address: l.Addr().String(), release: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	logger := log.Nop()
	s := &Server{Logger: &logger, Wrap: func(_ context.Context, raw net.Conn) (net.Conn, error) {
		h.opened.Add(1)
		c := &droppingConn{Conn: raw}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.conns = append(h.conns, c)
		return c, nil
	}, Handle: func(_ context.Context, r *jsonrpc2.Request) (any, error) {
		h.calls.Add(1)
		if r.Method == "hold" {
			<-h.release
		}
		return struct{}{}, nil
	}}
	go s.Run(ctx, l)
	var dialer net.Dialer
	client := &Client{Logger: &logger, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}}
	t.Cleanup(client.Close)
	return h, client
}

// callWithTimeout calls a method with a timeout that an unresponsive connection would use
// up.
func callWithTimeout(client *Client, h *testServer, method string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var nothing struct{}
	return client.Call(ctx, h.address, method, struct{}{}, &nothing)
}

// TestUnresponsiveConnectionIsReplaced: in whichever direction a connection drops data, a
// waiting call fails long before its timeout, and the next call works. The client makes no
// call twice: if the outcome is unknown, retrying is up to the caller.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	directions := map[string]struct{ requests, responses bool }{"requests": {true, false}, "answers": {false, true}, "both": {true, true}}
	for name, w := range directions {
		t.Run(name, func(t *testing.T) {
			h, client := serve(t)
			var found atomic.Int64
			client.OnUnresponsive = func(string, time.Duration) { found.Add(1) }
			assert.NilError(t, callWithTimeout(client, h, "work"))
			h.blackhole(w.requests, w.responses)
			began := time.Now()
			assert.Assert(t, callWithTimeout(client, h, "work") != nil)
			assert.Assert(t, time.Since(began) < 10*time.Second, "it took %s", time.Since(began))
			assert.NilError(t, callWithTimeout(client, h, "work"))
			assert.Equal(t, h.opened.Load(), int64(2))
			assert.Equal(t, found.Load(), int64(1))
			want := int64(2)
			if !w.requests {
				want = 3
			}
			assert.Equal(t, h.calls.Load(), want)
		})
	}
}

// TestAllCallsOnUnresponsiveConnectionFail: the check for one call ends the other calls on
// the connection too.
func TestAllCallsOnUnresponsiveConnectionFail(t *testing.T) {
	h, client := serve(t)
	assert.NilError(t, callWithTimeout(client, h, "work"))
	h.blackhole(true, true)
	errs := make(chan error, 10)
	for range cap(errs) {
		go func() { errs <- callWithTimeout(client, h, "work") }()
	}
	began := time.Now()
	for range cap(errs) {
		assert.Assert(t, <-errs != nil)
	}
	assert.Assert(t, time.Since(began) < 10*time.Second, "it took %s", time.Since(began))
	assert.NilError(t, callWithTimeout(client, h, "work"))
	assert.Equal(t, h.opened.Load(), int64(2), "more than one new connection was opened")
}

// TestLongCallKeepsConnection: a call may take long, even if no other call on its
// connection gets a response meanwhile.
func TestLongCallKeepsConnection(t *testing.T) {
	h, client := serve(t)
	assert.NilError(t, callWithTimeout(client, h, "work"))
	long := make(chan error, 1)
	go func() { long <- callWithTimeout(client, h, "hold") }()
	time.Sleep(longCall)
	close(h.release)
	assert.NilError(t, <-long)
	assert.Equal(t, h.opened.Load(), int64(1))
}

// longCall is longer than a client waits until it checks a call and pings.
const longCall = time.Second

// TestCancelledCallKeepsConnection: cancelling a call says nothing about its connection;
// the other calls on it still get their responses.
func TestCancelledCallKeepsConnection(t *testing.T) {
	h, client := serve(t)
	assert.NilError(t, callWithTimeout(client, h, "work"))
	other := make(chan error, 1)
	go func() { other <- callWithTimeout(client, h, "hold") }()
	for h.calls.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan error, 1)
	go func() { cancelled <- client.Call(ctx, h.address, "hold", struct{}{}, nil) }()
	for h.calls.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	assert.ErrorIs(t, <-cancelled, context.Canceled)
	close(h.release)
	assert.NilError(t, <-other)
	assert.Equal(t, h.opened.Load(), int64(1))
}

// blockingConn is a connection whose writes can block, as on an unresponsive connection
// whose buffers are full.
type blockingConn struct {
	net.Conn
	blocked atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func (c *blockingConn) Write(p []byte) (int, error) {
	if c.blocked.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *blockingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestBlockedConnectionIsReplaced: a call whose own message cannot be written also fails
// long before its timeout.
func TestBlockedConnectionIsReplaced(t *testing.T) {
	h, client := serve(t)
	dial := client.Dial
	var opened []*blockingConn // opened by one call after the other
	client.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		c := &blockingConn{Conn: raw, closed: make(chan struct{})}
		opened = append(opened, c)
		return c, nil
	}
	assert.NilError(t, callWithTimeout(client, h, "work"))
	opened[0].blocked.Store(true)
	stuck := make(chan error, 1)
	go func() { stuck <- callWithTimeout(client, h, "work") }()
	select {
	case err := <-stuck:
		assert.Assert(t, err != nil)
	case <-time.After(10 * time.Second):
		_ = opened[0].Close()
		<-stuck
		t.Fatal("the call waits on a connection whose writes block")
	}
	assert.NilError(t, callWithTimeout(client, h, "work"))
	assert.Equal(t, h.opened.Load(), int64(2))
}

// TestConcurrentFirstCallsKeepOneConnection: if several calls find no connection and open
// one each, all but one are closed immediately and not left to the peer's idle timeout.
func TestConcurrentFirstCallsKeepOneConnection(t *testing.T) {
	h, client := serve(t)
	const calls = 10
	var opened sync.WaitGroup
	opened.Add(calls)
	var open atomic.Int64
	dial := client.Dial
	client.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dial(ctx, address)
		opened.Done()
		opened.Wait()
		open.Add(1)
		return &countedConn{Conn: raw, open: &open}, err
	}
	errs := make(chan error, calls)
	for range calls {
		go func() { errs <- callWithTimeout(client, h, "work") }()
	}
	for range calls {
		assert.NilError(t, <-errs)
	}
	assert.Equal(t, open.Load(), int64(1))
}

// countedConn counts the connections that are not closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
