// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"context"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/log"
)

// Call sends an exchange to an owner and returns its response.
type Call func(ctx context.Context, owner string, x Exchange) (ExchangeResponse, error)

// Times of an exchange.
const (
	callTimeout = 2 * time.Second
	retryPause  = 50 * time.Millisecond
	// unresponsiveAfter is how long an owner may take to respond before other owners are asked. An
	// exchange takes some milliseconds, also between data centres.
	unresponsiveAfter = 100 * time.Millisecond
)

// Exchanger runs the exchanges with all owners, one at a time with each.
type Exchanger struct {
	Holder      *Holder
	Incarnation uint64
	Call        Call
	Logger      log.Logger

	mu    sync.Mutex
	ctx   context.Context
	links map[string]*link
}

// link runs the exchanges with one owner.
type link struct {
	exchanger *Exchanger
	owner     string
	wake      chan struct{}
	session   uint64
	needsFull bool // a response was lost, so that the next exchange must be a full one
	sent      bool // an exchange was sent, so that the owner may have lent slots
}

// Run repeats requests to owners that refused periodically, until the context ends. Exchanges run
// only during that time.
func (l *Exchanger) Run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	for ctx.Err() == nil {
		for _, o := range l.Holder.retryRefused() {
			l.RequestExchange(o)
		}
		select {
		case <-l.Holder.Clock.After(RetryPeriod):
		case <-ctx.Done():
		}
	}
}

// RequestExchange schedules an exchange with an owner.
func (l *Exchanger) RequestExchange(owner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil || owner == "" {
		return
	}
	k, ok := l.links[owner]
	if !ok {
		if l.links == nil {
			l.links = make(map[string]*link)
		}
		k = &link{exchanger: l, owner: owner, wake: make(chan struct{}, 1), session: 1, needsFull: true}
		l.links[owner] = k
		go k.run(l.ctx)
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run performs an exchange with the owner whenever one is requested.
func (k *link) run(ctx context.Context) {
	for {
		select {
		case <-k.wake:
		case <-ctx.Done():
			return
		}
		for k.exchange(ctx) {
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// exchange performs one exchange and reports whether another one is due at once.
func (k *link) exchange(ctx context.Context) (again bool) {
	h := k.exchanger.Holder
	x, due := h.compose(k.owner, k.needsFull)
	if !due && !(k.needsFull && k.sent) {
		return false
	}
	if k.needsFull {
		k.session++
	}
	k.sent = true
	x.Incarnation = k.exchanger.Incarnation
	x.Session = k.session
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	slow := time.AfterFunc(unresponsiveAfter, func() { h.requestExchanges(h.markUnresponsive(k.owner)) })
	g, err := k.exchanger.Call(bounded, k.owner, x)
	slow.Stop()
	cancel()
	if err != nil || g.Stale || g.Behind {
		k.needsFull = true
		h.requestExchanges(h.markUnresponsive(k.owner))
		k.exchanger.Logger.Debug().Err(err).Str("owner", k.owner).Bool("behind", g.Behind).Msg("slot exchange failed")
		select {
		case <-h.Clock.After(retryPause):
		case <-ctx.Done():
		}
		// The owner's counts may be wrong until it has received a full exchange.
		return h.present(k.owner)
	}
	dropped, owners := h.accept(k.owner, x, g)
	k.needsFull = dropped
	h.requestExchanges(owners)
	return dropped
}

// markUnresponsive makes waiting requests go to other owners before one that does not respond or
// can't lend yet, and returns those owners.
func (h *Holder) markUnresponsive(owner string) (owners []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unresponsive[owner] = true
	for _, p := range h.pools {
		owners = append(owners, h.ownersToRequest(p)...)
	}
	return owners
}

// compose returns the next exchange with an owner; due is false if there is nothing to send.
func (h *Holder) compose(owner string, full bool) (x Exchange, due bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	x = Exchange{Entry: h.Name, Offset: h.state.OwnersChangedAt, Full: full}
	pools := make(map[string]bool)
	for _, t := range h.targets {
		if t.owner != owner {
			continue
		}
		pools[t.pool] = true
		if t.dirty || full && t.held > 0 {
			x.Held = append(x.Held, Holding{Worker: t.worker, Epoch: t.epoch, Count: t.held})
			due = due || t.dirty
			t.dirty = false
		}
	}
	for name := range pools {
		p := h.pool(name)
		x.PoolHoldings = append(x.PoolHoldings, PoolHolding{Pool: name, Count: h.held(p)})
		if n := p.queue.all(); n > 0 && !p.refusedBy[owner] {
			x.Requests = append(x.Requests, SlotRequest{Pool: name, Count: min(n, maxSlotsPerRequest), Avoid: p.queue.avoided()})
			due = true
		}
	}
	return x, due || h.mustReport(owner)
}

// maxSlotsPerRequest is the largest number of slots of a pool that one exchange requests.
const maxSlotsPerRequest = 4

// present reports whether an owner is a member.
func (h *Holder) present(owner string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.state.Entries.Get(owner)
	return ok && e.Present
}

// accept adds the granted slots to those held. A grant under an ownership other than the one known
// here is dropped, and must be reported to the owner by a full exchange.
func (h *Holder) accept(owner string, x Exchange, g ExchangeResponse) (dropped bool, owners []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportedUpTo[owner] = x.Offset
	delete(h.unresponsive, owner)
	granted := make(map[string]int)
	gotOther := make(map[string]bool) // by pool, whether a slot of a target that is not avoided was granted
	avoid := make(map[string]string)
	for _, w := range x.Requests {
		avoid[w.Pool] = w.Avoid
	}
	for _, n := range g.Grants {
		t, ok := h.targets[n.Worker]
		if !ok || t.epoch != n.Epoch || t.owner != owner {
			dropped = true
			continue
		}
		t.held += n.Count
		granted[t.pool] += n.Count
		gotOther[t.pool] = gotOther[t.pool] || t.worker != avoid[t.pool]
	}
	for _, w := range x.Requests {
		p := h.pool(w.Pool)
		if granted[w.Pool] < w.Count || w.Avoid != "" && !gotOther[w.Pool] {
			p.refusedBy[owner] = true
		}
		h.serveQueue(p)
		owners = append(owners, h.ownersToRequest(p)...)
	}
	return dropped, append(owners, h.returnIdle()...)
}
