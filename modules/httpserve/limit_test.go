// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserve

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/body"
	"github.com/yardbridge/yardbridge/modules/budget"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// serveWith starts a server with a handler.
func serveWith(t *testing.T, s *Server, h http.HandlerFunc) string {
	t.Helper()
	s.Handler = h
	address, err := s.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	go s.Run(context.Background())
	t.Cleanup(func() { _ = s.Close() })
	return address
}

// TestConnectionsBeyondTheLimit guards against connections without end that each take memory, and against callers that
// get no answer beside connections that send nothing: those without a request leave their place to those with one. Far
// beyond the limit connections are closed.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	const limit = 16
	s := &Server{MaxConnections: limit, ReadTimeout: time.Minute}
	address := start(t, s)
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	var silent []net.Conn
	for range limit {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer c.Close()
		silent = append(silent, c)
	}
	for s.Connections() < limit {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * headTime)
	for i := range limit { // each stays open after its request
		assert.Equal(t, exchange(t, address, request).StatusCode, http.StatusOK)
		assert.NilError(t, silent[i].SetReadDeadline(time.Now().Add(maxWait)))
		_, err := silent[i].Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	}
	assert.Equal(t, s.Connections(), limit)
	assert.Equal(t, s.ClosedAtAccept(), int64(limit))
	var held []net.Conn
	for range 200 {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		held = append(held, c)
	}
	for s.ClosedAtAccept() < limit+200-minExcess {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, s.Connections() <= limit+minExcess)
	for _, c := range held {
		_ = c.Close()
	}
}

// TestHeadsOfManyLinesAreCounted guards against heads of legal size whose fields take many times their bytes. A usual
// head takes nothing, and what a head took is given back.
func TestHeadsOfManyLinesAreCounted(t *testing.T) {
	memory := budget.New(1 << 20)
	address := start(t, &Server{ReadTimeout: time.Minute, MaxHeaderBytes: 16 << 10, Memory: memory})
	head := func(lines int) string {
		return "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("A: b\r\n", lines) + "\r\n"
	}
	assert.Equal(t, exchange(t, address, head(freeHeadLines-2)).StatusCode, http.StatusOK)
	assert.Equal(t, memory.Used(), int64(0))
	assert.Equal(t, exchange(t, address, head(2000)).StatusCode, http.StatusOK)
	for memory.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
	stalled, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer stalled.Close()
	_, err = fmt.Fprint(stalled, strings.TrimSuffix(head(2400), "\r\n"))
	assert.NilError(t, err)
	for memory.Used() < 2000*headLineBytes {
		time.Sleep(time.Millisecond)
	}
	second, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer second.Close()
	_, err = fmt.Fprint(second, head(2400))
	assert.NilError(t, err)
	assert.NilError(t, second.SetReadDeadline(time.Now().Add(maxWait)))
	_, err = http.ReadResponse(bufio.NewReader(second), nil)
	assert.Assert(t, err != nil, "a caller may take a response that the request is invalid for the last word")
	assert.Equal(t, exchange(t, address, head(10)).StatusCode, http.StatusOK)
	_ = stalled.Close()
	for memory.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestRefusedBodyGetsItsResponse guards against a client that sends without end and holds its connection, and against
// one that never learns that its request was refused: the response comes before the body has arrived, the connection is
// closed, and all memory is given back. A body inside the limits is still served.
func TestRefusedBodyGetsItsResponse(t *testing.T) {
	const largest = 256 << 10
	bodies := body.NewReader(1 << 20)
	address := serveWith(t, &Server{ReadTimeout: time.Minute, Memory: bodies.Budget()}, func(w http.ResponseWriter, r *http.Request) {
		b, err := bodies.Read(w, r, largest)
		defer b.Release()
		if err != nil {
			errkind.Write(w, "", err)
			return
		}
		_, _ = fmt.Fprint(w, len(b.Data))
	})
	for _, chunked := range []bool{false, true} {
		post := func(bytes, sent int) net.Conn {
			c, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			assert.NilError(t, c.SetDeadline(time.Now().Add(maxWait)))
			form, start := fmt.Sprintf("Content-Length: %d", bytes), ""
			if chunked {
				form, start = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", bytes)
			}
			// A refused client's write may fail.
			go func() {
				_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n%s%s", form, start, strings.Repeat("x", sent))
				if chunked && sent == bytes {
					_, _ = io.WriteString(c, "\r\n0\r\n\r\n")
				}
			}()
			return c
		}
		answer := func(c net.Conn) *http.Response {
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			return a
		}
		assert.Equal(t, answer(post(largest, largest)).StatusCode, http.StatusOK)
		held := post(largest, largest-1)
		for bodies.Held() < largest {
			time.Sleep(time.Millisecond)
		}
		before := bodies.Refused()
		a := answer(post(largest, largest-1))
		assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, a.Header.Get(errkind.HeaderOutcome), string(errkind.NotRun))
		assert.Assert(t, a.Header.Get("Retry-After") != "" && a.Close)
		assert.Assert(t, bodies.Refused() > before)
		assert.Equal(t, answer(post(4000, 4000)).StatusCode, http.StatusOK, "a small body is refused beside large ones")
		_ = held.Close()
		for bodies.Held() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestUnreadBodyDoesNotHoldTheConnection guards against clients that hold connections with a body that no handler reads.
func TestUnreadBodyDoesNotHoldTheConnection(t *testing.T) {
	s := &Server{ReadTimeout: time.Minute}
	address := serveWith(t, s, func(http.ResponseWriter, *http.Request) {})
	began := time.Now()
	assert.Equal(t, exchange(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf").StatusCode, http.StatusOK)
	assert.Assert(t, time.Since(began) < maxWait)
}

// TestReaderThatTakesNothingIsCutOff guards against clients that don't read their responses and hold them for ever.
func TestReaderThatTakesNothingIsCutOff(t *testing.T) {
	s := &Server{ReadTimeout: time.Minute, WriteTimeout: 100 * time.Millisecond}
	ended := make(chan error, 1)
	address := serveWith(t, s, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20))
		ended <- err
	})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	assert.Assert(t, <-ended != nil)
	for s.Connections() > 0 {
		time.Sleep(time.Millisecond)
	}
	slow, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer slow.Close()
	_, err = fmt.Fprint(slow, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	n, err := io.CopyN(io.Discard, slow, 64<<20)
	assert.NilError(t, err, "%d bytes of a large response", n)
	assert.NilError(t, <-ended)
}

// TestLongBodiesOnOneConnection guards against long bodies that stall on a kept connection: a receive buffer that is made
// smaller drops what is on its way.
func TestLongBodiesOnOneConnection(t *testing.T) {
	const bytes, count = 256 << 10, 8
	address := serveWith(t, &Server{ReadTimeout: time.Minute, Memory: budget.New(1 << 20)}, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n, err)
	})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	in, began := bufio.NewReader(c), time.Now()
	for range count {
		go func() {
			_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", bytes, strings.Repeat("x", bytes))
		}()
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(maxWait)))
		a, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		text, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), fmt.Sprint(bytes, " <nil>"))
	}
	assert.Assert(t, time.Since(began) < count*time.Second, "%d bodies took %s", count, time.Since(began))
}
