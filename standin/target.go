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

// TargetFaults are the failures of a target that a test can switch on.
type TargetFaults struct {
	Fail     bool          `json:"fail"`    // answers 500
	Hang     bool          `json:"hang"`    // accepts and never answers
	Garbage  bool          `json:"garbage"` // answers something that is no HTTP
	Truncate bool          `json:"cut"`     // breaks off in the midst of the body
	WrongID  bool          `json:"swap"`    // answers with another request's id
	Slow     time.Duration `json:"slow"`    // added to the work
}

// TargetStats is what a target has seen.
type TargetStats struct {
	Requests    int            `json:"requests"`
	MaxInFlight int            `json:"max_in_flight"`
	MaxConns    int            `json:"max_conns"`
	Runs        map[string]int `json:"runs"` // by key, or by request id where there is none
	LastStart   time.Time      `json:"last_start"`
	Late        int            `json:"late"`     // requests whose deadline had passed as they came
	MaxLate     time.Duration  `json:"max_late"` // nanoseconds
}

// Target is one sample back end; it has slots but does not guard them. Its
// zero value is ready to serve.
type Target struct {
	Name string

	mu       sync.Mutex
	faults   TargetFaults
	journal  TargetStats
	inFlight int
	conns    int
	server   *http.Server
	released chan struct{} // closed to let hung requests go
}

// Listen serves the target on an address and returns the address it got.
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
	// Serve ends with an error in any case, when the target is closed.
	_ = t.server.Serve(l)
}

// Close ends the target and cuts its connections.
func (t *Target) Close() error {
	t.SetFaults(TargetFaults{})
	return errors.Trace(t.server.Close())
}

// SetFaults switches failures on and off.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	if !f.Hang && t.released != nil {
		close(t.released)
		t.released = nil
	}
}

// Stats returns what the target has seen so far.
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

// begin notes a request and returns the failures that it meets.
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
	// Only keyed requests are told apart, or the journal would grow for ever.
	if key := r.Header.Get(headerKey); key != "" {
		t.journal.Runs[key]++
	}
	t.noteLate(r)
	if t.faults.Hang && t.released == nil {
		t.released = make(chan struct{})
	}
	return t.faults, t.released
}

// noteLate notes how late a request came; t.mu is held.
func (t *Target) noteLate(r *http.Request) {
	deadline, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return // without a deadline none is late
	}
	if late := time.Since(time.UnixMilli(deadline)); late > 0 {
		t.journal.Late++
		t.journal.MaxLate = max(t.journal.MaxLate, late)
	}
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// ServeHTTP answers a request: the query work=20ms takes that long, size=N
// answers N bytes, stream=N sends N lines with the work between them, and the
// body of the request is sent back otherwise.
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
		http.Error(w, "failing as told", http.StatusInternalServerError)
		return
	case faults.Garbage:
		breakOff(w, "this is no answer\r\n\r\n")
		return
	case faults.Truncate:
		breakOff(w, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nthe first part")
		return
	case faults.WrongID:
		id = "another"
	}
	w.Header().Set(headerRequestID, id)
	w.Header().Set("X-Target", t.Name)
	t.answer(w, r, work)
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, work time.Duration) {
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

// breakOff writes raw bytes and closes the connection.
func breakOff(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}
