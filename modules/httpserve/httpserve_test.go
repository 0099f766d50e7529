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

// start starts a server that responds with the request's body, or with the error of reading
// it.
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

// exchange sends raw text on a new connection, which stays open, and returns the response.
func exchange(t *testing.T, address, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprint(c, text)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	return response
}

func TestTooManyConnections(t *testing.T) {
	address := start(t, &Server{MaxConnections: 1, ReadTimeout: time.Minute})
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	assert.Equal(t, exchange(t, address, request).StatusCode, http.StatusOK)
	second := exchange(t, address, request)
	assert.Equal(t, second.Header.Get(errkind.HeaderKind), errkind.TooManyConnections.String())
	assert.Assert(t, second.Header.Get("Retry-After") != "")
}

func TestBodyTimeout(t *testing.T) {
	address := start(t, &Server{ReadTimeout: 50 * time.Millisecond})
	response := exchange(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	assert.Equal(t, response.Header.Get(errkind.HeaderKind), errkind.SlowRequest.String())
}

func TestDisableKeepAlives(t *testing.T) {
	s := &Server{ReadTimeout: time.Minute}
	address := start(t, s)
	s.DisableKeepAlives()
	response := exchange(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.Assert(t, response.Close, "the connection stays open")
}

// TestShutdownWaitsForFirstRequest guards against a shutdown that closes an accepted
// connection before its first request has arrived, however long that takes.
func TestShutdownWaitsForFirstRequest(t *testing.T) {
	s := &Server{ReadTimeout: time.Minute}
	address := start(t, s)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	for s.connectionCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	// net/http treats a new connection as idle once it is old enough.
	ended := make(chan error, 1)
	stop := pendingShutdown{s, ended}
	go stop.run()
	for {
		probe, err := net.Dial("tcp", address)
		if err != nil {
			break // the listener is closed
		}
		_ = probe.Close()
	}
	select {
	case <-s.openConns.Idle():
		t.Fatal("a connection whose request has not arrived is not counted")
	default:
	}
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	_ = c.Close()
	assert.NilError(t, <-ended)
}

// pendingShutdown is a shutdown in progress.
type pendingShutdown struct {
	s     *Server
	ended chan error
}

func (p pendingShutdown) run() { p.ended <- p.s.Shutdown(context.Background()) }
