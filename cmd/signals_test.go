// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/cmd"
	"github.com/yardbridge/yardbridge/examples"
)

// envArgs holds the arguments, one in each line, of the command that this process runs.
const envArgs = "YARDBRIDGE_TEST_ARGS"

// TestMain runs the test program as the real program if envArgs is set.
func TestMain(m *testing.M) {
	if args := os.Getenv(envArgs); args != "" {
		os.Exit(cmd.Main(strings.Split(args, "\n"), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// lineLimit is the longest wait for an expected line or exit.
const lineLimit = 30 * time.Second

// child is a command in a process of its own.
type child struct {
	t     *testing.T
	run   *exec.Cmd
	lines chan string // of both outputs; closed at their end

	mu     sync.Mutex
	output []string
}

// begin starts a command.
func begin(t *testing.T, args ...string) *child {
	t.Helper()
	c := &child{t: t, run: exec.Command(os.Args[0]), lines: make(chan string, 1000)}
	c.run.Env = append(os.Environ(), envArgs+"="+strings.Join(args, "\n"))
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	c.run.Stdout, c.run.Stderr = w, w
	assert.NilError(t, c.run.Start())
	assert.NilError(t, w.Close())
	go c.read(r)
	t.Cleanup(func() { _ = c.run.Process.Kill(); _ = c.run.Wait() })
	return c
}

// read collects the output of the process.
func (c *child) read(r *os.File) {
	defer close(c.lines)
	for s := bufio.NewScanner(r); s.Scan(); {
		c.mu.Lock()
		c.output = append(c.output, s.Text())
		c.mu.Unlock()
		c.lines <- s.Text()
	}
	_ = r.Close()
}

// text returns all output of the process.
func (c *child) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.output, "\n")
}

// await waits for a line that matches a pattern and returns the submatches.
func (c *child) await(pattern string) []string {
	c.t.Helper()
	p := regexp.MustCompile(pattern)
	end := time.After(lineLimit)
	for {
		select {
		case line, more := <-c.lines:
			if found := p.FindStringSubmatch(line); found != nil {
				return found
			}
			if !more {
				c.t.Fatalf("the process has ended without a line %q:\n%s", pattern, c.text())
			}
		case <-end:
			c.t.Fatalf("no line %q:\n%s", pattern, c.text())
		}
	}
}

// signal sends signals one after another.
func (c *child) signal(list ...syscall.Signal) {
	c.t.Helper()
	for _, g := range list {
		assert.NilError(c.t, c.run.Process.Signal(g), "%s: the process has ended:\n%s", g, c.text())
	}
}

// end waits for the exit and returns the exit code, -1 after an exit by a signal.
func (c *child) end() int {
	c.t.Helper()
	kill := time.AfterFunc(lineLimit, func() { _ = c.run.Process.Kill() })
	for range c.lines { // the outputs end with the process
	}
	_ = c.run.Wait() // the exit code is checked instead
	kill.Stop()
	return c.run.ProcessState.ExitCode()
}

// outcomes returns the logged outcomes of a signal.
func (c *child) outcomes(signal string) []string {
	var list []string
	for _, line := range strings.Split(c.text(), "\n") {
		var e struct{ Event, Signal, Outcome string }
		if json.Unmarshal([]byte(line), &e) == nil && e.Event == "signal" && e.Signal == signal {
			list = append(list, e.Outcome)
		}
	}
	return list
}

// pipeFile is a file whose reader blocks until it is written, so that a process can be stopped
// while it reads it.
type pipeFile struct {
	t    *testing.T
	path string
}

func newPipeFile(t *testing.T) pipeFile {
	p := pipeFile{t, filepath.Join(t.TempDir(), "file.toml")}
	assert.NilError(t, syscall.Mkfifo(p.path, 0o600))
	return p
}

// open waits until a process reads the file.
func (p pipeFile) open() *os.File {
	f, err := os.OpenFile(p.path, os.O_WRONLY, 0)
	assert.NilError(p.t, err)
	p.t.Cleanup(func() { _ = f.Close() })
	return f
}

// freeAddress returns an address without a listener.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// nodeText returns settings of a node whose store refuses connections.
func nodeText(t *testing.T) string {
	addresses := ownAddresses(t, 3)
	ip, port, err := net.SplitHostPort(addresses[2])
	assert.NilError(t, err)
	return fmt.Sprintf(`[node]
name = "n1"
data_center = "a"
address = %q
cores = 1.0
memory_mb = 200
[listen]
callers = %q
ready = %q
node_port = %s
[platform]
store = "127.0.0.1:1"
instances = "127.0.0.1:1"
partitions = 8
[bounds]
lease_most = "10s"
grace = "1s"
`, ip, addresses[0], addresses[1], port)
}

// ownAddresses returns distinct free addresses on an IP address that no other test program and no
// connection uses. A port that was free on 127.0.0.1 may be taken by either of them before a
// process listens on it.
func ownAddresses(t *testing.T, n int) []string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8&63, os.Getpid()&255)
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }() // all stay open until the last one is chosen
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// entryText returns settings of an entry with the platform at an address.
func entryText(platform string) string {
	return fmt.Sprintf(`[entry]
name = "e1"
hall = "h"
data_center = "a"
[listen]
callers = "127.0.0.1:0"
admin = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
url = "http://%s"
[peers]
insecure = true
[limits]
withdraw = "0s"
[[token]]
name = "operator"
secret = "first-secret-0123456789"
`, platform)
}

