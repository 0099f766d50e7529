// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command standin plays the cases of the second review: it stands in for the users' platform and for their
// callers, and runs the project's nodes as processes.
//
//	standin CASE ROOT DIR
//
// ROOT is the repository, DIR the folder for record.txt. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// playTime bounds a case.
const playTime = 110 * time.Second

// site is one small deployment.
type site struct {
	*platform
	root, dir string // the repository, and a temporary folder of settings and logs
	trouble   bool
	nodes     []*node
	began     time.Time

	mu     sync.Mutex
	record *os.File
}

// node is one node of the system, a process of its own.
type node struct {
	name, front, ready, settings string
	cmd                          *exec.Cmd
}

var current *site

// log writes a line to the record.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// giveUp ends a case that could not run.
func giveUp(format string, args ...any) {
	if current != nil {
		current.log("the case could not run: "+format, args...)
		current.end()
	}
	os.Exit(failed)
}

// end ends all nodes and removes the temporary folder.
func (s *site) end() {
	for _, n := range s.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// kill ends a node's process.
func (n *node) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill()
		_, _ = n.cmd.Process.Wait()
		n.cmd = nil
	}
}

// addNode writes the settings of a node from the template of the deploy file.
func (s *site) addNode(cloud, advice, store string) {
	i := len(s.nodes) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff, i)
	address := func() string {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			giveUp("no free port on %s: %v", ip, err)
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	_, port, _ := net.SplitHostPort(address())
	n := &node{name: fmt.Sprintf("front-hall-a-%d", i), front: address(), ready: address(), settings: filepath.Join(s.dir, fmt.Sprintf("n%d.toml", i))}
	template, err := os.ReadFile(filepath.Join(s.root, "deploy/node.toml"))
	if err != nil {
		giveUp("%v", err)
	}
	text := strings.NewReplacer(
		"{{NodeName}}", n.name, "{{Zone}}", "hall-a", "{{Ip}}", ip, "{{Limits.CpuShare}}", "0.4", "{{Limits.MemoryMb}}", "284", "{{Limits.MaxFds}}", "4100", "{{Limits.LinkMbps}}", "1000",
		"{{Listen.Front}}", n.front, "{{Listen.Ready}}", n.ready, "{{InternalPorts.0}}", port, "{{platform.Address}}", store, "{{CloudApi.Address}}", cloud, "{{advice}}", advice, "{{platform.parts}}", "8",
		"{{Bounds.MaxHoldMs}}", "10000", "{{Bounds.stop_ms}}", "400", "{{Bounds.GraceS}}", "6", "{{Bounds.status_s}}", "120",
		"{{Bounds.far_x}}", "2", "{{Bounds.move_s}}", "1.5", "{{Bounds.upkeep_s}}", "2", "{{Bounds.notice_ms}}", "4500",
		"{{#CloudApi.RatePerS}}", "", "{{CloudApi.RatePerS}}", "64.0", "{{/CloudApi.RatePerS}}", "",
		"{{#CloudApi.DutyPerS}}", "", "{{CloudApi.DutyPerS}}", "64.0", "{{/CloudApi.DutyPerS}}", "",
		"{{#Bounds.ContactMs}}", "", "{{Bounds.ContactMs}}", "3000", "{{/Bounds.ContactMs}}", "",
		"{{#Bounds.ConfigApplyMs}}", "", "{{Bounds.ConfigApplyMs}}", "2000", "{{/Bounds.ConfigApplyMs}}", "",
		"{{Bounds.LeaseMs}}", "3000", "{{Bounds.harm_ms}}", "4000", "{{Bounds.pace_ms}}", "100",
	).Replace(string(template))
	text = strings.Replace(text, "metrics_port = 9102", "metrics_port = 0", 1)
	if strings.Contains(text, "{{") {
		giveUp("the template has a gap that this case does not know:\n%s", text)
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		giveUp("%v", err)
	}
	s.nodes = append(s.nodes, n)
}

