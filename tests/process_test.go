// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tests

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// process is one entry process.
type process struct {
	name         string
	cmd          *exec.Cmd
	callers      string
	admin        string
	peers        string
	disturbed    bool          // killed or suspended by the script
	unresponsive chan struct{} // closed while it is killed or suspended, so that callers cancel their requests
	done         chan struct{}
	err          error
}

// awaitOutput waits for a line of a process's output that matches a pattern and returns the
// submatches.
func (w *testEnv) awaitOutput(ts *testscript.TestScript, p *process, pattern string) []string {
	line := regexp.MustCompile(pattern)
	var found []string
	waitUntil(ts, p.name+" prints "+pattern, func() bool {
		data, err := os.ReadFile(filepath.Join(w.dir, p.name+".log"))
		ts.Check(err)
		found = line.FindStringSubmatch(string(data))
		select {
		case <-p.done:
			ts.Fatalf("%s ended: %v", p.name, p.err)
		default:
		}
		return found != nil
	})
	return found[1:]
}

// start runs the binary; it is killed at the end of the script.
func (w *testEnv) start(ts *testscript.TestScript, name string, args ...string) *process {
	p := &process{name: name, cmd: exec.Command(binary, args...), unresponsive: make(chan struct{}), done: make(chan struct{})}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	ts.Check(err)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	ts.Check(p.cmd.Start())
	go p.run(log)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[name] = p
	return p
}

func (p *process) run(log io.Closer) {
	p.err = p.cmd.Wait()
	_ = log.Close()
	close(p.done)
}

// cmdSignal sends a signal to a process: signal NAME term|kill|stop|cont. After term and kill it
// waits for the exit, which must be clean after term.
func (w *testEnv) cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	w.mu.Lock()
	p := w.entries[args[0]]
	w.mu.Unlock()
	signals := map[string]syscall.Signal{
		"term": syscall.SIGTERM, "kill": syscall.SIGKILL, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT,
	}
	w.mu.Lock()
	p.recordSignal(args[1])
	w.mu.Unlock()
	ts.Check(p.cmd.Process.Signal(signals[args[1]]))
	switch args[1] {
	case "term":
		<-p.done
		if p.err != nil {
			ts.Fatalf("%s did not end cleanly: %v", args[0], p.err)
		}
	case "kill":
		<-p.done
	}
}

// recordSignal records a signal; testEnv.mu is held.
func (p *process) recordSignal(signal string) {
	switch signal {
	case "kill", "stop":
		p.disturbed = true
		close(p.unresponsive)
	case "cont":
		p.unresponsive = make(chan struct{})
	}
}

// unresponsive returns the channel that is closed while the entry at an address is killed or
// suspended, nil for an unknown one.
func (w *testEnv) unresponsive(callers string) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.entries {
		if p.callers == callers {
			return p.unresponsive
		}
	}
	return nil
}

// wasDisturbed reports whether the entry at an address was killed or suspended.
func (w *testEnv) wasDisturbed(callers string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.entries {
		if p.callers == callers {
			return p.disturbed
		}
	}
	return false
}
