// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of orders to machines, those of the site.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// size is a capacity or what a task asks for.
type size struct{ Cpu, MemMb, Gpu int }

// machine is one machine of a pool.
type machine struct {
	name, pool, state string
	labels            []string
	worker            *worker // nil while it has none
}

func (m *machine) capacity() size { return size{Cpu: 16000, MemMb: 32768} }

// events are what all workers saw.
type events struct {
	mu   sync.Mutex
	list []taskEvent
}

func (e *events) add(o taskEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, o)
}

func (e *events) all() []taskEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]taskEvent(nil), e.list...)
}

// platform is the stand-in of the users' platform: the store, the machines with their workers, and the operator.
type platform struct {
	store  *store
	events events
	advice advisor
	// workOf returns how long a task takes, and whether it lasts.
	workOf func(task string) (time.Duration, bool)
	// hopeless reports whether each run of a task ends failed by its own fault.
	hopeless func(task string) bool
	// tellsBirth says that workers may start again under their ids, and tell when they were born.
	tellsBirth bool
	mu         sync.Mutex
	lives      int
	machines   []*machine
}

func newPlatform() *platform {
	return &platform{
		store:    newStore(),
		workOf:   func(string) (time.Duration, bool) { return time.Second, false },
		hopeless: func(string) bool { return false },
	}
}

// serve serves a handler on a free loopback port and returns its address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("listening failed: %v", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// addMachine adds a machine with a worker.
func (p *platform) addMachine(name, pool string, labels ...string) *machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &machine{name: name, pool: pool, state: "up", labels: labels}
	p.machines = append(p.machines, m)
	m.worker = p.newWorker(m)
	return m
}

// workerOf returns the worker of a machine, nil for none.
func (p *platform) workerOf(m *machine) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return m.worker
}

// revive gives a machine a new worker.
func (p *platform) revive(m *machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.state = "up"
	m.worker = p.newWorker(m)
}

// cloud returns the handler of the API of machines.
func (p *platform) cloud() http.Handler {
	paths := http.NewServeMux()
	paths.HandleFunc("GET /api/machines", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		list := []map[string]any{}
		for _, m := range p.machines {
			row := map[string]any{"machine": m.name, "pool": m.pool, "State": m.state, "Zone": "hall-a", "Labels": m.labels, "Capacity": m.capacity()}
			if m.worker != nil {
				row["Id"] = m.worker.id
			}
			list = append(list, row)
		}
		p.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"Machines": list})
	})
	order := func(w http.ResponseWriter, r *http.Request, state string, took time.Duration) {
		var c struct {
			Machine string `json:"machine"`
			Pool    string `json:"pool"`
		}
		_ = json.NewDecoder(r.Body).Decode(&c)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, m := range p.machines {
			if m.name != c.Machine {
				continue
			}
			if m.pool == c.Pool {
				reply(w, http.StatusOK, map[string]any{})
				return
			}
			if m.state != "up" {
				reply(w, http.StatusConflict, map[string]any{"Reason": "busy"})
				return
			}
			old := m.worker
			old.crash()
			p.store.write("keyed.servers", old.id, nil)
			if m.worker, m.state = nil, state; c.Pool != "" {
				m.pool = c.Pool
			}
			time.AfterFunc(took, func() { p.revive(m) })
			reply(w, http.StatusOK, map[string]any{})
			return
		}
		reply(w, http.StatusBadRequest, map[string]any{})
	}
	paths.HandleFunc("POST /api/machine-move", func(w http.ResponseWriter, r *http.Request) { order(w, r, "moving", moveTime) })
	paths.HandleFunc("POST /api/machine-upkeep", func(w http.ResponseWriter, r *http.Request) { order(w, r, "upkeep", upkeepTime) })
	return paths
}

// route is one queue of the manifest.
type route struct {
	name, service string
	attempts      int
	priority      int
	advice        bool
}

// configure writes a manifest with routes, each under its own path of one host.
func (p *platform) configure(version int, services []string, routes ...route) {
	list, pools := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		o := map[string]any{
			"Name": r.name, "Host": host, "PathPrefix": "/" + r.name + "/", "Service": r.service, "Priority": r.priority, "MaxAttempts": r.attempts,
			"Stretch": 1.6, "TargetLatencyMs": 600,
		}
		if r.advice {
			o["advice"] = map[string]any{"decide_ms": decideTime.Milliseconds(), "each_ms": eachTime.Milliseconds(), "valid_ms": ticketTime.Milliseconds()}
		}
		list = append(list, o)
	}
	for _, s := range services {
		pools = append(pools, map[string]any{"Name": s, "RejectsOverload": false})
	}
	p.store.write("keyed.op", "config", map[string]any{
		"Version": version, "Routes": list, "Services": pools,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
	})
}

// host is the host of all queues.
const host = "review.example"

// taskStep returns the step and the index in the name of a task, ID.K.STEP.INDEX.
func taskStep(task string) (step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0, 0
	}
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return step, index
}
