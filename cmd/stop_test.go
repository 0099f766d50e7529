// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package cmd_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/cmd"
)

// callerGroup is a group of callers of one address that keep using their connections.
type callerGroup struct {
	t       *testing.T
	address string
	request string
	sent    atomic.Int64
	tasks   sync.WaitGroup
}

// callerCount is the number of callers.
const callerCount = 30

// startCallers makes the callers send requests one after another, until a response announces that
// the connection closes.
func startCallers(t *testing.T, address, request string) *callerGroup {
	k := &callerGroup{t: t, address: address, request: request}
	for range callerCount {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(lineLimit)))
		k.tasks.Go(func() { k.use(c) })
	}
	for k.sent.Load() < 20*callerCount {
		time.Sleep(time.Millisecond)
	}
	return k
}

// use sends requests over one connection.
func (k *callerGroup) use(c net.Conn) {
	lines := bufio.NewReader(c)
	for {
		k.sent.Add(1)
		if _, err := fmt.Fprint(c, k.request); err != nil {
			k.t.Errorf("a request could not be sent: %v", err)
			return
		}
		a, err := http.ReadResponse(lines, nil)
		if err != nil {
			k.t.Errorf("a request got no response: %v", err)
			return
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			k.t.Errorf("a response is truncated: %v", err)
			return
		}
		if a.Close {
			return
		}
	}
}

// callersPattern matches the address for callers in the settings of a node.
var callersPattern = regexp.MustCompile(`callers = "([^"]+)"`)

// beginNode starts a node whose store refuses connections.
func beginNode(t *testing.T) (c *child, callers, ready string) {
	text, path := nodeText(t), filepath.Join(t.TempDir(), "node.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	c = begin(t, "node", "-settings", path)
	callers = callersPattern.FindStringSubmatch(text)[1]
	ready = regexp.MustCompile(`ready = "([^"]+)"`).FindStringSubmatch(text)[1]
	listens(t, callers)
	return c, callers, ready
}

// listens waits until an address accepts connections.
func listens(t *testing.T, address string) {
	for end := time.Now().Add(lineLimit); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
			return
		}
		assert.Assert(t, time.Now().Before(end), "%v", err)
	}
}

// wholeRequest is a submission that a node without a configuration refuses.
const wholeRequest = "POST /q/0123456789abcdef HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\n\r\n{}"

// TestStoppingProcessesRespondToEveryRequest stops each process, with hang-ups in between, while
// callers send requests on kept connections: every complete request gets a response.
func TestStoppingProcessesRespondToEveryRequest(t *testing.T) {
	stop := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}
	t.Run("node", func(t *testing.T) {
		c, callers, _ := beginNode(t)
		k := startCallers(t, callers, wholeRequest)
		c.signal(stop...)
		k.tasks.Wait()
		assert.Equal(t, c.end(), cmd.ExitOK, c.text())
	})
	t.Run("standin", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "fleet.toml")
		assert.NilError(t, os.WriteFile(path, []byte(fleetText(t)), 0o600))
		c := begin(t, "standin", "-listen", "127.0.0.1:0", "-fleet", path)
		k := startCallers(t, c.await(`stand-in with .* at (\S+)`)[1], "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")
		c.signal(stop...)
		k.tasks.Wait()
		assert.Equal(t, c.end(), cmd.ExitOK, c.text())
	})
	t.Run("serve", func(t *testing.T) {
		c, admin, _, _ := serveEntry(t)
		k := startCallers(t, admin, "GET /api/v1/status HTTP/1.1\r\nHost: x\r\n\r\n")
		c.signal(stop...)
		k.tasks.Wait()
		assert.Equal(t, c.end(), cmd.ExitOK, c.text())
	})
	t.Run("standalone", func(t *testing.T) {
		c := begin(t, "standalone", "-port", "0")
		address := c.await(`callers http://(\S+)`)[1]
		c.await(`try next`)
		k := startCallers(t, address, "GET /s/none HTTP/1.1\r\nHost: x\r\n\r\n")
		c.signal(stop...)
		k.tasks.Wait()
		assert.Equal(t, c.end(), cmd.ExitOK, c.text())
	})
}

// TestCallersBeyondConnectionLimit checks that a node serves callers up to the limit of connections,
// and refuses further ones with the error too-many-connections.
func TestCallersBeyondConnectionLimit(t *testing.T) {
	c, callers, _ := beginNode(t)
	var list []net.Conn
	status := func() string {
		k, err := net.Dial("tcp", callers)
		assert.NilError(t, err)
		list = append(list, k)
		assert.NilError(t, k.SetDeadline(time.Now().Add(lineLimit)))
		_, err = fmt.Fprint(k, wholeRequest)
		assert.NilError(t, err)
		a, err := http.ReadResponse(bufio.NewReader(k), nil)
		assert.NilError(t, err)
		_ = a.Body.Close()
		return a.Header.Get("Yardbridge-Error")
	}
	defer func() {
		for _, k := range list {
			_ = k.Close()
		}
	}()
	const most = 2048 // the limit in docs/OPERATIONS.md
	for range most {
		if kind := status(); kind != "stopping" {
			t.Fatalf("caller %d gets the error %q", len(list), kind)
		}
	}
	assert.Equal(t, status(), "too-many-connections")
	_ = list[0].Close()
	c.signal(syscall.SIGTERM)
	assert.Equal(t, c.end(), cmd.ExitOK, c.text())
}

// TestCallerWhoseBodyNeverArrives checks that the connection of a caller whose body does not arrive
// is closed after a time.
func TestCallerWhoseBodyNeverArrives(t *testing.T) {
	_, callers, _ := beginNode(t)
	k, err := net.Dial("tcp", callers)
	assert.NilError(t, err)
	defer func() { _ = k.Close() }()
	assert.NilError(t, k.SetDeadline(time.Now().Add(lineLimit)))
	_, err = fmt.Fprint(k, "POST /q/0123456789abcdef HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10\r\n\r\n{")
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, k)
	assert.Assert(t, err == nil || errors.Is(err, syscall.ECONNRESET), "the connection is still open: %v", err)
}

// TestNodeWhoseAddressIsInUse checks that a node whose address is in use exits with an error that
// names it, instead of running without callers.
func TestNodeWhoseAddressIsInUse(t *testing.T) {
	text, path := nodeText(t), filepath.Join(t.TempDir(), "node.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	l, err := net.Listen("tcp", callersPattern.FindStringSubmatch(text)[1])
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c := begin(t, "node", "-settings", path)
	c.await(`address already in use`)
	assert.Equal(t, c.end(), cmd.ExitFailed, c.text())
}