// start starts a node as the deploy file does.
func (s *site) start(n *node) {
	logs, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		giveUp("%v", err)
	}
	defer func() { _ = logs.Close() }()
	n.cmd = exec.Command("target/yardbridge", "node", "-settings", n.settings)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = s.root, logs, logs
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "YARDBRIDGE_SETTINGS=" + n.settings}
	if err := n.cmd.Start(); err != nil {
		n.cmd = nil
		giveUp("starting a node failed: %v", err)
	}
	s.log("%s started, process %d", n.name, n.cmd.Process.Pid)
}

// open starts nodes and waits until all of them are ready.
func (s *site) open(nodes int) {
	cloud, store := serve(s.cloud()), serve(s.store)
	advice := serve(&s.advice)
	for range nodes {
		s.addNode(cloud, advice, store)
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			c := http.Client{Timeout: time.Second}
			if a, err := c.Get("http://" + n.ready + "/api/ready"); err == nil {
				_ = a.Body.Close()
				if a.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == nodes {
			break
		}
		if time.Now().After(end) {
			giveUp("only %d of %d nodes are ready", ready, nodes)
		}
	}
	time.Sleep(2 * time.Second) // the bench lets ten seconds pass until traffic starts
	s.log("%d nodes are ready", nodes)
}

// callers is the client of all callers.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// ask makes one call of a caller, and returns its status and body, 0 without an answer.
func (s *site) ask(n *node, method, path string, body any) (int, string) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	s.log("caller: sends %s %s to %s %s", method, path, n.name, text)
	status, answer := s.call(n, method, path, text)
	s.log("caller: %s %s at %s: %d %s", method, path, n.name, status, answer)
	return status, answer
}

// call makes one call and returns its status and body.
func (s *site) call(n *node, method, path string, body []byte) (int, string) {
	var data io.Reader
	if body != nil {
		data = bytes.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+n.front+path, data)
	if err != nil {
		giveUp("%v", err)
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Yardbridge-Deadline-Ms", "3000")
	c := *callers
	c.Timeout = 3200 * time.Millisecond
	a, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, strings.TrimSpace(string(text))
}

// submit submits a job, again as a caller does where that is not known or not taken, and gives up after ten tries.
func (s *site) submit(path string, body any) {
	for try := range 10 {
		n := s.nodes[try%len(s.nodes)]
		status, _ := s.ask(n, "POST", path, body)
		if status >= 200 && status < 300 {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	giveUp("the job was not accepted")
}

// state asks for the state of a job, and returns "" without an answer.
func (s *site) state(n *node, path string) string {
	status, text := s.ask(n, "GET", path, nil)
	if status == http.StatusGone {
		return "410"
	}
	var a struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(text), &a) != nil {
		return ""
	}
	return a.State
}

// awaitState waits until a job has one of some states, and returns its last one.
func (s *site) awaitState(path string, limit time.Duration, states ...string) string {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		now := s.state(s.nodes[0], path)
		if now != "" {
			last = now
		}
		for _, o := range states {
			if o == last {
				return last
			}
		}
	}
	return last
}

// cases are the cases by name.
var cases = map[string]func(s *site) int{
	"ends":   playEnds,
	"label":  playLabel,
	"again":  playAgain,
	"advice": playAdvice,
	"gang":   playGang,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT DIR")
		os.Exit(failed)
	}
	record, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	dir, err := os.MkdirTemp("", "yardbridge-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	s := &site{platform: newPlatform(), root: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	current = s
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](s) }()
	code := failed
	select {
	case code = <-result:
	case <-signals:
		s.log("the case could not run: it was stopped")
	case <-time.After(playTime):
		s.log("the case could not run: it took more than %s", playTime)
	}
	s.log("result: %d (%s)", code, [...]string{"the rule held", "the rule was broken", "the case could not run"}[code])
	s.end()
	os.Exit(code)
}
