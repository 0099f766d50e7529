// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// Worker is one life of an instance in the model. Its exported fields are faults
// and are changed through World.Touch.
type Worker struct {
	Silent bool          // answers nothing, and runs on
	Late   time.Duration // orders get no answer and are carried out after this
	Deaf   bool          // orders get no answer and are carried out once it hears again
	Hangs  bool          // what runs makes no progress
	Slow   float64       // how many times as long work takes, 0 for once
	Fails  bool          // all that begins fails

	w       *World
	info    worker.Worker
	over    bool // the life has ended
	began   time.Time
	token   uint64
	lease   time.Duration // on the worker's clock
	runs    map[string]*running
	ended   map[string]int // the newest run that is over, by task
	ends    []worker.End
	next    int
	seen    int
	void    int       // ends up to this one do not count
	harmed  time.Time // since when what fills keeps a serving task over its target
	changed chan struct{}
	unheard []func() // orders that wait until it hears again
}

// running is a run under way.
type running struct {
	task     string
	number   int
	spec     string
	room     job.Size
	began    time.Time
	left     time.Duration // of its work, when it was counted last
	counted  time.Time
	takes    time.Duration
	stopping bool
	step     *job.Step
	pace     int // percent
	timer    *time.Timer
}

// The times of a worker.
const (
	orderTime   = 2 * time.Millisecond
	stopTime    = 200 * time.Millisecond
	lastingTime = 300 * time.Millisecond // until a task that lasts is at work
	clockStart  = 100 * time.Second
	gangTime    = 3 * time.Second       // that the members of a gang wait for each other
	gangPoll    = 20 * time.Millisecond // until one that waits looks again
	whole       = 100                   // percent
)

// AddWorker brings a worker of an instance up in a pool and lists it.
func (w *World) AddWorker(instance, pool, rack string, capacity job.Size) worker.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instances[instance] == nil {
		w.instances[instance] = newInstance(instance, rack, capacity)
	}
	return w.bringUp(w.instances[instance], pool)
}

// bringUp begins a life of an instance. The lock is held.
func (w *World) bringUp(i *instance, pool string) worker.ID {
	w.lives++
	id := worker.ID(fmt.Sprintf("i-%04d", w.lives))
	o := &Worker{
		w: w, began: time.Now(), runs: make(map[string]*running), ended: make(map[string]int), changed: make(chan struct{}),
		info: worker.Worker{
			ID: id, Instance: i.name, Pool: pool, Address: "worker-" + string(id), Labels: i.labels, Capacity: i.capacity,
		},
	}
	i.pool, i.condition, i.life = pool, port.Up, id
	w.workers[id] = o
	w.list(o)
	return id
}

// workersAt is where workers are listed.
var workersAt = port.Partition{Topic: "model.workers"}

// list writes what a worker says of itself. The lock is held.
func (w *World) list(o *Worker) {
	w.partition(workersAt).add([]port.Record{{Key: string(o.info.ID), Value: encodeWorker(o.info)}})
}

// listedAfter is how long a worker stays listed that has crashed.
const listedAfter = 4 * time.Second

// Crash ends a worker's life without a word; its instance comes back after a while.
func (w *World) Crash(id worker.ID, down time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	if o.over {
		return
	}
	o.end()
	i := w.instances[o.info.Instance]
	i.condition, i.life = port.Down, ""
	time.AfterFunc(listedAfter, func() { w.unlist(id) })
	time.AfterFunc(down, func() { w.back(i) })
}

func (w *World) unlist(id worker.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partition(workersAt).add([]port.Record{{Key: string(id)}})
}

// Relist lists all lives again that are over, for a while: what a worker said of
// itself may be written late.
func (w *World) Relist() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if o := w.workers[id]; o.over {
			w.list(o)
			time.AfterFunc(relistedFor, func() { w.unlist(id) })
		}
	}
}

// relistedFor is how long a life that is over stays listed once more.
const relistedFor = time.Second

// Drain has a worker say that it leaves; it ends after the time.
func (w *World) Drain(id worker.ID, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	o.info.Draining, o.info.Remaining = true, after
	w.list(o)
	time.AfterFunc(after, func() { w.leave(id) })
}

