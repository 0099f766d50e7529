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

// hall is a server whose connections can fall silent, each way by itself, while new
// ones work.
type hall struct {
	address string
	calls   atomic.Int64
	opened  atomic.Int64
	held    chan struct{} // closed once calls of "hold" may end

	mu    sync.Mutex
	conns []*mutable
}

// mutable is a connection that can fall silent; what is sent then is lost.
type mutable struct {
	net.Conn
	noRequests, noAnswers atomic.Bool
}

func (c *mutable) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.noRequests.Load() {
			return n, err
		}
	}
}

func (c *mutable) Write(p []byte) (int, error) {
	if c.noAnswers.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// fall silences all connections that are open.
func (h *hall) fall(requests, answers bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.noRequests.Store(requests)
		c.noAnswers.Store(answers)
	}
}

func serve(t *testing.T) (*hall, *Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &hall{address: l.Addr().String(), held: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	logger := log.Nop()
	s := &Server{Logger: &logger, Wrap: func(_ context.Context, raw net.Conn) (net.Conn, error) {
		h.opened.Add(1)
		c := &mutable{Conn: raw}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.conns = append(h.conns, c)
		return c, nil
	}, Handle: func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		h.calls.Add(1)
		if r.Method == "hold" {
			<-h.held
		}
		return struct{}{}, nil
	}}
	go s.Run(ctx, l)
	var dialer net.Dialer
	table := &Client{Logger: &logger, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}}
	t.Cleanup(table.Close)
	return h, table
}

// limited calls a method with a limit that a silent connection would use up.
func limited(table *Client, h *hall, method string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var nothing struct{}
	return table.Call(ctx, h.address, method, struct{}{}, &nothing)
}

// TestSilentConnectionIsReplaced: of each way in which a connection falls silent a
// waiting call learns long before its limit, and the next call works. No call is
// made twice by the table: a call whose outcome is unknown is its caller's to repeat.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ways := map[string]struct{ requests, answers bool }{"requests": {true, false}, "answers": {false, true}, "both": {true, true}}
	for name, w := range ways {
		t.Run(name, func(t *testing.T) {
			h, table := serve(t)
			var found atomic.Int64
			table.OnUnresponsive = func(string, time.Duration) { found.Add(1) }
			assert.NilError(t, limited(table, h, "work"))
			h.fall(w.requests, w.answers)
			began := time.Now()
			assert.Assert(t, limited(table, h, "work") != nil)
			assert.Assert(t, time.Since(began) < 10*time.Second, "it took %s", time.Since(began))
			assert.NilError(t, limited(table, h, "work"))
			assert.Equal(t, h.opened.Load(), int64(2))
			assert.Equal(t, found.Load(), int64(1))
			most := int64(2)
			if !w.requests {
				most = 3
			}
			assert.Equal(t, h.calls.Load(), most)
		})
	}
}

// TestAllCallsOnASilentConnectionEnd: what is found for one counts for the others.
func TestAllCallsOnASilentConnectionEnd(t *testing.T) {
	h, table := serve(t)
	assert.NilError(t, limited(table, h, "work"))
	h.fall(true, true)
	errs := make(chan error, 10)
	for range cap(errs) {
		go func() { errs <- limited(table, h, "work") }()
	}
	began := time.Now()
	for range cap(errs) {
		assert.Assert(t, <-errs != nil)
	}
	assert.Assert(t, time.Since(began) < 10*time.Second, "it took %s", time.Since(began))
	assert.NilError(t, limited(table, h, "work"))
	assert.Equal(t, h.opened.Load(), int64(2), "more than one fresh connection was asked")
}

// TestALongCallIsNoSilence: a call may take its time, though nothing else is answered
// on its connection.
func TestALongCallIsNoSilence(t *testing.T) {
	h, table := serve(t)
	assert.NilError(t, limited(table, h, "work"))
	long := make(chan error, 1)
	go func() { long <- limited(table, h, "hold") }()
	time.Sleep(longCall)
	close(h.held)
	assert.NilError(t, <-long)
	assert.Equal(t, h.opened.Load(), int64(1))
}

// longCall is longer than a table waits until it looks after a call, and asks.
const longCall = time.Second

// TestACallThatIsGivenUpEndsNoOther: whoever gives a call up tells nothing about its
// connection; the calls of others on it get their answers.
func TestACallThatIsGivenUpEndsNoOther(t *testing.T) {
	h, table := serve(t)
	assert.NilError(t, limited(table, h, "work"))
	other := make(chan error, 1)
	go func() { other <- limited(table, h, "hold") }()
	for h.calls.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	ctx, giveUp := context.WithCancel(context.Background())
	given := make(chan error, 1)
	go func() { given <- table.Call(ctx, h.address, "hold", struct{}{}, nil) }()
	for h.calls.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	giveUp()
	assert.ErrorIs(t, <-given, context.Canceled)
	close(h.held)
	assert.NilError(t, <-other)
	assert.Equal(t, h.opened.Load(), int64(1))
}

// full is a connection that can stop taking anything, as one does whose far end has
// fallen silent and whose buffers are full.
type full struct {
	net.Conn
	stuck atomic.Bool
	ended chan struct{}
	once  sync.Once
}

func (c *full) Write(p []byte) (int, error) {
	if c.stuck.Load() {
		<-c.ended
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *full) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// TestSilentConnectionThatTakesNothingIsReplaced: a call whose own message is not taken
// learns as well, long before its limit, that its connection is silent.
func TestSilentConnectionThatTakesNothingIsReplaced(t *testing.T) {
	h, table := serve(t)
	dial := table.Dial
	var opened []*full // by one call after the other
	table.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		c := &full{Conn: raw, ended: make(chan struct{})}
		opened = append(opened, c)
		return c, nil
	}
	assert.NilError(t, limited(table, h, "work"))
	opened[0].stuck.Store(true)
	stuck := make(chan error, 1)
	go func() { stuck <- limited(table, h, "work") }()
	select {
	case err := <-stuck:
		assert.Assert(t, err != nil)
	case <-time.After(10 * time.Second):
		_ = opened[0].Close()
		<-stuck
		t.Fatal("the call waits on a connection that takes nothing")
	}
	assert.NilError(t, limited(table, h, "work"))
	assert.Equal(t, h.opened.Load(), int64(2))
}

// TestCallsThatBeginTogetherKeepOneConnection: where several calls find none and open
// one each, all but one are closed, and not left to the far end's idle limit.
func TestCallsThatBeginTogetherKeepOneConnection(t *testing.T) {
	h, table := serve(t)
	const calls = 10
	var opened sync.WaitGroup
	opened.Add(calls)
	var left atomic.Int64
	dial := table.Dial
	table.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := dial(ctx, address)
		opened.Done()
		opened.Wait()
		left.Add(1)
		return &counted{Conn: raw, left: &left}, err
	}
	errs := make(chan error, calls)
	for range calls {
		go func() { errs <- limited(table, h, "work") }()
	}
	for range calls {
		assert.NilError(t, <-errs)
	}
	assert.Equal(t, left.Load(), int64(1))
}

// counted counts the connections that were not closed.
type counted struct {
	net.Conn
	left *atomic.Int64
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.left.Add(-1) })
	return c.Conn.Close()
}
