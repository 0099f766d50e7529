// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tests

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/yardbridge/yardbridge/modules/oncekey"
	"github.com/yardbridge/yardbridge/standin"
)

// exchange is one request and its response.
type exchange struct {
	request *http.Request
	started chan struct{} // closed at the first line of the response
	done    chan struct{}
	text    string // status, headers, body and trailers
	status  string
	err     error
}

func (w *testEnv) newExchange(ts *testscript.TestScript, entry, method, path string, headers []string) *exchange {
	w.mu.Lock()
	p := w.entries[entry]
	w.mu.Unlock()
	r, err := http.NewRequest(method, "http://"+p.callers+path, nil)
	ts.Check(err)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, "=")
		r.Header.Set(name, value)
	}
	return &exchange{request: r, started: make(chan struct{}), done: make(chan struct{})}
}

// run sends the request and reads the response line by line.
func (x *exchange) run() {
	defer close(x.done)
	response, err := http.DefaultClient.Do(x.request)
	if err != nil {
		x.err = err
		return
	}
	defer response.Body.Close()
	x.status = response.Status
	var body strings.Builder
	lines := bufio.NewReader(response.Body)
	first := true
	for {
		line, err := lines.ReadString('\n')
		body.WriteString(line)
		if first {
			close(x.started)
			first = false
		}
		if err != nil {
			if err.Error() != "EOF" {
				x.err = err
			}
			break
		}
	}
	x.text = fmt.Sprintf("%s\n%v\n%v\n%s", response.Status, response.Header, response.Trailer, body.String())
}

// cmdRequest sends one request and checks the status of the response: request ENTRY METHOD PATH
// STATUS [HEADER=VALUE]...; it prints the response.
func (w *testEnv) cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	x := w.newExchange(ts, args[0], args[1], args[2], args[4:])
	x.run()
	ts.Check(x.err)
	if !strings.HasPrefix(x.status, args[3]) {
		ts.Fatalf("want status %s, got %s", args[3], x.text)
	}
	_, err := ts.Stdout().Write([]byte(x.text))
	ts.Check(err)
}

// cmdEventually repeats a request until the response has the status: eventually ENTRY METHOD PATH
// STATUS [HEADER=VALUE]...
func (w *testEnv) cmdEventually(ts *testscript.TestScript, _ bool, args []string) {
	var text string
	waitUntil(ts, "status "+args[3], func() bool {
		x := w.newExchange(ts, args[0], args[1], args[2], args[4:])
		x.run()
		text = x.text
		return x.err == nil && strings.HasPrefix(x.status, args[3])
	})
	_, err := ts.Stdout().Write([]byte(text))
	ts.Check(err)
}

// cmdBackground sends a request without waiting for the response: background ENTRY METHOD PATH
// [HEADER=VALUE]...
func (w *testEnv) cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	w.background = w.newExchange(ts, args[0], args[1], args[2], args[3:])
	go w.background.run()
}

// cmdStreaming waits for the first line of the background request's response.
func (w *testEnv) cmdStreaming(*testscript.TestScript, bool, []string) {
	<-w.background.started
}

// cmdFinished waits for the complete response of the background request and prints it; it fails if
// the response is truncated.
func (w *testEnv) cmdFinished(ts *testscript.TestScript, _ bool, _ []string) {
	<-w.background.done
	ts.Check(w.background.err)
	_, err := ts.Stdout().Write([]byte(w.background.text))
	ts.Check(err)
}

// cmdStarted waits until a target has started a keyed request: started KEY.
func (w *testEnv) cmdStarted(ts *testscript.TestScript, _ bool, args []string) {
	waitUntil(ts, "the target has the request", func() bool {
		for _, worker := range w.workers(ts) {
			var j standin.TargetStats
			getJSON(ts, "http://"+w.standin+"/control/targets/"+worker+"/journal", &j)
			if j.Runs[args[0]] > 0 {
				return true
			}
		}
		return false
	})
}

// cmdKey sets a variable to a new key: key NAME.
func cmdKey(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], oncekey.New(time.Now().Add(time.Hour)))
}

// cmdBase sets a variable to the newest version: base NAME.
func (w *testEnv) cmdBase(ts *testscript.TestScript, _ bool, args []string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+ts.Getenv("YARDBRIDGE_SERVER")+"/api/v1/objects", nil)
	ts.Check(err)
	r.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer response.Body.Close()
	var body struct {
		Version uint64 `json:"version"`
	}
	ts.Check(json.NewDecoder(response.Body).Decode(&body))
	ts.Setenv(args[0], fmt.Sprint(body.Version))
}
