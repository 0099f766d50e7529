// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tests

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/yardbridge/yardbridge/examples"
	"github.com/yardbridge/yardbridge/standin"
)

const token = "a-token-for-the-tests"

// waitLimit ends a script that waits for an event that does not happen. It is no limit within which
// events must happen.
const waitLimit = 90 * time.Second

type testEnvKey struct{}

// testEnv holds what one script has started.
type testEnv struct {
	dir     string
	standin string // address

	mu      sync.Mutex
	entries map[string]*process
	loads   map[string]*clientLoad
	relays  map[string]*relay // by entry; used by the script only

	background *exchange // latest background request
}

func newTestEnv(env *testscript.Env) *testEnv {
	w := &testEnv{
		dir: env.WorkDir, entries: make(map[string]*process), loads: make(map[string]*clientLoad), relays: make(map[string]*relay),
	}
	env.Defer(w.end)
	return w
}

func withTestEnv(do func(*testEnv, *testscript.TestScript, bool, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		w, _ := ts.Value(testEnvKey{}).(*testEnv)
		do(w, ts, neg, args)
	}
}

// end stops everything that still runs; the entries first, since loads wait for them.
func (w *testEnv) end() {
	for _, r := range w.relays {
		r.end()
	}
	w.mu.Lock()
	for _, p := range w.entries {
		p.disturbed = true
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	w.mu.Unlock()
	for _, l := range w.loads {
		l.stop()
	}
}

// cmdStandin starts the stand-in with an example's fleet: standin EXAMPLE [flags].
func (w *testEnv) cmdStandin(ts *testscript.TestScript, _ bool, args []string) {
	example, err := examples.Get(args[0])
	ts.Check(err)
	fleet := filepath.Join(w.dir, "fleet.toml")
	ts.Check(os.WriteFile(fleet, []byte(example.Fleet), 0o600))
	ts.Check(os.WriteFile(filepath.Join(w.dir, "example.toml"), []byte(example.Manifest), 0o600))
	p := w.start(ts, "standin", append([]string{"standin", "-listen", "127.0.0.1:0", "-fleet", fleet}, args[1:]...)...)
	w.standin = w.awaitOutput(ts, p, `stand-in with .* at (\S+)`)[0]
}

// longDeadline is longer than a process waits for a processor on a busy machine: with eight copies of
// a script on three processors, some requests ended about 6 s after their arrival. A request that
// waits longer than the deadline still fails its script.
const longDeadline = "20s"

var deadlineLine = regexp.MustCompile(`(?m)^deadline = "[0-9]+s"`)

// cmdPatient gives the services of the example a deadline that even a starved process meets:
// patient. A script that stops or disconnects processes shows which requests they lose; their
// deadlines are checked by tests with their own clock.
func (w *testEnv) cmdPatient(ts *testscript.TestScript, _ bool, _ []string) {
	path := filepath.Join(w.dir, "example.toml")
	text, err := os.ReadFile(path)
	ts.Check(err)
	if !deadlineLine.Match(text) {
		ts.Fatalf("the example has no deadline")
	}
	ts.Check(os.WriteFile(path, deadlineLine.ReplaceAll(text, []byte(`deadline = "`+longDeadline+`"`)), 0o600))
}

const settingsFormat = `
[entry]
name = %q
hall = %q
[listen]
callers = "127.0.0.1:0"
admin = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
url = "http://%s"
[peers]
insecure = true
seeds = [%s]
advertise = %q
[limits]
withdraw = "300ms"
[log]
level = "debug"
[[token]]
name = "operator"
secret = %q
[[token]]
name = "floor"
secret = "a-token-of-team-floor"
team = "floor"
`

// cmdEntry starts an entry and waits until it is ready: entry NAME HALL.
func (w *testEnv) cmdEntry(ts *testscript.TestScript, _ bool, args []string) {
	name, dataCenter := args[0], args[1]
	path := filepath.Join(w.dir, name+".toml")
	r, advertise := w.relays[name], ""
	if r != nil {
		advertise = r.listener.Addr().String()
	}
	text := fmt.Sprintf(settingsFormat, name, dataCenter, w.standin, w.seeds(), advertise, token)
	ts.Check(os.WriteFile(path, []byte(text), 0o600))
	w.control(ts, "/control/entries/"+name+"/listed", "")
	p := w.start(ts, name, "serve", "-settings", path)
	addresses := w.awaitOutput(ts, p, `serves callers at (\S+), administration at (\S+), peers at (\S+)`)
	w.mu.Lock()
	p.callers, p.admin, p.peers = addresses[0], addresses[1], addresses[2]
	w.mu.Unlock()
	if r != nil {
		r.change(func() { r.target = addresses[2] })
	}
	ts.Setenv("YARDBRIDGE_TOKEN", token)
	ts.Setenv("YARDBRIDGE_SERVER", p.admin)
	ts.Setenv(strings.ToUpper(name), p.admin)
}

func (w *testEnv) seeds() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var seeds []string
	for _, p := range w.entries {
		if p.peers != "" {
			seeds = append(seeds, fmt.Sprintf("%q", p.peers))
		}
	}
	return strings.Join(seeds, ", ")
}

