// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
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
