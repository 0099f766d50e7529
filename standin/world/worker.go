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

// Worker is one incarnation of a worker on an instance. Its exported fields are faults and
// are changed through World.ChangeWorker.
type Worker struct {
	Unresponsive bool          // does not respond, and keeps running
	OrderDelay   time.Duration // orders get no response and are applied after this delay
	DefersOrders bool          // orders get no response and are applied once the fault ends
	Stalled      bool          // runs make no progress
	Slowdown     float64       // factor by which work takes longer, 0 for 1
	FailsRuns    bool          // everything that starts fails

	w              *World
	connection     uint64 // the connections of all nodes to this incarnation
	info           worker.Worker
	gone           bool      // the incarnation has ended
	dark           bool      // it has ended with its connections open, and nothing refuses new ones
	capacityBefore job.Size  // capacity before it was reduced
	shrunkAt       time.Time // zero if it never was
	startedAt      time.Time
	token          uint64
	lease          time.Duration // on the worker's clock
	runs           map[string]*running
	lastEnded      map[string]int // the newest run that has ended, by task
	ends           []worker.EndedRun
	lastSequence   int
	voidEnds       int       // ends up to this sequence number are never acknowledged
	coldUntil      time.Time // until when it is slow from its start
	harmedSince    time.Time // since when backfill tasks keep a serving task over its latency objective
	changed        chan struct{}
	deferred       []func() // orders that wait until the fault ends
	earlyOrders    []func() // orders to an earlier incarnation of the same id that arrived before any other order
}

// Durations of a worker's operations.
const (
	orderTime        = 2 * time.Millisecond
	stopTime         = 200 * time.Millisecond
	longRunningStart = 300 * time.Millisecond // until a long-running task is working
	clockStart       = 100 * time.Second
	gangTime         = 3 * time.Second       // that the members of a gang wait for each other
	gangPoll         = 20 * time.Millisecond // interval at which a waiting member checks again
	fullPercent      = 100
)

// AddWorker starts a worker on an instance in a pool and lists it.
func (w *World) AddWorker(instance, pool, rack string, capacity job.Size) worker.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instances[instance] == nil {
		w.instances[instance] = newInstance(instance, rack, capacity)
	}
	return w.startWorker(w.instances[instance], pool)
}

// startWorker starts an incarnation of an instance under a new id. The caller holds w.mu.
func (w *World) startWorker(i *instance, pool string) worker.ID {
	w.incarnations++
	id := worker.ID(fmt.Sprintf("i-%04d", w.incarnations))
	w.writeEntry(w.startIncarnation(i, pool, id))
	return id
}

// startIncarnation starts an incarnation of an instance under the given id. The caller
// holds w.mu.
func (w *World) startIncarnation(i *instance, pool string, id worker.ID) *Worker {
	w.connections++
	o := &Worker{
		w: w, connection: w.connections, startedAt: time.Now(), runs: make(map[string]*running), lastEnded: make(map[string]int), changed: make(chan struct{}),
		info: worker.Worker{
			ID: id, Instance: i.name, Pool: pool, Address: "worker-" + string(id), DataCenter: i.center, Labels: i.labels, Capacity: i.capacity,
		},
	}
	if w.sameIDRestarts {
		o.info.StartedAt = time.Now().UnixMilli()
	}
	i.pool, i.condition, i.workerID = pool, port.Up, id
	w.workers[id] = o
	return o
}

// workersPartition is the partition in which workers are listed.
var workersPartition = port.Partition{Topic: "model.workers"}

// writeEntry writes a worker's own entry. The caller holds w.mu.
func (w *World) writeEntry(o *Worker) {
	o.info.WarmUp = max(time.Until(o.coldUntil), 0)
	w.partition(workersPartition).add([]port.Record{{Key: string(o.info.ID), Value: encodeWorker(o.info)}})
}

// listedAfter is how long a crashed worker stays listed.
const listedAfter = 4 * time.Second

// Crash ends a worker's incarnation without notice; its instance is up again after the given
// time.
func (w *World) Crash(id worker.ID, down time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	if o.gone {
		return
	}
	w.crash(o, down)
	o.breakGangs()
}

// crash ends a worker's incarnation. Gangs that had members there wait for them until they
// time out. The caller holds w.mu.
func (w *World) crash(o *Worker, down time.Duration) {
	id := o.info.ID
	w.countCrash(o)
	o.end()
	i := w.instances[o.info.Instance]
	i.condition, i.workerID = port.Down, ""
	time.AfterFunc(listedAfter, func() { w.removeEntry(id) })
	time.AfterFunc(down, func() {
		if !w.restartWithSameID(o) {
			w.endDark(o)
			w.restore(i)
		}
	})
}

// removeEntry removes the entry of a worker unless it is running.
func (w *World) removeEntry(id worker.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.workers[id].gone {
		w.partition(workersPartition).add([]port.Record{{Key: string(id)}})
	}
}

// RelistEnded lists all ended incarnations again for a while, because a worker's own entry
// may be written late.
func (w *World) RelistEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if o := w.workers[id]; o.gone {
			w.writeEntry(o)
			time.AfterFunc(relistedFor, func() { w.removeEntry(id) })
		}
	}
	for _, o := range w.pastWorkers {
		w.writeEntry(o)
		time.AfterFunc(relistedFor, func() { w.refreshEntry(o.info.ID) })
	}
}

