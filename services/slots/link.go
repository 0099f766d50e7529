// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"context"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/modules/log"
)

// Call sends an exchange to an owner and returns its answer.
type Call func(ctx context.Context, owner string, x Exchange) (ExchangeResponse, error)

// Times of the exchange.
const (
	callTimeout = 2 * time.Second
	retryPause  = 50 * time.Millisecond
	// askPatience is how long an owner may take to answer before others are
	// asked: an exchange takes some milliseconds, also between halls.
	askPatience = 100 * time.Millisecond
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

// link is the exchange with one owner.
type link struct {
	links   *Exchanger
	owner   string
	kick    chan struct{}
	session uint64
	broken  bool // an answer was missed; the next exchange is a full one
	called  bool // an exchange was sent, so that the owner may have lent
}

// Run asks owners again from time to time until the context ends; exchanges
// are run only while it does.
func (l *Exchanger) Run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	for ctx.Err() == nil {
		for _, o := range l.Holder.askAgain() {
			l.RequestExchange(o)
		}
		select {
		case <-l.Holder.Clock.After(RetryPeriod):
		case <-ctx.Done():
		}
	}
}

// RequestExchange makes the exchange with an owner run soon.
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
		k = &link{links: l, owner: owner, kick: make(chan struct{}, 1), session: 1, broken: true}
		l.links[owner] = k
		go k.run(l.ctx)
	}
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// run exchanges with the owner whenever it is kicked.
func (k *link) run(ctx context.Context) {
	for {
		select {
		case <-k.kick:
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

// exchange runs one exchange and reports whether another one is due at once.
func (k *link) exchange(ctx context.Context) (again bool) {
	h := k.links.Holder
	x, due := h.compose(k.owner, k.broken)
	if !due && !(k.broken && k.called) {
		return false
	}
	if k.broken {
		k.session++
	}
	k.called = true
	x.Incarnation = k.links.Incarnation
	x.Session = k.session
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	slow := time.AfterFunc(askPatience, func() { h.kickAll(h.noteSilent(k.owner)) })
	g, err := k.links.Call(bounded, k.owner, x)
	slow.Stop()
	cancel()
	if err != nil || g.Stale || g.Behind {
		k.broken = true
		h.kickAll(h.noteSilent(k.owner))
		k.links.Logger.Debug().Err(err).Str("owner", k.owner).Bool("behind", g.Behind).Msg("slots not exchanged")
		select {
		case <-h.Clock.After(retryPause):
		case <-ctx.Done():
		}
		// The owner's book may be wrong until it has a full exchange.
		return h.present(k.owner)
	}
	dropped, kicks := h.accept(k.owner, x, g)
	k.broken = dropped
	h.kickAll(kicks)
	return dropped
}

// noteSilent has the requests that wait ask other owners before one that does
// not answer or can't lend yet, and returns whom.
func (h *Holder) noteSilent(owner string) (kicks []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent[owner] = true
	for _, p := range h.pools {
		kicks = append(kicks, h.wantMore(p)...)
	}
	return kicks
}

// compose writes the next exchange with an owner; due is false where there is
// nothing to say.
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
		if n := p.queue.all(); n > 0 && !p.askedAt[owner] {
			x.Requests = append(x.Requests, SlotRequest{Pool: name, Count: min(n, maxWant), Avoid: p.queue.avoided()})
			due = true
		}
	}
	return x, due || h.mustTell(owner)
}

// maxWant is how many slots one exchange asks for.
const maxWant = 4

// present reports whether an owner is part of the roster.
func (h *Holder) present(owner string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.state.Entries.Get(owner)
	return ok && e.Present
}

// accept takes the slots that were granted. A grant under another ownership
// than the one known here is dropped, and the owner must be told.
func (h *Holder) accept(owner string, x Exchange, g ExchangeResponse) (dropped bool, kicks []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told[owner] = x.Offset
	delete(h.silent, owner)
	given := make(map[string]int)
	other := make(map[string]bool) // by pool, a slot of a target that is not avoided
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
		given[t.pool] += n.Count
		other[t.pool] = other[t.pool] || t.worker != avoid[t.pool]
	}
	for _, w := range x.Requests {
		p := h.pool(w.Pool)
		if given[w.Pool] < w.Count || w.Avoid != "" && !other[w.Pool] {
			p.askedAt[owner] = true
		}
		h.serveQueue(p)
		kicks = append(kicks, h.wantMore(p)...)
	}
	return dropped, append(kicks, h.returnIdle()...)
}
