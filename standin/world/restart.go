// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// Random behaviour of a worker that restarts.
const (
	listedLate = 2 * time.Second // the longest delay until it has written its entry, in half of the cases
	clockJump  = time.Minute     // the furthest that the machine's wall clock is set back, in a quarter of the cases
)

// RestartWithSameID makes workers that crash restart under the id that they had, from now
// on, and makes all workers report their start time.
func (w *World) RestartWithSameID() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sameIDRestarts = true
	for _, o := range w.workers {
		o.info.StartedAt = o.startedAt.UnixMilli()
		w.writeEntry(o)
	}
}

// restartWithSameID restarts a crashed worker under its id, and reports whether it did.
func (w *World) restartWithSameID(previous *Worker) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.instances[previous.info.Instance]
	if !w.sameIDRestarts || i == nil || i.pool != previous.info.Pool || i.condition != port.Down {
		return false
	}
	w.pastWorkers = append(w.pastWorkers, previous)
	o := w.startIncarnation(i, i.pool, previous.info.ID)
	o.deferred, o.DefersOrders = previous.deferred, previous.DefersOrders
	if w.random.IntN(4) == 0 {
		o.info.StartedAt -= w.random.Int64N(clockJump.Milliseconds())
	}
	late := time.Duration(0)
	if w.random.IntN(2) == 0 {
		late = time.Duration(w.random.Int64N(int64(listedLate)))
	}
	time.AfterFunc(late, func() { w.refreshEntry(o.info.ID) })
	return true
}

// Incarnation is what tells incarnations of a worker apart.
type Incarnation struct {
	StartedAt  int64  // as in worker.Worker
	Connection uint64 // as in worker.PollResult
}

// Incarnation returns the incarnation that a worker's id has now, or had last.
func (w *World) Incarnation(id worker.ID) Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	return Incarnation{o.info.StartedAt, o.connection}
}

// CrashDark crashes a worker like Crash, but nothing tells the nodes so: calls to it get no response until it is up
// again, nor do those that wait there.
func (w *World) CrashDark(id worker.ID, down time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[id]
	if o.gone {
		return
	}
	o.dark = true
	w.crash(o, down)
	o.breakGangs()
}

// endedDark reports whether calls to an incarnation have been lost with it.
func (w *World) endedDark(o *Worker) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return o.dark
}

// endDark makes the machine of an ended worker refuse calls to it, as it is up again.
func (w *World) endDark(o *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o.dark = false
}

// incarnation returns the incarnation that calls reach now, and what is closed when its runs change.
func (l *nodeLink) incarnation() (*Worker, <-chan struct{}) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	o := l.w.workers[l.id]
	return o, o.changed
}

// repeatAfter is how long after a poll's response was due it is repeated over another connection, as by package httpconn.
const repeatAfter = 200 * time.Millisecond

// repeatPoll repeats a poll that was lost with its connection. The worker that it reaches waits for an end again, so that
// its response comes after the time-out unless it has one.
func (l *nodeLink) repeatPoll(ctx context.Context, k port.Poll, timeoutAt time.Time) (worker.PollResult, port.Response) {
	resend := time.Until(timeoutAt) - callTimeout + repeatAfter
	if resend < 0 {
		return worker.PollResult{}, port.Response{Result: port.Unknown}
	}
	_ = noResponse(ctx, resend)
	result, a := l.beginPoll(ctx, k)
	if left := time.Until(timeoutAt); a.Result == port.Accepted && len(result.Ends) == 0 && waits(k, result) && k.Wait > left {
		_ = noResponse(ctx, left)
		return worker.PollResult{}, port.Response{Result: port.Unknown}
	}
	return result, a
}

// refreshEntry makes a worker write its entry again, or removes the entry of one that is
// gone.
func (w *World) refreshEntry(id worker.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.workers[id]; !o.gone {
		w.writeEntry(o)
		return
	}
	w.partition(workersPartition).add([]port.Record{{Key: string(id)}})
}
