// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// Workers returns the workers as a node reaches them.
func (w *World) Workers(node string) port.Workers {
	return port.Workers{Open: func(info worker.Worker) *port.Link {
		l := &nodeLink{w, node, info.ID}
		return &port.Link{Start: l.start, Stop: l.stop, SetCPUShare: l.pace, Poll: l.look, Close: func() {}}
	}}
}

// nodeLink is a worker as one node reaches it.
type nodeLink struct {
	w    *World
	node string
	id   worker.ID
}

// order carries an order out and returns its answer.
func (l *nodeLink) order(ctx context.Context, token uint64, do func(o *Worker) port.Result) port.Response {
	select {
	case <-time.After(orderTime):
	case <-ctx.Done():
	}
	l.w.mu.Lock()
	o := l.w.workers[l.id]
	cut := l.w.fault(l.node).WorkersCut || o.Unresponsive
	if o.over && !cut {
		defer l.w.mu.Unlock()
		return port.Response{Result: port.Unreachable}
	}
	if cut || o.OrderDelay > 0 || o.DefersOrders {
		switch {
		case cut:
		case o.DefersOrders:
			o.unheard = append(o.unheard, func() { l.w.workers[l.id].take(token, do) })
		default:
			time.AfterFunc(o.OrderDelay, func() { l.w.carryOut(o, token, do) })
		}
		l.w.mu.Unlock()
		_ = silence(ctx, callTimeout)
		return port.Response{Result: port.Unknown}
	}
	defer l.w.mu.Unlock()
	return o.take(token, do)
}

// carryOut carries a late order out, at the life that the worker's id has by then. One of which
// nobody could have told another life anything waits until some other order has come there.
func (w *World) carryOut(sentTo *Worker, token uint64, do func(o *Worker) port.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[sentTo.info.ID]
	switch {
	case o.over:
	case o != sentTo && o.token == 0:
		o.early = append(o.early, func() { o.take(token, do) })
	default:
		o.take(token, do)
	}
}

// take carries an order out unless a higher token was seen. The lock is held.
func (o *Worker) take(token uint64, do func(o *Worker) port.Result) port.Response {
	o.lapse()
	if token < o.token {
		return port.Response{Result: port.TokenTooLow, Clock: o.clock()}
	}
	o.token = token
	a := port.Response{Result: do(o), Clock: o.clock()}
	early := o.early
	o.early = nil
	for _, carryOut := range early {
		carryOut()
	}
	return a
}

func (l *nodeLink) start(ctx context.Context, s port.Start) port.Response {
	return l.order(ctx, s.Token, func(o *Worker) port.Result { return o.startRun(l.node, s) })
}

// startRun begins a run. The lock is held.
func (o *Worker) startRun(node string, s port.Start) port.Result {
	if s.Deadline <= o.clock() {
		return port.DeadlinePassed
	}
	o.extend(s.Deadline)
	r := o.runs[s.Task]
	switch {
	case r != nil && r.number == s.Number:
		return port.Accepted
	case r != nil, s.Number <= o.ended[s.Task]:
		return port.Outdated
	}
	if !o.w.admitted(o, s) {
		return port.BadTicket
	}
	step, room := o.w.started(node, o, s)
	takes := step.Estimate
	if step.LongRunning {
		takes = lastingTime
	}
	r = &running{task: s.Task, number: s.Number, spec: s.Spec, room: room, began: time.Now(), left: takes, takes: takes, counted: time.Now(), step: step, pace: whole}
	o.runs[s.Task] = r
	r.timer = time.AfterFunc(time.Hour, func() {})
	o.schedule(r)
	if crashes(s) {
		time.AfterFunc(crashAfter, func() { o.w.crashUnder(o.info.ID, s.Task) })
	}
	return port.Accepted
}

// leaseMost is the longest lease that a worker adopts; a longer one is cut to it.
const leaseMost = 10 * time.Second

// extend adopts a deadline, and has what runs end once it is over. The lock is
// held.
func (o *Worker) extend(deadline time.Duration) {
	deadline = min(deadline, o.clock()+leaseMost)
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

func (l *nodeLink) stop(ctx context.Context, s port.Stop) port.Response {
	return l.order(ctx, s.Token, func(o *Worker) port.Result {
		r := o.runs[s.Task]
		if r == nil || r.number != s.Number {
			o.ended[s.Task] = max(o.ended[s.Task], s.Number)
			return port.Accepted
		}
		if !r.stopping {
			r.stopping = true
			o.w.stopped(l.node, o, r)
			time.AfterFunc(stopTime, func() { o.finish(r, worker.Stopped) })
		}
		return port.Accepted
	})
}

func (l *nodeLink) pace(ctx context.Context, p port.CPUShare) port.Response {
	return l.order(ctx, p.Token, func(o *Worker) port.Result {
		if r := o.runs[p.Task]; r != nil && r.number == p.Number {
			r.pace = p.Percent
			o.checkHarm()
			return port.Accepted
		}
		return port.Outdated
	})
}

func (l *nodeLink) look(ctx context.Context, k port.Poll) (worker.PollResult, port.Response) {
	listing, a := l.list(ctx, k.Token, func(o *Worker) {
		o.extend(k.Deadline)
		o.forget(k.Acknowledged)
	})
	if a.Result != port.Accepted || len(listing.Ends) > 0 || k.Wait == 0 {
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
func (l *nodeLink) list(ctx context.Context, token uint64, do func(o *Worker)) (worker.PollResult, port.Response) {
	var taken worker.PollResult // may be written late, where there is no answer
	a := l.order(ctx, token, func(o *Worker) port.Result {
		do(o)
		taken = o.listing()
		return port.Accepted
	})
	if a.Result != port.Accepted {
		return worker.PollResult{Clock: a.Clock}, a
	}
	taken.Clock = a.Clock
	return taken, a
}

// forget drops ends that were taken note of. The lock is held.
func (o *Worker) forget(seen int) {
	for len(o.ends) > 0 && o.ends[0].Sequence <= seen {
		if o.ends[0].Sequence > o.void {
			o.w.noted(o.ends[0])
		}
		o.ends = o.ends[1:]
	}
}

// listing returns what runs and what has ended. The lock is held.
func (o *Worker) listing() worker.PollResult {
	l := worker.PollResult{StartedAt: o.info.StartedAt}
	for _, r := range o.runs {
		l.Runs = append(l.Runs, worker.Run{Task: r.task, Number: r.number, Percent: o.percent(r), Load: int(o.tail(r).Milliseconds())})
	}
	o.checkHarm()
	l.Ends = append(l.Ends, o.ends...)
	return l
}
