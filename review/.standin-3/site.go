// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// network is what the loopback addresses of a run begin with, so that two runs at a time have no address in common.
var network = fmt.Sprintf("127.77.%d.", 1+os.Getpid()%250)

// platformIP is the loopback address of all parts of the platform.
var platformIP = network + "1"

// machine is an instance of the fleet.
type machine struct {
	name, pool, rack string
	capacity         size
	state            string // up, moving, upkeep or down
	worker           *worker
	moves            int // counts the events that end a life
}

// advice is the policy of a queue and its service.
type advice struct {
	queue        string
	onlyOne      bool // allows each step on one machine only
	decide, each time.Duration
	valid        time.Duration
	address      string
	turn         sync.Mutex // one call at a time
	calls        int
}

// site is a small deployment.
type site struct {
	mu         sync.Mutex
	dir        string
	log        *os.File
	began      time.Time
	store      *store
	machines   []*machine
	lives      int
	jobs       map[string]*job
	advice     *advice
	nodes      []*node
	violations []string
	broken     []string // reasons for which the case could not run
	brokenMu   sync.Mutex
	processMu  sync.Mutex // held while a process is started, and at the end
	ending     bool       // no process is started any more
	cloud      string     // address
	storeAt    string
	nodePort   int
}

// record writes a line to the record. It may be called with or without the lock.
func (s *site) record(format string, args ...any) {
	fmt.Fprintf(s.log, "%9.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken. The lock is held.
func (s *site) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.violations = append(s.violations, text)
	s.record("BROKEN %s", text)
}

// fail records that the case could not run.
func (s *site) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.brokenMu.Lock()
	s.broken = append(s.broken, text)
	s.brokenMu.Unlock()
	s.record("COULD NOT RUN: %s", text)
}

// workers returns the workers that are up. The lock is held.
func (s *site) workers() []*worker {
	var list []*worker
	for _, m := range s.machines {
		if m.worker != nil && !m.worker.dead {
			list = append(list, m.worker)
		}
	}
	return list
}

// newSite starts the platform.
func newSite(dir string) (*site, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, log: f, began: time.Now(), store: &store{partitions: make(map[string]*partition)}, jobs: make(map[string]*job)}
	if s.storeAt, err = serve(s.store); err != nil {
		return nil, err
	}
	if s.cloud, err = serve(http.HandlerFunc(s.serveMachines)); err != nil {
		return nil, err
	}
	go s.loop()
	return s, nil
}

// serve serves a handler on a free port of the platform.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", platformIP+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// loop lets time pass for the workers.
func (s *site) loop() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for _, w := range s.workers() {
			w.tick(now)
		}
		s.mu.Unlock()
	}
}

// addMachines adds machines of a pool, each with a worker.
func (s *site) addMachines(pool string, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range count {
		m := &machine{name: fmt.Sprintf("m-%s-%d", pool, i), pool: pool, rack: fmt.Sprintf("r-%s-%d", pool, i/4), capacity: size{Cpu: 16000, MemMb: 32768}}
		s.machines = append(s.machines, m)
		s.newWorker(m)
	}
}

// The platform's times.
const (
	liveness   = 4500 * time.Millisecond // three liveness reports of HeartbeatMs
	moveTime   = 1500 * time.Millisecond // move_s
	upkeepTime = 2 * time.Second         // upkeep_s
)

// crash crashes the worker of a machine; another one comes there after a time.
func (s *site) crash(w *worker, down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record("crash of %s", w.id)
	s.takeDown(w.machine, "down", down)
}

// takeDown ends the life of a machine, and starts the next one after a time. The lock is held.
func (s *site) takeDown(m *machine, state string, down time.Duration) {
	w := m.worker
	w.die()
	m.state, m.worker = state, nil
	m.moves++
	time.AfterFunc(liveness, func() { s.store.put("keyed.servers", w.id, nil) })
	time.AfterFunc(down, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.newWorker(m)
	})
}

