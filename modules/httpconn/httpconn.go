// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/silence"
)

// dialTimeout bounds the time to open a connection. Across data centres it takes a few
// milliseconds; a SYN that a full queue drops is sent again after a second, which is longer
// than callers here wait.
const dialTimeout = 700 * time.Millisecond

// Client calls one address; the zero value with an address is ready for use.
type Client struct {
	Address string // IP and port
	MaxIdle int    // idle connections to keep, 0 for one
	// OnUnresponsive is called with the number of connections that were found unresponsive
	// together, and the least time for which they had been; it may be nil.
	OnUnresponsive func(n int, after time.Duration)
	// OnRetry is called for each call that would be retried, with whether the budget
	// allowed it; it may be nil.
	OnRetry func(allowed bool)
	// OnIdentify is called for each connection that was identified for a request; it may be nil.
	OnIdentify func()

	endpoint    silence.Endpoint
	retryPolicy silence.RetryPolicy

	mu     sync.Mutex
	idle   []*persistConn
	sticky uint64 // connection of the last response to a sticky call
	closed bool
}

// Request is one call.
type Request struct {
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
	// Idempotent means that the call may be made twice: if it gets no response on a reused
	// connection, it is retried over a new one.
	Idempotent bool
	// ServerWait is how long the server may delay its response, as the request asks it to.
	ServerWait time.Duration
	// Sticky calls use one connection as far as possible; other calls leave it to them if another one is idle.
	Sticky bool
	// Conn is the connection over which ConnBody is sent in place of Body, as in Response; 0 for none. Over any other
	// connection, also if the call is retried, Body is sent: the server there may have restarted.
	Conn     uint64
	ConnBody []byte
	// Peer is the server process that the request is meant for, a number as ReadPeer returns it; 0 for any. The request
	// is sent over a connection that has shown to reach this process: a connection ends with its process, while
	// another one may listen at the address by then.
	Peer int64
	// Identify returns the request that is sent first over a connection that has not shown which process it reaches. If no
	// process or another one responds, the request itself is not sent.
	Identify func() Request
	// ReadPeer returns the server process that a response is from, 0 if it does not tell.
	ReadPeer func(Response) int64
}

// Response is the response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Conn   uint64 // connection that carried the call, a number that no other connection of the process has
}

// Do makes a call within the timeout. A NoTarget error means that nothing was sent; after
// any other error the call may have been received.
func (c *Client) Do(ctx context.Context, r Request, timeout time.Duration) (Response, error) {
	began := time.Now()
	pc, err := c.acquire(ctx, r)
	if err != nil {
		return Response{}, errkind.New(errkind.NoTarget, "%s: %v", c.Address, err)
	}
	identified, err := c.identify(ctx, pc, r, began.Add(timeout))
	if err != nil {
		return Response{}, err
	}
	if identified {
		began = time.Now()
	}
	limit := timeout
	due := r.ServerWait + c.retryPolicy.RetryDelay()
	if r.Idempotent && pc.reused {
		limit = min(timeout, due)
	}
	pc.conn.ExpectResponse(began.Add(due))
	response, keep, err := pc.do(ctx, c.Address, r, began.Add(limit))
	if err == nil {
		c.finish(pc, keep, r, began)
		return response, nil
	}
	pc.conn.Reset()
	maybeStale := pc.reused || pc.conn.Unresponsive() // the connection may be the cause, not the server
	if maybeStale && r.Idempotent && ctx.Err() == nil && time.Since(began) < timeout && c.mayRetry() {
		return c.retry(ctx, r, began, limit, timeout)
	}
	return Response{}, unknownOutcome(r, c.Address, err)
}

// retry makes a call again over a new connection, after it got no response on a reused one.
// If the call had waited for a whole timeout there, a response now shows that the older
// connections are unresponsive.
func (c *Client) retry(ctx context.Context, r Request, began time.Time, limit, timeout time.Duration) (Response, error) {
	resent := time.Now()
	waited := resent.Sub(began) >= limit
	pc, err := c.open(ctx)
	if err != nil {
		return Response{}, unknownOutcome(r, c.Address, err) // the first attempt may have been received
	}
	if _, err := c.identify(ctx, pc, r, began.Add(timeout)); err != nil {
		return Response{}, unknownOutcome(r, c.Address, err)
	}
	pc.conn.ExpectResponse(resent.Add(r.ServerWait + c.retryPolicy.RetryDelay()))
	response, keep, err := pc.do(ctx, c.Address, r, began.Add(timeout))
	if err != nil {
		pc.conn.Reset()
		return Response{}, unknownOutcome(r, c.Address, err)
	}
	c.retryPolicy.RecordRetryResponse(resent, r.ServerWait)
	if waited {
		c.reportUnresponsive(1+c.endpoint.ResetOlder(pc.conn), began) // the first connection is closed already
	}
	c.finish(pc, keep, r, resent)
	return response, nil
}

