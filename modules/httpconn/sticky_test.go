// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveBodies responds with the body of each request, after a time if that is wanted by a header.
func serveBodies(t *testing.T) (*httptest.Server, *Client) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Header.Get("Wait") != "" {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(s.Close)
	c := &Client{Address: s.Listener.Addr().String(), MaxIdle: 4}
	t.Cleanup(c.Close)
	return s, c
}

// call makes a call with a body for one connection and another one for all others.
func call(t *testing.T, c *Client, conn uint64, sticky bool) Response {
	t.Helper()
	r, err := c.Do(t.Context(), Request{
		Method: http.MethodPost, Path: "/", Body: []byte("any"), Conn: conn, ConnBody: []byte("this one"), Idempotent: true, Sticky: sticky,
	}, 5*time.Second)
	assert.NilError(t, err)
	return r
}

// TestBodyForOneConnection guards against a request that reaches a server which has restarted at its address, though it was
// meant for the one before: the connection to that one is closed, and the call is retried with the other body.
func TestBodyForOneConnection(t *testing.T) {
	s, c := serveBodies(t)
	first := call(t, c, 0, true)
	assert.Equal(t, string(first.Body), "any")
	second := call(t, c, first.Conn, true)
	assert.Equal(t, string(second.Body), "this one")
	assert.Equal(t, second.Conn, first.Conn)
	s.CloseClientConnections()
	third := call(t, c, first.Conn, true)
	assert.Equal(t, string(third.Body), "any")
	assert.Assert(t, third.Conn != first.Conn)
	other := &Client{Address: c.Address}
	defer other.Close()
	assert.Equal(t, string(call(t, other, third.Conn, true).Body), "any", "a connection of another client")
}

// TestOtherCallsLeaveTheStickyConnection guards against a sticky call that goes over another connection since one that
// is not sticky has taken its own.
func TestOtherCallsLeaveTheStickyConnection(t *testing.T) {
	_, c := serveBodies(t)
	done := make(chan error)
	go func() {
		_, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/", Header: http.Header{"Wait": {"1"}}}, 5*time.Second)
		done <- err
	}()
	time.Sleep(10 * time.Millisecond)
	sticky := call(t, c, 0, true)
	assert.NilError(t, <-done)
	for range 5 {
		assert.Assert(t, call(t, c, 0, false).Conn != sticky.Conn)
		assert.Equal(t, call(t, c, sticky.Conn, true).Conn, sticky.Conn)
	}
}
