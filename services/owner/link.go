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

// link sends orders and polls to one worker, each over its own connection. While an order waits long
// for its response, the orders behind it go over other connections.
type link struct {
	owner   *Owner
	id      worker.ID
	port    *port.Link
	orders  chan struct{}
	pollDue chan struct{}
	parent  context.Context
	ctx     context.Context
	cancel  context.CancelFunc

	helpers int // goroutines that send orders over extra connections; guarded by the owner's lock
}

// Bounds of the helpers that send the orders waiting behind one without a response. Workers respond
// to orders within a few milliseconds; after 400 ms the result counts as unknown.
const (
	helpAfter  = 40 * time.Millisecond
	maxHelpers = 2
)

// wake makes the link check for orders and for a poll that is due.
func (l *link) wake() {
	select {
	case l.orders <- struct{}{}:
	default:
	}
	select {
	case l.pollDue <- struct{}{}:
	default:
	}
}

// close ends the link. The owner's lock is held.
func (l *link) close() {
	l.cancel()
	l.port.Close()
}

// runOrders sends orders one after another.
func (l *link) runOrders() {
	defer l.owner.tasks.Done()
	for {
		for l.sendOrder() {
		}
		select {
		case <-l.orders:
		case <-l.ctx.Done():
			return
		}
	}
}

// sendOrder sends one order and reports whether there was one.
func (l *link) sendOrder() bool {
	o := l.owner
	o.mu.Lock()
	if l.ctx.Err() != nil {
		o.mu.Unlock()
		return false // the next link sends the remaining orders
	}
	order, has := o.pool.NextOrder(l.id, o.Clock.Now())
	if o.pool.Changed() {
		o.notifyChange() // abandoned orders have freed capacity
	}
	if !has {
		o.mu.Unlock()
		return false
	}
	send := l.prepareSend(order)
	o.mu.Unlock()
	help := time.AfterFunc(helpAfter, l.help)
	response := send()
	help.Stop()
	o.mu.Lock()
	now := o.Clock.Now()
	if o.pool.HandleOrderResponse(order, response, now) {
		o.pool.Retry(order, now)
	}
	o.processPending()
	o.mu.Unlock()
	if response.Result != port.Accepted {
		o.notifyChange()
	}
	l.wakePoll()
	return true
}

// help starts a helper that sends the waiting orders over another connection.
func (l *link) help() {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if l.helpers == maxHelpers || !o.pool.HasOrder(l.id) || l.ctx.Err() != nil || o.endReason != nil {
		return
	}
	l.helpers++
	o.tasks.Add(1)
	go helper{l}.run()
}

// helper sends the orders of a link over another connection.
type helper struct{ link *link }

// run sends orders while there are any.
func (h helper) run() {
	l := h.link
	defer l.owner.tasks.Done()
	for l.sendOrder() {
	}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	l.helpers--
}

// prepareSend returns the function that sends an order. The lock is held.
func (l *link) prepareSend(order scheduler.Order) func() port.Response {
	p := l.owner.pool
	switch {
	case order.Stop:
		stop := p.StopOrder(order)
		return func() port.Response { return l.port.Stop(l.ctx, stop) }
	case order.CPUShare:
		share := p.CPUShareOrder(order)
		return func() port.Response { return l.port.SetCPUShare(l.ctx, share) }
	}
	start := p.StartOrder(order, l.owner.Clock.Now())
	return func() port.Response { return l.port.Start(l.ctx, start) }
}

func (l *link) wakePoll() {
	select {
	case l.pollDue <- struct{}{}:
	default:
	}
}

// runPolls polls the worker whenever a poll is due.
func (l *link) runPolls() {
	defer l.owner.tasks.Done()
	var awaited time.Time // when the next poll was due, if it was waited for
	for {
		at, wait, has := l.nextPoll()
		if has {
			if d := at.Sub(l.owner.Clock.Now()); d > 0 {
				awaited = at
				if !l.sleep(d) {
					return
				}
				continue
			}
			if !l.poll(wait, awaited) {
				return
			}
			awaited = time.Time{}
			continue
		}
		select {
		case <-l.pollDue:
		case <-l.ctx.Done():
			return
		}
	}
}

// nextPoll returns when the next poll is due, and false for none.
func (l *link) nextPoll() (time.Time, time.Duration, bool) {
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	return l.owner.pool.NextPoll(l.id)
}

// sleep waits for a duration. It returns false once the link is closed.
func (l *link) sleep(d time.Duration) bool {
	select {
	case <-l.owner.Clock.After(d):
		return true
	case <-l.ctx.Done():
		return false
	}
}

// poll polls the worker once, when that is due or, if it was waited for, after that. It returns false once
// the link is closed.
func (l *link) poll(wait time.Duration, due time.Time) bool {
	o := l.owner
	o.mu.Lock()
	if l.ctx.Err() != nil {
		o.mu.Unlock()
		return false
	}
	now := o.Clock.Now()
	o.updateIsolation(now)
	if !due.IsZero() {
		o.noteLateness(now.Sub(due))
		o.noteWait(pollWork, now.Sub(due), now)
	}
	pending, request, known := o.pool.BeginPoll(l.id, wait, now)
	o.mu.Unlock()
	if !known {
		return true // the owner is about to close the link
	}
	listing, response := l.port.Poll(l.ctx, request)
	o.mu.Lock()
	if l.ctx.Err() != nil {
		o.mu.Unlock()
		return false // a closed link's missing response says nothing about the worker
	}
	o.pool.EndPoll(pending, listing, response, o.Clock.Now())
	o.processPending()
	o.mu.Unlock()
	l.wake()
	o.notifyChange()
	return true
}
