// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/silence"
)

// bufferBytes is the buffer size of a connection; a typical call fits into it.
const bufferBytes = 4 << 10

// maxBody bounds a response body.
const maxBody = 64 << 20

// persistConn is one connection and its buffers.
type persistConn struct {
	id     uint64
	conn   *silence.Conn
	peer   int64 // the server process that it reaches, 0 if unknown
	reused bool  // it has carried a call before
	in     *bufio.Reader
	out    *bufio.Writer
}

// do sends a request and reads the complete response; keep reports whether the connection
// can be reused.
func (pc *persistConn) do(ctx context.Context, host string, r Request, until time.Time) (Response, bool, error) {
	if err := pc.conn.SetDeadline(until); err != nil {
		return Response{}, false, errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past ends the call in progress.
		_ = pc.conn.SetDeadline(time.Unix(1, 0))
	})
	defer stop()
	if r.Conn == pc.id {
		r.Body = r.ConnBody
	}
	request, err := newRequest(host, r)
	if err != nil {
		return Response{}, false, err
	}
	if err := request.Write(pc.out); err != nil {
		return Response{}, false, errors.Trace(err)
	}
	if err := pc.out.Flush(); err != nil {
		return Response{}, false, errors.Trace(err)
	}
	response, err := http.ReadResponse(pc.in, request)
	if err != nil {
		return Response{}, false, errors.Trace(err)
	}
	body, err := pc.readBody(ctx, response)
	if err != nil {
		return Response{}, false, err
	}
	result := Response{response.StatusCode, response.Header, body, pc.id}
	if r.ReadPeer != nil {
		pc.peer = cmp.Or(r.ReadPeer(result), pc.peer)
	}
	return result, !response.Close && stop(), nil
}

// newRequest returns the net/http request; an empty body is omitted.
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

// Limits on reading a slow body.
const (
	// bodyChunk is how much of a body is read under one deadline. Shorter responses, which
	// are all except listings and the store's records, are read under the deadline of their
	// call.
	bodyChunk = 32 << 10
	// chunkTimeout is how long the next chunk may take: a link of 2 Mbit/s transfers it in
	// 0.13 s, and in 1 s while seven others are transferred.
	chunkTimeout = time.Second
	// maxBodyTime bounds the time for a whole body.
	maxBodyTime = 20 * time.Second
)

// readBody reads a complete body. A long body is read as long as it makes progress: sending
// it again would take as long again, and over a saturated link it would never arrive.
func (pc *persistConn) readBody(ctx context.Context, r *http.Response) ([]byte, error) {
	defer func() { _ = r.Body.Close() }() // the whole body is read, so Close reports nothing more
	if r.ContentLength <= 0 || r.ContentLength > maxBody {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		return body, errors.Trace(err)
	}
	body := make([]byte, r.ContentLength)
	began := time.Now()
	for read := 0; read < len(body); {
		part := body[read:min(read+bodyChunk, len(body))]
		n, err := io.ReadFull(r.Body, part)
		read += n
		if err != nil {
			return body, errors.Trace(err)
		}
		if read == len(body) {
			break
		}
		if err := pc.extendDeadline(ctx, began); err != nil {
			return body, err
		}
	}
	return body, nil
}

// extendDeadline sets the deadline for the next chunk of a body.
func (pc *persistConn) extendDeadline(ctx context.Context, began time.Time) error {
	if time.Since(began) > maxBodyTime {
		return errors.New("reading the response body took too long")
	}
	if err := pc.conn.SetDeadline(time.Now().Add(chunkTimeout)); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(ctx.Err()) // the context may have ended before the deadline was set
}
