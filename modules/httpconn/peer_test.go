// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpconn

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/modules/errkind"
)

// peerServer responds with the number of the process that it stands for.
type peerServer struct {
	*httptest.Server
	mu     sync.Mutex
	number int
	closes bool // it closes its connections after each response
	paths  []string
}

func newPeerServer(t *testing.T) *peerServer {
	t.Helper()
	s := &peerServer{number: 1}
	s.Server = httptest.NewServer(s)
	t.Cleanup(s.Close)
	return s
}

func (s *peerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths = append(s.paths, r.URL.Path)
	if s.closes {
		w.Header().Set("Connection", "close")
	}
	_, _ = w.Write([]byte(strconv.Itoa(s.number)))
}

// replace ends the process that the server stands for: its connections end with it.
func (s *peerServer) replace() {
	s.CloseClientConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	s.paths = nil
}

func readPeer(r Response) int64 {
	n, _ := strconv.ParseInt(string(r.Body), 10, 64)
	return n
}

// order is a request that is meant for one process.
func order(peer int64, idempotent bool) Request {
	return Request{
		Method: http.MethodPost, Path: "/order", Peer: peer, Idempotent: idempotent,
		Identify: func() Request { return Request{Method: http.MethodPost, Path: "/identify", ReadPeer: readPeer} },
	}
}

// TestRequestForOnePeer guards against a request that a server process carries out which was meant for the one before it at
// the same address: each new connection is identified once, and the request is not sent over one that reaches another process.
func TestRequestForOnePeer(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		s := newPeerServer(t)
		c := &Client{Address: s.Listener.Addr().String(), MaxIdle: 2}
		for range 3 {
			_, err := c.Do(t.Context(), order(1, idempotent), longTimeout)
			assert.NilError(t, err)
		}
		assert.DeepEqual(t, s.paths, []string{"/identify", "/order", "/order", "/order"})
		s.replace()
		for range 3 {
			_, err := c.Do(t.Context(), order(1, idempotent), longTimeout)
			assert.Assert(t, errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
		}
		for _, path := range s.paths {
			assert.Equal(t, path, "/identify")
		}
		_, err := c.Do(t.Context(), order(2, idempotent), longTimeout)
		assert.NilError(t, err)
		c.Close()
	}
}

// TestResponseIdentifiesConnection guards against an identification for each request: any response that tells its process
// identifies the connection that carried it.
func TestResponseIdentifiesConnection(t *testing.T) {
	s := newPeerServer(t)
	c := &Client{Address: s.Listener.Addr().String()}
	defer c.Close()
	_, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/poll", ReadPeer: readPeer, Sticky: true}, longTimeout)
	assert.NilError(t, err)
	_, err = c.Do(t.Context(), order(1, false), longTimeout)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.paths, []string{"/poll", "/order"})
}

// TestServerThatKeepsNoConnection guards against a request that another process carries out, since the server closes each
// connection after the response that has identified it: no request is sent over another one.
func TestServerThatKeepsNoConnection(t *testing.T) {
	s := newPeerServer(t)
	s.closes = true
	c := &Client{Address: s.Listener.Addr().String()}
	defer c.Close()
	for range 20 {
		_, err := c.Do(t.Context(), order(1, false), longTimeout)
		assert.Assert(t, errkind.Is(err, errkind.BadResponse), "%v", err)
	}
	for _, path := range s.paths {
		assert.Equal(t, path, "/identify")
	}
	s.mu.Lock()
	s.closes = false
	s.mu.Unlock()
	_, err := c.Do(t.Context(), order(1, false), longTimeout)
	assert.NilError(t, err)
}

// TestConnectionsToOthersAreNotKept guards against idle connections that no request may use, so that each sticky call goes
// over a new one.
func TestConnectionsToOthersAreNotKept(t *testing.T) {
	s := newPeerServer(t)
	c := &Client{Address: s.Listener.Addr().String(), MaxIdle: 4}
	defer c.Close()
	for range 4 {
		_, err := c.Do(t.Context(), order(7, false), longTimeout)
		assert.Assert(t, errkind.Is(err, errkind.Conflict), "%v", err)
	}
	poll := Request{Method: http.MethodPost, Path: "/poll", ReadPeer: readPeer, Sticky: true}
	first, err := c.Do(t.Context(), poll, longTimeout)
	assert.NilError(t, err)
	for range 4 {
		_, err := c.Do(t.Context(), order(1, false), longTimeout)
		assert.NilError(t, err)
		again, err := c.Do(t.Context(), poll, longTimeout)
		assert.NilError(t, err)
		assert.Equal(t, again.Conn, first.Conn)
	}
}

// TestNewestConnectionsAreKept guards against a list of idle connections that keeps old ones of no use: the one that has been
// idle for the longest goes, but the sticky one stays.
func TestNewestConnectionsAreKept(t *testing.T) {
	_, c := serveBodies(t)
	c.MaxIdle = 2
	sticky := call(t, c, 0, true)
	var others []*persistConn
	for range 4 {
		pc, err := c.open(t.Context())
		assert.NilError(t, err)
		others = append(others, pc)
		c.release(pc, true, false)
	}
	assert.Equal(t, len(c.idle), 2)
	assert.Equal(t, c.idle[0].id, sticky.Conn)
	assert.Equal(t, c.idle[1], others[3])
}

// TestIdentificationTakesNoTimeFromRequest guards against a slow server that never gets a request, since the request before
// it, which identifies the server, takes up the time.
func TestIdentificationTakesNoTimeFromRequest(t *testing.T) {
	const pause, timeout = 120 * time.Millisecond, 200 * time.Millisecond
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(pause)
		_, _ = w.Write([]byte("1"))
	}))
	defer s.Close()
	c := &Client{Address: s.Listener.Addr().String()}
	defer c.Close()
	_, err := c.Do(t.Context(), order(1, false), timeout)
	assert.NilError(t, err)
}

// TestSilentServerGetsNoRequest guards against a request that may be carried out later, though no process has identified
// itself in time.
func TestSilentServerGetsNoRequest(t *testing.T) {
	l := serveBlackhole(t, respond)
	c := l.client()
	defer c.Close()
	_, err := c.Do(t.Context(), Request{Method: http.MethodGet, Path: "/"}, longTimeout)
	assert.NilError(t, err)
	l.blackhole()
	_, err = c.Do(t.Context(), order(1, false), 100*time.Millisecond)
	assert.Assert(t, errkind.Is(err, errkind.BadResponse), "%v", err)
}
