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
		return &port.Link{Start: l.start, Stop: l.stop, SetCPUShare: l.setCPUShare, Poll: l.poll, Close: func() {}}
	}}
}

// nodeLink is a worker as one node reaches it.
type nodeLink struct {
	w    *World
	node string
	id   worker.ID
}

// cutFrom reports whether nothing passes between a node and a worker.
func (f *Faults) cutFrom(id worker.ID) bool {
	return f.WorkersCut || f.HalvesCut[int(id[len(id)-1])%len(f.HalvesCut)] // '0' is even
}

// order applies an order to the incarnation with a start time, 0 for any, and returns the response.
func (l *nodeLink) order(ctx context.Context, startedAt int64, token uint64, do func(o *Worker) port.Result) port.Response {
	sentTo, _ := l.incarnation()
	select {
	case <-time.After(orderTime):
	case <-ctx.Done():
	}
	l.w.mu.Lock()
	o := l.w.workers[l.id]
	cut := l.w.fault(l.node).cutFrom(l.id) || o.Unresponsive || o.dark
	if o.gone && !cut {
		defer l.w.mu.Unlock()
		return port.Response{Result: port.Unreachable}
	}
	if startedAt != 0 && !cut && o.info.StartedAt != startedAt {
		defer l.w.mu.Unlock()
		if sentTo.info.StartedAt == startedAt {
			return port.Response{Result: port.Unknown} // its connection was lost
		}
		return port.Response{Result: port.Restarted}
	}
	if cut || o.OrderDelay > 0 || o.DefersOrders {
		switch {
		case cut:
		case o.DefersOrders:
			o.deferred = append(o.deferred, func() {
				if now := l.w.workers[l.id]; now == o || startedAt == 0 {
					now.apply(token, do)
				}
			})
		default:
			time.AfterFunc(o.OrderDelay, func() { l.w.applyLate(o, startedAt, token, do) })
		}
		l.w.mu.Unlock()
		_ = noResponse(ctx, callTimeout)
		return port.Response{Result: port.Unknown}
	}
	defer l.w.mu.Unlock()
	return o.apply(token, do)
}

// applyLate applies a delayed order to the incarnation that the worker's id has by then, unless the
// order is for one incarnation: it ends with that one and its connections. If another one has not
// received any order yet, it knows no token by which to reject the delayed order, so this waits
// until the first order arrives there.
func (w *World) applyLate(sentTo *Worker, startedAt int64, token uint64, do func(o *Worker) port.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.workers[sentTo.info.ID]
	switch {
	case o.gone, o != sentTo && startedAt != 0:
	case o != sentTo && o.token == 0:
		o.earlyOrders = append(o.earlyOrders, func() { o.apply(token, do) })
	default:
		o.apply(token, do)
	}
}

// apply applies an order unless a higher token was seen. The caller holds w.mu.
func (o *Worker) apply(token uint64, do func(o *Worker) port.Result) port.Response {
	o.expireLease()
	if token < o.token {
		return port.Response{Result: port.TokenTooLow, Clock: o.clock()}
	}
	o.token = token
	a := port.Response{Result: do(o), Clock: o.clock()}
	earlyOrders := o.earlyOrders
	o.earlyOrders = nil
	for _, applyEarly := range earlyOrders {
		applyEarly()
	}
	return a
}

func (l *nodeLink) start(ctx context.Context, s port.Start) port.Response {
	return l.order(ctx, s.StartedAt, s.Token, func(o *Worker) port.Result { return o.startRun(l.node, s) })
}

// startRun starts a run. The caller holds w.mu.
func (o *Worker) startRun(node string, s port.Start) port.Result {
	if s.Deadline <= o.clock() {
		return port.DeadlinePassed
	}
	o.extend(s.Deadline)
	r := o.runs[s.Task]
	switch {
	case r != nil && r.number == s.Number:
		return port.Accepted
	case r != nil, s.Number <= o.lastEnded[s.Task]:
		return port.Outdated
	}
	if !o.w.validTicket(o, s) {
		return port.BadTicket
	}
	step, size := o.w.checkStart(node, o, s)
	duration := step.Estimate
	if step.LongRunning {
		duration = longRunningStart
	}
	r = &running{task: s.Task, number: s.Number, spec: s.Spec, size: size, startedAt: time.Now(), remaining: duration, duration: duration, countedAt: time.Now(), step: step, cpuShare: fullPercent}
	o.runs[s.Task] = r
	r.timer = time.AfterFunc(time.Hour, func() {}) // a placeholder: schedule sets no timer for some runs, and end stops it
	o.schedule(r)
	if crashes(s) {
		time.AfterFunc(crashAfter, func() { o.w.crashByTask(o.info.ID, s.Task) })
	}
	return port.Accepted
}

