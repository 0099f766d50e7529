//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the site file, which the settings of the nodes state too.
const (
	maxHold     = 10 * time.Second
	stopTime    = 100 * time.Millisecond // a stop takes no more than 400 ms
	moveTime    = 1500 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	workerCPU   = 16000
	workerMemMB = 32768
)

// behaviour is what the tasks of a job do.
type behaviour struct {
	spec  string
	work  time.Duration // 0 for a task that lasts
	fails bool          // each run ends "failed", by the task's own fault
	limit int           // MaxAttempts of the queue to which the job was sent
}

// taskRecord is what was seen of one task on the workers' sockets.
type taskRecord struct {
	starts      int
	running     map[*worker]int // run by worker
	done        bool            // an end "done" was listed
	doneNoted   bool            // such an end was taken note of
	startedOver bool            // a run began after such an end, which was not taken note of yet
	failedNoted int             // ends "failed" that were taken note of
}

// observer sees what workers are told and checks the rules.
type observer struct {
	mu     sync.Mutex
	rec    *recorder
	jobs   map[string]behaviour
	tasks  map[string]*taskRecord
	broken map[string]int // how often, by rule
}

func newObserver(rec *recorder) *observer {
	return &observer{rec: rec, jobs: make(map[string]behaviour), tasks: make(map[string]*taskRecord), broken: make(map[string]int)}
}

func (o *observer) task(name string) *taskRecord {
	if o.tasks[name] == nil {
		o.tasks[name] = &taskRecord{running: make(map[*worker]int)}
	}
	return o.tasks[name]
}

func (o *observer) breaks(rule, format string, args ...any) {
	o.broken[rule]++
	o.rec.log("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// started checks a start that a worker has carried out.
func (o *observer) started(w *worker, task string, run int, spec string) behaviour {
	o.mu.Lock()
	defer o.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	b, known := o.jobs[id]
	t := o.task(task)
	o.rec.log("worker %s of service %s starts %s run %d", w.id, w.service, task, run)
	if !known || b.spec != spec {
		o.breaks("UNASKED", "%s was not sent by a client, or with another Spec", task)
	}
	for other, n := range t.running {
		if other != w {
			o.breaks("TWICE", "%s run %d starts on %s (%s) while its run %d is at work on %s (%s), which is up", task, run, w.id, w.service, n, other.id, other.service)
		}
	}
	if t.done && !t.doneNoted {
		t.startedOver = true
	}
	if t.doneNoted {
		o.breaks("TWICE", "%s run %d starts on %s (%s) after an end \"done\" of it was taken note of", task, run, w.id, w.service)
	}
	if b.limit > 0 && t.failedNoted >= b.limit {
		o.breaks("BUDGET", "%s run %d starts on %s after %d ends \"failed\" were taken note of; MaxAttempts is %d", task, run, w.id, t.failedNoted, b.limit)
	}
	t.starts++
	t.running[w] = run
	return b
}

// over records that a run is no longer at work; how is "" for one that died with its worker.
func (o *observer) over(w *worker, task, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.task(task)
	delete(t.running, w)
	t.done = t.done || how == "done"
}

// noted records that a node has taken note of an end.
func (o *observer) noted(e ended) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.task(e.task)
	switch e.how {
	case "done":
		if t.doneNoted = true; t.startedOver {
			t.startedOver = false
			o.breaks("TWICE", "%s was started after an end \"done\" of it, which is taken note of now", e.task)
		}
	case "failed":
		t.failedNoted++
	}
}

type ended struct {
	n    int
	task string
	run  int
	how  string
}

type running struct {
	run      int
	timer    *time.Timer
	stopping bool
	percent  int
}

// worker is a life of a machine, served over HTTP (PROTOCOL.md, "Running tasks").
type worker struct {
	id, machine, service, zone string
	address                    string
	server                     *http.Server
	store                      *store
	obs                        *observer
	boot                       time.Time

	mu       sync.Mutex
	gone     bool
	sequence int
	token    uint64
	deadline time.Duration
	lease    *time.Timer
	runs     map[string]*running
	over     map[string]int // newest run of a task that was stopped or has ended
	ends     []ended
	endN     int
	changed  chan struct{}
	quit     chan struct{}
}

func startWorker(s *store, o *observer, ip, id, machine, service, zone string) (*worker, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, machine: machine, service: service, zone: zone, address: l.Addr().String(), store: s, obs: o, boot: time.Now(),
		runs: make(map[string]*running), over: make(map[string]int), changed: make(chan struct{}), quit: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	return w, nil
}

// beat writes the worker's entry about every HeartbeatMs.
func (w *worker) beat() {
	for {
		w.sequence++
		w.store.put("keyed.servers", w.id, map[string]any{
			"machine": w.machine, "Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready",
			"ColdRemainingMs": 0, "Capacity": map[string]int{"Cpu": workerCPU, "MemMb": workerMemMB, "Gpu": 0}, "Labels": []string{"a", "r1-1"},
			"CurrentTimeMs": w.clock().Milliseconds(), "Sequence": w.sequence,
		})
		select {
		case <-time.After(heartbeat):
		case <-w.quit:
			w.store.put("keyed.servers", w.id, nil)
			return
		}
	}
}

// leave ends the worker: all that runs there dies at once.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.gone = true
	for task, r := range w.runs {
		r.timer.Stop()
		w.obs.over(w, task, "")
	}
	w.runs = make(map[string]*running)
	close(w.quit)
	_ = w.server.Close()
}

