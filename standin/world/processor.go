// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/services/port"
)

// Costs are the processor times of a node's work.
type Costs struct {
	Timer  time.Duration // a timer that fires
	Order  time.Duration // an order that is sent, and again when its response is read
	Poll   time.Duration // a poll that is sent, and again when its response is read
	Append time.Duration // an append that is sent, and again when its response is read
	Record time.Duration // each record of an append
	Line   time.Duration // a line of the log
}

// Processor is the processor of a node in the model. What runs on it gets its turn in the order in which it became
// ready, and takes as long as its work does at the processor's speed. Its fields are set before it is used.
type Processor struct {
	Speed float64 // processor time in a second: 0.8 is four fifths of a core
	Costs Costs

	mu     sync.Mutex
	freeAt time.Time // when the work so far is done
}

// Charge adds work of code that is running, and returns when it is done; what becomes ready later waits until then.
func (p *Processor) Charge(work time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(work) / p.Speed))
	return p.freeAt
}

// Use waits for a turn and does work.
func (p *Processor) Use(work time.Duration) { time.Sleep(time.Until(p.Charge(work))) }

// Clock returns a clock whose timers wait for a turn.
func (p *Processor) Clock() clock.Clock {
	return clock.Clock{AfterFunc: func(d time.Duration) <-chan time.Time {
		fired := make(chan time.Time, 1)
		time.AfterFunc(d, func() {
			p.Use(p.Costs.Timer)
			fired <- time.Now()
		})
		return fired
	}}
}

// Write is the output of a log whose lines are charged for.
func (p *Processor) Write(line []byte) (int, error) {
	p.Charge(p.Costs.Line)
	return len(line), nil
}

// Workers returns workers whose orders and polls, and the responses to them, wait for a turn.
func (p *Processor) Workers(workers port.Workers) port.Workers {
	return port.Workers{Open: func(w worker.Worker) *port.Link {
		l := workers.Open(w)
		return &port.Link{
			Start: func(ctx context.Context, s port.Start) port.Response {
				return onTurn(p, p.Costs.Order, func() port.Response { return l.Start(ctx, s) })
			},
			Stop: func(ctx context.Context, s port.Stop) port.Response {
				return onTurn(p, p.Costs.Order, func() port.Response { return l.Stop(ctx, s) })
			},
			SetCPUShare: func(ctx context.Context, s port.CPUShare) port.Response {
				return onTurn(p, p.Costs.Order, func() port.Response { return l.SetCPUShare(ctx, s) })
			},
			Poll: func(ctx context.Context, k port.Poll) (worker.PollResult, port.Response) {
				p.Use(p.Costs.Poll)
				defer p.Use(p.Costs.Poll)
				return l.Poll(ctx, k)
			},
			Close: l.Close,
		}
	}}
}

// Store returns a store whose appends, and the responses to them, wait for a turn.
func (p *Processor) Store(store port.Store) port.Store {
	send := store.Append
	store.Append = func(ctx context.Context, at port.Partition, w port.Writer, records []port.Record) error {
		p.Use(time.Duration(len(records)) * p.Costs.Record)
		return onTurn(p, p.Costs.Append, func() error { return send(ctx, at, w, records) })
	}
	return store
}

// onTurn makes a call on a processor: sending it and reading its response cost the same.
func onTurn[T any](p *Processor, cost time.Duration, call func() T) T {
	p.Use(cost)
	defer p.Use(cost)
	return call()
}
