// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Headers by which a target tells requests apart.
const (
	headerRequestID = "X-Request-Id"
	headerKey       = "Yardbridge-Key"
	headerDeadline  = "Yardbridge-Deadline"
)

// TargetFaults are the failures of a target that a test can inject.
type TargetFaults struct {
	Fail     bool          `json:"fail"`    // responds with status 500
	Hang     bool          `json:"hang"`    // accepts requests and never responds
	Garbage  bool          `json:"garbage"` // responds with something that is not HTTP
	Truncate bool          `json:"cut"`     // closes the connection in the middle of the body
	WrongID  bool          `json:"swap"`    // responds with another request's id
	Slow     time.Duration `json:"slow"`    // added to the processing time
}

// TargetStats is what a target has recorded of its requests.
type TargetStats struct {
	Requests     int            `json:"requests"`
	MaxInFlight  int            `json:"max_in_flight"`
	MaxConns     int            `json:"max_conns"`
	Runs         map[string]int `json:"runs"` // by key; requests without a key are not counted
	LastStart    time.Time      `json:"last_start"`
	LateRequests int            `json:"late"`     // requests whose deadline had passed when they arrived
	MaxLateness  time.Duration  `json:"max_late"` // nanoseconds
}

// Target is one sample back end; it has slots but does not enforce them. Its zero value is
// ready to serve.
type Target struct {
	Name string

	mu       sync.Mutex
	faults   TargetFaults
	journal  TargetStats
	inFlight int
	conns    int
	server   *http.Server
	unhang   chan struct{} // closed to release hung requests
}

// Listen serves the target on an address and returns the bound address.
func (t *Target) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Annotatef(err, "target %s", t.Name)
	}
	t.server = &http.Server{Handler: t, ConnState: t.connState, ReadHeaderTimeout: time.Minute}
	go t.run(l)
	return l.Addr().String(), nil
}

func (t *Target) run(l net.Listener) {
	// Serve always returns an error, namely when the target is closed.
	_ = t.server.Serve(l)
}

// Close closes the target and its connections.
func (t *Target) Close() error {
	t.SetFaults(TargetFaults{})
	return errors.Trace(t.server.Close())
}

// SetFaults sets the injected failures.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	if !f.Hang && t.unhang != nil {
		close(t.unhang)
		t.unhang = nil
	}
}

// Stats returns what the target has recorded so far.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.journal
	j.Runs = make(map[string]int, len(t.journal.Runs))
	for k, n := range t.journal.Runs {
		j.Runs[k] = n
	}
	return j
}

func (t *Target) connState(_ net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case http.StateNew:
		t.conns++
		t.journal.MaxConns = max(t.journal.MaxConns, t.conns)
	case http.StateClosed, http.StateHijacked:
		t.conns--
	}
}

// begin records a request and returns the failures that apply to it.
func (t *Target) begin(r *http.Request) (TargetFaults, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	t.journal.Requests++
	t.journal.MaxInFlight = max(t.journal.MaxInFlight, t.inFlight)
	t.journal.LastStart = time.Now()
	if t.journal.Runs == nil {
		t.journal.Runs = make(map[string]int)
	}
	// Only keyed requests are counted individually, or the map would grow without bound.
	if key := r.Header.Get(headerKey); key != "" {
		t.journal.Runs[key]++
	}
	t.recordLateness(r)
	if t.faults.Hang && t.unhang == nil {
		t.unhang = make(chan struct{})
	}
	return t.faults, t.unhang
}

// recordLateness records how late a request arrived. The caller holds t.mu.
func (t *Target) recordLateness(r *http.Request) {
	deadline, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return // a request without a deadline is never late
	}
	if late := time.Since(time.UnixMilli(deadline)); late > 0 {
		t.journal.LateRequests++
		t.journal.MaxLateness = max(t.journal.MaxLateness, late)
	}
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// ServeHTTP handles a request: the query work=20ms takes that long, size=N responds with N
// bytes, stream=N sends N lines with the work between them, and otherwise the body of the
// request is echoed.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults, released := t.begin(r)
	defer t.end()
	work, _ := time.ParseDuration(r.URL.Query().Get("work"))
	pause(r, work+faults.Slow)
	id := r.Header.Get(headerRequestID)
	switch {
	case faults.Hang:
		hang(r, released)
		return
	case faults.Fail:
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	case faults.Garbage:
		sendRaw(w, "this is not HTTP\r\n\r\n")
		return
	case faults.Truncate:
		sendRaw(w, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nthe first part")
		return
	case faults.WrongID:
		id = "another"
	}
	w.Header().Set(headerRequestID, id)
	w.Header().Set("X-Target", t.Name)
	t.respond(w, r, work)
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, work time.Duration) {
	if lines, _ := strconv.Atoi(r.URL.Query().Get("stream")); lines > 0 {
		stream(w, r, lines, work)
		return
	}
	if size, _ := strconv.Atoi(r.URL.Query().Get("size")); size > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, strings.Repeat("x", size))
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text := fmt.Sprintf("%s %s id=%s body=%s\n", r.Method, r.URL.Path, r.Header.Get(headerRequestID), body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func stream(w http.ResponseWriter, r *http.Request, lines int, work time.Duration) {
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		pause(r, work)
	}
}

func pause(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func hang(r *http.Request, released <-chan struct{}) {
	select {
	case <-released:
	case <-r.Context().Done():
	}
}

// sendRaw writes raw bytes and closes the connection.
func sendRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}
