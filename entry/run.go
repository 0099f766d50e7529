// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/slots"
)

// Times of an entry's life.
const (
	startPause  = 500 * time.Millisecond
	idlePeriod  = 50 * time.Millisecond
	evenPeriod  = time.Second
	pokeTimeout = time.Second
	leaveLimit  = 5 * time.Second
)

// ErrReplaced says that the platform has replaced this process.
var ErrReplaced = errors.New("this process was replaced or taken off the platform's list")

// loop is one of the entry's activities.
type loop func(ctx context.Context)

// Start reads the log, joins the roster and begins to work; the work goes on
// until the context ends. It returns once the entry is ready.
func (e *Entry) Start(ctx context.Context) error {
	e.server.Handlers = e.handlers()
	go e.server.Run(ctx)
	if err := e.catchUp(ctx); err != nil {
		return err
	}
	for _, l := range []loop{
		e.Ledger.Run, e.runUpdates, e.runPokes, e.Exchanger.Run, e.runIdle,
	} {
		go l(ctx)
	}
	if err := e.join(ctx); err != nil {
		return err
	}
	for _, l := range []loop{
		e.Members.Run, e.fleet.Run, e.keeper.Run, e.taker.Run, e.Pools.Run, e.Jobs.Run, e.runBalance,
	} {
		go l(ctx)
	}
	if err := e.awaitFleet(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	e.ready = true
	e.mu.Unlock()
	e.Logger.Info().Uint64("offset", e.Ledger.State().Offset).Msg("ready")
	return nil
}

// catchUp reads the log to its end, or a peer's state while the log is down.
func (e *Entry) catchUp(ctx context.Context) error {
	for {
		err := e.Ledger.Start(ctx)
		if err == nil {
			return nil
		}
		e.Logger.Warn().Err(err).Msg("no state yet")
		select {
		case <-e.Clock.After(startPause):
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// join enters the roster, which waits for the log; an entry that is not in it
// can borrow no slots and is not ready.
func (e *Entry) join(ctx context.Context) error {
	return errors.Annotate(e.Ledger.Join(ctx), "joining the roster")
}

// awaitFleet waits until the platform's instance list has been seen once, by
// any entry; without it no pool can be judged.
func (e *Entry) awaitFleet(ctx context.Context) error {
	for {
		s, changed := e.Ledger.Changed()
		if s.ListRevision > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// runUpdates hands each newer state to the parts that keep books of it.
func (e *Entry) runUpdates(ctx context.Context) {
	for ctx.Err() == nil {
		s, changed := e.Ledger.Changed()
		e.Lender.Update(s)
		e.Holder.Update(s)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// runPokes sends pokes one after another.
func (e *Entry) runPokes(ctx context.Context) {
	for {
		select {
		case p := <-e.pokes:
			e.poke(ctx, p)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) poke(ctx context.Context, p pokeTo) {
	if p.entry == e.Setting.Entry.Name {
		e.Holder.HandleNotification(p.poke)
		return
	}
	bounded, cancel := context.WithTimeout(ctx, pokeTimeout)
	defer cancel()
	if err := e.client.Notify(bounded, p.entry, p.poke); err != nil {
		e.Logger.Debug().Err(err).Str("entry", p.entry).Msg("not poked")
	}
}

// runIdle tells the log which draining targets have become idle.
func (e *Entry) runIdle(ctx context.Context) {
	for ctx.Err() == nil {
		e.Lender.NotifyWaiting()
		for _, i := range e.Lender.Idle() {
			err := e.Ledger.ProposeOne(ctx, record.Record{Drained: &record.Drained{Worker: i.Worker, Epoch: i.Epoch}})
			if err != nil && ctx.Err() == nil {
				e.Logger.Debug().Err(err).Str("worker", i.Worker).Msg("drained not recorded")
			}
		}
		select {
		case <-e.Clock.After(idlePeriod):
		case <-ctx.Done():
		}
	}
}

// runBalance hands slots over to entries that own fewer, one at a time.
func (e *Entry) runBalance(ctx context.Context) {
	for ctx.Err() == nil {
		if h, ok := slots.Balance(e.Ledger.State(), e.Setting.Entry.Name); ok {
			if err := e.Ledger.ProposeOne(ctx, record.Record{Handoff: &h}); err != nil {
				e.Logger.Debug().Err(err).Str("worker", h.Worker).Msg("slots not handed over")
			}
		}
		select {
		case <-e.Clock.After(evenPeriod):
		case <-ctx.Done():
		}
	}
}

// Ready returns nil while the balancer may send requests here, and else why
// it may not.
func (e *Entry) Ready() error {
	e.mu.Lock()
	ready := e.ready
	e.mu.Unlock()
	switch {
	case !ready:
		return errkind.New(errkind.Stopping, "not serving")
	case e.Ledger.Removed():
		return errors.Trace(ErrReplaced)
	}
	age := e.Clock.Now().Sub(e.Ledger.LastContact())
	if age > e.CurrentSetting().Limits.StaleAfter.Std() {
		return errkind.New(errkind.LogUnavailable, "neither the log nor a peer that is fresh enough was reached for %s", age.Round(time.Second))
	}
	return nil
}

// Withdraw makes the entry not ready, so that the balancer sends no more.
func (e *Entry) Withdraw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ready = false
}

// Shutdown ends a planned stop: it waits for the requests in flight, hands every
// slot back and leaves the roster.
func (e *Entry) Shutdown(ctx context.Context) {
	e.Dispatch.Stop()
	bounded, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	if err := e.Ledger.ProposeOne(bounded, record.Record{Leave: &record.Leave{}}); err != nil {
		e.Logger.Warn().Err(err).Msg("left without the log's knowledge")
	}
	e.client.Close()
}