// relistedFor is how long an ended incarnation stays listed again.
const relistedFor = time.Second

// Drain makes a worker announce that it drains; it ends after the given time.
func (w *World) Drain(id worker.ID, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	o.info.Draining, o.info.Remaining = true, after
	w.writeEntry(o)
	time.AfterFunc(after, func() { w.remove(id) })
}

// remove removes a worker and its instance for good.
func (w *World) remove(id worker.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	if o.gone {
		return
	}
	o.end()
	o.breakGangs()
	delete(w.instances, o.info.Instance)
	w.partition(workersPartition).add([]port.Record{{Key: string(id)}})
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
		o.advance(r)
	}
	change(o)
	for _, r := range o.runs {
		o.schedule(r)
	}
	if o.DefersOrders || o.gone {
		return
	}
	for _, applyDeferred := range o.deferred {
		applyDeferred()
	}
	o.deferred = nil
}

// shrinkNotice is the time after which a reduced capacity is enforced: the bound within
// which a node must learn of it, and one write of the worker's entry.
const shrinkNotice = 4500 * time.Millisecond

// Resize sets a worker's capacity to a share of its instance's capacity, and writes the
// worker's entry with it.
func (w *World) Resize(id worker.ID, share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	if o.gone {
		return
	}
	o.capacityBefore = o.capacity()
	o.info.Capacity, o.shrunkAt = w.instances[o.info.Instance].capacity.Scale(share), time.Now()
	w.writeEntry(o)
}

// capacity returns the capacity that limits starts on a worker. The caller holds w.mu.
func (o *Worker) capacity() job.Size {
	if o.shrunkAt.IsZero() || time.Since(o.shrunkAt) > shrinkNotice && !o.w.mayBeUnread(o.shrunkAt) {
		return o.info.Capacity
	}
	return o.info.Capacity.Max(o.capacityBefore)
}

// end ends the worker's incarnation. The caller holds w.mu.
func (o *Worker) end() {
	o.gone = true
	for _, r := range o.runs {
		r.timer.Stop()
		o.w.recordGone(o, r)
	}
}

// breakGangs ends the gang members on other workers whose gangs had members on this worker,
// which has ended. The caller holds w.mu.
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

func (o *Worker) clock() time.Duration { return clockStart + time.Since(o.startedAt) }

// speed returns how much work is done in a second. The caller holds w.mu.
func (o *Worker) speed() float64 {
	switch {
	case o.Stalled:
		return 0
	case o.Slowdown > 0:
		return 1 / o.Slowdown
	case time.Now().Before(o.coldUntil):
		return 1 / coldSlowdown
	}
	return 1
}

// coldSlowdown is the factor by which work takes longer on a cold worker.
const coldSlowdown = 2.5

// TurnCold makes the workers of a data centre slow for a while, which they state in their entries.
func (w *World) TurnCold(dataCenter string, lasts time.Duration) {
	for _, id := range w.workersIn(dataCenter) {
		w.ChangeWorker(id, func(o *Worker) {
			o.coldUntil = time.Now().Add(lasts)
			w.writeEntry(o)
		})
		time.AfterFunc(lasts, func() {
			w.ChangeWorker(id, func(o *Worker) {
				if !o.gone {
					w.writeEntry(o)
				}
			})
		})
	}
}

// workersIn returns the running workers of a data centre.
func (w *World) workersIn(dataCenter string) []worker.ID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []worker.ID
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if o := w.workers[id]; !o.gone && o.info.DataCenter == dataCenter {
			ids = append(ids, id)
		}
	}
	return ids
}

// expireLease ends all runs if the lease has expired; ends that were not acknowledged by
// then never are. The caller holds w.mu.
func (o *Worker) expireLease() {
	if o.lease == 0 || o.clock() < o.lease {
		return
	}
	o.voidEnds = o.lastSequence
	for _, r := range o.runs {
		o.finishLocked(r, worker.LeaseExpired)
	}
}

// Interference between tasks that share a worker: each backfill task adds to the tail
// latency of the serving tasks, in proportion to its CPU share.
const (
	baseTail     = 0.6 // of the objective, with nothing else running
	backfillTail = 0.3 // of the objective, added by one backfill task at full CPU share
	harmTime     = 4 * time.Second
)

// tailLatency returns the tail latency of a serving task. The caller holds w.mu.
func (o *Worker) tailLatency(r *running) time.Duration {
	if r.step.LatencyObjective == 0 {
		return 0
	}
	share := baseTail
	for _, u := range o.runs {
		if u.step.Backfill {
			share += backfillTail * float64(u.cpuShare) / fullPercent
		}
	}
	return time.Duration(share * float64(r.step.LatencyObjective))
}

// checkHarm checks how long backfill tasks keep a serving task over its latency objective.
// The caller holds w.mu.
func (o *Worker) checkHarm() {
	harmed := false
	for _, r := range o.runs {
		harmed = harmed || r.step.LatencyObjective > 0 && o.tailLatency(r) > r.step.LatencyObjective
	}
	switch {
	case !harmed:
		o.harmedSince = time.Time{}
	case o.harmedSince.IsZero():
		o.harmedSince = time.Now()
	case time.Since(o.harmedSince) > harmTime:
		o.w.violation("HARM: backfill tasks on %s keep a task over its latency objective for %s", o.info.ID, time.Since(o.harmedSince))
		o.harmedSince = time.Now()
	}
}
