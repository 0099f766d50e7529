// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// Worker is one life of an instance in the model. Its exported fields are faults
// and are changed through World.Touch.
type Worker struct {
	Unresponsive bool          // answers nothing, and runs on
	OrderDelay   time.Duration // orders get no answer and are carried out after this
	DefersOrders bool          // orders get no answer and are carried out once it hears again
	Stalled      bool          // what runs makes no progress
	Slowdown     float64       // how many times as long work takes, 0 for once
	FailsRuns    bool          // all that begins fails

	w       *World
	info    worker.Worker
	over    bool      // the life has ended
	roomy   job.Size  // what it had room for before it has shrunk
	shrunk  time.Time // when it has, zero for never
	began   time.Time
	token   uint64
	lease   time.Duration // on the worker's clock
	runs    map[string]*running
	ended   map[string]int // the newest run that is over, by task
	ends    []worker.EndedRun
	next    int
	void    int       // ends up to this one do not count
	harmed  time.Time // since when what fills keeps a serving task over its target
	changed chan struct{}
	unheard []func() // orders that wait until it hears again
	early   []func() // orders to an earlier life under its id that have come before any other order
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
	w.list(w.begin(i, pool, id))
	return id
}

// begin begins a life of an instance under an id. The lock is held.
func (w *World) begin(i *instance, pool string, id worker.ID) *Worker {
	o := &Worker{
		w: w, began: time.Now(), runs: make(map[string]*running), ended: make(map[string]int), changed: make(chan struct{}),
		info: worker.Worker{
			ID: id, Instance: i.name, Pool: pool, Address: "worker-" + string(id), Labels: i.labels, Capacity: i.capacity,
		},
	}
	if w.reborn {
		o.info.StartedAt = time.Now().UnixMilli()
	}
	i.pool, i.condition, i.life = pool, port.Up, id
	w.workers[id] = o
	return o
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
	w.crash(o, down)
	o.breakGangs()
}

// crash ends a worker's life; gangs of which members ran there wait for them in vain. The
// lock is held.
func (w *World) crash(o *Worker, down time.Duration) {
	id := o.info.ID
	w.crashedUnder(o)
	o.end()
	i := w.instances[o.info.Instance]
	i.condition, i.life = port.Down, ""
	time.AfterFunc(listedAfter, func() { w.unlist(id) })
	time.AfterFunc(down, func() {
		if !w.startAgain(o) {
			w.back(i)
		}
	})
}

// unlist removes the entry of a worker, unless it lives.
func (w *World) unlist(id worker.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.workers[id].over {
		w.partition(workersAt).add([]port.Record{{Key: string(id)}})
	}
}

// RelistEnded lists all lives again that are over, for a while: what a worker said of
// itself may be written late.
func (w *World) RelistEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if o := w.workers[id]; o.over {
			w.list(o)
			time.AfterFunc(relistedFor, func() { w.unlist(id) })
		}
	}
	for _, o := range w.past {
		w.list(o)
		time.AfterFunc(relistedFor, func() { w.relistLiving(o.info.ID) })
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
	o.breakGangs()
	delete(w.instances, o.info.Instance)
	w.partition(workersAt).add([]port.Record{{Key: string(id)}})
}

// ChangeWorker changes a worker's faults.
func (w *World) ChangeWorker(id worker.ID, change func(o *Worker)) {
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
	if o.DefersOrders || o.over {
		return
	}
	for _, carryOut := range o.unheard {
		carryOut()
	}
	o.unheard = nil
}

// shrunkAfter is from when on a room that has shrunk counts: the users' time until a node
// must know of it, and one writing of the worker's.
const shrunkAfter = 4500 * time.Millisecond

// Resize gives a worker room for a share of what its instance has, and lists that.
func (w *World) Resize(id worker.ID, share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	if o.over {
		return
	}
	o.roomy = o.room()
	o.info.Capacity, o.shrunk = w.instances[o.info.Instance].capacity.Scale(share), time.Now()
	w.list(o)
}

// room returns the room that starts on a worker are held to. The lock is held.
func (o *Worker) room() job.Size {
	if o.shrunk.IsZero() || time.Since(o.shrunk) > shrunkAfter && !o.w.mayBeUnread(o.shrunk) {
		return o.info.Capacity
	}
	return o.info.Capacity.Max(o.roomy)
}

// end ends the worker's life. The lock is held.
func (o *Worker) end() {
	o.over = true
	for _, r := range o.runs {
		r.timer.Stop()
		o.w.left(o, r)
	}
}

// breakGangs ends the members on other workers of gangs of which some ran on a worker whose
// life is over. The lock is held.
func (o *Worker) breakGangs() {
	for _, r := range o.runs {
		for m, at := range o.w.members(r) {
			if at != o {
				at.endRun(m, worker.GangBroken)
			}
		}
	}
	clear(o.runs)
}

func (o *Worker) clock() time.Duration { return clockStart + time.Since(o.began) }

// speed is how much work is done in a second. The lock is held.
func (o *Worker) speed() float64 {
	switch {
	case o.Stalled:
		return 0
	case o.Slowdown > 0:
		return 1 / o.Slowdown
	}
	return 1
}

// lapse ends all once the lease is over; ends that were not taken note of by then
// never are. The lock is held.
func (o *Worker) lapse() {
	if o.lease == 0 || o.clock() < o.lease {
		return
	}
	o.void = o.next
	for _, r := range o.runs {
		o.finishLocked(r, worker.LeaseExpired)
	}
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
	if r.step.LatencyObjective == 0 {
		return 0
	}
	share := restTail
	for _, u := range o.runs {
		if u.step.Backfill {
			share += fillTail * float64(u.pace) / whole
		}
	}
	return time.Duration(share * float64(r.step.LatencyObjective))
}

// checkHarm notes for how long what fills keeps a serving task over its target. The
// lock is held.
func (o *Worker) checkHarm() {
	over := false
	for _, r := range o.runs {
		over = over || r.step.LatencyObjective > 0 && o.tail(r) > r.step.LatencyObjective
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
