// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserve

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

// start serves a surface that answers with the request's body, or with why it
// could not be read.
func start(t *testing.T, s *Server) string {
	t.Helper()
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			errkind.Write(w, "", errkind.New(errkind.SlowRequest, "%v", err))
			return
		}
		_, _ = w.Write(body)
	})
	address, err := s.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	go s.Run(context.Background())
	t.Cleanup(func() { _ = s.Close() })
	return address
}

// exchange sends raw text on a fresh connection, which stays open.
func exchange(t *testing.T, address, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprint(c, text)
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	return answer
}

func TestTooManyConnections(t *testing.T) {
	address := start(t, &Server{MaxConnections: 1, ReadTimeout: time.Minute})
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	assert.Equal(t, exchange(t, address, request).StatusCode, http.StatusOK)
	second := exchange(t, address, request)
	assert.Equal(t, second.Header.Get(errkind.HeaderKind), errkind.TooManyConnections.String())
	assert.Assert(t, second.Header.Get("Retry-After") != "")
}

func TestBodyThatDoesNotCome(t *testing.T) {
	address := start(t, &Server{ReadTimeout: 50 * time.Millisecond})
	answer := exchange(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	assert.Equal(t, answer.Header.Get(errkind.HeaderKind), errkind.SlowRequest.String())
}

func TestRetiredSurfaceEndsConnections(t *testing.T) {
	s := &Server{ReadTimeout: time.Minute}
	address := start(t, s)
	s.DisableKeepAlives()
	answer := exchange(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.Assert(t, answer.Close, "the connection stays open")
}

// TestShutdownLetsTheFirstRequestCome: a caller whose connection was taken gets
// its answer, however long its first request is on its way.
func TestShutdownLetsTheFirstRequestCome(t *testing.T) {
	s := &Server{ReadTimeout: time.Minute}
	address := start(t, s)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	for s.open() == 0 {
		time.Sleep(time.Millisecond)
	}
	// The library takes a fresh connection for idle once it is old enough.
	ended := make(chan error, 1)
	stop := stopping{s, ended}
	go stop.run()
	for {
		probe, err := net.Dial("tcp", address)
		if err != nil {
			break // it listens no more
		}
		_ = probe.Close()
	}
	select {
	case <-s.held.Idle():
		t.Fatal("a connection whose request has not come does not count")
	default:
	}
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	_ = c.Close()
	assert.NilError(t, <-ended)
}

// stopping is a planned stop under way.
type stopping struct {
	s     *Server
	ended chan error
}

func (p stopping) run() { p.ended <- p.s.Shutdown(context.Background()) }
