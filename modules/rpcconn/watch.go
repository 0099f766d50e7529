// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"context"
	"sync"
	"time"
)

// methodPing is answered by every server of this package, with nothing.
const methodPing = "rpc.ping"

// watch looks after a call that waits: where its connection does not answer a
// question, a fresh one is asked.
type watch struct {
	peer  *peer
	ctx   context.Context
	heard uint64        // what had come on the connection when it was looked at last
	wait  time.Duration // until the next look
	began time.Time

	mu    sync.Mutex
	timer *time.Timer // nil once the call has ended
}

// watch begins to look after a call, and returns nil for one whose limit leaves no
// time to find out that its connection is silent: it ends the connection by itself.
func (p *peer) watch(ctx context.Context, began time.Time) *watch {
	patience := p.repeats.RetryDelay()
	if limit, has := ctx.Deadline(); has && limit.Sub(began) < patience+pingGrace {
		return nil
	}
	w := &watch{peer: p, ctx: ctx, heard: p.conn.ReadCount(), wait: patience, began: began}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.wait, w.look)
	return w
}

// end ends the looking.
func (w *watch) end() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
}

// look asks a fresh connection where nothing has come, and looks again later, each
// time after twice as long: a far end that is slow is not asked over and over.
func (w *watch) look() {
	if heard := w.peer.conn.ReadCount(); heard != w.heard {
		w.heard = heard
	} else if w.peer.asked.CompareAndSwap(false, true) {
		if !w.alive() {
			w.ask()
		}
		w.peer.asked.Store(false)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.wait *= 2
		w.timer.Reset(w.wait)
	}
}

// pingGrace is how long a connection has to answer a question before a fresh one is
// asked too: some ten times what a node takes that is short of processor time.
const pingGrace = 150 * time.Millisecond

// alive asks on the connection itself: a call may take long on one that works.
func (w *watch) alive() bool {
	err := w.peer.ping(w.ctx, pingGrace)
	return err == nil || w.peer.conn.ReadCount() != w.heard
}

// ping asks whether the far end is there. The library does not look at the context
// before it has written the question, which on a connection that takes nothing ends only
// when that is closed.
func (p *peer) ping(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	q := &question{peer: p, answer: make(chan error, 1)}
	go q.run(ctx)
	select {
	case err := <-q.answer:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// question is one whether a far end is there.
type question struct {
	peer   *peer
	answer chan error
}

// run asks.
func (q *question) run(ctx context.Context) {
	var nothing struct{}
	q.answer <- q.peer.rpc.Call(ctx, methodPing, nothing, &nothing)
}

// ask puts a fresh connection in the place of one that has fallen silent: it has
// answered, and nothing has come on the older one.
func (w *watch) ask() {
	p, t := w.peer, w.peer.table
	ctx, cancel := context.WithTimeout(w.ctx, pingTimeout)
	defer cancel()
	fresh, err := t.open(ctx, p.address)
	if err != nil {
		return // the far end itself can't be reached; the call's own limit tells
	}
	if err := fresh.ping(ctx, pingTimeout); err != nil || p.conn.ReadCount() != w.heard {
		_ = fresh.rpc.Close() // the same, or the older connection works
		return
	}
	t.mu.Lock()
	if t.peers[p.address] == p {
		t.put(fresh)
	} else {
		defer fresh.rpc.Close() //nolint:errcheck // another connection is in use already
	}
	t.mu.Unlock()
	// It is told before the calls that wait end, so that who has got such an end finds it told.
	t.Logger.Warn().Str("event", "silent").Str("to", "process").Str("address", p.address).Dur("after", time.Since(w.began)).
		Msg("a connection had fallen silent and was replaced by a fresh one, which works")
	if t.OnUnresponsive != nil {
		t.OnUnresponsive(p.address, time.Since(w.began))
	}
	p.conn.Reset()
	_ = p.rpc.Close() // calls that wait on it end
}
