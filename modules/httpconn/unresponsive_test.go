// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blackholeListener is a listener whose connections can all become unresponsive at once:
// what is received on them is discarded, while new ones work.
type blackholeListener struct {
	net.Listener
	mu       sync.Mutex
	conns    []*blackholeConn
	accepted atomic.Int64
}

type blackholeConn struct {
	net.Conn
	blackholed atomic.Bool
	closed     chan struct{}
	once       sync.Once
}

func (l *blackholeListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	c := &blackholeConn{Conn: raw, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *blackholeListener) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.blackholed.Store(true)
	}
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.blackholed.Load() {
		return n, err
	}
	<-c.closed
	return 0, io.EOF
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *blackholeConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// serveBlackhole serves a handler on connections that can become unresponsive.
func serveBlackhole(t *testing.T, h http.HandlerFunc) *blackholeListener {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	l := &blackholeListener{Listener: s.Listener}
	s.Listener = l
	s.Start()
	t.Cleanup(func() {
		l.mu.Lock()
		for _, c := range l.conns {
			_ = c.Close()
		}
		l.mu.Unlock()
		s.Close()
	})
	return l
}

func respond(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }

// longTimeout is far longer than a call takes that does not wait for an unresponsive
// connection.
const longTimeout = 20 * time.Second

func (l *blackholeListener) client() *Client { return &Client{Address: l.Addr().String(), MaxIdle: 4} }

// TestIdempotentCallIsRetried: an idempotent call on an unresponsive connection gets its
// response over a new one, long before its timeout.
func TestIdempotentCallIsRetried(t *testing.T) {
	l := serveBlackhole(t, respond)
	c := l.client()
	call := Request{Method: http.MethodGet, Path: "/", Idempotent: true}
	_, err := c.Do(context.Background(), call, longTimeout)
	assert.NilError(t, err)
	l.blackhole()
	began := time.Now()
	a, err := c.Do(context.Background(), call, longTimeout)
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "done")
	assert.Assert(t, time.Since(began) < longTimeout/4, "it took %s", time.Since(began))
}

// TestUnresponsiveConnectionsAreResetTogether: a call that waits on a connection of the
// same age ends as soon as another call has found its connection unresponsive; if it is not
// idempotent, it ends with an unknown outcome and is not sent again.
func TestUnresponsiveConnectionsAreResetTogether(t *testing.T) {
	var orders atomic.Int64
	both := make(chan struct{}, 2)
	l := serveBlackhole(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			orders.Add(1)
		}
		if r.URL.Path == "/first" {
			both <- struct{}{}
			for len(both) < 2 {
				time.Sleep(time.Millisecond)
			}
		}
		respond(w, r)
	})
	c := l.client()
	var opened sync.WaitGroup
	for range 2 { // two connections, both idle in the end
		opened.Go(func() {
			_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/first"}, longTimeout)
			assert.Check(t, err)
		})
	}
	opened.Wait()
	l.blackhole()
	began := time.Now()
	order := make(chan error, 1)
	go func() {
		_, err := c.Do(context.Background(), Request{Method: http.MethodPost, Path: "/"}, longTimeout)
		order <- err
	}()
	for { // until the order waits on one of them
		c.mu.Lock()
		idle := len(c.idle)
		c.mu.Unlock()
		if idle == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/", Idempotent: true}, longTimeout)
	assert.NilError(t, err)
	assert.ErrorContains(t, <-order, "outcome-unknown")
	assert.Assert(t, time.Since(began) < longTimeout/4, "it took %s", time.Since(began))
	assert.Equal(t, orders.Load(), int64(0))
}

// TestRetryBudgetForSlowServer: a slow server must not get every call twice, so retries
// have a budget.
func TestRetryBudgetForSlowServer(t *testing.T) {
	var sent atomic.Int64
	l := serveBlackhole(t, func(w http.ResponseWriter, r *http.Request) {
		if sent.Add(1) > 1 {
			time.Sleep(300 * time.Millisecond)
		}
		respond(w, r)
	})
	c := l.client()
	c.MaxIdle = 40
	call := Request{Method: http.MethodGet, Path: "/", Idempotent: true}
	_, err := c.Do(context.Background(), call, longTimeout)
	assert.NilError(t, err)
	const calls = 20
	for range calls { // one after the other, so that each uses an idle connection
		_, err := c.Do(context.Background(), call, longTimeout)
		assert.NilError(t, err)
	}
	assert.Assert(t, sent.Load() < calls*3/2, "%d calls were sent %d times", calls, sent.Load())
}

// TestLongPollIsNotRetried: the server may delay a response for as long as the request
// asked it to.
func TestLongPollIsNotRetried(t *testing.T) {
	const wait = 600 * time.Millisecond
	var sent atomic.Int64
	l := serveBlackhole(t, func(w http.ResponseWriter, r *http.Request) {
		if sent.Add(1) > 1 {
			time.Sleep(wait)
		}
		respond(w, r)
	})
	c := l.client()
	for range 3 {
		_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/", Idempotent: true, ServerWait: wait}, longTimeout)
		assert.NilError(t, err)
	}
	assert.Equal(t, sent.Load(), int64(3))
	assert.Equal(t, l.accepted.Load(), int64(1))
}

// TestNewConnectionIsNotReset: a call that was retried over a new connection waits there
// like any other; when a later call finds older connections unresponsive, it is not
// interrupted.
func TestNewConnectionIsNotReset(t *testing.T) {
	const wait = longTimeout / 2
	var held atomic.Int64
	retried := make(chan struct{})
	release := make(chan struct{})
	opened := make(chan struct{}, 2)
	l := serveBlackhole(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/open":
			opened <- struct{}{}
			for len(opened) < cap(opened) {
				time.Sleep(time.Millisecond)
			}
		case r.URL.Path == "/held" && held.Add(1) == 1:
			panic(http.ErrAbortHandler) // closes the older connection immediately
		case r.URL.Path == "/held":
			close(retried)
			<-release
		}
		respond(w, r)
	})
	c := l.client()
	var both sync.WaitGroup
	for range cap(opened) { // two connections, both idle in the end
		both.Go(func() {
			_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/open"}, longTimeout)
			assert.Check(t, err)
		})
	}
	both.Wait()
	first := make(chan error, 1)
	go func() {
		_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/held", Idempotent: true, ServerWait: wait}, longTimeout)
		first <- err
	}()
	<-retried
	l.blackhole()
	l.mu.Lock()
	l.conns[len(l.conns)-1].blackholed.Store(false) // the new one works
	l.mu.Unlock()
	_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/", Idempotent: true}, longTimeout)
	assert.NilError(t, err)
	close(release)
	assert.NilError(t, <-first)
}
