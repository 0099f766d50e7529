// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserve

import (
	"cmp"
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

// Server is one HTTP address.
type Server struct {
	Handler        http.Handler
	MaxHeaderBytes int
	ReadTimeout    time.Duration // for headers and body
	IdleTimeout    time.Duration // between requests, 0 for no limit
	MaxConnections int           // at once, 0 for no limit
	IdleGrace      time.Duration // that kept connections are waited for in a stop, 0 for a second
	// CurrentTimeouts returns shorter times than those above for what comes from now on, 0 for
	// those above; nil does so always.
	CurrentTimeouts func() (header, idle time.Duration)

	server   *http.Server
	listener *acceptor
	requests context.Context // of requests
	giveUp   context.CancelFunc
	limit    atomic.Int64 // newer than Connections, 0 for none
	closing  atomic.Bool
	held     inflight.Counter // connections
	ended    chan struct{}    // closed once no connection is accepted any more

	mu       sync.Mutex
	conns    map[*conn]bool
	running  bool
	stopping bool
}

// tooMany marks the connections beyond the limit.
type tooMany struct{}

// Listen opens the address and returns the one it got.
func (s *Server) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Trace(err)
	}
	s.listener = &acceptor{TCPListener: l.(*net.TCPListener), surface: s}
	s.ended = make(chan struct{})
	s.conns = make(map[*conn]bool)
	s.requests, s.giveUp = context.WithCancel(context.Background())
	s.server = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: s.ReadTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
		ConnState:         enter,
		ConnContext:       s.mark,
		BaseContext:       func(net.Listener) context.Context { return s.requests },
	}
	return l.Addr().String(), nil
}

// enter tells a connection what the library tells of it.
func enter(c net.Conn, state http.ConnState) { c.(*conn).enter(state) }

// Run serves until the surface is shut down.
func (s *Server) Run(context.Context) {
	s.mu.Lock()
	stopping := s.stopping
	s.running = !stopping
	s.mu.Unlock()
	if stopping {
		return
	}
	defer close(s.ended)
	// Serve ends with an error in any case, when the surface is shut down.
	_ = s.server.Serve(s.listener)
}

// The times of a stop.
const (
	// quietSpan is how long a kept connection is waited for, unless the surface says
	// else, from the moment of the stop or its last answer, whichever is later: a
	// request that was sent before has come by then, over any path that is in order,
	// and one that comes is answered and told that the connection ends.
	quietSpan = time.Second
	// quietLook is how often kept connections are looked at during a stop.
	quietLook = 20 * time.Millisecond
	// lastSpan is for the answers of requests that were told to give up.
	lastSpan = 300 * time.Millisecond
)

// Shutdown returns once every connection has ended: with the answer to its request, if
// one is under way or on its way on a fresh connection, and else after a time in which
// none has come. It goes on listening until no kept connection is left, so that whoever
// turns elsewhere and comes back here is served as well. The library's own Shutdown is not used: it
// drops a request that it has read when it begins before the handler is called, and
// closes kept connections while a request is on its way. Once the context ends,
// requests are told to give up, and what has not ended soon after is cut off.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	s.awaitKept(ctx)
	s.endListening(ctx)
	defer s.giveUp()
	if s.awaitEnds(ctx) {
		return nil
	}
	s.giveUp()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastSpan)
	defer cancel()
	if s.awaitEnds(last) {
		return nil
	}
	left := s.open()
	_ = s.Close() // there is nothing left to do about it
	return errors.Errorf("%d connections were cut off: %v", left, context.Cause(ctx))
}