// serveMachines serves the API of the machines.
func (s *site) serveMachines(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet {
		list := []map[string]any{}
		for _, m := range s.machines {
			row := map[string]any{"machine": m.name, "pool": m.pool, "State": m.state, "Zone": "hall-a", "Labels": []string{"a", m.rack}, "Capacity": m.capacity, "Id": ""}
			if m.worker != nil {
				row["Id"] = m.worker.id
			}
			list = append(list, row)
		}
		reply(w, http.StatusOK, map[string]any{"Machines": list, "NextToken": nil})
		return
	}
	var call struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call) // an unknown machine is refused below
	for _, m := range s.machines {
		if m.name != call.Machine {
			continue
		}
		isMove := r.URL.Path == "/api/machine-move"
		switch {
		case isMove && m.pool == call.Pool:
			reply(w, http.StatusOK, map[string]any{})
		case m.state != "up":
			reply(w, http.StatusConflict, map[string]any{"Reason": "busy"})
		case isMove:
			s.record("move of %s to %s", m.name, call.Pool)
			m.pool = call.Pool
			s.takeDown(m, "moving", moveTime)
			reply(w, http.StatusOK, map[string]any{})
		default:
			s.record("upkeep of %s", m.name)
			s.takeDown(m, "upkeep", upkeepTime)
			reply(w, http.StatusOK, map[string]any{})
		}
		return
	}
	reply(w, http.StatusBadRequest, nil)
}

// allows reports whether the advice service allows a step on a machine's worker: on two of three, or one of eight machines. That
// does not change.
func (a *advice) allows(step, machine string) bool {
	h := fnv.New32a()
	if !a.onlyOne {
		_, _ = h.Write([]byte(step + " " + machine)) // never fails
		return h.Sum32()%3 > 0
	}
	_, _ = h.Write([]byte(step))
	return strings.HasSuffix(machine, fmt.Sprintf("-%d", h.Sum32()%8))
}

// serveAdvice starts the advice service for a queue.
func (s *site) serveAdvice(a *advice) error {
	s.advice = a
	waiting := make(chan struct{}, 32)
	var err error
	a.address, err = serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var call struct {
			Step    string
			Workers []string
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil || r.URL.Path != "/api/advise" || len(call.Workers) > 100 {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		select {
		case waiting <- struct{}{}:
		default:
			reply(w, http.StatusTooManyRequests, nil)
			return
		}
		a.turn.Lock()
		time.Sleep(a.decide + time.Duration(len(call.Workers))*a.each)
		a.turn.Unlock()
		<-waiting
		s.mu.Lock()
		defer s.mu.Unlock()
		a.calls++
		good := [][]string{}
		for _, id := range call.Workers {
			for _, o := range s.workers() {
				if o.id == id && a.allows(call.Step, o.machine.name) {
					ticket := fmt.Sprintf("%s/%s/%d", call.Step, id, a.calls)
					o.tickets[ticket] = time.Now().Add(a.valid)
					good = append(good, []string{id, ticket})
				}
			}
		}
		s.record("advice on %s for %d workers: %d good", call.Step, len(call.Workers), len(good))
		reply(w, http.StatusOK, map[string]any{"good": good, "valid_ms": a.valid.Milliseconds()})
	}))
	return err
}

// configure has the operator write a manifest with one queue for each pool, and a second one of the first pool whose name begins
// with "long-".
func (s *site) configure(version int, pools ...string) {
	routes, services := []map[string]any{}, []map[string]any{}
	for i, q := range append([]string{"long-" + pools[0]}, pools...) {
		p := strings.TrimPrefix(q, "long-")
		route := map[string]any{
			"Name": q, "Host": "calls.example", "PathPrefix": "/" + q + "/", "Service": p, "Priority": 0, "MaxAttempts": 4, "Stretch": 1.6, "TargetLatencyMs": 600,
		}
		if s.advice != nil && s.advice.queue == q {
			route["advice"] = map[string]any{"decide_ms": s.advice.decide.Milliseconds(), "each_ms": s.advice.each.Milliseconds(), "valid_ms": s.advice.valid.Milliseconds()}
		}
		routes = append(routes, route)
		if i > 0 {
			services = append(services, map[string]any{"Name": p, "RejectsOverload": false})
		}
	}
	value, _ := json.Marshal(map[string]any{"Version": version, "Routes": routes, "Services": services, "Limits": map[string]any{"MaxBodyBytes": 262144}})
	s.store.put("keyed.op", "config", value)
	s.record("manifest %d", version)
}

// wave has the operator ask for the upkeep of machines.
func (s *site) wave(number int, lasts time.Duration, atMost int, machines ...string) {
	value, _ := json.Marshal(map[string]any{"wave": number, "Machines": machines, "DurationS": lasts.Seconds(), "AtMost": atMost})
	s.store.put("keyed.op", fmt.Sprintf("wave/%d", number), value)
	s.record("wave %d: %v", number, machines)
}

