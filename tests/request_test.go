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

// exchange is one request and what came of it.
type exchange struct {
	request *http.Request
	started chan struct{} // closed with the first line of the answer
	done    chan struct{}
	text    string // status, headers, body and trailers
	status  string
	err     error
}

func (w *world) newExchange(ts *testscript.TestScript, entry, method, path string, headers []string) *exchange {
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

// run sends the request and reads the answer line by line.
func (x *exchange) run() {
	defer close(x.done)
	answer, err := http.DefaultClient.Do(x.request)
	if err != nil {
		x.err = err
		return
	}
	defer answer.Body.Close()
	x.status = answer.Status
	var body strings.Builder
	lines := bufio.NewReader(answer.Body)
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
	x.text = fmt.Sprintf("%s\n%v\n%v\n%s", answer.Status, answer.Header, answer.Trailer, body.String())
}

// cmdRequest sends one request and checks the answer's status:
// request ENTRY METHOD PATH STATUS [HEADER=VALUE]...; it prints the answer.
func (w *world) cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	x := w.newExchange(ts, args[0], args[1], args[2], args[4:])
	x.run()
	ts.Check(x.err)
	if !strings.HasPrefix(x.status, args[3]) {
		ts.Fatalf("asked for %s, got %s", args[3], x.text)
	}
	_, err := ts.Stdout().Write([]byte(x.text))
	ts.Check(err)
}

// cmdEventually repeats a request until the answer has the status:
// eventually ENTRY METHOD PATH STATUS [HEADER=VALUE]...
func (w *world) cmdEventually(ts *testscript.TestScript, _ bool, args []string) {
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

// cmdBackground sends a request and goes on:
// background ENTRY METHOD PATH [HEADER=VALUE]...
func (w *world) cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	w.background = w.newExchange(ts, args[0], args[1], args[2], args[3:])
	go w.background.run()
}

// cmdStreaming waits for the first line of the background's answer.
func (w *world) cmdStreaming(*testscript.TestScript, bool, []string) {
	<-w.background.started
}

// cmdFinished waits for the whole answer of the background and prints it; it
// fails if the answer was cut.
func (w *world) cmdFinished(ts *testscript.TestScript, _ bool, _ []string) {
	<-w.background.done
	ts.Check(w.background.err)
	_, err := ts.Stdout().Write([]byte(w.background.text))
	ts.Check(err)
}

// cmdStarted waits until a target has begun a keyed request: started KEY.
func (w *world) cmdStarted(ts *testscript.TestScript, _ bool, args []string) {
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

// cmdKey sets a variable to a fresh key: key NAME.
func cmdKey(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], oncekey.New(time.Now().Add(time.Hour)))
}

// cmdBase sets a variable to the newest version: base NAME.
func (w *world) cmdBase(ts *testscript.TestScript, _ bool, args []string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+ts.Getenv("YARDBRIDGE_SERVER")+"/api/v1/objects", nil)
	ts.Check(err)
	r.Header.Set("Authorization", "Bearer "+token)
	answer, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer answer.Body.Close()
	var body struct {
		Version uint64 `json:"version"`
	}
	ts.Check(json.NewDecoder(answer.Body).Decode(&body))
	ts.Setenv(args[0], fmt.Sprint(body.Version))
}