// awaitKept ends kept connections as they become quiet, and returns once there is none
// or the context ends.
func (s *Server) awaitKept(ctx context.Context) {
	began := time.Now()
	ticker := time.NewTicker(quietLook)
	defer ticker.Stop()
	for s.endQuiet(began) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// endListening takes the connections that wait, and listens no more.
func (s *Server) endListening(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	running := s.running
	s.mu.Unlock()
	if running {
		// A listener that takes no deadline is closed.
		_ = s.listener.SetDeadline(time.Now())
		select {
		case <-s.ended:
		case <-ctx.Done():
		}
	}
	_ = s.listener.Close() // one that is closed already says so
}

// awaitEnds ends connections as they become quiet, and returns whether all have ended
// before the context does.
func (s *Server) awaitEnds(ctx context.Context) bool {
	began, gone := time.Now(), s.held.Idle()
	ticker := time.NewTicker(quietLook)
	defer ticker.Stop()
	for {
		select {
		case <-gone:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
			s.endQuiet(began)
		}
	}
}

// endQuiet ends the kept connections on which nothing has come for long in a stop that
// began at a time, and returns how many are kept. Once requests are told to give up, it
// ends all on which nothing has come.
func (s *Server) endQuiet(began time.Time) (kept int) {
	since := time.Now().Add(-s.span())
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		switch {
		case s.requests.Err() != nil:
			c.endUnasked()
		case c.isKept():
			kept++
			if !since.Before(began) {
				c.endIdle(since)
			}
		}
	}
	return kept
}

// span returns how long kept connections are waited for.
func (s *Server) span() time.Duration {
	return cmp.Or(s.IdleGrace, quietSpan)
}

// Close ends the surface at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.giveUp()
	_ = s.listener.Close() // one that is closed already says so
	if err := s.server.Close(); !stderrors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	return nil
}

// DisableKeepAlives lets each connection end with its next answer, so that callers turn
// elsewhere without losing a request.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// hold takes a connection that was accepted.
func (s *Server) hold(raw *net.TCPConn) *conn {
	c := &conn{TCPConn: raw, surface: s}
	s.held.Begin()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return c
}

// release gives a connection up that is closed.
func (s *Server) release(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.held.End()
}

// open returns how many connections there are.
func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// patience returns the bound of what a connection waits for, 0 for none but the
// server's.
func (s *Server) patience(p phase) time.Duration {
	if s.CurrentTimeouts == nil || p == serving {
		return 0
	}
	header, rest := s.CurrentTimeouts()
	if p == idle {
		return rest
	}
	return header
}

// SetMaxConnections sets how many connections there may be at once from now on.
func (s *Server) SetMaxConnections(connections int) { s.limit.Store(int64(connections)) }

// most returns how many connections there may be at once, 0 for no limit.
func (s *Server) most() int {
	if newer := s.limit.Load(); newer > 0 {
		return int(newer)
	}
	return s.MaxConnections
}

// mark tells a connection beyond the limit.
func (s *Server) mark(ctx context.Context, _ net.Conn) context.Context {
	if most := s.most(); most > 0 && s.open() > most {
		return context.WithValue(ctx, tooMany{}, true)
	}
	return ctx
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		s.boundBody(w, r)
	}
	if r.Context().Value(tooMany{}) != nil {
		w.Header().Set("Connection", "close")
		errkind.Write(w, "", errkind.New(errkind.TooManyConnections, "%d connections are open, the most allowed", s.most()))
		return
	}
	a := &answer{ResponseWriter: w, surface: s}
	s.Handler.ServeHTTP(a, r)
	a.begin() // for a handler that leaves the answer to the library
}

// answer is what a handler writes to; it tells at the last moment whether the
// connection ends.
type answer struct {
	http.ResponseWriter
	surface *Server
	begun   bool
}

// WriteHeader begins the answer.
func (a *answer) WriteHeader(status int) {
	a.begin()
	a.ResponseWriter.WriteHeader(status)
}

// Write begins the answer if that was not done, and writes.
func (a *answer) Write(p []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(p)
}

// begin says that the connection ends where the surface stops.
func (a *answer) begin() {
	if !a.begun && a.surface.closing.Load() {
		a.Header().Set("Connection", "close")
	}
	a.begun = true
}

// Unwrap is for the library's ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// boundBody ends a body that comes too slowly with an error of its reader.
func (s *Server) boundBody(w http.ResponseWriter, r *http.Request) {
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
