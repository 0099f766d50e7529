// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package silence

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection that counts its reads. It records counts instead of times, because
// reading the clock at each read would cost more than everything else.
type Conn struct {
	net.Conn
	endpoint     *Endpoint
	opened       time.Time
	reads        atomic.Uint64 // number of reads that returned data
	unresponsive atomic.Bool

	pending atomic.Pointer[pendingResponse] // the expected response, nil if none is expected
}

// pendingResponse is a response that is expected.
type pendingResponse struct {
	due         time.Time // when the response is due
	readsBefore uint64    // reads when the response became expected
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// ReadCount returns how often data was read from the connection.
func (c *Conn) ReadCount() uint64 { return c.reads.Load() }

// ExpectResponse records that a response is expected, and when it is due.
func (c *Conn) ExpectResponse(due time.Time) { c.pending.Store(&pendingResponse{due, c.ReadCount()}) }

// ClearExpected records that no response is expected.
func (c *Conn) ClearExpected() { c.pending.Store(nil) }

// mayBeUnresponsive reports whether nothing shows that the connection works: no response is
// expected, or one is overdue and no part of it was received.
func (c *Conn) mayBeUnresponsive(now time.Time) bool {
	w := c.pending.Load()
	return w == nil || !now.Before(w.due) && c.ReadCount() == w.readsBefore
}

// Unresponsive reports whether the connection was found unresponsive and was reset for that
// reason.
func (c *Conn) Unresponsive() bool { return c.unresponsive.Load() }

// RemoteClosed reports whether the remote end has closed a connection on which nothing is
// expected, or has sent unrequested data. It makes a system call and does not block.
func (c *Conn) RemoteClosed() bool {
	raw, ok := innermost(c.Conn).(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	closed := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		closed = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		return true
	})
	return closed || err != nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.endpoint.forget(c)
	return c.Conn.Close()
}

// Reset closes the connection in a way that discards what the remote end has not read yet.
// After a normal close, the kernel would keep sending it, and the remote end might act
// seconds later on a request that nobody waits for any more. The innermost connection is
// closed first, because closing a TLS connection around it would take seconds to send the
// close notification.
func (c *Conn) Reset() {
	if t, ok := innermost(c.Conn).(*net.TCPConn); ok {
		// If the option cannot be set, the connection is closed normally.
		_ = t.SetLinger(0)
		_ = t.Close() // it may be closed already
	}
	_ = c.Close()
}

// innermost returns the connection that the others wrap.
func innermost(c net.Conn) net.Conn {
	for {
		w, ok := c.(interface{ NetConn() net.Conn }) // as crypto/tls connections have it
		if !ok {
			return c
		}
		c = w.NetConn()
	}
}

// Endpoint tracks the open connections to a remote address; its zero value has none.
type Endpoint struct {
	mu    sync.Mutex
	conns map[*Conn]bool
}

// Track starts to track a new connection to the endpoint.
func (e *Endpoint) Track(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, endpoint: e, opened: time.Now()}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns == nil {
		e.conns = make(map[*Conn]bool)
	}
	e.conns[c] = true
	return c
}

func (e *Endpoint) forget(c *Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
}

// ResetOlder is called when the endpoint has responded on a new connection to a call that
// got no response on an older one. Connections that were opened earlier are then considered
// unresponsive and reset if nothing shows that they work: those on which no response is
// expected, and those on which one is overdue and no part of it was received. Calls that
// wait on them fail immediately. It returns how many there were.
func (e *Endpoint) ResetOlder(fresh *Conn) int {
	unresponsive := e.olderThan(fresh)
	for _, c := range unresponsive {
		c.unresponsive.Store(true)
		c.Reset()
	}
	return len(unresponsive)
}

func (e *Endpoint) olderThan(fresh *Conn) []*Conn {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*Conn
	for c := range e.conns {
		if c != fresh && c.opened.Before(fresh.opened) && c.mayBeUnresponsive(now) {
			list = append(list, c)
		}
	}
	return list
}
