// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserve

import (
	"bytes"
	"container/list"
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

// The receive buffers of connections that bound what they hold. What a caller sends beyond them waits in the caller.
const (
	// readBufferBytes is for heads and short bodies: some kilobytes.
	readBufferBytes = 8 << 10
	// bodyBufferBytes is from the first longer body on, so that it takes few round trips. A buffer that is made smaller
	// drops what the caller was permitted to send, which then waits for its retransmission.
	bodyBufferBytes = 32 << 10
	// longRequestBytes is what has been read of a request when the larger buffer is set.
	longRequestBytes = 16 << 10
)

// What the head of a request holds. Its fields are kept in a map, which takes many times the bytes of short fields.
const (
	headLineBytes = 256 // of a line, at most
	freeHeadLines = 64  // of a head, which are not counted
)

// excessShare is the part of the limit of connections that may be open beyond it, to be told that there are too many.
// Any more are closed at once.
const excessShare = 1.0 / 8

// minExcess is the least number of connections beyond the limit.
const minExcess = 8

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

// Accept accepts the next connection, and closes those far beyond the limit.
func (a *listener) Accept() (net.Conn, error) {
	for {
		raw, err := a.accept()
		if err != nil {
			return nil, err
		}
		switch excess := a.server.excess(); {
		case excess < 0, a.server.endOldestHead():
		case excess >= a.server.mostExcess():
			a.server.closedAtAccept.Add(1)
			_ = raw.Close()
			continue
		}
		return a.server.track(raw), nil
	}
}

// accept accepts the next connection; during a shutdown it accepts those in the backlog.
// The listener has a deadline only for this purpose, and the first one has already passed
// when it is set.
func (a *listener) accept() (*net.TCPConn, error) {
	raw, err := a.AcceptTCP()
	if stderrors.Is(err, os.ErrDeadlineExceeded) && a.mayAccept() {
		// SetDeadline fails only if the listener is closed.
		_ = a.SetDeadline(time.Now().Add(backlogWait))
		raw, err = a.AcceptTCP()
	}
	if stderrors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed // net/http would retry after a timeout
	}
	return raw, err
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
	lines        int       // of the head of the request, read so far
	held         int64     // taken of the server's memory for it
	bytes        int       // read of the request so far
	longBody     bool      // the larger receive buffer is set
	gone         bool      // Close was called

	// Of the connection in Server.heads while its head is awaited; Server.mu guards them.
	head      *list.Element
	headSince time.Time
}

// errNoMemory is the error of a read of a head with more lines than there is memory for. net/http closes the connection
// after a network error, and would respond to others that the request is invalid.
var errNoMemory = &net.OpError{Op: "read", Net: "tcp", Err: stderrors.New("too little memory for the head of a request")}

// Read reads from the connection and records that a request has started.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.requestRead(p[:n]) {
		// Readers of lines may read on after an error.
		_ = c.TCPConn.SetReadDeadline(time.Now())
		return 0, errNoMemory
	}
	return n, err
}

// writePiece is the most that is written within one timeout.
const writePiece = 64 << 10

// Write writes to the connection, each piece within the server's timeout.
func (c *conn) Write(p []byte) (int, error) {
	timeout := c.server.WriteTimeout
	if timeout == 0 {
		return c.TCPConn.Write(p)
	}
	written := 0
	for {
		piece := p[written:min(len(p), written+writePiece)]
		// If the deadline can't be set, the write fails as well.
		_ = c.SetWriteDeadline(time.Now().Add(timeout))
		n, err := c.TCPConn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// requestRead records that a part of a request was read, and reports whether there is memory for it. From then on the
// connection is kept until the response is written.
func (c *conn) requestRead(part []byte) bool {
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
	if c.server.Memory == nil {
		return true
	}
	c.bytes += len(part)
	if c.bytes > longRequestBytes && c.phase == serving && !c.longBody {
		c.longBody = true
		// The body arrives with any buffer.
		_ = c.TCPConn.SetReadBuffer(bodyBufferBytes)
	}
	return c.phase != readingHeader || c.countLines(part)
}

// countLines counts the lines of a part of a head, and reports whether there is memory for them. The caller holds c.mu.
func (c *conn) countLines(part []byte) bool {
	if end := bytes.Index(part, []byte("\r\n\r\n")); end >= 0 {
		part = part[:end]
	}
	c.lines += bytes.Count(part, []byte{'\n'})
	if c.gone {
		return false
	}
	more := int64(max(c.lines-freeHeadLines, 0))*headLineBytes - c.held
	if more <= 0 {
		return true
	}
	if !c.server.Memory.Take(more, 1) {
		return false
	}
	c.held += more
	return true
}

// requestEnded gives back what the connection holds for a request. The caller holds c.mu.
func (c *conn) requestEnded() {
	c.server.Memory.Add(-c.held)
	c.lines, c.held, c.bytes = 0, 0, 0
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
	c.closed.Do(func() {
		c.mu.Lock()
		c.requestEnded()
		c.gone = true
		c.mu.Unlock()
		c.server.untrack(c)
	})
	return c.TCPConn.Close()
}

// setState records the connection state that net/http reports.
func (c *conn) setState(state http.ConnState) {
	if state == http.StateActive {
		c.server.headRead(c)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase = serving
	case http.StateIdle:
		c.phase, c.idleSince = idle, time.Now()
		c.requestEnded()
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

// isUnread reports whether nothing of a request was read yet.
func (c *conn) isUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == awaitingFirst
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
// before that is served, since requestRead restores the deadline. The caller holds c.mu.
func (c *conn) end() {
	c.shortened = true
	// SetReadDeadline fails only if the connection is closed.
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(endDelay))
}
