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
		Identify: &Request{Method: http.MethodPost, Path: "/identify", ReadPeer: readPeer},
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

// TestServerThatKeepsNoConnection guards against a server that gets no requests at all, since it closes each connection after
// the response that has identified it.
func TestServerThatKeepsNoConnection(t *testing.T) {
	s := newPeerServer(t)
	s.closes = true
	c := &Client{Address: s.Listener.Addr().String()}
	defer c.Close()
	for range maxClosed {
		_, err := c.Do(t.Context(), order(1, false), longTimeout)
		assert.Assert(t, errkind.Is(err, errkind.NoTarget), "%v", err)
	}
	_, err := c.Do(t.Context(), order(1, false), longTimeout)
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
	assert.Assert(t, errkind.Is(err, errkind.NoTarget), "%v", err)
}
