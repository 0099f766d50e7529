//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{began: time.Now(), file: f}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// site is a small installation: nodes as processes, everything else as stand-ins of this process.
type site struct {
	rec      *recorder
	dir      string
	store    *store
	obs      *observer
	machines *machines
	nodes    []*node
	version  int
	net      int // number of the loopback network
	platform string
	internal int
	cloud    string
	storeAt  string
	adviceAt string
}

// route is a route of the manifest.
type route struct {
	name, prefix, service string
	maxAttempts           int
}

var zones = []string{"mke-hall", "cle-hall", "det-hall"}

// newSite serves the stand-ins; no node runs yet.
func newSite(rec *recorder, dir string) (*site, error) {
	s := &site{rec: rec, dir: dir, store: newStore(rec), net: os.Getpid()}
	s.obs = newObserver(rec)
	s.platform = s.ip(200)
	s.machines = newMachines(s.store, s.obs, rec, s.platform)
	var err error
	if s.storeAt, err = s.serve(s.store); err != nil {
		return nil, err
	}
	if s.cloud, err = s.serve(s.machines); err != nil {
		return nil, err
	}
	advice := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{"good": [][]string{}, "valid_ms": 3000})
	})
	if s.adviceAt, err = s.serve(advice); err != nil {
		return nil, err
	}
	s.internal, err = freePort(s.ip(1))
	return s, err
}

// ip returns a loopback address of this run.
func (s *site) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+s.net>>8&0x7f, s.net&0xff, host)
}

func (s *site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", s.platform+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// addNode adds a machine of the class front and starts its process.
func (s *site) addNode() (*node, error) {
	i := len(s.nodes)
	zone := zones[i%len(zones)]
	n, err := newNode(s.dir, fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone, s.ip(i+1), s.internal, s.storeAt, s.cloud, s.adviceAt)
	if err != nil {
		return nil, err
	}
	s.nodes = append(s.nodes, n)
	s.rec.log("node %s starts", n.name)
	return n, n.start()
}

// end ends all processes.
func (s *site) end() {
	for _, n := range s.nodes {
		n.kill()
	}
}

// configure writes the next manifest; the answer of the store is the acknowledgement.
func (s *site) configure(services []string, headroom string, routes ...route) {
	s.version += 3
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"Name": r.name, "Host": host, "PathPrefix": r.prefix, "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 600, "Priority": 0,
			"Service": r.service, "MaxAttempts": r.maxAttempts, "Stretch": 1.6,
		})
	}
	pools := []map[string]any{}
	for _, p := range append(services, headroom) {
		pools = append(pools, map[string]any{
			"Name": p, "HealthPath": "/healthz", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": false, "Headroom": p == headroom,
		})
	}
	s.store.put("keyed.op", "config", map[string]any{
		"Version": s.version, "Routes": list, "Services": pools,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	var words []string
	for _, r := range routes {
		words = append(words, r.name+" "+r.prefix+" -> "+r.service)
	}
	s.rec.log("operator: manifest version %d is acknowledged: %s", s.version, strings.Join(words, ", "))
}

const host = "pule25.example"

// call makes a consumer's call over a channel of its own and returns the status and the body, 0 for no
// answer.
func (s *site) call(n *node, method, path string, body any) (int, string) {
	var data io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		data = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, data)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Yardbridge-Deadline-Ms", "3000")
	sent := ""
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
		encoded, _ := json.Marshal(body)
		sent = " " + string(encoded)
	}
	s.rec.log("client: sends %s %s to %s%s", method, path, n.name, sent)
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		s.rec.log("client: %s %s at %s: no answer (%v)", method, path, n.name, err)
		return 0, ""
	}
	defer func() { _ = a.Body.Close() }()
	answer, _ := io.ReadAll(a.Body)
	text := strings.TrimSpace(string(answer))
	s.rec.log("client: %s %s at %s: %d %.200s", method, path, n.name, a.StatusCode, text)
	return a.StatusCode, text
}

// job is what a client submits.
type job struct {
	Spec        string
	Steps       []step
	RepeatCount int   `json:",omitempty"`
	StartAtMs   int64 `json:",omitempty"`
	IntervalMs  int64 `json:",omitempty"`
}

type step struct {
	Count, Cpu, MemMb, EstimateMs int
	After                         []int  `json:",omitempty"`
	AntiAffinity                  int    `json:",omitempty"`
	LongRunning                   bool   `json:",omitempty"`
	Requires                      string `json:",omitempty"`
}

// expect records what a client is about to submit.
func (s *site) expect(id string, b behaviour) {
	s.obs.mu.Lock()
	defer s.obs.mu.Unlock()
	s.obs.jobs[id] = b
}

// keepLogs copies the logs of the nodes beside the record if KEEP_LOGS names a folder.
func (s *site) keepLogs() {
	to := os.Getenv("KEEP_LOGS")
	if to == "" {
		return
	}
	for _, n := range s.nodes {
		data, _ := os.ReadFile(n.logs)
		_ = os.WriteFile(filepath.Join(to, filepath.Base(n.logs)), data, 0o600)
	}
}
