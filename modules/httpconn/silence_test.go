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

// quiet is a listener whose connections can all fall silent at once: what comes on
// them is taken and never answered, while new ones work.
type quiet struct {
	net.Listener
	mu    sync.Mutex
	conns []*quietConn
	opens atomic.Int64
}

type quietConn struct {
	net.Conn
	silent atomic.Bool
	ended  chan struct{}
	once   sync.Once
}

func (l *quiet) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.opens.Add(1)
	c := &quietConn{Conn: raw, ended: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *quiet) fall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent.Store(true)
	}
}

func (c *quietConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.silent.Load() {
		return n, err
	}
	<-c.ended
	return 0, io.EOF
}

func (c *quietConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *quietConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// serveQuiet serves a handler on connections that can fall silent.
func serveQuiet(t *testing.T, h http.HandlerFunc) *quiet {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	l := &quiet{Listener: s.Listener}
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

func answerAtOnce(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }

// longLimit is far more than a call takes that does not wait for a silent channel.
const longLimit = 20 * time.Second

func (l *quiet) client() *Client { return &Client{Address: l.Addr().String(), MaxIdle: 4} }

// TestACallIsRepeatedWhereItsChannelFellSilent: one that may be made twice is
// answered over a fresh channel, long before its time limit.
func TestACallIsRepeatedWhereItsChannelFellSilent(t *testing.T) {
	l := serveQuiet(t, answerAtOnce)
	c := l.client()
	call := Request{Method: http.MethodGet, Path: "/", Idempotent: true}
	_, err := c.Do(context.Background(), call, longLimit)
	assert.NilError(t, err)
	l.fall()
	began := time.Now()
	a, err := c.Do(context.Background(), call, longLimit)
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "done")
	assert.Assert(t, time.Since(began) < longLimit/4, "it took %s", time.Since(began))
}

// TestWhatIsFoundOnOneChannelCountsForAll: a call that waits on a channel of the same
// age ends as soon as another has found the silence; one that may not be made twice
// ends with an unknown outcome and is not sent again.
func TestWhatIsFoundOnOneChannelCountsForAll(t *testing.T) {
	var orders atomic.Int64
	both := make(chan struct{}, 2)
	l := serveQuiet(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			orders.Add(1)
		}
		if r.URL.Path == "/first" {
			both <- struct{}{}
			for len(both) < 2 {
				time.Sleep(time.Millisecond)
			}
		}
		answerAtOnce(w, r)
	})
	c := l.client()
	var opened sync.WaitGroup
	for range 2 { // two channels, both idle in the end
		opened.Go(func() {
			_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/first"}, longLimit)
			assert.Check(t, err)
		})
	}
	opened.Wait()
	l.fall()
	began := time.Now()
	order := make(chan error, 1)
	go func() {
		_, err := c.Do(context.Background(), Request{Method: http.MethodPost, Path: "/"}, longLimit)
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
	_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/", Idempotent: true}, longLimit)
	assert.NilError(t, err)
	assert.ErrorContains(t, <-order, "outcome-unknown")
	assert.Assert(t, time.Since(began) < longLimit/4, "it took %s", time.Since(began))
	assert.Equal(t, orders.Load(), int64(0))
}

// TestASlowEndIsNotAskedTwiceForEverything: repeats have a budget.
func TestASlowEndIsNotAskedTwiceForEverything(t *testing.T) {
	var asked atomic.Int64
	l := serveQuiet(t, func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) > 1 {
			time.Sleep(300 * time.Millisecond)
		}
		answerAtOnce(w, r)
	})
	c := l.client()
	c.MaxIdle = 40
	call := Request{Method: http.MethodGet, Path: "/", Idempotent: true}
	_, err := c.Do(context.Background(), call, longLimit)
	assert.NilError(t, err)
	const calls = 20
	for range calls { // one after the other, so that each finds an older channel
		_, err := c.Do(context.Background(), call, longLimit)
		assert.NilError(t, err)
	}
	assert.Assert(t, asked.Load() < calls*3/2, "%d calls were asked %d times", calls, asked.Load())
}

// TestAHeldAnswerIsNoSilence: the far end may hold an answer for as long as it was
// asked to.
func TestAHeldAnswerIsNoSilence(t *testing.T) {
	const hold = 600 * time.Millisecond
	var asked atomic.Int64
	l := serveQuiet(t, func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) > 1 {
			time.Sleep(hold)
		}
		answerAtOnce(w, r)
	})
	c := l.client()
	for range 3 {
		_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/", Idempotent: true, ServerWait: hold}, longLimit)
		assert.NilError(t, err)
	}
	assert.Equal(t, asked.Load(), int64(3))
	assert.Equal(t, l.opens.Load(), int64(1))
}

// TestAFreshChannelIsNotTakenForASilentOne: a call that was made again over a fresh
// channel waits there for as long as any other; what a later call finds of older
// channels does not end it.
func TestAFreshChannelIsNotTakenForASilentOne(t *testing.T) {
	const hold = longLimit / 2
	var held atomic.Int64
	again := make(chan struct{})
	release := make(chan struct{})
	opened := make(chan struct{}, 2)
	l := serveQuiet(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/open":
			opened <- struct{}{}
			for len(opened) < cap(opened) {
				time.Sleep(time.Millisecond)
			}
		case r.URL.Path == "/held" && held.Add(1) == 1:
			panic(http.ErrAbortHandler) // the older channel ends at once
		case r.URL.Path == "/held":
			close(again)
			<-release
		}
		answerAtOnce(w, r)
	})
	c := l.client()
	var both sync.WaitGroup
	for range cap(opened) { // two channels, both idle in the end
		both.Go(func() {
			_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/open"}, longLimit)
			assert.Check(t, err)
		})
	}
	both.Wait()
	first := make(chan error, 1)
	go func() {
		_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/held", Idempotent: true, ServerWait: hold}, longLimit)
		first <- err
	}()
	<-again
	l.fall()
	l.mu.Lock()
	l.conns[len(l.conns)-1].silent.Store(false) // the fresh one works
	l.mu.Unlock()
	_, err := c.Do(context.Background(), Request{Method: http.MethodGet, Path: "/", Idempotent: true}, longLimit)
	assert.NilError(t, err)
	close(release)
	assert.NilError(t, <-first)
}
