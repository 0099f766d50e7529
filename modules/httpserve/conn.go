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

// listener tracks connections at the moment they are accepted. The net/http server reports
// them later, and a shutdown must know every connection of the process.
type listener struct {
	*net.TCPListener
	server   *Server
	stopping time.Time // when Accept noticed the shutdown
}

// Time limits for accepting the connections in the kernel's backlog during a shutdown; the
// kernel would reset them when the listener is closed.
const (
	// backlogWait is how long Accept waits for the next one; a connection in the backlog is
	// accepted immediately.
	backlogWait = 10 * time.Millisecond
	// maxBacklogTime bounds the accepting if new connections keep arriving: a backlog of
	// 4,096, the largest the kernel allows, is accepted within it at 20 us each.
	maxBacklogTime = 100 * time.Millisecond
)

// Accept accepts the next connection; during a shutdown it accepts those in the backlog.
// The listener has a deadline only for this purpose, and the first one has already passed
// when it is set.
func (a *listener) Accept() (net.Conn, error) {
	raw, err := a.AcceptTCP()
	if stderrors.Is(err, os.ErrDeadlineExceeded) && a.mayAccept() {
		// SetDeadline fails only if the listener is closed.
		_ = a.SetDeadline(time.Now().Add(backlogWait))
		raw, err = a.AcceptTCP()
	}
	if stderrors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed // net/http would retry after a timeout
	}
	if err != nil {
		return nil, err
	}
	return a.server.track(raw), nil
}

// mayAccept reports whether the backlog is still being accepted during a shutdown.
func (a *listener) mayAccept() bool {
	if a.stopping.IsZero() {
		a.stopping = time.Now()
	}
	return time.Since(a.stopping) < maxBacklogTime
}

// phase is what a connection waits for.
type phase uint8

const (
	awaitingFirst phase = iota // for its first request
	idle                       // for its next request, of which nothing has arrived
	readingHeader              // for the rest of a request header
	serving                    // for the response
)

// conn is a connection of a Server.
type conn struct {
	*net.TCPConn
	server *Server
	closed sync.Once

	mu           sync.Mutex
	phase        phase
	idleSince    time.Time // when it became idle
	readDeadline time.Time // the deadline that net/http has set
	shortened    bool      // an earlier deadline is in force, since the connection is to end
}

// Read reads from the connection and records that a request has started.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.requestStarted()
	}
	return n, err
}

// requestStarted records that a part of a request was read. From then on the connection is
// kept until the response is written.
func (c *conn) requestStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == awaitingFirst || c.phase == idle {
		c.phase = readingHeader
	}
	if c.shortened {
		c.shortened = false
		// If the deadline cannot be set, the next read fails as well.
		_ = c.TCPConn.SetReadDeadline(c.readDeadline)
	}
}

// SetReadDeadline sets the deadline, or an earlier one if the server has a shorter timeout
// for the current phase.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeout := c.server.phaseTimeout(c.phase); timeout > 0 && !t.IsZero() {
		if bound := time.Now().Add(timeout); bound.Before(t) {
			t = bound
		}
	}
	c.readDeadline, c.shortened = t, false
	return c.TCPConn.SetReadDeadline(t)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closed.Do(func() { c.server.untrack(c) })
	return c.TCPConn.Close()
}

// setState records the connection state that net/http reports.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase = serving
	case http.StateIdle:
		c.phase, c.idleSince = idle, time.Now()
	}
}

// endDelay is the deadline of a read that is to end. It is slightly in the future, so that
// a read that begins after it was set still returns data that has arrived.
const endDelay = time.Millisecond

// isIdle reports whether the connection waits for its next request.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == idle
}

// endIdle ends the connection if it has been idle since the given time.
func (c *conn) endIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle && !c.idleSince.After(since) {
		c.end()
	}
}

// endUnstarted ends the connection if nothing of a request was read.
func (c *conn) endUnstarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle || c.phase == awaitingFirst {
		c.end()
	}
}

// end makes the connection's read end, after which net/http closes it. Whatever is read
// before that is served, since requestStarted restores the deadline. The caller holds c.mu.
func (c *conn) end() {
	c.shortened = true
	// SetReadDeadline fails only if the connection is closed.
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(endDelay))
}