// leave takes a worker and its instance away for good.
func (w *World) leave(id worker.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	if o.over {
		return
	}
	o.end()
	delete(w.instances, o.info.Instance)
	w.partition(workersAt).add([]port.Record{{Key: string(id)}})
}

// Touch changes a worker's faults.
func (w *World) Touch(id worker.ID, change func(o *Worker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	if o == nil {
		return
	}
	for _, r := range o.runs {
		o.count(r)
	}
	change(o)
	for _, r := range o.runs {
		o.schedule(r)
	}
	if o.Deaf || o.over {
		return
	}
	for _, carryOut := range o.unheard {
		carryOut()
	}
	o.unheard = nil
}

// end ends the worker's life. The lock is held.
func (o *Worker) end() {
	o.over = true
	for _, r := range o.runs {
		r.timer.Stop()
		o.w.left(o, r)
		for m, at := range o.w.members(r) {
			if at != o {
				at.endRun(m, worker.Broken)
			}
		}
	}
	clear(o.runs)
}

func (o *Worker) clock() time.Duration { return clockStart + time.Since(o.began) }

// speed is how much work is done in a second. The lock is held.
func (o *Worker) speed() float64 {
	switch {
	case o.Hangs:
		return 0
	case o.Slow > 0:
		return 1 / o.Slow
	}
	return 1
}

// count takes what a run has done at the speed of now. The lock is held.
func (o *Worker) count(r *running) {
	done := time.Duration(float64(time.Since(r.counted)) * o.speed())
	r.left, r.counted = max(r.left-done, 0), time.Now()
}

// schedule has a run end when its work is done at the speed of now. The lock is
// held.
func (o *Worker) schedule(r *running) {
	if r.timer != nil {
		r.timer.Stop()
	}
	o.count(r)
	if r.stopping || o.speed() == 0 {
		return
	}
	how := worker.Done
	if o.Fails || strings.Contains(r.spec, "poison") {
		how = worker.Failed
	}
	if strings.Contains(r.spec, "lasts") {
		return
	}
	r.timer = time.AfterFunc(time.Duration(float64(r.left)/o.speed()), func() { o.finish(r, how) })
}

// finish ends a run.
func (o *Worker) finish(r *running, how worker.How) {
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	o.finishLocked(r, how)
}

func (o *Worker) finishLocked(r *running, how worker.How) {
	if o.over || o.runs[r.task] != r {
		return
	}
	others := o.w.members(r)
	if how == worker.Done && len(others) < r.members()-1 {
		if time.Since(r.began) < gangTime {
			r.timer = time.AfterFunc(gangPoll, func() { o.finish(r, how) })
			return
		}
		how = worker.Alone
	}
	o.endRun(r, how)
	if how != worker.Done {
		how = worker.Broken
	}
	for m, at := range others {
		at.endRun(m, how)
	}
}

// members returns the other runs of a gang, with their workers. The lock is held.
func (w *World) members(r *running) map[*running]*Worker {
	list := make(map[*running]*Worker)
	ref, _ := job.ParseTask(r.task)
	for _, o := range w.workers {
		for name, other := range o.runs {
			if at, _ := job.ParseTask(name); r.step.Gang && other != r && other.number == r.number && at.StepRef == ref.StepRef {
				list[other] = o
			}
		}
	}
	return list
}

// members returns how many runs must be there for a run to work.
func (r *running) members() int {
	if r.step.Gang {
		return r.step.Count
	}
	return 1
}

// endRun ends one run and lists that. The lock is held.
func (o *Worker) endRun(r *running, how worker.How) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(o.runs, r.task)
	o.ended[r.task] = r.number
	o.next++
	o.ends = append(o.ends, worker.End{Sequence: o.next, Task: r.task, Number: r.number, How: how})
	close(o.changed)
	o.changed = make(chan struct{})
	o.w.ran(o, r, how)
}

// lapse ends all once the lease is over; ends that were not taken note of by then
// never are. The lock is held.
func (o *Worker) lapse() {
	if o.lease == 0 || o.clock() < o.lease {
		return
	}
	o.void = o.next
	for _, r := range o.runs {
		o.finishLocked(r, worker.Lapsed)
	}
}

