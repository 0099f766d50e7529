// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// size is what a task takes, or a worker has.
type size struct {
	Cpu   int `json:"Cpu"`
	MemMb int `json:"MemMb"`
	Gpu   int `json:"Gpu,omitempty"`
}

// running is one run of a task on a worker.
type running struct {
	task    string
	number  int
	step    *step
	job     *job
	began   time.Time
	stopped time.Time     // when it was told to stop, zero for not
	brought string        // the checkpoint that it was started with
	base    time.Duration // work that was done by then
	working time.Time     // since when it works: a member of a gang waits for the others, zero for not yet
}

// end is the end of a run.
type end struct {
	sequence int
	task     string
	number   int
	how      string
	saved    string
}

// worker is one life of a machine.
type worker struct {
	site     *site
	id       string
	machine  *machine
	address  string
	server   *http.Server
	began    time.Time
	dead     bool
	token    uint64
	deadline int64 // on its clock
	runs     map[string]*running
	ends     []end
	sequence int
	over     map[string]int       // newest run of a task that has ended or was stopped
	tickets  map[string]time.Time // that were issued for it, until when they hold
	changed  chan struct{}        // closed at the next end
}

// The times of a worker by the pages.
const (
	saveTime     = 500 * time.Millisecond // save_s
	restoreTime  = 100 * time.Millisecond // restore_ms
	longestLease = 10 * time.Second       // MaxHoldMs
	stopTime     = 50 * time.Millisecond  // at most stop_ms
	gangWait     = 3 * time.Second        // gang_ms
	startupTime  = 300 * time.Millisecond // until a task that lasts is at work
	clockStart   = 100_000                // milliseconds that its clock shows at its start
)

