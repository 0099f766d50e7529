// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Bounds of the workers, those of the site.
const (
	maxHold      = 10 * time.Second
	stopTime     = 50 * time.Millisecond
	listedEnds   = 500 // that one list has
	saveTime     = 500 * time.Millisecond
	restoreTime  = 100 * time.Millisecond
	lastingStart = 300 * time.Millisecond
	beat         = 1500 * time.Millisecond
)

// taskEvent is what a worker saw of a run: its start, its end, or that its end was taken note of.
type taskEvent struct {
	at       time.Time
	what     string // "start", an end as the worker lists it, "noted", or "gone"
	task     string
	run      int
	worker   string
	sequence int
	void     bool // of "noted": the lease lapsed between the end and this
}

// run is one run of a task.
type run struct {
	task       string
	number     int
	began      time.Time
	work       time.Duration // left at its start
	lasting    bool
	checkpoint string
	timer      *time.Timer
}

// end is an entry of the list of ended runs.
type end struct {
	sequence   int
	task       string
	number     int
	how        string
	checkpoint string
}

// worker is one life of a machine.
type worker struct {
	p       *platform
	id      string
	machine *machine
	server  *http.Server
	address string
	began   time.Time
	born    int64 // in milliseconds since 1970, 0 where entries and lists do not have it
	life    int   // of its id, from 1

	mu       sync.Mutex
	gone     bool
	cut      bool // no call reaches it and no answer leaves it
	down     bool // between two lives
	token    uint64
	deadline time.Duration // on its clock
	runs     map[string]*run
	above    map[string]int // the newest run that has ended or was stopped, by task
	ends     []end
	sequence int
	lapsedAt int // ends up to this number came before the last lapse
	changed  chan struct{}
}

// newWorker starts a worker on a machine and writes its entry.
func (p *platform) newWorker(m *machine) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("listening for a worker failed: %v", err)
	}
	p.lives++
	w := &worker{
		p: p, id: fmt.Sprintf("w-%04d", p.lives), life: 1, machine: m, address: l.Addr().String(), began: time.Now().Add(-100 * time.Second),
		runs: make(map[string]*run), above: make(map[string]int), changed: make(chan struct{}),
	}
	if p.tellsBirth {
		w.born = time.Now().UnixMilli()
	}
	w.serve(l)
	go w.watchLease()
	w.writeEntry()
	return w
}

// serve serves the worker's port.
func (w *worker) serve(l net.Listener) {
	server := &http.Server{Handler: w}
	w.server = server
	go func() { _ = server.Serve(l) }()
}

// restart ends the life without a word and begins another one under the same id and address.
func (w *worker) restart(down time.Duration) {
	w.mu.Lock()
	for _, name := range sortedNames(w.runs) {
		u := w.runs[name]
		u.timer.Stop()
		w.note("gone", u.task, u.number, 0, false)
	}
	w.down = true
	w.runs, w.above, w.ends = make(map[string]*run), make(map[string]int), nil
	w.token, w.deadline, w.sequence, w.lapsedAt = 0, 0, 0, 0
	w.life++
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	_ = w.server.Close()
	time.Sleep(down)
	l, err := net.Listen("tcp", w.address)
	for ; err != nil; l, err = net.Listen("tcp", w.address) {
		time.Sleep(time.Millisecond)
	}
	w.mu.Lock()
	w.began, w.born, w.down = time.Now().Add(-100*time.Second), time.Now().UnixMilli(), false
	w.mu.Unlock()
	w.serve(l)
	w.writeEntry()
}

// writeEntry writes the worker's own entry in the store.
func (w *worker) writeEntry() {
	m := w.machine
	entry := map[string]any{
		"machine": m.name, "Service": m.pool, "Address": w.address, "Zone": "hall-a", "Version": "1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": 1, "Capacity": m.capacity(), "Labels": m.labels,
	}
	if w.born > 0 {
		entry["born"] = w.born
	}
	w.p.store.write("keyed.servers", w.id, entry)
}

func (w *worker) clock() time.Duration { return time.Since(w.began) }

// note records an event. The lock is held.
func (w *worker) note(what, task string, number, sequence int, void bool) {
	w.p.events.add(taskEvent{time.Now(), what, task, number, fmt.Sprintf("%s life %d", w.id, w.life), sequence, void})
}

