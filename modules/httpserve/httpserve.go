// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserve

import (
	"cmp"
	"container/list"
	"context"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/modules/budget"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/modules/inflight"
)

// Server is an HTTP server on one address.
type Server struct {
	Handler        http.Handler
	MaxHeaderBytes int
	ReadTimeout    time.Duration // for the header and the body of a request
	IdleTimeout    time.Duration // between requests, 0 for no limit
	MaxConnections int           // open connections, 0 for no limit
	WriteTimeout   time.Duration // for each write of a part of a response, 0 for no limit
	// Memory is what heads of many lines hold of a memory that others may share, nil for no limit. With a limit the
	// receive buffers of the connections are bounded too.
	Memory    *budget.Budget
	IdleGrace time.Duration // how long Shutdown waits for requests on keep-alive connections, 0 for a second
	// CurrentTimeouts returns the timeouts for headers and for idle connections that apply
	// from now on if they are shorter than those above, 0 for none; it may be nil.
	CurrentTimeouts func() (header, idle time.Duration)

	server            *http.Server
	listener          *listener
	requestContext    context.Context // parent of the contexts of all requests
	cancelRequests    context.CancelFunc
	connectionLimit   atomic.Int64 // set by SetMaxConnections, 0 for none
	disableKeepAlives atomic.Bool
	closedAtAccept    atomic.Int64
	openConns         inflight.Counter
	acceptDone        chan struct{} // closed once no more connections are accepted

	mu       sync.Mutex
	conns    map[*conn]bool
	heads    list.List // of the *conn whose first head is awaited, the oldest in front
	running  bool
	stopping bool
}

// excessConnection is the context key that marks connections beyond the limit.
type excessConnection struct{}

// Listen opens the address and returns the bound one.
func (s *Server) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Trace(err)
	}
	s.listener = &listener{TCPListener: l.(*net.TCPListener), server: s}
	if s.Memory != nil {
		if err := setReadBuffer(s.listener.TCPListener, readBufferBytes); err != nil {
			_ = l.Close()
			return "", errors.Annotate(err, "receive buffers")
		}
	}
	s.acceptDone = make(chan struct{})
	s.conns = make(map[*conn]bool)
	s.requestContext, s.cancelRequests = context.WithCancel(context.Background())
	s.server = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: s.ReadTimeout,
		IdleTimeout:       s.IdleTimeout,
		MaxHeaderBytes:    s.MaxHeaderBytes,
		ConnState:         setConnState,
		ConnContext:       s.markExcess,
		BaseContext:       func(net.Listener) context.Context { return s.requestContext },
	}
	return l.Addr().String(), nil
}

// setConnState passes the state reported by net/http to the connection.
func setConnState(c net.Conn, state http.ConnState) { c.(*conn).setState(state) }

// Run serves until the server is shut down.
func (s *Server) Run(context.Context) {
	s.mu.Lock()
	stopping := s.stopping
	s.running = !stopping
	s.mu.Unlock()
	if stopping {
		return
	}
	defer close(s.acceptDone)
	// Serve always returns an error, namely when the server is shut down.
	_ = s.server.Serve(s.listener)
}

// Time limits of a shutdown.
const (
	// defaultIdleGrace is how long an idle keep-alive connection is kept open, unless the
	// server sets another time, from the shutdown or its last response, whichever is later.
	// By then a request that was sent before has arrived over any working network path; a
	// request that arrives is answered with Connection: close.
	defaultIdleGrace = time.Second
	// idlePollInterval is how often idle connections are checked during a shutdown.
	idlePollInterval = 20 * time.Millisecond
	// cancelGrace is for the responses to requests whose contexts were cancelled.
	cancelGrace = 300 * time.Millisecond
)

// Shutdown returns once every connection has ended: with the response to its request, if
// one is in progress or on its way on a new connection, and otherwise after a time in which
// none has arrived. It keeps listening until no keep-alive connection is left, so that a
// caller that reconnects here is still served. http.Server.Shutdown is not used, because it
// drops a request that it has read if it begins before the handler is called, and closes
// keep-alive connections while a request is on its way. When the context ends, requests are
// cancelled, and connections that have not ended shortly after are closed.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	s.awaitKeepAlives(ctx)
	s.stopAccepting(ctx)
	defer s.cancelRequests()
	if s.awaitClosed(ctx) {
		return nil
	}
	s.cancelRequests()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelGrace)
	defer cancel()
	if s.awaitClosed(last) {
		return nil
	}
	remaining := s.connectionCount()
	_ = s.Close() // nothing can be done about an error here
	return errors.Errorf("shutdown closed %d open connections: %v", remaining, context.Cause(ctx))
}

