// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tests

import (
	"net"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// relay forwards connections from other entries to an entry's address for peers, and can delay
// either direction, like a network that delivers late or not at all.
type relay struct {
	listener net.Listener

	mu      sync.Mutex
	target  string        // address of the entry, empty until it is known
	delayed map[flow]bool // delayed directions
	changed chan struct{} // closed at the next change
	conns   []net.Conn
}

// flow is a direction of a relay's bytes.
type flow string

// The directions, as seen by the entry behind the relay.
const (
	inward  flow = "in"  // from other entries
	outward flow = "out" // responses of the entry
)

// cmdRelay puts a relay in front of an entry that is not started yet: relay NAME.
func (w *testEnv) cmdRelay(ts *testscript.TestScript, _ bool, args []string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	r := &relay{listener: l, delayed: make(map[flow]bool), changed: make(chan struct{})}
	w.relays[args[0]] = r
	go r.run()
}

// cmdCut delays the bytes between other entries and one: cut NAME [in] [out]. Without a direction
// all bytes pass again, including delayed ones.
func (w *testEnv) cmdCut(_ *testscript.TestScript, _ bool, args []string) {
	r := w.relays[args[0]]
	r.change(func() {
		clear(r.delayed)
		for _, f := range args[1:] {
			r.delayed[flow(f)] = true
		}
	})
}

// change changes the relay and wakes its waiting connections.
func (r *relay) change(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	close(r.changed)
	r.changed = make(chan struct{})
}

// end closes the listener and all connections.
func (r *relay) end() {
	_ = r.listener.Close()
	r.change(func() {
		clear(r.delayed)
		for _, c := range r.conns {
			_ = c.Close()
		}
	})
}

// run accepts connections until the relay ends.
func (r *relay) run() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		go relayedConn{r, from}.run()
	}
}

// relayedConn is one connection through a relay.
type relayedConn struct {
	r    *relay
	from net.Conn
}

func (p relayedConn) run() {
	p.r.wait(inward)
	p.r.mu.Lock()
	target := p.r.target
	p.r.mu.Unlock()
	to, err := net.Dial("tcp", target)
	if err != nil {
		_ = p.from.Close()
		return
	}
	p.r.mu.Lock()
	p.r.conns = append(p.r.conns, p.from, to)
	p.r.mu.Unlock()
	go pipe{p.r, outward, to, p.from}.run()
	pipe{p.r, inward, p.from, to}.run()
}

// wait returns once the target is known and a direction is not delayed.
func (r *relay) wait(f flow) {
	for {
		r.mu.Lock()
		open, changed := r.target != "" && !r.delayed[f], r.changed
		r.mu.Unlock()
		if open {
			return
		}
		<-changed
	}
}

// pipe is one direction of a connection.
type pipe struct {
	r        *relay
	flow     flow
	from, to net.Conn
}

// run forwards bytes, but none while its direction is delayed.
func (p pipe) run() {
	defer p.from.Close()
	defer p.to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := p.from.Read(buffer)
		p.r.wait(p.flow)
		if _, failed := p.to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}
