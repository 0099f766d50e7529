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

// lateCase is one target's answer by the time at which its parts come.
type lateCase struct {
	first  string        // comes before the deadline
	rest   string        // comes a little after it, empty for never
	heldUp time.Duration // how long this process gets no processor from the deadline on
	want   int
	took   time.Duration
}

// The times of lateCase.
const (
	lateTimeout = 300 * time.Millisecond
	lateFirst   = 50 * time.Millisecond
	lateRest    = lateTimeout + 100*time.Millisecond
)

// answerParts takes one request and answers it in the parts of the case.
func (c lateCase) answerParts(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	time.Sleep(lateFirst)
	writePart(conn, c.first)
	time.Sleep(lateRest - lateFirst)
	writePart(conn, c.rest)
	if c.rest == "" {
		time.Sleep(time.Minute) // the connection stays open
	}
}

// writePart writes nothing for nothing, which a pipe would hand over.
func writePart(conn net.Conn, part string) {
	if part != "" {
		// A connection that the other end has closed takes nothing.
		_, _ = io.WriteString(conn, part)
	}
}

// TestAnswerOnItsWayAtTheDeadline: an answer that has begun, or that may have
// come while this process was held up, is not thrown away for an unknown
// outcome.
func TestAnswerOnItsWayAtTheDeadline(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\n"
		rest = "Content-Length: 5\r\n\r\nwhole"
	)
	metrics.New() // the library's goroutine for all meters must not be of a bubble
	for name, c := range map[string]lateCase{
		"in time":                      {first: head + rest, want: http.StatusOK, took: lateFirst},
		"its headers have begun":       {first: head, rest: rest, want: http.StatusOK, took: lateRest},
		"its body has begun":           {first: head + rest[:len(rest)-2], rest: rest[len(rest)-2:], want: http.StatusOK, took: lateRest},
		"this process was held up":     {rest: head + rest, heldUp: 3 * time.Second, want: http.StatusOK, took: lateRest},
		"nothing has come":             {rest: head + rest, want: http.StatusGatewayTimeout, took: lateTimeout},
		"it has begun and never ends":  {first: head, want: http.StatusGatewayTimeout, took: lateTimeout + lateGrace},
		"held up, and nothing comes":   {heldUp: 3 * time.Second, want: http.StatusGatewayTimeout, took: lateTimeout + lateGrace},
		"held up for a moment is none": {rest: head + rest, heldUp: lateNotice - 1, want: http.StatusGatewayTimeout, took: lateTimeout},
	} {
		synctest.Test(t, func(t *testing.T) { c.play(t, name) })
	}
}

func (c lateCase) play(t *testing.T, name string) {
	b := lateBench()
	b.build(t)
	begun := time.Now()
	b.d.Clock = clock.Clock{NowFunc: func() time.Time {
		now := time.Now()
		if now.Sub(begun) < lateTimeout {
			return now
		}
		return now.Add(c.heldUp)
	}}
	w, took := b.serveLate(t, c)
	assert.Equal(t, w.Code, c.want, "%s: %s", name, w.Body.String())
	assert.Equal(t, took, c.took, name)
	if c.want == http.StatusOK {
		assert.Equal(t, w.Body.String(), "whole", name)
	}
}

// lateBench returns a bench without listeners, to be built in a bubble.
func lateBench() *bench {
	b := &bench{}
	b.declare([]string{"192.0.2.1:1", "192.0.2.2:1"})
	return b
}

// serveLate has a request served by targets that answer as the case says.
func (b *bench) serveLate(t *testing.T, c lateCase) (w *httptest.ResponseRecorder, took time.Duration) {
	t.Helper()
	b.d.dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go c.answerParts(far)
		return near, nil
	}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil)
	r.Header.Set(HeaderTimeout, lateTimeout.String())
	w = httptest.NewRecorder()
	begun := time.Now()
	b.d.Serve(w, r, "svc", "/x")
	took = time.Since(begun)
	b.d.Stop()
	time.Sleep(2 * time.Minute) // of the bubble, in which the target's end comes
	return w, took
}

// slotCase is a slot that is lent some time after a request asked for it.
type slotCase struct {
	usual time.Duration // time in a slot
	lent  time.Duration
	want  int
	took  time.Duration
}

// TestSlotThatComesTooLateIsNotUsed: a request that can't be answered in time
// any more is refused, truly, and not sent for an unknown outcome.
func TestSlotThatComesTooLateIsNotUsed(t *testing.T) {
	metrics.New() // the library's goroutine for all meters must not be of a bubble
	for name, c := range map[string]slotCase{
		"in time":                     {usual: 100 * time.Millisecond, lent: 200 * time.Millisecond, want: http.StatusOK, took: 200*time.Millisecond + lateFirst},
		"nearly at the deadline":      {usual: 100 * time.Millisecond, lent: lateTimeout - 3*time.Millisecond, want: http.StatusServiceUnavailable, took: lateTimeout - 25*time.Millisecond},
		"a part of the usual is left": {usual: 200 * time.Millisecond, lent: lateTimeout - 40*time.Millisecond, want: http.StatusServiceUnavailable, took: lateTimeout - 50*time.Millisecond},
		"asked for less than usual":   {usual: time.Minute, lent: lateTimeout / 3, want: http.StatusOK, took: lateTimeout/3 + lateFirst},
		"waited for half of so much":  {usual: time.Minute, lent: lateTimeout - 3*time.Millisecond, want: http.StatusServiceUnavailable, took: lateTimeout / 2},
	} {
		synctest.Test(t, func(t *testing.T) { c.play(t, name) })
	}
}

func (c slotCase) play(t *testing.T, name string) {
	answer := lateCase{first: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"}
	b := lateBench()
	begun := time.Now()
	b.beforeLending = func(slots.Exchange) { time.Sleep(c.lent - time.Since(begun)) }
	b.build(t)
	b.d.usual.add("p", c.usual)
	w, took := b.serveLate(t, answer)
	assert.Equal(t, w.Code, c.want, "%s: %s", name, w.Body.String())
	assert.Equal(t, took, c.took, name)
	if c.want != http.StatusOK {
		assert.Equal(t, w.Header().Get(errkind.HeaderOutcome), string(errkind.NotRun), name)
		assert.Equal(t, b.d.Metrics.Sends.Count(), int64(0), name)
	}
}