func (w *worker) clock() time.Duration { return time.Since(w.boot) + 10*time.Second }

// end ends a run. The lock is held.
func (w *worker) end(task string, r *running, how string) {
	if w.gone || w.runs[task] != r {
		return
	}
	r.timer.Stop()
	delete(w.runs, task)
	w.over[task] = max(w.over[task], r.run)
	w.endN++
	w.ends = append(w.ends, ended{w.endN, task, r.run, how})
	w.obs.over(w, task, how)
	w.obs.rec.log("worker %s: %s run %d ends %s", w.id, task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// extend adopts a deadline, which is never shortened. The lock is held.
func (w *worker) extend(ms int64) {
	d := min(time.Duration(ms)*time.Millisecond, w.clock()+maxHold)
	if d <= w.deadline {
		return
	}
	w.deadline = d
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(d-w.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clock() < w.deadline {
			return
		}
		for task, r := range w.runs {
			w.end(task, r, "lapsed")
		}
	})
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		reply(rw, http.StatusOK, nil)
		return
	}
	var c struct {
		Task, Spec, Checkpoint, Ticket string
		RunId, LastSeen                int
		Percent                        int `json:"percent"`
		DeadlineMs, WaitMs             int64
		FencingToken                   uint64
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	if e := r.Header.Get("Yardbridge-Expect-Instance"); e != "" && e != w.id {
		reply(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		panic(http.ErrAbortHandler)
	}
	refuse := func(reason string) {
		reply(rw, http.StatusConflict, map[string]any{"CurrentTimeMs": w.clock().Milliseconds(), "Reason": reason})
	}
	accept := func() { reply(rw, http.StatusOK, map[string]any{"CurrentTimeMs": w.clock().Milliseconds()}) }
	if c.FencingToken < w.token {
		refuse("fence")
		return
	}
	w.token = c.FencingToken
	switch r.URL.Path {
	case "/api/run-start":
		known := w.runs[c.Task]
		if c.DeadlineMs > 0 && time.Duration(c.DeadlineMs)*time.Millisecond <= w.clock() {
			refuse("late")
			return
		}
		w.extend(c.DeadlineMs)
		switch {
		case known != nil && known.run == c.RunId:
			accept()
		case known != nil, c.RunId <= w.over[c.Task]:
			refuse("old")
		default:
			w.begin(c.Task, c.RunId, c.Spec)
			accept()
		}
	case "/api/run-stop":
		if known := w.runs[c.Task]; known != nil && known.run == c.RunId {
			if !known.stopping {
				known.stopping = true
				time.AfterFunc(stopTime, func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					w.end(c.Task, known, "stopped")
				})
			}
		} else {
			w.over[c.Task] = max(w.over[c.Task], c.RunId)
		}
		accept()
	case "/api/pace":
		if known := w.runs[c.Task]; known != nil && known.run == c.RunId {
			known.percent = c.Percent
			accept()
			return
		}
		refuse("old")
	case "/api/hold":
		w.hold(rw, r, c.DeadlineMs, c.LastSeen, time.Duration(min(c.WaitMs, 2000))*time.Millisecond)
	default:
		reply(rw, http.StatusNotFound, nil)
	}
}

// begin starts a run. The lock is held.
func (w *worker) begin(task string, run int, spec string) {
	b := w.obs.started(w, task, run, spec)
	u := &running{run: run, percent: 100}
	u.timer = time.AfterFunc(time.Hour, func() {})
	w.runs[task] = u
	if b.work == 0 {
		return
	}
	how := "done"
	if b.fails {
		how = "failed"
	}
	u.timer = time.AfterFunc(b.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(task, u, how)
	})
}

// hold answers with both lists; it waits for an end. The lock is held.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, deadline int64, lastSeen int, wait time.Duration) {
	if deadline > 0 {
		w.extend(deadline)
	}
	for len(w.ends) > 0 && w.ends[0].n <= lastSeen {
		w.obs.noted(w.ends[0])
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		case <-w.quit:
		}
		w.mu.Lock()
		if w.gone {
			panic(http.ErrAbortHandler)
		}
	}
	list, ends := [][]any{}, [][]any{}
	for task, u := range w.runs {
		list = append(list, []any{task, u.run, "", u.percent, 0})
	}
	for _, e := range w.ends {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"CurrentTimeMs": w.clock().Milliseconds(), "Running": list, "Ended": ends})
}