// Workers returns the workers as a node reaches them.
func (w *World) Workers(node string) port.Workers {
	return port.Workers{Open: func(info worker.Worker) *port.Link {
		l := &nodeLink{w, node, info.ID}
		return &port.Link{Start: l.start, Stop: l.stop, Pace: l.pace, Look: l.look, Close: func() {}}
	}}
}

// nodeLink is a worker as one node reaches it.
type nodeLink struct {
	w    *World
	node string
	id   worker.ID
}

// order carries an order out and returns its answer.
func (l *nodeLink) order(ctx context.Context, token uint64, do func(o *Worker) port.Verdict) port.Answer {
	select {
	case <-time.After(orderTime):
	case <-ctx.Done():
	}
	l.w.mu.Lock()
	o := l.w.workers[l.id]
	cut := l.w.fault(l.node).WorkersCut || o.Silent
	if o.over && !cut {
		defer l.w.mu.Unlock()
		return port.Answer{Verdict: port.Unreached}
	}
	if cut || o.Late > 0 || o.Deaf {
		switch {
		case cut:
		case o.Deaf:
			o.unheard = append(o.unheard, func() { o.take(token, do) })
		default:
			time.AfterFunc(o.Late, func() { l.w.carryOut(o, token, do) })
		}
		l.w.mu.Unlock()
		_ = silence(ctx, callTimeout)
		return port.Answer{Verdict: port.Unknown}
	}
	defer l.w.mu.Unlock()
	return o.take(token, do)
}

// carryOut carries a late order out.
func (w *World) carryOut(o *Worker, token uint64, do func(o *Worker) port.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !o.over {
		o.take(token, do)
	}
}

// take carries an order out unless a higher token was seen. The lock is held.
func (o *Worker) take(token uint64, do func(o *Worker) port.Verdict) port.Answer {
	o.lapse()
	if token < o.token {
		return port.Answer{Verdict: port.TooLow, Clock: o.clock()}
	}
	o.token = token
	return port.Answer{Verdict: do(o), Clock: o.clock()}
}

func (l *nodeLink) start(ctx context.Context, s port.Start) port.Answer {
	return l.order(ctx, s.Token, func(o *Worker) port.Verdict { return o.startRun(l.node, s) })
}

// startRun begins a run. The lock is held.
func (o *Worker) startRun(node string, s port.Start) port.Verdict {
	if s.Deadline <= o.clock() {
		return port.Late
	}
	o.extend(s.Deadline)
	r := o.runs[s.Task]
	switch {
	case r != nil && r.number == s.Number:
		return port.Taken
	case r != nil, s.Number <= o.ended[s.Task]:
		return port.Outdated
	}
	if !o.w.admitted(o, s) {
		return port.BadTicket
	}
	step, room := o.w.started(node, o, s)
	takes := step.Estimate
	if step.Lasting {
		takes = lastingTime
	}
	r = &running{task: s.Task, number: s.Number, spec: s.Spec, room: room, began: time.Now(), left: takes, takes: takes, counted: time.Now(), step: step, pace: whole}
	o.runs[s.Task] = r
	r.timer = time.AfterFunc(time.Hour, func() {})
	o.schedule(r)
	return port.Taken
}

// extend adopts a deadline, and has what runs end once it is over. The lock is
// held.
func (o *Worker) extend(deadline time.Duration) {
	if deadline <= o.lease {
		return
	}
	o.lease = deadline
	time.AfterFunc(deadline-o.clock()+time.Millisecond, func() {
		o.w.mu.Lock()
		defer o.w.mu.Unlock()
		if !o.over {
			o.lapse()
		}
	})
}

func (l *nodeLink) stop(ctx context.Context, s port.Stop) port.Answer {
	return l.order(ctx, s.Token, func(o *Worker) port.Verdict {
		r := o.runs[s.Task]
		if r == nil || r.number != s.Number {
			o.ended[s.Task] = max(o.ended[s.Task], s.Number)
			return port.Taken
		}
		if !r.stopping {
			r.stopping = true
			o.w.stopped(l.node, o, r)
			time.AfterFunc(stopTime, func() { o.finish(r, worker.Stopped) })
		}
		return port.Taken
	})
}

