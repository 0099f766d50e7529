// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserve

import (
	"context"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/inflight"
)

// Surface is one HTTP address.
type Surface struct {
	Handler     http.Handler
	HeaderBytes int
	ReadTimeout time.Duration // for headers and body
	Connections int           // at once, 0 for no limit

	server   *http.Server
	listener net.Listener
	open     atomic.Int64
	limit    atomic.Int64 // newer than Connections, 0 for none
	closing  atomic.Bool
	unasked  sync.Map         // connections on which no request has come yet, by net.Conn
	unserved inflight.Counter // of those
}

// tooMany marks the connections beyond the limit.
type tooMany struct{}

// Listen opens the address and returns the one it got.
func (s *Surface) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Trace(err)
	}
	s.listener = l
	s.server = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: s.ReadTimeout,
		MaxHeaderBytes:    s.HeaderBytes,
		ConnState:         s.count,
		ConnContext:       s.mark,
	}
	return l.Addr().String(), nil
}

// Run serves until the surface is shut down.
func (s *Surface) Run(context.Context) {
	// Serve ends with an error in any case, when the surface is shut down.
	_ = s.server.Serve(s.listener)
}

// Shutdown stops listening and waits for the requests in flight, and for those
// that are on their way on fresh connections: the library would close such a
// connection once it is five seconds old, and its caller would not know whether
// the request was run.
func (s *Surface) Shutdown(ctx context.Context) error {
	_ = s.listener.Close() // the library closes it again, and tells
	select {
	case <-s.unserved.Idle():
	case <-ctx.Done():
	}
	return errors.Trace(s.server.Shutdown(ctx))
}

// Close ends the surface at once.
func (s *Surface) Close() error { return errors.Trace(s.server.Close()) }

// Retire lets each connection end with its next answer, so that callers turn
// elsewhere without losing a request.
func (s *Surface) Retire() { s.closing.Store(true) }

func (s *Surface) count(c net.Conn, state http.ConnState) {
	if state == http.StateNew {
		s.open.Add(1)
		s.unasked.Store(c, true)
		s.unserved.Begin()
		return
	}
	if _, first := s.unasked.LoadAndDelete(c); first {
		s.unserved.End()
	}
	if state == http.StateClosed || state == http.StateHijacked {
		s.open.Add(-1)
	}
}

// Limit sets how many connections there may be at once from now on.
func (s *Surface) Limit(connections int) { s.limit.Store(int64(connections)) }

// most returns how many connections there may be at once, 0 for no limit.
func (s *Surface) most() int64 {
	if newer := s.limit.Load(); newer > 0 {
		return newer
	}
	return int64(s.Connections)
}

// mark tells a connection beyond the limit, before it is counted.
func (s *Surface) mark(ctx context.Context, _ net.Conn) context.Context {
	if most := s.most(); most > 0 && s.open.Load() >= most {
		return context.WithValue(ctx, tooMany{}, true)
	}
	return ctx
}

func (s *Surface) serve(w http.ResponseWriter, r *http.Request) {
	if r.Context().Value(tooMany{}) != nil {
		w.Header().Set("Connection", "close")
		errkind.Write(w, "", errkind.New(errkind.TooManyConnections, "%d connections are open, the most allowed", s.most()))
		return
	}
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		s.boundBody(w, r)
	}
	s.Handler.ServeHTTP(w, r)
}

// boundBody ends a body that comes too slowly with an error of its reader.
func (s *Surface) boundBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	// A connection without deadlines is one of a test.
	_ = control.SetReadDeadline(time.Now().Add(s.ReadTimeout))
	r.Body = &boundedBody{ReadCloser: r.Body, control: control}
}

// boundedBody takes the deadline off the connection at the body's end, since
// the server goes on reading to learn whether the caller has gone away.
type boundedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads from the body.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if stderrors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
