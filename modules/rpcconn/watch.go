// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rpcconn

import (
	"context"
	"sync"
	"time"
)

// methodPing is handled by every Server of this package; its result is empty.
const methodPing = "rpc.ping"

// watch monitors a waiting call. If its connection does not respond to a ping, it pings
// over a new connection.
type watch struct {
	peer      *peer
	ctx       context.Context
	reads     uint64        // reads on the connection at the last check
	interval  time.Duration // until the next check
	startedAt time.Time

	mu    sync.Mutex
	timer *time.Timer // nil once the call has ended
}

// watch starts to monitor a call. It returns nil for a call whose timeout is too short to
// find out that the connection is unresponsive; such a call closes the connection itself.
func (p *peer) watch(ctx context.Context, began time.Time) *watch {
	delay := p.retryPolicy.RetryDelay()
	if limit, ok := ctx.Deadline(); ok && limit.Sub(began) < delay+pingGrace {
		return nil
	}
	w := &watch{peer: p, ctx: ctx, reads: p.conn.ReadCount(), interval: delay, startedAt: began}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.interval, w.check)
	return w
}

// end stops the monitoring.
func (w *watch) end() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
}

// check pings if nothing was received, and schedules the next check after twice the time,
// so that a slow peer is not pinged over and over.
func (w *watch) check() {
	if reads := w.peer.conn.ReadCount(); reads != w.reads {
		w.reads = reads
	} else if w.peer.probing.CompareAndSwap(false, true) {
		if !w.alive() {
			w.replaceConn()
		}
		w.peer.probing.Store(false)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.interval *= 2
		w.timer.Reset(w.interval)
	}
}

// pingGrace is how long a connection has to respond to a ping before a new connection is
// tried: some ten times what a node short of CPU time takes.
const pingGrace = 150 * time.Millisecond

// alive pings on the connection itself, because a call may take long on a working
// connection.
func (w *watch) alive() bool {
	err := w.peer.ping(w.ctx, pingGrace)
	return err == nil || w.peer.conn.ReadCount() != w.reads
}

// ping checks whether the peer responds. A call checks the context only after it has
// written the ping, and on a connection whose writes block that ends only when the
// connection is closed.
func (p *peer) ping(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	q := &probe{peer: p, result: make(chan error, 1)}
	go q.run(ctx)
	select {
	case err := <-q.result:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// probe is one ping in progress.
type probe struct {
	peer   *peer
	result chan error
}

// run sends the ping.
func (q *probe) run(ctx context.Context) {
	var nothing struct{}
	q.result <- q.peer.rpc.Call(ctx, methodPing, nothing, &nothing)
}

// replaceConn replaces an unresponsive connection by a new one, if the peer responds on the
// new one while nothing was received on the old one.
func (w *watch) replaceConn() {
	p, c := w.peer, w.peer.client
	ctx, cancel := context.WithTimeout(w.ctx, pingTimeout)
	defer cancel()
	fresh, err := c.open(ctx, p.address)
	if err != nil {
		return // the peer itself cannot be reached; the call's own timeout reports it
	}
	if err := fresh.ping(ctx, pingTimeout); err != nil || p.conn.ReadCount() != w.reads {
		_ = fresh.rpc.Close() // the peer is unresponsive too, or the old connection works
		return
	}
	c.mu.Lock()
	if c.peers[p.address] == p {
		c.register(fresh)
	} else {
		defer fresh.rpc.Close() //nolint:errcheck // another connection is in use already
	}
	c.mu.Unlock()
	// Report it before the waiting calls end, so that a caller whose call ends finds it
	// reported.
	c.Logger.Warn().Str("event", "silent").Str("to", "process").Str("address", p.address).Dur("after", time.Since(w.startedAt)).
		Msg("replaced an unresponsive connection with a new one")
	if c.OnUnresponsive != nil {
		c.OnUnresponsive(p.address, time.Since(w.startedAt))
	}
	p.conn.Reset()
	_ = p.rpc.Close() // ends the calls that wait on it
}
