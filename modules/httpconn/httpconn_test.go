// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

// TestTimedOutRequestIsNotDelivered: the server accepts a connection but reads nothing
// until the call has timed out. It must not then read a complete request that nobody waits
// for.
func TestTimedOutRequestIsNotDelivered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := &Client{Address: l.Addr().String()}
	_, err = c.Do(context.Background(), Request{Method: http.MethodPost, Path: "/begin", Body: []byte("a task")}, 50*time.Millisecond)
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	remote, err := l.Accept()
	assert.NilError(t, err)
	defer remote.Close()
	assert.NilError(t, remote.SetReadDeadline(time.Now().Add(10*time.Second)))
	text, err := io.ReadAll(remote)
	assert.Assert(t, err != nil, "the request was read after its timeout: %q", text)
}

// TestClosedIdleConnectionIsNotUsed: the server has closed an idle connection before a call
// that is not idempotent. The call must go over a new connection: on the closed one its
// outcome would be unknown, although the server cannot have read it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	served := 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
	defer s.Close()
	c := &Client{Address: s.Listener.Addr().String()}
	defer c.Close()
	const calls = 5
	for n := range calls {
		_, err := c.Do(context.Background(), Request{Method: http.MethodPost, Path: "/begin", Body: []byte("a task")}, 10*time.Second)
		assert.NilError(t, err, "call %d", n)
		s.CloseClientConnections()
		time.Sleep(closeDelay)
	}
	assert.Equal(t, served, calls)
}

// closeDelay is within which time the close of a connection on the same machine is noticed.
const closeDelay = 50 * time.Millisecond
