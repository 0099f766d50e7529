// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/metrics"
	"github.com/yardbridge/yardbridge/services/slots"
)

// lateResponse is a target's response, with the times at which its parts arrive.
type lateResponse struct {
	first     string        // arrives before the deadline
	remainder string        // arrives a little after the deadline, empty for never
	suspended time.Duration // how long this process is suspended from the deadline on
	want      int
	took      time.Duration // time until the caller gets the response
}

// Times of lateResponse.
const (
	lateTimeout = 300 * time.Millisecond
	lateFirst   = 50 * time.Millisecond
	lateRest    = lateTimeout + 100*time.Millisecond
)

// respondInParts reads one request and sends the parts of the response.
func (c lateResponse) respondInParts(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	time.Sleep(lateFirst)
	writePart(conn, c.first)
	time.Sleep(lateRest - lateFirst)
	writePart(conn, c.remainder)
	if c.remainder == "" {
		time.Sleep(time.Minute) // the connection stays open
	}
}

// writePart writes a part unless it is empty, since a pipe would pass on an empty write.
func writePart(conn net.Conn, part string) {
	if part != "" {
		// The error of a connection that the other end has closed is ignored.
		_, _ = io.WriteString(conn, part)
	}
}

// TestResponseInTransitAtDeadline checks that a response which has begun at the deadline, or which
// may have arrived while this process was suspended, is not discarded with an unknown outcome.
func TestResponseInTransitAtDeadline(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\n"
		rest = "Content-Length: 5\r\n\r\nwhole"
	)
	metrics.New() // the goroutine of the metrics library must not belong to the synctest bubble
	for name, c := range map[string]lateResponse{
		"in time":                           {first: head + rest, want: http.StatusOK, took: lateFirst},
		"its headers have begun":            {first: head, remainder: rest, want: http.StatusOK, took: lateRest},
		"its body has begun":                {first: head + rest[:len(rest)-2], remainder: rest[len(rest)-2:], want: http.StatusOK, took: lateRest},
		"this process was suspended":        {remainder: head + rest, suspended: 3 * time.Second, want: http.StatusOK, took: lateRest},
		"nothing has arrived":               {remainder: head + rest, want: http.StatusGatewayTimeout, took: lateTimeout},
		"it has begun and never ends":       {first: head, want: http.StatusGatewayTimeout, took: lateTimeout + lateGrace},
		"suspended, and nothing arrives":    {suspended: 3 * time.Second, want: http.StatusGatewayTimeout, took: lateTimeout + lateGrace},
		"a short suspension does not count": {remainder: head + rest, suspended: maxTimerDelay - 1, want: http.StatusGatewayTimeout, took: lateTimeout},
	} {
		synctest.Test(t, func(t *testing.T) { c.run(t, name) })
	}
}

func (c lateResponse) run(t *testing.T, name string) {
	b := newBubbleDispatcher()
	b.build(t)
	startedAt := time.Now()
	b.d.Clock = clock.Clock{NowFunc: func() time.Time {
		now := time.Now()
		if now.Sub(startedAt) < lateTimeout {
			return now
		}
		return now.Add(c.suspended)
	}}
	w, took := b.serveLate(t, c)
	assert.Equal(t, w.Code, c.want, "%s: %s", name, w.Body.String())
	assert.Equal(t, took, c.took, name)
	if c.want == http.StatusOK {
		assert.Equal(t, w.Body.String(), "whole", name)
	}
}

// newBubbleDispatcher returns a testDispatcher without listeners, to be built in a synctest bubble.
func newBubbleDispatcher() *testDispatcher {
	b := &testDispatcher{}
	b.declare([]string{"192.0.2.1:1", "192.0.2.2:1"})
	return b
}

// serveLate serves a request with targets that respond as in the case.
func (b *testDispatcher) serveLate(t *testing.T, c lateResponse) (w *httptest.ResponseRecorder, took time.Duration) {
	t.Helper()
	b.d.dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go c.respondInParts(far)
		return near, nil
	}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil)
	r.Header.Set(HeaderTimeout, lateTimeout.String())
	w = httptest.NewRecorder()
	startedAt := time.Now()
	b.d.Serve(w, r, "svc", "/x")
	took = time.Since(startedAt)
	b.d.Stop()
	time.Sleep(2 * time.Minute) // in the bubble, until the target's goroutines have ended
	return w, took
}

// slotCase is a slot that is lent some time after a request for it.
type slotCase struct {
	typical time.Duration // typical time in a slot
	lent    time.Duration
	want    int
	took    time.Duration
}

// TestLateSlotIsNotUsed checks that a request which can no longer get a response in time is refused
// as not run, and is not sent with an unknown outcome.
func TestLateSlotIsNotUsed(t *testing.T) {
	metrics.New() // the goroutine of the metrics library must not belong to the synctest bubble
	for name, c := range map[string]slotCase{
		"in time":                            {typical: 100 * time.Millisecond, lent: 200 * time.Millisecond, want: http.StatusOK, took: 200*time.Millisecond + lateFirst},
		"nearly at the deadline":             {typical: 100 * time.Millisecond, lent: lateTimeout - 3*time.Millisecond, want: http.StatusServiceUnavailable, took: lateTimeout - 25*time.Millisecond},
		"a part of the typical time is left": {typical: 200 * time.Millisecond, lent: lateTimeout - 40*time.Millisecond, want: http.StatusServiceUnavailable, took: lateTimeout - 50*time.Millisecond},
		"timeout below the typical time":     {typical: time.Minute, lent: lateTimeout / 3, want: http.StatusOK, took: lateTimeout/3 + lateFirst},
		"half of the time was spent waiting": {typical: time.Minute, lent: lateTimeout - 3*time.Millisecond, want: http.StatusServiceUnavailable, took: lateTimeout / 2},
	} {
		synctest.Test(t, func(t *testing.T) { c.run(t, name) })
	}
}

func (c slotCase) run(t *testing.T, name string) {
	response := lateResponse{first: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"}
	b := newBubbleDispatcher()
	startedAt := time.Now()
	b.beforeLending = func(slots.Exchange) { time.Sleep(c.lent - time.Since(startedAt)) }
	b.build(t)
	b.d.typical.add("p", c.typical)
	w, took := b.serveLate(t, response)
	assert.Equal(t, w.Code, c.want, "%s: %s", name, w.Body.String())
	assert.Equal(t, took, c.took, name)
	if c.want != http.StatusOK {
		assert.Equal(t, w.Header().Get(errkind.HeaderOutcome), string(errkind.NotRun), name)
		assert.Equal(t, b.d.Metrics.Sends.Count(), int64(0), name)
	}
}