func (l *nodeLink) pace(ctx context.Context, p port.Pace) port.Answer {
	return l.order(ctx, p.Token, func(o *Worker) port.Verdict {
		if r := o.runs[p.Task]; r != nil && r.number == p.Number {
			r.pace = p.Percent
			o.checkHarm()
			return port.Taken
		}
		return port.Outdated
	})
}

func (l *nodeLink) look(ctx context.Context, k port.Look) (worker.Listing, port.Answer) {
	listing, a := l.list(ctx, k.Token, func(o *Worker) {
		o.extend(k.Deadline)
		o.forget(k.Seen)
	})
	if a.Verdict != port.Taken || len(listing.Ends) > 0 || k.Wait == 0 {
		return listing, a
	}
	l.w.mu.Lock()
	o := l.w.workers[l.id]
	changed := o.changed
	l.w.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(k.Wait):
	case <-ctx.Done():
	}
	return l.list(ctx, k.Token, func(*Worker) {})
}

// list carries an order out that is answered with a listing.
func (l *nodeLink) list(ctx context.Context, token uint64, do func(o *Worker)) (worker.Listing, port.Answer) {
	var taken worker.Listing // may be written late, where there is no answer
	a := l.order(ctx, token, func(o *Worker) port.Verdict {
		do(o)
		taken = o.listing()
		return port.Taken
	})
	if a.Verdict != port.Taken {
		return worker.Listing{Clock: a.Clock}, a
	}
	taken.Clock = a.Clock
	return taken, a
}

// forget drops ends that were taken note of. The lock is held.
func (o *Worker) forget(seen int) {
	o.seen = max(o.seen, seen)
	for len(o.ends) > 0 && o.ends[0].Sequence <= o.seen {
		if o.ends[0].Sequence > o.void {
			o.w.noted(o.ends[0])
		}
		o.ends = o.ends[1:]
	}
}

// listing returns what runs and what has ended. The lock is held.
func (o *Worker) listing() worker.Listing {
	var l worker.Listing
	for _, r := range o.runs {
		l.Runs = append(l.Runs, worker.Run{Task: r.task, Number: r.number, Percent: o.percent(r), Load: int(o.tail(r).Milliseconds())})
	}
	o.checkHarm()
	l.Ends = append(l.Ends, o.ends...)
	return l
}

// percent returns how much of a run's work is done. The lock is held.
func (o *Worker) percent(r *running) int {
	left := r.left - time.Duration(float64(time.Since(r.counted))*o.speed())
	if left <= 0 || r.takes <= 0 {
		return whole
	}
	return whole - int(whole*left/r.takes)
}

// The model of tasks that share a worker: each that fills adds to the tail of those
// that serve, by its pace.
const (
	restTail = 0.6 // of the target, with nothing beside
	fillTail = 0.3 // of the target, that one that fills adds at full pace
	harmTime = 4 * time.Second
)

// tail returns the tail of the answers of a serving task. The lock is held.
func (o *Worker) tail(r *running) time.Duration {
	if r.step.Target == 0 {
		return 0
	}
	share := restTail
	for _, u := range o.runs {
		if u.step.Filling {
			share += fillTail * float64(u.pace) / whole
		}
	}
	return time.Duration(share * float64(r.step.Target))
}

// checkHarm notes for how long what fills keeps a serving task over its target. The
// lock is held.
func (o *Worker) checkHarm() {
	over := false
	for _, r := range o.runs {
		over = over || r.step.Target > 0 && o.tail(r) > r.step.Target
	}
	switch {
	case !over:
		o.harmed = time.Time{}
	case o.harmed.IsZero():
		o.harmed = time.Now()
	case time.Since(o.harmed) > harmTime:
		o.w.broken("HARM: what fills on %s keeps a task over its target for %s", o.info.ID, time.Since(o.harmed))
		o.harmed = time.Now()
	}
}
