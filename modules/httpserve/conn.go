// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserve

import (
	stderrors "errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// acceptor counts connections in the moment that they are accepted: the library tells
// of them later, and a stop must know each that the process has.
type acceptor struct {
	*net.TCPListener
	surface  *Server
	stopping time.Time // when Accept learnt of the stop
}

// The time for the connections that the system has made for a surface which stops, and
// would reset.
const (
	// backlogSpan is how long the next of them is waited for: one that is there is
	// taken at once.
	backlogSpan = 10 * time.Millisecond
	// backlogMost bounds it where new ones come all the time: a queue of 4,096, the
	// system's most, is taken in it at 20 us each.
	backlogMost = 100 * time.Millisecond
)

// Accept takes the next connection; a surface that stops takes those that wait. Only
// for that the listener has a deadline, the first of which is over when it is set.
func (a *acceptor) Accept() (net.Conn, error) {
	raw, err := a.AcceptTCP()
	if stderrors.Is(err, os.ErrDeadlineExceeded) && a.mayTake() {
		// A listener that takes no deadline is closed.
		_ = a.SetDeadline(time.Now().Add(backlogSpan))
		raw, err = a.AcceptTCP()
	}
	if stderrors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed // the library would try again after a timeout
	}
	if err != nil {
		return nil, err
	}
	return a.surface.hold(raw), nil
}

// mayTake reports whether a surface that stops goes on taking connections.
func (a *acceptor) mayTake() bool {
	if a.stopping.IsZero() {
		a.stopping = time.Now()
	}
	return time.Since(a.stopping) < backlogMost
}

// phase is what a connection waits for.
type phase uint8

const (
	fresh   phase = iota // for its first request
	idle                 // for its next request, of which nothing has come
	heading              // for the rest of a request's head
	serving              // for the answer
)

// conn is a connection of a surface.
type conn struct {
	*net.TCPConn
	surface *Server
	closed  sync.Once

	mu    sync.Mutex
	phase phase
	since time.Time // when it became idle
	asked time.Time // the deadline that the server has set
	short bool      // another is in force, since the connection is to end
}

// Read reads, and notes that a request has begun to come.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.heard()
	}
	return n, err
}

// heard notes that something of a request was read, from which moment on the
// connection lasts until its answer is written.
func (c *conn) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == fresh || c.phase == idle {
		c.phase = heading
	}
	if c.short {
		c.short = false
		// A connection that takes no deadline fails the next read as well.
		_ = c.TCPConn.SetReadDeadline(c.asked)
	}
}

// SetReadDeadline sets the deadline, or an earlier one where the surface has a shorter
// time for what the connection waits for.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if most := c.surface.patience(c.phase); most > 0 && !t.IsZero() {
		if bound := time.Now().Add(most); bound.Before(t) {
			t = bound
		}
	}
	c.asked, c.short = t, false
	return c.TCPConn.SetReadDeadline(t)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closed.Do(func() { c.surface.release(c) })
	return c.TCPConn.Close()
}

// enter takes over what the library tells of the connection.
func (c *conn) enter(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase = serving
	case http.StateIdle:
		c.phase, c.since = idle, time.Now()
	}
}

// endSpan is the deadline of a read that is to end: not yet over, so that a read which
// begins after it was set still takes what has come.
const endSpan = time.Millisecond

// isKept reports whether the connection waits for its next request.
func (c *conn) isKept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == idle
}

// endIdle ends the connection if it has been idle since a time.
func (c *conn) endIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle && !c.since.After(since) {
		c.end()
	}
}

// endUnasked ends the connection if nothing of a request was read.
func (c *conn) endUnasked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle || c.phase == fresh {
		c.end()
	}
}

// end has the connection's read end, upon which the library closes it. Whatever is read
// in the meantime is served, since heard gives it its deadline back. The lock is held.
func (c *conn) end() {
	c.short = true
	// A connection that takes no deadline is one that is closed.
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(endSpan))
}
