// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package noderpc

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/silence"
)

// TestUnresponsiveConnectionIsReset checks that data which the other node has not read yet is lost
// with the connection, so that it is not executed later, when no caller waits for it any more.
func TestUnresponsiveConnectionIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close() //nolint:errcheck // the test is over
	raw, err := (&Client{}).dial(context.Background(), l.Addr().String())
	assert.NilError(t, err)
	far, err := l.Accept()
	assert.NilError(t, err)
	defer far.Close() //nolint:errcheck // the test is over
	var endpoint silence.Endpoint
	endpoint.Track(raw).Reset()
	_, err = far.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestRetryAfterIsPassedBetweenNodes checks that a caller gets the time after which to retry from
// whichever node handled the call.
func TestRetryAfterIsPassedBetweenNodes(t *testing.T) {
	e := errkind.Of(kindOf(codeOf(errkind.NewRetry(errkind.Overloaded, 3*time.Second, "full"))))
	assert.Equal(t, e.Kind, errkind.Overloaded)
	assert.Equal(t, e.RetryDelay(), 3*time.Second)
	e = errkind.Of(kindOf(codeOf(errkind.NewExact(errkind.Overloaded, 3*time.Second, "full"))))
	assert.Assert(t, e.Exact)
	assert.Equal(t, e.RetryDelay(), 3*time.Second)
	e = errkind.Of(kindOf(codeOf(errkind.NewExact(errkind.DeadlinePassed, 0, "too late"))))
	assert.Assert(t, e.Exact)
	assert.Equal(t, e.RetryDelay(), time.Duration(0))
	e = errkind.Of(kindOf(codeOf(errkind.New(errkind.Gone, "no job"))))
	assert.Equal(t, e.Kind, errkind.Gone)
	assert.Equal(t, e.RetryDelay(), time.Duration(0))
}