// awaitKeepAlives closes keep-alive connections as their grace ends, and returns once there
// are none or the context ends.
func (s *Server) awaitKeepAlives(ctx context.Context) {
	began := time.Now()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for s.closeIdle(began) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// stopAccepting accepts the connections in the backlog and closes the listener.
func (s *Server) stopAccepting(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	running := s.running
	s.mu.Unlock()
	if running {
		// SetDeadline fails only if the listener is closed.
		_ = s.listener.SetDeadline(time.Now())
		select {
		case <-s.acceptDone:
		case <-ctx.Done():
		}
	}
	_ = s.listener.Close() // it may be closed already
}

// awaitClosed closes idle connections as their grace ends, and reports whether all
// connections have ended before the context does.
func (s *Server) awaitClosed(ctx context.Context) bool {
	began, closed := time.Now(), s.openConns.Idle()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-closed:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
			s.closeIdle(began)
		}
	}
}

// closeIdle closes the keep-alive connections that have been idle long enough in a shutdown
// that began at the given time, and returns how many there are. Once requests are
// cancelled, it closes all connections without a request.
func (s *Server) closeIdle(began time.Time) (kept int) {
	since := time.Now().Add(-s.idleGrace())
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		switch {
		case s.requestContext.Err() != nil:
			c.endUnstarted()
		case c.isIdle():
			kept++
			if !since.Before(began) {
				c.endIdle(since)
			}
		}
	}
	return kept
}

// idleGrace returns how long Shutdown waits for requests on keep-alive connections.
func (s *Server) idleGrace() time.Duration {
	return cmp.Or(s.IdleGrace, defaultIdleGrace)
}

// Close closes the server and its connections immediately.
func (s *Server) Close() error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.cancelRequests()
	_ = s.listener.Close() // it may be closed already
	if err := s.server.Close(); !stderrors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	return nil
}

// DisableKeepAlives closes each connection after its next response, so that callers
// reconnect elsewhere without losing a request.
func (s *Server) DisableKeepAlives() { s.disableKeepAlives.Store(true) }

// track registers an accepted connection.
func (s *Server) track(raw *net.TCPConn) *conn {
	c := &conn{TCPConn: raw, server: s}
	s.openConns.Begin()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	c.head, c.headSince = s.heads.PushBack(c), time.Now()
	return c
}

// headRead records that the first head of a connection has arrived, or that the connection has ended.
func (s *Server) headRead(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.head != nil {
		s.heads.Remove(c.head)
		c.head = nil
	}
}

// headTime is the least time for the head of a new connection to arrive while there are too many connections: the largest
// head takes some round trips over a slow link, and may wait for the processor.
const headTime = 200 * time.Millisecond

// endOldestHead closes the connection whose first head has been awaited for the longest, and of which nothing was read, and
// reports whether there is one. Connections without a request leave their place to those with one.
func (s *Server) endOldestHead() bool {
	for {
		c := s.oldestHead()
		if c == nil {
			return false
		}
		if c.isUnread() {
			s.closedAtAccept.Add(1)
			_ = c.Close() // nothing can be done about an error here
			return true
		}
	}
}

// oldestHead removes the connection from the list whose first head has been awaited for the longest, and returns it; nil if
// there is none that has had enough time.
func (s *Server) oldestHead() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	front := s.heads.Front()
	if front == nil {
		return nil
	}
	c := front.Value.(*conn)
	if time.Since(c.headSince) < headTime {
		return nil
	}
	s.heads.Remove(front)
	c.head = nil
	return c
}

// untrack unregisters a closed connection.
func (s *Server) untrack(c *conn) {
	s.headRead(c)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.openConns.End()
}

