// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package owner

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// link carries orders and looks to one worker, each over a channel of its own.
// While an order waits long for its answer, those behind it go over other channels.
type link struct {
	owner  *Owner
	id     worker.ID
	port   *port.Link
	orders chan struct{}
	look   chan struct{}
	parent context.Context
	ctx    context.Context
	cancel context.CancelFunc

	helpers int // that give orders now; under the owner's lock
}

// The help for orders that wait behind one without an answer. Orders are answered
// in a few milliseconds, or after 400 for unknown.
const (
	helpAfter  = 40 * time.Millisecond
	mostHelper = 2
)

// wake has the link look for orders and for a look that is due.
func (l *link) wake() {
	select {
	case l.orders <- struct{}{}:
	default:
	}
	select {
	case l.look <- struct{}{}:
	default:
	}
}

// close ends the link. The owner's lock is held.
func (l *link) close() {
	l.cancel()
	l.port.Close()
}

// runOrders gives orders one after another.
func (l *link) runOrders() {
	defer l.owner.tasks.Done()
	for {
		for l.give() {
		}
		select {
		case <-l.orders:
		case <-l.ctx.Done():
			return
		}
	}
}

// give gives one order and returns whether there was one.
func (l *link) give() bool {
	o := l.owner
	o.mu.Lock()
	if l.ctx.Err() != nil {
		o.mu.Unlock()
		return false // the next link has what is left
	}
	order, has := o.pool.NextOrder(l.id, o.Clock.Now())
	if o.pool.Changed() {
		o.poke() // orders that were given up have freed something
	}
	if !has {
		o.mu.Unlock()
		return false
	}
	send := l.prepare(order)
	o.mu.Unlock()
	help := time.AfterFunc(helpAfter, l.help)
	answer := send()
	help.Stop()
	o.mu.Lock()
	now := o.Clock.Now()
	if o.pool.HandleOrderResponse(order, answer, now) {
		o.pool.Retry(order, now)
	}
	o.attend()
	o.mu.Unlock()
	if answer.Result != port.Accepted {
		o.poke()
	}
	l.wakeLook()
	return true
}

// help has the orders that wait given over another channel.
func (l *link) help() {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if l.helpers == mostHelper || !o.pool.HasOrder(l.id) || l.ctx.Err() != nil || o.over != nil {
		return
	}
	l.helpers++
	o.tasks.Add(1)
	go helper{l}.run()
}

// helper gives the orders of a link over another channel.
type helper struct{ link *link }

// run gives orders while there are any.
func (h helper) run() {
	l := h.link
	defer l.owner.tasks.Done()
	for l.give() {
	}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	l.helpers--
}

// prepare returns the sending of an order. The lock is held.
func (l *link) prepare(order scheduler.Order) func() port.Response {
	p := l.owner.pool
	switch {
	case order.Stop:
		stop := p.StopOrder(order)
		return func() port.Response { return l.port.Stop(l.ctx, stop) }
	case order.CPUShare:
		pace := p.CPUShareOrder(order)
		return func() port.Response { return l.port.SetCPUShare(l.ctx, pace) }
	}
	start := p.StartOrder(order, l.owner.Clock.Now())
	return func() port.Response { return l.port.Start(l.ctx, start) }
}

func (l *link) wakeLook() {
	select {
	case l.look <- struct{}{}:
	default:
	}
}

// runLooks looks at the worker whenever that is due.
func (l *link) runLooks() {
	defer l.owner.tasks.Done()
	for {
		at, wait, has := l.next()
		if has {
			if d := at.Sub(l.owner.Clock.Now()); d > 0 {
				if !l.sleep(d) {
					return
				}
				continue
			}
			if !l.lookNow(wait) {
				return
			}
			continue
		}
		select {
		case <-l.look:
		case <-l.ctx.Done():
			return
		}
	}
}

// next returns when the next look is due, false for none.
func (l *link) next() (time.Time, time.Duration, bool) {
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	return l.owner.pool.NextPoll(l.id)
}

// sleep waits for a time; it returns false once the link is closed.
func (l *link) sleep(d time.Duration) bool {
	select {
	case <-l.owner.Clock.After(d):
		return true
	case <-l.ctx.Done():
		return false
	}
}

// lookNow looks at the worker once; it returns false once the link is closed.
func (l *link) lookNow(wait time.Duration) bool {
	o := l.owner
	o.mu.Lock()
	if l.ctx.Err() != nil {
		o.mu.Unlock()
		return false
	}
	o.isolate()
	look, ask, known := o.pool.BeginPoll(l.id, wait, o.Clock.Now())
	o.mu.Unlock()
	if !known {
		return true // the owner is about to end the link
	}
	listing, answer := l.port.Poll(l.ctx, ask)
	o.mu.Lock()
	if l.ctx.Err() != nil {
		o.mu.Unlock()
		return false // that it got no answer says nothing of the worker
	}
	o.pool.EndPoll(look, listing, answer, o.Clock.Now())
	o.attend()
	o.mu.Unlock()
	l.wake()
	o.poke()
	return true
}