// fleetText returns a fleet of the stand-in.
func fleetText(t *testing.T) string {
	e, err := examples.Get("tablehold")
	assert.NilError(t, err)
	return e.Fleet
}

// readers returns the commands that read a file at their start.
func readers(t *testing.T, path string) map[string][]string {
	t.Helper()
	return map[string][]string{
		"node":    {"node", "-settings", path},
		"serve":   {"serve", "-settings", path},
		"standin": {"standin", "-listen", "127.0.0.1:0", "-fleet", path},
	}
}

// hangups is a series of hang-up signals.
var hangups = []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP}

// TestSignalsWhileSettingsAreRead signals each command while it reads its file: no hang-up ends it,
// and a stop signal ends it with the exit code of a planned stop.
func TestSignalsWhileSettingsAreRead(t *testing.T) {
	for name := range readers(t, "") {
		for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
			t.Run(name+"/"+end.String(), func(t *testing.T) {
				file := newPipeFile(t)
				c := begin(t, readers(t, file.path)[name]...)
				file.open()
				c.signal(hangups...)
				c.await(`"signal":"hangup"`)
				c.signal(syscall.SIGUSR1, syscall.SIGHUP)
				c.signal(end, end, syscall.SIGHUP)
				assert.Equal(t, c.end(), cmd.ExitOK, c.text())
				assert.Equal(t, c.outcomes(end.String())[0], "stop")
			})
		}
	}
}

// TestHangupsWhileSettingsAreRead checks that each command continues its start after hang-ups, and
// stops as planned.
func TestHangupsWhileSettingsAreRead(t *testing.T) {
	texts := map[string]string{"node": nodeText(t), "serve": entryText("127.0.0.1:1"), "standin": fleetText(t)}
	started := map[string]string{"node": `"event":"start"`, "serve": `no state yet`, "standin": `stand-in with`}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			file := newPipeFile(t)
			c := begin(t, readers(t, file.path)[name]...)
			f := file.open()
			c.signal(hangups...)
			c.await(`"signal":"hangup"`)
			_, err := f.WriteString(text)
			assert.NilError(t, err)
			assert.NilError(t, f.Close())
			c.await(started[name])
			c.signal(hangups...)
			c.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			assert.Equal(t, c.end(), cmd.ExitOK, c.text())
		})
	}
}

// TestSignalsOfAStandalone signals a standalone process while it starts, serves and stops.
func TestSignalsOfAStandalone(t *testing.T) {
	c := begin(t, "standalone", "-port", "0")
	c.await(`insecure`) // the first entry is being created
	c.signal(hangups...)
	c.await(`"signal":"hangup"`)
	address := c.await(`callers http://(\S+)`)[1]
	c.await(`try next`)
	c.signal(syscall.SIGHUP)
	c.await(`"signal":"hangup".*nothing to reload`)
	response, err := http.Get("http://" + address + "/s/none")
	assert.NilError(t, err)
	_ = response.Body.Close()
	c.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	assert.Equal(t, c.end(), cmd.ExitOK, c.text())
}

// TestStopOfAStandaloneThatStarts stops a standalone process before it serves.
func TestStopOfAStandaloneThatStarts(t *testing.T) {
	c := begin(t, "standalone", "-port", "0")
	c.await(`insecure`)
	c.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
	assert.Equal(t, c.end(), cmd.ExitOK, c.text())
}

// TestSignalsOfAShortCommand checks that a hang-up does not interrupt the request of a command, and
// that SIGTERM ends it with an error that names the signal.
func TestSignalsOfAShortCommand(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c := begin(t, "status", "-server", l.Addr().String())
	conn, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	c.signal(hangups...)
	c.await(`"signal":"hangup"`)
	c.signal(syscall.SIGTERM, syscall.SIGHUP)
	assert.Equal(t, c.end(), cmd.ExitFailed, c.text())
	assert.Assert(t, strings.Contains(c.text(), "stopped by a signal"), c.text())
}