// newWorker starts a worker on a machine. The site's lock is held.
func (s *site) newWorker(m *machine) *worker {
	l, err := net.Listen("tcp", platformIP+":0")
	if err != nil {
		s.fail("listen: %v", err)
		return nil
	}
	s.lives++
	w := &worker{
		site: s, id: fmt.Sprintf("i-%04d", s.lives), machine: m, address: l.Addr().String(), began: time.Now(), runs: make(map[string]*running),
		over: make(map[string]int), tickets: make(map[string]time.Time), changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	m.worker, m.state = w, "up"
	s.writeEntry(w)
	return w
}

// writeEntry writes a worker's entry. The site's lock is held.
func (s *site) writeEntry(w *worker) {
	value, _ := json.Marshal(map[string]any{
		"machine": w.machine.name, "Service": w.machine.pool, "Address": w.address, "Zone": "hall-a", "Version": 1, "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": 1, "Capacity": w.machine.capacity, "Labels": []string{"a", w.machine.rack},
	})
	s.store.put("keyed.servers", w.id, value)
}

// now returns the worker's clock in milliseconds.
func (w *worker) now() int64 { return clockStart + time.Since(w.began).Milliseconds() }

// finish ends a run. The site's lock is held.
func (w *worker) finish(r *running, how string) {
	delete(w.runs, r.task)
	w.over[r.task] = max(w.over[r.task], r.number)
	w.sequence++
	w.ends = append(w.ends, end{w.sequence, r.task, r.number, how, r.saved(how == "stopped")})
	w.site.record("end %s run %d on %s: %s, saved %q", r.task, r.number, w.id, how, r.saved(how == "stopped"))
	if r.job != nil {
		r.job.noteEnd(r, how)
	}
	close(w.changed)
	w.changed = make(chan struct{})
	if how != "done" {
		w.site.breakGang(r)
	}
}

// breakGang ends the other members of a gang that worked together with a run which has ended. The lock is held.
func (s *site) breakGang(r *running) {
	if r.step == nil || !r.step.GangScheduled || r.working.IsZero() {
		return
	}
	for _, w := range s.workers() {
		for _, o := range w.runs {
			if o != r && o.gang() == r.gang() && o.number == r.number {
				o.working, o.base = time.Time{}, o.progress() // ended once
				w.finish(o, "broken")
			}
		}
	}
}

// gang returns what the names of the tasks of a run's step begin with.
func (r *running) gang() string { return r.task[:strings.LastIndexByte(r.task, '.')+1] }

// progress returns how much work is done.
func (r *running) progress() time.Duration {
	if r.working.IsZero() {
		return r.base
	}
	worked := time.Since(r.working)
	if r.base > 0 {
		worked = max(worked-restoreTime, 0)
	}
	return r.base + worked
}

// saved returns the newest checkpoint: the work that is done, in milliseconds, and a part of the job's ID.
func (r *running) saved(atStop bool) string {
	if r.step == nil || !r.step.Checkpointing {
		return ""
	}
	p := r.progress()
	if !atStop {
		p = p.Truncate(saveTime)
	}
	if p == 0 {
		return r.brought
	}
	return fmt.Sprintf("%08x%s", p.Milliseconds(), r.job.id[4:12])
}

// restore takes the work of a checkpoint over, and reports whether that is one of the job.
func (r *running) restore(checkpoint string) bool {
	if checkpoint == "" {
		return true
	}
	if len(checkpoint) != 16 || checkpoint[8:] != r.job.id[4:12] || !r.step.Checkpointing {
		return false
	}
	ms, err := strconv.ParseInt(checkpoint[:8], 16, 64)
	r.brought, r.base = checkpoint, time.Duration(ms)*time.Millisecond
	return err == nil
}

// tick ends the runs that are over. The site's lock is held.
func (w *worker) tick(now time.Time) {
	if w.dead {
		return
	}
	lapsed := len(w.runs) > 0 && w.now() > w.deadline
	for _, r := range w.runs {
		switch {
		case lapsed:
			w.finish(r, "lapsed")
		case !r.stopped.IsZero():
			if now.Sub(r.stopped) >= stopTime {
				w.finish(r, "stopped")
			}
		case r.step == nil || r.step.LongRunning:
		case r.working.IsZero():
			if w.site.gangComplete(r) {
				w.site.beginGang(r, now)
			} else if now.Sub(r.began) >= gangWait {
				w.finish(r, "alone")
			}
		case r.progress() >= r.step.takes:
			if r.job.fails {
				w.finish(r, "failed")
			} else {
				w.finish(r, "done")
			}
		}
	}
}

// gangComplete reports whether all members of a run's gang are there. All must have brought the same checkpoint: they work
// together from one point on. The lock is held.
func (s *site) gangComplete(r *running) bool {
	n := 0
	for _, w := range s.workers() {
		for _, o := range w.runs {
			if o.gang() == r.gang() && o.number == r.number && o.brought == r.brought && o.stopped.IsZero() {
				n++
			}
		}
	}
	return n == r.step.Count
}

// beginGang has all members of a run's gang begin to work. The lock is held.
func (s *site) beginGang(r *running, now time.Time) {
	s.record("gang %s run %d works from checkpoint %q", r.gang(), r.number, r.brought)
	for _, w := range s.workers() {
		for _, o := range w.runs {
			if o.gang() == r.gang() && o.number == r.number {
				o.working = now
			}
		}
	}
}

// die ends a worker without a word: what runs there is gone. The site's lock is held.
func (w *worker) die() {
	w.dead = true
	for _, r := range w.runs {
		w.site.record("gone %s run %d with %s", r.task, r.number, w.id)
		w.site.breakGang(r)
	}
	w.runs = nil
	close(w.changed)
	w.changed = make(chan struct{})
	go func() { _ = w.server.Close() }()
}

// used returns what runs on a worker. The site's lock is held.
func (w *worker) used() size {
	var u size
	for _, r := range w.runs {
		if r.step != nil {
			u.Cpu += r.step.Cpu
			u.MemMb += r.step.MemMb
		}
	}
	return u
}

// percent returns how much of a run's work is done, or whether it is at work if it lasts.
func (r *running) percent() int {
	if r.step == nil {
		return 0
	}
	if r.step.LongRunning {
		if time.Since(r.began) >= startupTime {
			return 100
		}
		return 0
	}
	return int(min(99, 100*r.progress()/max(r.step.takes, 1)))
}

// ServeHTTP serves the worker's calls.
func (w *worker) ServeHTTP(o http.ResponseWriter, r *http.Request) {
	var call struct {
		Task, Spec, Checkpoint, Ticket string
		RunId, LastSeen                int
		DeadlineMs, WaitMs             int64
		FencingToken                   uint64
		Percent                        int `json:"percent"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		reply(o, http.StatusBadRequest, nil)
		return
	}
	s := w.site
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.dead {
		hangUp(o)
		return
	}
	if r.Header.Get("Yardbridge-Expect-Instance") != w.id {
		reply(o, http.StatusMisdirectedRequest, nil)
		return
	}
	body := map[string]any{"CurrentTimeMs": w.now()}
	refuse := func(reason string) {
		body["Reason"] = reason
		reply(o, http.StatusConflict, body)
	}
	if call.FencingToken < w.token {
		refuse("fence")
		return
	}
	w.token = call.FencingToken
	late := call.DeadlineMs > 0 && call.DeadlineMs < w.now()
	if call.DeadlineMs > 0 && !late {
		w.deadline = max(w.deadline, min(call.DeadlineMs, w.now()+longestLease.Milliseconds()))
	}
	switch r.URL.Path {
	case "/api/run-start":
		w.start(call.Task, call.RunId, call.Spec, call.Ticket, call.Checkpoint, late, refuse, func() { reply(o, http.StatusOK, body) })
	case "/api/run-stop":
		if r := w.runs[call.Task]; r != nil && r.number == call.RunId && r.stopped.IsZero() {
			r.stopped = time.Now()
		}
		w.over[call.Task] = max(w.over[call.Task], call.RunId)
		reply(o, http.StatusOK, body)
	case "/api/pace":
		reply(o, http.StatusOK, body)
	case "/api/hold":
		w.hold(r.Context(), o, call.LastSeen, time.Duration(min(call.WaitMs, 2000))*time.Millisecond)
	default:
		reply(o, http.StatusNotFound, nil)
	}
}

// start carries out an order to start a run. The site's lock is held.
func (w *worker) start(task string, number int, spec, ticket, checkpoint string, late bool, refuse func(string), accept func()) {
	s := w.site
	if r := w.runs[task]; r != nil && r.number == number {
		accept()
		return
	}
	if number <= w.over[task] {
		refuse("old")
		return
	}
	if late {
		refuse("late")
		return
	}
	j, st := s.find(task)
	if j == nil || st == nil || j.Spec != spec {
		s.violation("UNASKED: start of %s on %s, which nobody sent", task, w.id)
		refuse("old")
		return
	}
	if s.advice != nil && j.queue == s.advice.queue {
		if until, issued := w.tickets[ticket]; !issued || time.Now().After(until) || !strings.HasPrefix(ticket, task[:strings.LastIndexByte(task, '.')]+"/") {
			refuse("ticket")
			return
		}
	}
	for _, o := range s.workers() {
		if r := o.runs[task]; r != nil && !st.AllowDuplicates {
			s.violation("TWICE: start of %s run %d on %s while run %d is on %s", task, number, w.id, r.number, o.id)
		}
	}
	r := &running{task: task, number: number, step: st, job: j, began: time.Now()}
	if !r.restore(checkpoint) {
		s.violation("UNASKED: start of %s on %s with checkpoint %q, which is not the task's", task, w.id, checkpoint)
	}
	if !st.GangScheduled {
		r.working = r.began
	}
	w.runs[task] = r
	j.noteStart()
	s.record("start %s run %d on %s, checkpoint %q", task, number, w.id, checkpoint)
	accept()
}

// hold answers with what runs and what has ended, and waits for an end if asked to. The site's lock is held.
func (w *worker) hold(ctx context.Context, o http.ResponseWriter, seen int, wait time.Duration) {
	for len(w.ends) > 0 && w.ends[0].sequence <= seen {
		w.ends = w.ends[1:]
	}
	for until := time.Now().Add(wait); len(w.ends) == 0 && time.Now().Before(until) && ctx.Err() == nil && !w.dead; {
		changed := w.changed
		w.site.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
		}
		w.site.mu.Lock()
	}
	if w.dead {
		hangUp(o)
		return
	}
	runs, ends := [][]any{}, [][]any{}
	for _, r := range w.runs {
		runs = append(runs, []any{r.task, r.number, r.saved(false), r.percent(), 500})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ends = append(ends, []any{e.sequence, e.task, e.number, e.how, e.saved})
	}
	reply(o, http.StatusOK, map[string]any{"CurrentTimeMs": w.now(), "Running": runs, "Ended": ends})
}

// find returns the job and the step of a task, nil for none. The lock is held.
func (s *site) find(task string) (*job, *step) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil
	}
	n, err := strconv.Atoi(parts[2])
	j := s.jobs[parts[0]]
	if err != nil || j == nil || n < 0 || n >= len(j.Steps) {
		return nil, nil
	}
	return j, &j.Steps[n]
}

// reply answers with a body in JSON.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // the caller may have gone
	}
}

// hangUp ends a call without an answer.
func hangUp(w http.ResponseWriter) {
	if h, can := w.(http.Hijacker); can {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}
