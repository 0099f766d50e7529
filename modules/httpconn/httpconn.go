// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/silence"
)

// dialTimeout bounds the time to open a channel. Across data centres it takes
// a few milliseconds; an opening packet that a full queue drops goes again after
// a second, which is longer than a caller here waits.
const dialTimeout = 700 * time.Millisecond

// Client calls one address; the zero value with an address works.
type Client struct {
	Address string // IP and port
	MaxIdle int    // channels kept open without a call, 0 for one
	// OnUnresponsive is told how many channels were found silent together, and since when they
	// had been at least; nil tells nobody.
	OnUnresponsive func(n int, after time.Duration)
	// OnRetry is told of each call that was to be made again, and whether the budget
	// let it; nil tells nobody.
	OnRetry func(allowed bool)

	end     silence.Endpoint
	repeats silence.RetryPolicy

	mu     sync.Mutex
	idle   []*channel
	closed bool
}

// Request is one call.
type Request struct {
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
	// Idempotent says that the call may be made twice: where an older channel brings
	// no answer it is made again over a fresh one.
	Idempotent bool
	// ServerWait is how long the far end may hold its answer back, as it was asked to.
	ServerWait time.Duration
}

// Response is the answer to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call within the timeout. An error of the kind NoTarget says that
// nothing was sent, any other that the call may have been taken.
func (c *Client) Do(ctx context.Context, r Request, timeout time.Duration) (Response, error) {
	began := time.Now()
	ch, err := c.take(ctx, r)
	if err != nil {
		return Response{}, errkind.New(errkind.NoTarget, "%s: %v", c.Address, err)
	}
	limit := timeout
	due := r.ServerWait + c.repeats.RetryDelay()
	if r.Idempotent && ch.used {
		limit = min(timeout, due)
	}
	ch.conn.ExpectResponse(began.Add(due))
	response, keep, err := ch.do(ctx, c.Address, r, began.Add(limit))
	if err == nil {
		c.answered(ch, keep, r, began)
		return response, nil
	}
	ch.conn.Reset()
	older := ch.used || ch.conn.Unresponsive() // the channel may be at fault, and not the far end
	if older && r.Idempotent && ctx.Err() == nil && time.Since(began) < timeout && c.mayRepeat() {
		return c.again(ctx, r, began, limit, timeout)
	}
	return Response{}, unknown(r, c.Address, err)
}

// again makes a call once more, over a fresh channel, that got no answer on an older
// one. Where that one was waited on for a whole limit, an answer now tells that the
// older channels have fallen silent.
func (c *Client) again(ctx context.Context, r Request, began time.Time, limit, timeout time.Duration) (Response, error) {
	resent := time.Now()
	waited := resent.Sub(began) >= limit
	ch, err := c.open(ctx)
	if err != nil {
		return Response{}, unknown(r, c.Address, err) // the first try may have been taken
	}
	ch.conn.ExpectResponse(resent.Add(r.ServerWait + c.repeats.RetryDelay()))
	response, keep, err := ch.do(ctx, c.Address, r, began.Add(timeout))
	if err != nil {
		ch.conn.Reset()
		return Response{}, unknown(r, c.Address, err)
	}
	c.repeats.RecordRetryResponse(resent, r.ServerWait)
	if waited {
		c.found(1+c.end.ResetOlder(ch.conn), began) // the first channel is closed already
	}
	c.answered(ch, keep, r, resent)
	return response, nil
}

// answered keeps a channel whose call was answered for the next one.
func (c *Client) answered(ch *channel, keep bool, r Request, began time.Time) {
	c.repeats.RecordResponse(began, r.ServerWait)
	ch.conn.ClearExpected()
	c.put(ch, keep)
}

func unknown(r Request, address string, err error) error {
	return errkind.New(errkind.OutcomeUnknown, "%s %s at %s: %v", r.Method, r.Path, address, err)
}

// mayRepeat reports whether the budget lets a call be made again.
func (c *Client) mayRepeat() bool {
	allowed := c.repeats.Spend()
	if c.OnRetry != nil {
		c.OnRetry(allowed)
	}
	return allowed
}

// found tells of channels that were found silent.
func (c *Client) found(n int, began time.Time) {
	if c.OnUnresponsive != nil {
		c.OnUnresponsive(n, time.Since(began))
	}
}

// take returns an idle channel or a fresh one. Before a call that may not be made twice it is
// looked whether the far end has ended the channel: the call's outcome would be unknown.
func (c *Client) take(ctx context.Context, r Request) (*channel, error) {
	for {
		ch, err := c.takeIdle()
		if err != nil {
			return nil, err
		}
		switch {
		case ch == nil:
			return c.open(ctx)
		case ch.conn.Unresponsive():
		case !r.Idempotent && ch.conn.RemoteClosed():
			_ = ch.conn.Close() // nothing is under way on it
		default:
			ch.used = true
			return ch, nil
		}
	}
}

// takeIdle returns an idle channel, nil for none.
func (c *Client) takeIdle() (*channel, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("the client is closed")
	}
	n := len(c.idle)
	if n == 0 {
		return nil, nil
	}
	ch := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return ch, nil
}

// open returns a fresh channel.
func (c *Client) open(ctx context.Context) (*channel, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn := c.end.Track(raw)
	return &channel{conn: conn, in: bufio.NewReaderSize(conn, bufferBytes), out: bufio.NewWriterSize(conn, bufferBytes)}, nil
}

// put keeps a channel for the next call, or closes it.
func (c *Client) put(ch *channel, keep bool) {
	c.mu.Lock()
	keep = keep && !c.closed && len(c.idle) < max(c.MaxIdle, 1)
	if keep {
		c.idle = append(c.idle, ch)
	}
	c.mu.Unlock()
	if !keep {
		_ = ch.conn.Close()
	}
}

// Close closes the idle channels; calls under way end by themselves.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, ch := range c.idle {
		_ = ch.conn.Close()
	}
	c.idle = nil
}