// maxLease is the longest lease that a worker accepts; a longer one is shortened to it.
const maxLease = 10 * time.Second

// extend extends the lease to a deadline and makes the runs end when it expires. The caller
// holds w.mu.
func (o *Worker) extend(deadline time.Duration) {
	deadline = min(deadline, o.clock()+maxLease)
	if deadline <= o.lease {
		return
	}
	o.lease = deadline
	time.AfterFunc(deadline-o.clock()+time.Millisecond, func() {
		o.w.mu.Lock()
		defer o.w.mu.Unlock()
		if !o.gone {
			o.expireLease()
		}
	})
}

func (l *nodeLink) stop(ctx context.Context, s port.Stop) port.Response {
	return l.order(ctx, s.StartedAt, s.Token, func(o *Worker) port.Result {
		r := o.runs[s.Task]
		if r == nil || r.number != s.Number {
			o.lastEnded[s.Task] = max(o.lastEnded[s.Task], s.Number)
			return port.Accepted
		}
		if !r.stopping {
			r.stopping = true
			o.w.checkStop(l.node, o, r)
			time.AfterFunc(stopTime, func() { o.finish(r, worker.Stopped) })
		}
		return port.Accepted
	})
}

func (l *nodeLink) setCPUShare(ctx context.Context, p port.CPUShare) port.Response {
	return l.order(ctx, p.StartedAt, p.Token, func(o *Worker) port.Result {
		if r := o.runs[p.Task]; r != nil && r.number == p.Number {
			r.cpuShare = p.Percent
			o.checkHarm()
			return port.Accepted
		}
		return port.Outdated
	})
}

func (l *nodeLink) poll(ctx context.Context, k port.Poll) (worker.PollResult, port.Response) {
	timeoutAt := time.Now().Add(k.Wait + callTimeout)
	sentTo, _ := l.incarnation()
	result, a := l.beginPoll(ctx, k)
	if a.Result == port.Accepted && len(result.Ends) == 0 && waits(k, result) {
		_, changed := l.incarnation()
		select {
		case <-changed:
		case <-time.After(k.Wait):
		case <-ctx.Done():
		}
		if !l.w.endedDark(sentTo) {
			return l.pollOnce(ctx, k.Token, func(*Worker) {})
		}
	}
	if l.w.endedDark(sentTo) {
		return l.repeatPoll(ctx, k, timeoutAt)
	}
	return result, a
}

// waits reports whether the response to a poll waits for an end: one that went over another connection than it names does
// not.
func waits(k port.Poll, result worker.PollResult) bool {
	return k.Wait > 0 && (k.Connection == 0 || k.Connection == result.Connection)
}

// beginPoll sends a poll and returns what the worker lists then.
func (l *nodeLink) beginPoll(ctx context.Context, k port.Poll) (worker.PollResult, port.Response) {
	return l.pollOnce(ctx, k.Token, func(o *Worker) {
		if k.Connection == 0 || k.Connection == o.connection {
			o.extend(k.Deadline)
			o.dropEnds(k.Acknowledged)
		}
	})
}

// pollOnce applies an order whose response is a poll result.
func (l *nodeLink) pollOnce(ctx context.Context, token uint64, do func(o *Worker)) (worker.PollResult, port.Response) {
	var result worker.PollResult // may be written late, if there was no response
	a := l.order(ctx, 0, token, func(o *Worker) port.Result {
		do(o)
		result = o.pollResult()
		return port.Accepted
	})
	if a.Result != port.Accepted {
		return worker.PollResult{Clock: a.Clock}, a
	}
	result.Clock = a.Clock
	return result, a
}

// dropEnds drops acknowledged ends. The caller holds w.mu.
func (o *Worker) dropEnds(acknowledged int) {
	for len(o.ends) > 0 && o.ends[0].Sequence <= acknowledged {
		if o.ends[0].Sequence > o.voidEnds {
			o.w.acknowledge(o, o.ends[0])
		}
		o.ends = o.ends[1:]
	}
}

// maxListedEnds is how many ended runs a worker lists at once.
const maxListedEnds = 500

// pollResult returns what runs and the first runs that have ended. The caller holds w.mu.
func (o *Worker) pollResult() worker.PollResult {
	l := worker.PollResult{StartedAt: o.info.StartedAt, Connection: o.connection}
	for _, r := range o.runs {
		l.Runs = append(l.Runs, worker.Run{Task: r.task, Number: r.number, Percent: o.percent(r), Load: int(o.tailLatency(r).Milliseconds())})
	}
	o.checkHarm()
	l.Ends = append(l.Ends, o.ends[:min(maxListedEnds, len(o.ends))]...)
	l.Truncated = len(o.ends) >= maxListedEnds
	return l
}
