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
