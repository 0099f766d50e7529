// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

// dialTimeout bounds the time to open a channel. Across data centres it takes
// a few milliseconds; an opening packet that a full queue drops goes again after
// a second, which is longer than a caller here waits.
const dialTimeout = 700 * time.Millisecond

// bufferBytes is the size of the buffers of a channel, enough for the usual
// call in one piece.
const bufferBytes = 4 << 10

// maxBody bounds an answer's body.
const maxBody = 64 << 20

// Client calls one address; the zero value with an address works.
type Client struct {
	Address string // IP and port
	MaxIdle int    // channels kept open without a call, 0 for one
	// Wrap returns the connection to use in place of a fresh one; nil keeps it.
	Wrap func(net.Conn) net.Conn

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
}

// Response is the answer to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// channel is one connection and its buffers.
type channel struct {
	raw net.Conn
	in  *bufio.Reader
	out *bufio.Writer
}

// Do makes a call within the timeout. An error of the kind NoTarget says that
// nothing was sent, any other that the call may have been taken.
func (c *Client) Do(ctx context.Context, r Request, timeout time.Duration) (Response, error) {
	ch, err := c.take(ctx)
	if err != nil {
		return Response{}, errkind.New(errkind.NoTarget, "%s: %v", c.Address, err)
	}
	response, keep, err := ch.do(ctx, c.Address, r, timeout)
	if err != nil {
		ch.reset()
		return Response{}, errkind.New(errkind.OutcomeUnknown, "%s %s at %s: %v", r.Method, r.Path, c.Address, err)
	}
	c.put(ch, keep)
	return response, nil
}

// take returns an idle channel or a fresh one.
func (c *Client) take(ctx context.Context) (*channel, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errors.New("the client is closed")
	}
	if n := len(c.idle); n > 0 {
		ch := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return ch, nil
	}
	c.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if c.Wrap != nil {
		raw = c.Wrap(raw)
	}
	return &channel{raw, bufio.NewReaderSize(raw, bufferBytes), bufio.NewWriterSize(raw, bufferBytes)}, nil
}

// reset ends a channel whose call was given up, so that what the far end has not
// read yet is lost: closed in the usual way, the kernel would go on sending it, and
// the far end might carry out seconds later what nobody waits for any more.
func (ch *channel) reset() {
	if c, isTCP := ch.raw.(*net.TCPConn); isTCP {
		// A connection that can't be set is closed in the usual way.
		_ = c.SetLinger(0)
	}
	_ = ch.raw.Close()
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
		_ = ch.raw.Close()
	}
}

// Close closes the idle channels; calls under way end by themselves.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, ch := range c.idle {
		_ = ch.raw.Close()
	}
	c.idle = nil
}

// do sends a request and reads its answer whole; keep says whether the channel
// may carry another.
func (ch *channel) do(ctx context.Context, host string, r Request, timeout time.Duration) (Response, bool, error) {
	if err := ch.raw.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Response{}, false, errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past ends the call under way.
		_ = ch.raw.SetDeadline(time.Unix(1, 0))
	})
	defer stop()
	request, err := newRequest(host, r)
	if err != nil {
		return Response{}, false, err
	}
	if err := request.Write(ch.out); err != nil {
		return Response{}, false, errors.Trace(err)
	}
	if err := ch.out.Flush(); err != nil {
		return Response{}, false, errors.Trace(err)
	}
	response, err := http.ReadResponse(ch.in, request)
	if err != nil {
		return Response{}, false, errors.Trace(err)
	}
	body, err := readBody(response)
	if err != nil {
		return Response{}, false, err
	}
	return Response{response.StatusCode, response.Header, body}, !response.Close && stop(), nil
}

// newRequest makes the library's request; one without a body states none.
func newRequest(host string, r Request) (*http.Request, error) {
	target, err := url.Parse(r.Path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	target.Scheme, target.Host = "http", host
	header := r.Header
	if header == nil {
		header = make(http.Header)
	}
	request := &http.Request{Method: r.Method, URL: target, Host: host, Header: header, ProtoMajor: 1, ProtoMinor: 1}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		request.ContentLength = int64(len(r.Body))
	}
	return request, nil
}

func readBody(r *http.Response) ([]byte, error) {
	defer func() { _ = r.Body.Close() }() // the whole body is read, so closing tells nothing more
	if r.ContentLength > 0 && r.ContentLength <= maxBody {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, errors.Trace(err)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	return body, errors.Trace(err)
}