// identify makes sure that a connection reaches the server process that a request is meant for, and reports whether a
// request was sent for that. A connection that has not shown this process is closed. The errors are of the kinds
// BadResponse if no process has identified itself, and Conflict if another one has.
func (c *Client) identify(ctx context.Context, pc *persistConn, r Request, until time.Time) (bool, error) {
	if r.Peer == 0 || pc.peer == r.Peer {
		return false, nil
	}
	began := time.Now()
	pc.conn.ExpectResponse(began.Add(c.retryPolicy.RetryDelay()))
	response, keep, err := pc.do(ctx, c.Address, r.Identify(), until)
	if err != nil {
		pc.conn.Reset()
		return false, errkind.New(errkind.BadResponse, "%s: identifying the server: %v", c.Address, err)
	}
	c.retryPolicy.RecordResponse(began, 0)
	pc.conn.ClearExpected()
	if keep && pc.peer == r.Peer {
		if c.OnIdentify != nil {
			c.OnIdentify()
		}
		return true, nil
	}
	_ = pc.conn.Close()
	switch pc.peer {
	case r.Peer:
		return false, errkind.New(errkind.BadResponse, "%s: the server has closed the connection over which it identified itself", c.Address)
	case 0:
		return false, errkind.New(errkind.BadResponse, "%s: the server does not identify itself: status %d", c.Address, response.Status)
	}
	return false, errkind.New(errkind.Conflict, "%s: another server process listens there, %d in place of %d", c.Address, pc.peer, r.Peer)
}

// finish records a response and keeps its connection for the next call.
func (c *Client) finish(pc *persistConn, keep bool, r Request, began time.Time) {
	c.retryPolicy.RecordResponse(began, r.ServerWait)
	pc.conn.ClearExpected()
	c.release(pc, keep, r.Sticky)
}

func unknownOutcome(r Request, address string, err error) error {
	return errkind.New(errkind.OutcomeUnknown, "%s %s at %s: %v", r.Method, r.Path, address, err)
}

// mayRetry reports whether the budget allows to retry a call.
func (c *Client) mayRetry() bool {
	allowed := c.retryPolicy.Spend()
	if c.OnRetry != nil {
		c.OnRetry(allowed)
	}
	return allowed
}

// reportUnresponsive reports connections that were found unresponsive.
func (c *Client) reportUnresponsive(n int, began time.Time) {
	if c.OnUnresponsive != nil {
		c.OnUnresponsive(n, time.Since(began))
	}
}

// acquire returns an idle connection or a new one. Before a call that is not idempotent it
// checks whether the server has closed the connection, because the outcome of the call
// would be unknown.
func (c *Client) acquire(ctx context.Context, r Request) (*persistConn, error) {
	for {
		pc, err := c.popIdle(r)
		if err != nil {
			return nil, err
		}
		switch {
		case pc == nil:
			return c.open(ctx)
		case pc.conn.Unresponsive():
		case !r.Idempotent && pc.conn.RemoteClosed():
			_ = pc.conn.Close() // no call is in progress on it
		default:
			pc.reused = true
			return pc, nil
		}
	}
}

// popIdle returns an idle connection that reaches the peer of a call, nil if there is none: the sticky one for a sticky
// call, any other one first for other calls.
func (c *Client) popIdle(r Request) (*persistConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("the client is closed")
	}
	at := -1
	for i, pc := range c.idle {
		suits := r.Peer == 0 || pc.peer == r.Peer
		preferred := (pc.id == c.sticky) == r.Sticky
		if suits && (at < 0 || preferred || (c.idle[at].id == c.sticky) != r.Sticky) {
			at = i
		}
	}
	if at < 0 {
		return nil, nil
	}
	pc := c.idle[at]
	c.idle = slices.Delete(c.idle, at, at+1)
	return pc, nil
}

// open opens a new connection.
func (c *Client) open(ctx context.Context) (*persistConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn := c.endpoint.Track(raw)
	return &persistConn{id: connections.Add(1), conn: conn, in: bufio.NewReaderSize(conn, bufferBytes), out: bufio.NewWriterSize(conn, bufferBytes)}, nil
}

// connections counts the connections of the process.
var connections atomic.Uint64

// release keeps a connection for the next call, in place of the one that has been idle for the longest if there are enough,
// or closes it.
func (c *Client) release(pc *persistConn, keep, sticky bool) {
	closing := pc
	c.mu.Lock()
	if sticky {
		c.sticky = pc.id
	}
	if keep && !c.closed {
		c.idle = append(c.idle, pc)
		closing = c.evict()
	}
	c.mu.Unlock()
	if closing != nil {
		_ = closing.conn.Close()
	}
}

// evict removes the connection that has been idle for the longest if there are too many, and returns it; the sticky one
// stays if there is another one. The caller holds the lock.
func (c *Client) evict() *persistConn {
	if len(c.idle) <= max(c.MaxIdle, 1) {
		return nil
	}
	at := 0
	if c.idle[at].id == c.sticky {
		at = 1
	}
	pc := c.idle[at]
	c.idle = slices.Delete(c.idle, at, at+1)
	return pc
}

// Close closes the idle connections; calls in progress are not interrupted.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, pc := range c.idle {
		_ = pc.conn.Close()
	}
	c.idle = nil
}