// node is one node, on a loopback address of its own.
type node struct {
	name, ip     string
	front, ready string
	command      *exec.Cmd
	ended        chan struct{}
}

// freePort returns a port that is free on an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// fill fills the gaps of a template with fields.
func fill(template string, fields map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#([A-Za-z_.]+)\}\}(.*?)\{\{/[A-Za-z_.]+\}\}`)
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		part := section.FindStringSubmatch(text)
		if fields[part[1]] == "" {
			return ""
		}
		return part[2]
	})
	gap := regexp.MustCompile(`\{\{([A-Za-z_.0-9]+)\}\}`)
	return gap.ReplaceAllStringFunc(template, func(text string) string { return fields[gap.FindStringSubmatch(text)[1]] })
}

// addNodes writes the settings of nodes from the deploy file's template.
func (s *site) addNodes(count int) error {
	template, err := os.ReadFile("deploy/node.toml")
	if err != nil {
		return err
	}
	for range count {
		i := len(s.nodes)
		ip := network + strconv.Itoa(10+i)
		if s.nodePort == 0 {
			s.nodePort = freePort(ip)
		}
		n := &node{name: fmt.Sprintf("front-hall-a-%d", i+1), ip: ip, front: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip))}
		fields := map[string]string{
			"NodeName": n.name, "Zone": "hall-a", "Ip": ip, "Limits.CpuShare": "0.4", "Limits.MemoryMb": "284", "Limits.MaxFds": "4100", "Limits.LinkMbps": "1000.0",
			"Listen.Front": n.front, "Listen.Ready": n.ready, "InternalPorts.0": strconv.Itoa(s.nodePort), "platform.Address": s.storeAt, "platform.parts": "8",
			"CloudApi.Address": s.cloud, "CloudApi.RatePerS": "64.0", "CloudApi.DutyPerS": "64.0",
			"Bounds.MaxHoldMs": "10000", "Bounds.stop_ms": "400", "Bounds.GraceS": "6", "Bounds.status_s": "120", "Bounds.far_x": "2", "Bounds.move_s": "1.5", "Bounds.upkeep_s": "2",
			"Bounds.notice_ms": "4500", "Bounds.LeaseMs": "3000", "Bounds.ContactMs": "3000", "Bounds.ConfigApplyMs": "2000", "Bounds.harm_ms": "4000", "Bounds.pace_ms": "100",
		}
		if s.advice != nil {
			fields["advice"] = s.advice.address
		}
		if err := os.WriteFile(s.settings(n), []byte(fill(string(template), fields)), 0o600); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	return nil
}

func (s *site) settings(n *node) string { return filepath.Join(s.dir, n.name+".toml") }

// start starts a node's process.
func (s *site) start(n *node) error {
	s.processMu.Lock()
	defer s.processMu.Unlock()
	if s.ending {
		return fmt.Errorf("the case is ending")
	}
	logs, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/yardbridge", "node", "-settings", s.settings(n))
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return err
	}
	n.command = command
	s.record("start of %s", n.name)
	n.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait() // how it ended does not matter here
		_ = logs.Close()
		close(ended)
	}(n.command, n.ended)
	return nil
}

// signal sends a signal to a node's process.
func (s *site) signal(n *node, sig syscall.Signal) {
	s.record("%v to %s", sig, n.name)
	_ = n.command.Process.Signal(sig) // it may have ended
}

// stop kills a node's process and waits for its end.
func (n *node) stop() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Kill() // it may have ended
	<-n.ended
}

// end ends all processes and returns the exit code of the case.
func (s *site) end() int {
	s.processMu.Lock()
	defer s.processMu.Unlock()
	s.ending = true
	for _, n := range s.nodes {
		n.stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brokenMu.Lock()
	defer s.brokenMu.Unlock()
	sort.Strings(s.broken)
	code := 0
	switch {
	case len(s.broken) > 0:
		code = 2
	case len(s.violations) > 0:
		code = 1
	}
	s.record("exit code %d; %d violations; %s", code, len(s.violations), strings.Join(s.broken, "; "))
	return code
}

// awaitReady waits until all nodes are ready.
func (s *site) awaitReady() bool {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			if r, err := http.Get("http://" + n.ready + "/api/ready"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.nodes) {
			return true
		}
	}
	s.fail("the nodes were not ready in 15 s")
	return false
}
