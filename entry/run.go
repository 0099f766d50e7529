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

// Intervals and timeouts of an entry.
const (
	startRetryPause = 500 * time.Millisecond
	idlePeriod      = 50 * time.Millisecond
	balancePeriod   = time.Second
	notifyTimeout   = time.Second
	leaveLimit      = 5 * time.Second
)

// ErrReplaced reports that the platform has replaced this process.
var ErrReplaced = errors.New("this process was replaced or removed from the platform's list")

// backgroundLoop is one of the entry's background activities; it runs until the context ends.
type backgroundLoop func(ctx context.Context)

// Start reads the log, joins the membership and starts the background activities, which run until
// the context ends. It returns once the entry is ready.
func (e *Entry) Start(ctx context.Context) error {
	e.server.Handlers = e.handlers()
	go e.server.Run(ctx)
	if err := e.catchUp(ctx); err != nil {
		return err
	}
	for _, l := range []backgroundLoop{
		e.Ledger.Run, e.runUpdates, e.runNotifications, e.Exchanger.Run, e.runIdle,
	} {
		go l(ctx)
	}
	if err := e.join(ctx); err != nil {
		return err
	}
	for _, l := range []backgroundLoop{
		e.Members.Run, e.fleet.Run, e.leaseKeeper.Run, e.snapshotTaker.Run, e.Pools.Run, e.Jobs.Run, e.runBalance,
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

// catchUp reads the log to its end, or a peer's state while the log is unavailable.
func (e *Entry) catchUp(ctx context.Context) error {
	for {
		err := e.Ledger.Start(ctx)
		if err == nil {
			return nil
		}
		e.Logger.Warn().Err(err).Msg("no state yet; retrying")
		select {
		case <-e.Clock.After(startRetryPause):
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// join joins the membership, which waits for the log; an entry that is not a member can't borrow
// slots and is not ready.
func (e *Entry) join(ctx context.Context) error {
	return errors.Annotate(e.Ledger.Join(ctx), "joining the membership")
}

// awaitFleet waits until any entry has recorded the platform's instance list; without the list the
// state of no pool can be determined.
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

// runUpdates passes each newer state to the lender and the holder.
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

// runNotifications sends queued notifications one after another.
func (e *Entry) runNotifications(ctx context.Context) {
	for {
		select {
		case p := <-e.notifications:
			e.sendNotification(ctx, p)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) sendNotification(ctx context.Context, p outgoingNotification) {
	if p.entry == e.Settings.Entry.Name {
		e.Holder.HandleNotification(p.notification)
		return
	}
	bounded, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	if err := e.client.Notify(bounded, p.entry, p.notification); err != nil {
		e.Logger.Debug().Err(err).Str("entry", p.entry).Msg("notification not sent")
	}
}

// runIdle records on the log which draining targets have become idle.
func (e *Entry) runIdle(ctx context.Context) {
	for ctx.Err() == nil {
		e.Lender.NotifyWaiting()
		for _, i := range e.Lender.Idle() {
			err := e.Ledger.ProposeOne(ctx, record.Record{Drained: &record.Drained{Worker: i.Worker, Epoch: i.Epoch}})
			if err != nil && ctx.Err() == nil {
				e.Logger.Debug().Err(err).Str("worker", i.Worker).Msg("drained target not recorded")
			}
		}
		select {
		case <-e.Clock.After(idlePeriod):
		case <-ctx.Done():
		}
	}
}

// runBalance hands slots over to entries that own fewer, one target at a time.
func (e *Entry) runBalance(ctx context.Context) {
	for ctx.Err() == nil {
		if h, ok := slots.Balance(e.Ledger.State(), e.Settings.Entry.Name); ok {
			if err := e.Ledger.ProposeOne(ctx, record.Record{Handoff: &h}); err != nil {
				e.Logger.Debug().Err(err).Str("worker", h.Worker).Msg("slots not handed over")
			}
		}
		select {
		case <-e.Clock.After(balancePeriod):
		case <-ctx.Done():
		}
	}
}

// Ready returns nil while the load balancer may send requests to this entry, and otherwise the
// reason why not.
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
	if age > e.CurrentSettings().Limits.StaleAfter.Std() {
		return errkind.New(errkind.LogUnavailable, "neither the log nor an up-to-date peer was reached for %s", age.Round(time.Second))
	}
	return nil
}

// Withdraw makes the entry not ready, so that the load balancer sends no more requests.
func (e *Entry) Withdraw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ready = false
}

// Shutdown completes a planned stop: it waits for the requests in flight, returns every slot and
// leaves the membership.
func (e *Entry) Shutdown(ctx context.Context) {
	e.Dispatch.Stop()
	bounded, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	if err := e.Ledger.ProposeOne(bounded, record.Record{Leave: &record.Leave{}}); err != nil {
		e.Logger.Warn().Err(err).Msg("leaving the membership was not recorded on the log")
	}
	e.client.Close()
}
