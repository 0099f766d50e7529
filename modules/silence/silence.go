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

// Conn is a connection that counts what comes on it. Counts, not times, since reading
// the clock at each read would cost more than all the rest.
type Conn struct {
	net.Conn
	end    *Endpoint
	opened time.Time
	heard  atomic.Uint64 // how often something has come
	silent atomic.Bool

	waiting atomic.Pointer[wait] // for an answer, nil while none is waited for
}

// wait is the waiting for an answer.
type wait struct {
	due   time.Time // when the answer is due
	heard uint64    // what had come before
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Add(1)
	}
	return n, err
}

// ReadCount returns how often something has come on the connection.
func (c *Conn) ReadCount() uint64 { return c.heard.Load() }

// ExpectResponse notes that an answer is waited for that is due at a time.
func (c *Conn) ExpectResponse(due time.Time) { c.waiting.Store(&wait{due, c.ReadCount()}) }

// ClearExpected notes that no answer is waited for.
func (c *Conn) ClearExpected() { c.waiting.Store(nil) }

// quiet reports whether the connection has nothing to show for itself: no answer is
// waited for, or one is overdue and nothing of it has come.
func (c *Conn) quiet(now time.Time) bool {
	w := c.waiting.Load()
	return w == nil || !now.Before(w.due) && c.ReadCount() == w.heard
}

// Unresponsive reports whether the connection was found silent, and ended for that.
func (c *Conn) Unresponsive() bool { return c.silent.Load() }

// RemoteClosed reports whether the far end has ended a connection on which nothing is waited for, or
// has sent what nobody has asked for. It costs a call of the kernel, and does not wait.
func (c *Conn) RemoteClosed() bool {
	raw, has := innermost(c.Conn).(syscall.Conn)
	if !has {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	ended := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		ended = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		return true
	})
	return ended || err != nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.end.forget(c)
	return c.Conn.Close()
}

// Reset ends the connection so that what the far end has not read yet is lost:
// closed in the usual way, the kernel would go on sending it, and the far end might
// carry out seconds later what nobody waits for any more. The innermost connection is
// ended first: a secure one around it would take seconds to say that it ends.
func (c *Conn) Reset() {
	if t, isTCP := innermost(c.Conn).(*net.TCPConn); isTCP {
		// A connection that can't be set is closed in the usual way.
		_ = t.SetLinger(0)
		_ = t.Close() // one that is closed already tells nothing
	}
	_ = c.Close()
}

// innermost returns the connection that others are wrapped around.
func innermost(c net.Conn) net.Conn {
	for {
		w, wraps := c.(interface{ NetConn() net.Conn }) // as the library's secure connections have it
		if !wraps {
			return c
		}
		c = w.NetConn()
	}
}

// Endpoint is a far end and the connections that are open to it; its zero value has
// none.
type Endpoint struct {
	mu    sync.Mutex
	conns map[*Conn]bool
}

// Track counts a fresh connection among those to the end.
func (e *Endpoint) Track(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, end: e, opened: time.Now()}
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

// ResetOlder takes the news that the end has answered on a fresh connection what got no
// answer on an older one: all that were opened before it have fallen silent, unless they
// show that they have not, and are ended: those on which nothing is waited for, and those
// whose answer is overdue; calls that wait there fail at once. It returns how many there
// were.
func (e *Endpoint) ResetOlder(fresh *Conn) int {
	silent := e.older(fresh)
	for _, c := range silent {
		c.silent.Store(true)
		c.Reset()
	}
	return len(silent)
}

func (e *Endpoint) older(fresh *Conn) []*Conn {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*Conn
	for c := range e.conns {
		if c != fresh && c.opened.Before(fresh.opened) && c.quiet(now) {
			list = append(list, c)
		}
	}
	return list
}
