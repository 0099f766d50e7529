//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// machines is a stand-in of the platform's API for machines (PROTOCOL.md, "Machines").
type machines struct {
	store *store
	obs   *observer
	rec   *recorder
	ip    string

	mu   sync.Mutex
	list map[string]*machine
	next int
}

type machine struct {
	name, pool, zone, state string
	worker                  *worker
}

func newMachines(s *store, o *observer, rec *recorder, ip string) *machines {
	return &machines{store: s, obs: o, rec: rec, ip: ip, list: make(map[string]*machine)}
}

// add adds a machine that is up. The lock is held by the caller, or nothing is served yet.
func (m *machines) add(name, pool, zone string) error {
	c := &machine{name: name, pool: pool, zone: zone, state: "up"}
	m.list[name] = c
	return m.boot(c)
}

// boot starts the worker of a machine.
func (m *machines) boot(c *machine) error {
	m.next++
	w, err := startWorker(m.store, m.obs, m.ip, fmt.Sprintf("i-%08x", 0x7f3a9100+m.next), c.name, c.pool, c.zone)
	c.worker = w
	return err
}

func (m *machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Method == http.MethodGet && r.URL.Path == "/api/machines" {
		rows := []map[string]any{}
		for _, name := range sortedKeys(m.list) {
			c := m.list[name]
			id := ""
			if c.worker != nil && c.state == "up" {
				id = c.worker.id
			}
			rows = append(rows, map[string]any{
				"machine": c.name, "pool": c.pool, "State": c.state, "Zone": c.zone, "Labels": []string{"a", "r1-1"},
				"Capacity": map[string]int{"Cpu": workerCPU, "MemMb": workerMemMB, "Gpu": 0}, "Id": id,
			})
		}
		reply(w, http.StatusOK, map[string]any{"Machines": rows, "NextToken": nil})
		return
	}
	var call struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || m.list[call.Machine] == nil || r.URL.Path != "/api/machine-move" {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	c := m.list[call.Machine]
	switch {
	case c.pool == call.Pool:
		reply(w, http.StatusOK, map[string]any{})
		return
	case c.state != "up":
		reply(w, http.StatusConflict, map[string]string{"Reason": "busy"})
		return
	}
	m.rec.log("machine %s moves from %s to %s", c.name, c.pool, call.Pool)
	c.worker.leave()
	c.pool, c.state = call.Pool, "moving"
	time.AfterFunc(moveTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		c.state = "up"
		_ = m.boot(c)
	})
	reply(w, http.StatusOK, map[string]any{})
}

func sortedKeys[T any](m map[string]T) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