// cmdGone removes an entry from the platform's list: gone NAME.
func (w *testEnv) cmdGone(ts *testscript.TestScript, _ bool, args []string) {
	w.control(ts, "/control/entries/"+args[0]+"/gone", "")
}

// control posts to the stand-in.
func (w *testEnv) control(ts *testscript.TestScript, path, body string) {
	response, err := http.Post("http://"+w.standin+path, "application/json", strings.NewReader(body))
	ts.Check(err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("%s: %s", path, response.Status)
	}
}

// cmdControl posts to the stand-in: control PATH [BODY].
func (w *testEnv) cmdControl(ts *testscript.TestScript, _ bool, args []string) {
	w.control(ts, "/control/"+args[0], strings.Join(args[1:], " "))
}

// cmdUntil runs a command of the program until its output contains a text: until TEXT ARGS...;
// negated, until it does not.
func (w *testEnv) cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	var out []byte
	describe := func() string { return fmt.Sprintf("%s; the last output:\n%s", strings.Join(args, " "), out) }
	waitFor(ts, describe, func() bool {
		var err error
		out, err = w.command(ts, args[1:]...).CombinedOutput()
		return err == nil && bytes.Contains(out, []byte(args[0])) != neg
	})
}

// command prepares a run of the program as an operator.
func (w *testEnv) command(ts *testscript.TestScript, args ...string) *exec.Cmd {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "YARDBRIDGE_TOKEN="+token, "YARDBRIDGE_SERVER="+ts.Getenv("YARDBRIDGE_SERVER"))
	return cmd
}

// cmdJournals checks the journals of all targets: journals max-in-flight N fails if a target had
// more than N requests at once; journals runs-once fails if a key ran twice.
func (w *testEnv) cmdJournals(ts *testscript.TestScript, _ bool, args []string) {
	for _, worker := range w.workers(ts) {
		var j standin.TargetStats
		getJSON(ts, "http://"+w.standin+"/control/targets/"+worker+"/journal", &j)
		switch args[0] {
		case "max-in-flight":
			if fmt.Sprint(j.MaxInFlight) > args[1] {
				ts.Fatalf("%s had %d requests at once, allowed are %s", worker, j.MaxInFlight, args[1])
			}
		case "runs-once":
			for key, n := range j.Runs {
				if n > 1 {
					ts.Fatalf("%s ran %s %d times", worker, key, n)
				}
			}
		}
	}
}

func (w *testEnv) workers(ts *testscript.TestScript) []string {
	var list struct {
		Workers []struct {
			ID string `json:"id"`
		} `json:"workers"`
	}
	getJSON(ts, "http://"+w.standin+"/instances", &list)
	var ids []string
	for _, i := range list.Workers {
		ids = append(ids, i.ID)
	}
	return ids
}

func getJSON(ts *testscript.TestScript, url string, v any) {
	response, err := http.Get(url)
	ts.Check(err)
	defer response.Body.Close()
	ts.Check(json.NewDecoder(response.Body).Decode(v))
}

func getOK(url string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitUntil polls a condition; how long it takes is not checked.
func waitUntil(ts *testscript.TestScript, what string, ok func() bool) {
	waitFor(ts, func() string { return what }, ok)
}

// waitFor is waitUntil with a description that is built only when the wait has failed.
func waitFor(ts *testscript.TestScript, describe func() string, ok func() bool) {
	end := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(end) {
			ts.Fatalf("timed out waiting: %s", describe())
		}
		time.Sleep(20 * time.Millisecond)
	}
}