// watchLease ends all runs once the lease is over.
func (w *worker) watchLease() {
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		if w.deadline > 0 && w.clock() >= w.deadline {
			w.deadline, w.lapsedAt = 0, w.sequence
			for _, name := range sortedNames(w.runs) {
				w.finish(w.runs[name], "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func sortedNames(runs map[string]*run) []string {
	names := make([]string, 0, len(runs))
	for n := range runs {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// extend adopts a deadline. The lock is held.
func (w *worker) extend(ms int64) {
	d := min(time.Duration(ms)*time.Millisecond, w.clock()+maxHold)
	w.deadline = max(w.deadline, d)
}

// finish ends a run and lists its end. The lock is held.
func (w *worker) finish(u *run, how string) {
	if w.gone || w.runs[u.task] != u {
		return
	}
	u.timer.Stop()
	delete(w.runs, u.task)
	w.above[u.task] = max(w.above[u.task], u.number)
	w.sequence++
	checkpoint := ""
	if how != "done" {
		checkpoint = u.saved()
	}
	w.ends = append(w.ends, end{w.sequence, u.task, u.number, how, checkpoint})
	w.note(how, u.task, u.number, w.sequence, false)
	close(w.changed)
	w.changed = make(chan struct{})
}

// saved returns the newest checkpoint of a run: what it has worked, in milliseconds.
func (u *run) saved() string {
	if !u.worksOn() {
		return ""
	}
	before, _ := strconv.Atoi(u.checkpoint)
	parts := int(time.Since(u.began) / saveTime)
	if parts == 0 {
		return u.checkpoint
	}
	return strconv.Itoa(before + parts*int(saveTime.Milliseconds()))
}

func (u *run) worksOn() bool { return u.checkpoint != "" || !u.lasting }

// crash ends the life without a word: its port resets, and all its runs are gone.
func (w *worker) crash() {
	w.mu.Lock()
	w.gone = true
	for _, name := range sortedNames(w.runs) {
		u := w.runs[name]
		u.timer.Stop()
		w.note("gone", u.task, u.number, 0, false)
	}
	w.mu.Unlock()
	_ = w.server.Close()
}

// setCut cuts the worker off, or connects it again.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

func (w *worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// call is the body of a call to a worker.
type call struct {
	Task, Spec, Checkpoint string
	RunId, LastSeen        int
	DeadlineMs, WaitMs     int64
	FencingToken           uint64
}

// ServeHTTP handles one call.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		reply(out, http.StatusBadRequest, map[string]any{"CurrentTimeMs": w.clock().Milliseconds()})
		return
	}
	if w.isCut() {
		hang(r)
	}
	if r.Header.Get("Yardbridge-Expect-Instance") != w.id {
		reply(out, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	status, body := w.handle(r, c)
	if w.isCut() {
		hang(r)
	}
	body["CurrentTimeMs"] = w.clock().Milliseconds()
	reply(out, status, body)
}

func (w *worker) handle(r *http.Request, c call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.gone {
		panic(http.ErrAbortHandler)
	}
	if c.FencingToken < w.token {
		return http.StatusConflict, map[string]any{"Reason": "fence"}
	}
	w.token = c.FencingToken
	switch r.URL.Path {
	case "/api/run-start":
		return w.start(c)
	case "/api/run-stop":
		return w.stop(c)
	case "/api/pace":
		return http.StatusOK, map[string]any{}
	case "/api/hold":
		return w.hold(r, c)
	}
	return http.StatusNotFound, map[string]any{}
}

// start starts a run. The lock is held.
func (w *worker) start(c call) (int, map[string]any) {
	if u := w.runs[c.Task]; u != nil && u.number == c.RunId {
		w.extend(c.DeadlineMs)
		return http.StatusOK, map[string]any{}
	}
	if c.RunId <= w.above[c.Task] || w.runs[c.Task] != nil {
		w.extend(c.DeadlineMs)
		return http.StatusConflict, map[string]any{"Reason": "old"}
	}
	if time.Duration(c.DeadlineMs)*time.Millisecond <= w.clock() {
		return http.StatusConflict, map[string]any{"Reason": "late"}
	}
	work, lasting := w.p.workOf(c.Task)
	u := &run{task: c.Task, number: c.RunId, began: time.Now(), work: work, lasting: lasting, checkpoint: c.Checkpoint}
	if done, err := strconv.Atoi(c.Checkpoint); err == nil {
		u.work = max(u.work-time.Duration(done)*time.Millisecond, 0) + restoreTime
	}
	w.extend(c.DeadlineMs)
	w.runs[c.Task] = u
	w.note("start", c.Task, c.RunId, 0, false)
	u.timer = time.AfterFunc(u.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.p.hopeless(u.task):
			w.finish(u, "failed")
		case !u.lasting:
			w.finish(u, "done")
		}
	})
	return http.StatusOK, map[string]any{}
}

// stop stops a run. The lock is held.
func (w *worker) stop(c call) (int, map[string]any) {
	w.above[c.Task] = max(w.above[c.Task], c.RunId)
	if u := w.runs[c.Task]; u != nil && u.number <= c.RunId {
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.finish(u, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

// hold extends the lease, forgets ends, and answers with both lists. The lock is held but while it waits.
func (w *worker) hold(r *http.Request, c call) (int, map[string]any) {
	for len(w.ends) > 0 && w.ends[0].sequence <= c.LastSeen {
		e := w.ends[0]
		w.ends = w.ends[1:]
		w.note("noted", e.task, e.number, e.sequence, e.sequence <= w.lapsedAt)
	}
	if c.DeadlineMs > 0 {
		w.extend(c.DeadlineMs)
	}
	life := w.life
	if until := time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond); c.WaitMs > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-until:
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	if w.life != life {
		panic(http.ErrAbortHandler) // the life that was asked has ended
	}
	running, ended := [][]any{}, [][]any{}
	for _, name := range sortedNames(w.runs) {
		u := w.runs[name]
		running = append(running, []any{u.task, u.number, u.saved(), u.percent(), 10})
	}
	for _, e := range w.ends[:min(len(w.ends), listedEnds)] {
		ended = append(ended, []any{e.sequence, e.task, e.number, e.how, e.checkpoint})
	}
	body := map[string]any{"Running": running, "Ended": ended}
	if w.born > 0 {
		body["born"] = w.born
	}
	return http.StatusOK, body
}

// percent returns how much of its work a run has done.
func (u *run) percent() int {
	total := u.work
	if u.lasting {
		total = lastingStart
	}
	return min(int(100*time.Since(u.began)/max(total, 1)), 100)
}
