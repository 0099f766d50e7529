// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/silence"
)

// bufferBytes is the size of the buffers of a channel, enough for the usual
// call in one piece.
const bufferBytes = 4 << 10

// maxBody bounds an answer's body.
const maxBody = 64 << 20

// channel is one connection and its buffers.
type channel struct {
	conn *silence.Conn
	used bool // it has carried a call before
	in   *bufio.Reader
	out  *bufio.Writer
}

// do sends a request and reads its answer whole; keep says whether the channel
// may carry another.
func (ch *channel) do(ctx context.Context, host string, r Request, until time.Time) (Response, bool, error) {
	if err := ch.conn.SetDeadline(until); err != nil {
		return Response{}, false, errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past ends the call under way.
		_ = ch.conn.SetDeadline(time.Unix(1, 0))
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
	body, err := ch.readBody(ctx, response)
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

// The patience with a body that comes slowly.
const (
	// bodyPart is how much of a body is read under one limit. Answers that are shorter,
	// as all but listings and the store's records are, have the limit of their call.
	bodyPart = 32 << 10
	// partTime is how long the next part may take: a link of 2 Mbit/s brings it in 0.13 s,
	// and in 1 s where seven others come with it.
	partTime = time.Second
	// bodyMost bounds a whole body.
	bodyMost = 20 * time.Second
)

// readBody reads a body whole. One that is long is waited for as long as it comes: what
// has begun to come would take as long again, and a full link would never bring it.
func (ch *channel) readBody(ctx context.Context, r *http.Response) ([]byte, error) {
	defer func() { _ = r.Body.Close() }() // the whole body is read, so closing tells nothing more
	if r.ContentLength <= 0 || r.ContentLength > maxBody {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		return body, errors.Trace(err)
	}
	body := make([]byte, r.ContentLength)
	began := time.Now()
	for read := 0; read < len(body); {
		part := body[read:min(read+bodyPart, len(body))]
		n, err := io.ReadFull(r.Body, part)
		read += n
		if err != nil {
			return body, errors.Trace(err)
		}
		if read == len(body) {
			break
		}
		if err := ch.extend(ctx, began); err != nil {
			return body, err
		}
	}
	return body, nil
}

// extend gives the next part of a body its time.
func (ch *channel) extend(ctx context.Context, began time.Time) error {
	if time.Since(began) > bodyMost {
		return errors.New("a body that takes too long")
	}
	if err := ch.conn.SetDeadline(time.Now().Add(partTime)); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(ctx.Err()) // the context may have ended before the deadline was set
}