// connectionCount returns the number of open connections.
func (s *Server) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// phaseTimeout returns the timeout of a connection in a phase, 0 for none beyond that of
// net/http.
func (s *Server) phaseTimeout(p phase) time.Duration {
	if s.CurrentTimeouts == nil || p == serving {
		return 0
	}
	header, idleTimeout := s.CurrentTimeouts()
	if p == idle {
		return idleTimeout
	}
	return header
}

// SetMaxConnections sets how many connections may be open from now on.
func (s *Server) SetMaxConnections(connections int) { s.connectionLimit.Store(int64(connections)) }

// maxConnections returns how many connections may be open, 0 for no limit.
func (s *Server) maxConnections() int {
	if newer := s.connectionLimit.Load(); newer > 0 {
		return int(newer)
	}
	return s.MaxConnections
}

// ClosedAtAccept returns how many connections were closed since there were too many: new ones far beyond the limit, and those
// whose heads were awaited for the longest.
func (s *Server) ClosedAtAccept() int64 { return s.closedAtAccept.Load() }

// Connections returns how many connections are open.
func (s *Server) Connections() int { return s.connectionCount() }

// excess returns how many connections are open beyond the limit, a negative number below it.
func (s *Server) excess() int {
	if limit := s.maxConnections(); limit > 0 {
		return s.connectionCount() - limit
	}
	return -1
}

// mostExcess returns how many connections beyond the limit may be open, to be told that there are too many.
func (s *Server) mostExcess() int {
	return max(int(float64(s.maxConnections())*excessShare), minExcess)
}

// markExcess marks the context of a connection beyond the limit.
func (s *Server) markExcess(ctx context.Context, _ net.Conn) context.Context {
	if limit := s.maxConnections(); limit > 0 && s.connectionCount() > limit {
		return context.WithValue(ctx, excessConnection{}, true)
	}
	return ctx
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		defer s.boundBody(w, r).endUnread()
	}
	if r.Context().Value(excessConnection{}) != nil {
		w.Header().Set("Connection", "close")
		errkind.Write(w, "", errkind.New(errkind.TooManyConnections, "too many connections: %d are allowed", s.maxConnections()))
		return
	}
	a := &responseWriter{ResponseWriter: w, server: s}
	s.Handler.ServeHTTP(a, r)
	a.beforeHeader() // in case the handler wrote nothing
}

// responseWriter is the http.ResponseWriter of handlers; it decides as late as possible
// whether the connection is closed after the response.
type responseWriter struct {
	http.ResponseWriter
	server  *Server
	started bool
}

// WriteHeader writes the response header.
func (a *responseWriter) WriteHeader(status int) {
	a.beforeHeader()
	a.ResponseWriter.WriteHeader(status)
}

// Write writes the response header if necessary, and the data.
func (a *responseWriter) Write(p []byte) (int, error) {
	a.beforeHeader()
	return a.ResponseWriter.Write(p)
}

// beforeHeader sets Connection: close during a shutdown.
func (a *responseWriter) beforeHeader() {
	if !a.started && a.server.disableKeepAlives.Load() {
		a.Header().Set("Connection", "close")
	}
	a.started = true
}

// Unwrap supports http.ResponseController.
func (a *responseWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// unreadTime is how long the rest of a body that the handler has not read may still arrive, so that the caller reads
// the response before its connection is reset.
const unreadTime = 500 * time.Millisecond

// boundBody sets a read deadline, so that reading a slow body fails.
func (s *Server) boundBody(w http.ResponseWriter, r *http.Request) *boundedBody {
	control := http.NewResponseController(w)
	// Only connections in tests have no deadlines.
	_ = control.SetReadDeadline(time.Now().Add(s.ReadTimeout))
	b := &boundedBody{ReadCloser: r.Body, control: control}
	r.Body = b
	return b
}

// boundedBody removes the deadline from the connection at the end of the body, because
// net/http keeps reading to detect that the caller has gone away.
type boundedBody struct {
	io.ReadCloser
	control *http.ResponseController
	ended   atomic.Bool // by its end or an error
}

// Read reads from the body.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	if stderrors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// endUnread bounds the time that net/http reads on in a body that the handler has left.
func (b *boundedBody) endUnread() {
	if !b.ended.Load() {
		_ = b.control.SetReadDeadline(time.Now().Add(unreadTime))
	}
}