// TestOutputWhoseReaderHasExited checks that a process continues when the reader of its output has
// exited.
func TestOutputWhoseReaderHasExited(t *testing.T) {
	address := freeAddress(t)
	path := filepath.Join(t.TempDir(), "fleet.toml")
	assert.NilError(t, os.WriteFile(path, []byte(fleetText(t)), 0o600))
	run := exec.Command(os.Args[0])
	run.Env = append(os.Environ(), envArgs+"="+strings.Join([]string{"standin", "-listen", address, "-fleet", path}, "\n"))
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	assert.NilError(t, r.Close())
	run.Stdout, run.Stderr = w, w
	assert.NilError(t, run.Start())
	assert.NilError(t, w.Close())
	t.Cleanup(func() { _ = run.Process.Kill(); _ = run.Wait() })
	ended := make(chan error, 1)
	go func() { ended <- run.Wait() }()
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			break
		}
		select {
		case err := <-ended:
			t.Fatalf("the process has ended: %v", err)
		case <-time.After(time.Millisecond):
		}
	}
	for range 20 {
		assert.NilError(t, run.Process.Signal(syscall.SIGHUP))
	}
	assert.NilError(t, run.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, <-ended)
}

// TestSignalsAreRegisteredFirst checks that signals are registered before the larger packages are
// initialized, which takes most of a program's first milliseconds.
func TestSignalsAreRegisteredFirst(t *testing.T) {
	run := exec.Command(os.Args[0])
	run.Env = append(os.Environ(), envArgs+"=help", "GODEBUG=inittrace=1")
	var output bytes.Buffer
	run.Stdout, run.Stderr = &output, &output
	assert.NilError(t, run.Run())
	var order []string
	for _, m := range regexp.MustCompile(`(?m)^init (\S+) @`).FindAllStringSubmatch(output.String(), -1) {
		order = append(order, m[1])
	}
	first := slices.Index(order, "github.com/yardbridge/yardbridge/modules/signals")
	assert.Assert(t, first >= 0, "signals are not registered at the start: %s", order)
	for _, o := range []string{"net", "net/http", "github.com/rs/zerolog"} {
		assert.Assert(t, first < slices.Index(order, o) || !slices.Contains(order, o), "%s is initialized first: %s", o, order)
	}
}

// serveEntry runs an entry with a stand-in, and returns it once it serves, with its address for
// administration and its settings file.
func serveEntry(t *testing.T) (c *child, admin, path, platform string) {
	dir := t.TempDir()
	fleet := filepath.Join(dir, "fleet.toml")
	assert.NilError(t, os.WriteFile(fleet, []byte(fleetText(t)), 0o600))
	s := begin(t, "standin", "-listen", "127.0.0.1:0", "-fleet", fleet)
	platform = s.await(`stand-in with .* at (\S+)`)[1]
	path = filepath.Join(dir, "entry.toml")
	assert.NilError(t, os.WriteFile(path, []byte(entryText(platform)), 0o600))
	a, err := http.Post("http://"+platform+"/control/entries/e1/listed", "", nil)
	assert.NilError(t, err)
	_ = a.Body.Close()
	c = begin(t, "serve", "-settings", path)
	admin = c.await(`administration at ([^,\s]+)`)[1]
	return c, admin, path, platform
}

// TestEntryReloadsItsSettings checks that a hang-up makes an entry apply the settings that it
// can, report those that need a restart, and keep the known ones if the new ones are invalid.
func TestEntryReloadsItsSettings(t *testing.T) {
	c, admin, path, platform := serveEntry(t)
	status := func(secret string) int {
		r, err := http.NewRequest(http.MethodGet, "http://"+admin+"/api/v1/status", nil)
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer "+secret)
		a, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		_ = a.Body.Close()
		return a.StatusCode
	}
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	assert.Equal(t, status("first-secret-0123456789"), http.StatusOK)

	newer := strings.Replace(entryText(platform), "first-secret", "other-secret", 1)
	newer = strings.Replace(newer, "[limits]", "[limits]\nheader_bytes = 4096", 1)
	write(newer)
	c.signal(syscall.SIGHUP)
	c.await(`"event":"reload".*limits.header_bytes`)
	assert.Equal(t, status("first-secret-0123456789"), http.StatusUnauthorized)
	assert.Equal(t, status("other-secret-0123456789"), http.StatusOK)

	write(strings.Replace(newer, `withdraw = "0s"`, `withdraw = "soon"`, 1))
	c.signal(syscall.SIGHUP)
	c.await(`"event":"reload".*entry.toml:\d+.*withdraw`)
	assert.Equal(t, status("other-secret-0123456789"), http.StatusOK)
	c.signal(syscall.SIGUSR1)
	c.await(`"setting"`)
	c.signal(syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGTERM)
	assert.Equal(t, c.end(), cmd.ExitOK, c.text())
}
