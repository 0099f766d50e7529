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

// TestRequestThatWasGivenUpIsNotReadLater: the far end takes a connection and reads
// nothing until the caller has given up. It must not find a whole request then, as
// if somebody still wanted it.
func TestRequestThatWasGivenUpIsNotReadLater(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := &Client{Address: l.Addr().String()}
	_, err = c.Do(context.Background(), Request{Method: http.MethodPost, Path: "/begin", Body: []byte("a task")}, 50*time.Millisecond)
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	far, err := l.Accept()
	assert.NilError(t, err)
	defer far.Close()
	assert.NilError(t, far.SetReadDeadline(time.Now().Add(10*time.Second)))
	text, err := io.ReadAll(far)
	assert.Assert(t, err != nil, "the request is read after it was given up: %q", text)
}

// TestChannelThatHasEndedCarriesNoCall: the far end has closed an idle channel before a call that
// may not be made twice. The call goes over a fresh one, and its outcome is known: sent on the
// one that has ended it would be unknown, though nobody can have read it.
func TestChannelThatHasEndedCarriesNoCall(t *testing.T) {
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
		time.Sleep(endSeen)
	}
	assert.Equal(t, served, calls)
}

// endSeen is within which time the end of a connection on one machine is seen.
const endSeen = 50 * time.Millisecond
