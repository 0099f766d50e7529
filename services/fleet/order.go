// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/codec"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// intent is the record of an order that is about to be sent.
type intent struct {
	Instance     string    `cbor:"1,keyasint"`
	Worker       worker.ID `cbor:"2,keyasint"`
	To           string    `cbor:"3,keyasint"`
	Wave         int       `cbor:"4,keyasint"`
	At           int64     `cbor:"5,keyasint"` // start of its time limits, in milliseconds since 1970
	OutcomeKnown bool      `cbor:"6,keyasint"` // the order's outcome is known
	From         string    `cbor:"7,keyasint"`
	StartedAt    int64     `cbor:"8,keyasint,omitempty"`
	Epoch        uint64    `cbor:"9,keyasint,omitempty"`  // of the holder that wrote it
	Since        int64     `cbor:"10,keyasint,omitempty"` // At on the holder's own clock, in milliseconds since its claim
	Unsettled    int64     `cbor:"11,keyasint,omitempty"` // for how long after At an earlier attempt may be carried out, in milliseconds
}

// holderTime is the record of a holder's own clock, which each of its appends carries. The times of day
// of two nodes may differ by seconds, so the age of an intent is known from its holder's clock only.
type holderTime struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Since int64  `cbor:"2,keyasint"` // milliseconds since its claim
}

// ended reports whether the list shows that the incarnation for which an order was sent has ended.
// The response does not show it: an order that was already done in an earlier incarnation of the
// instance also gets a response that reports it as done.
func (m *Manager) ended(a *action) bool {
	i, there := m.view.instances[a.instance]
	return there && (i.Condition != port.Up || i.Worker != a.worker)
}

// fresh is the maximum age of a report that shows a worker as empty.
const fresh = period

// mayOrder reports whether an action's order may be sent: its instance has no worker, or its pool's
// owner has just reported the worker as empty, and no other worker of the instance.
func (m *Manager) mayOrder(a *action) bool {
	if a.worker == "" {
		return true
	}
	p := m.view.pools[a.from]
	if p == nil || m.Clock.Now().Sub(p.reportedAt) > fresh {
		return false
	}
	w := m.view.counts.reported[poolWorker{a.from, string(a.worker)}]
	if w == nil || !w.Empty || m.view.counts.incarnations[poolInstance{a.from, a.instance}] > 1 {
		return false
	}
	a.startedAt = w.StartedAt
	return true
}

// wait returns how long the order to an instance must wait because an earlier holder may have sent
// it one.
func (m *Manager) wait(name string) time.Duration {
	i, has := m.orders[name]
	if !has {
		return 0
	}
	least := m.Limits.HolderLease + orderTransit + intentAge
	if !i.OutcomeKnown {
		least = max(least, unsettled)
	}
	return max(least, time.Duration(i.Unsettled)*time.Millisecond) - m.minAge(i)
}

// minAge returns the minimum time since the start of an earlier holder's intent: what the clock of the
// last holder shows from there to its last append, and what this node's clock shows since its claim,
// which came after that. An intent without an epoch is from an earlier version.
func (m *Manager) minAge(i intent) time.Duration {
	now := m.Clock.Now()
	sinceClaim := now.Sub(m.claimedAt)
	switch {
	case i.Epoch == 0:
		return now.Sub(m.Clock.FromWallTime(time.UnixMilli(i.At)))
	case i.Epoch == m.lastHolder.Epoch:
		return time.Duration(m.lastHolder.Since-i.Since)*time.Millisecond + sinceClaim
	case i.Epoch < m.lastHolder.Epoch:
		return time.Duration(m.lastHolder.Since)*time.Millisecond + sinceClaim
	}
	return sinceClaim
}

// mustWait reports whether the order of an action must wait for an earlier holder's, and logs that
// once.
func (m *Manager) mustWait(a *action) bool {
	wait := m.wait(a.instance)
	if wait > 0 && !a.putOff {
		a.putOff = true
		i := m.orders[a.instance]
		m.Logger.Info().Str("event", "order").Str("instance", a.instance).Uint64("epoch", i.Epoch).Bool("known", i.OutcomeKnown).
			Dur("age", m.minAge(i)).Dur("wait", wait).Str("outcome", "put off").Msg("an earlier holder may have sent an order to the instance")
	}
	return wait > 0
}

// append persists records together with the time on this holder's clock; without records it only
// confirms the role.
func (m *Manager) append(ctx context.Context, records []port.Record) error {
	value, err := codec.Marshal(holderTime{Epoch: m.Epoch(), Since: m.sinceClaim(m.Clock.Now())})
	if err != nil {
		return err
	}
	return m.Journal.Append(ctx, append(records, port.Record{Key: keyHolderTime, Value: value}))
}

// sinceClaim returns a time in milliseconds since this holder's claim.
func (m *Manager) sinceClaim(at time.Time) int64 { return at.Sub(m.claimedAt).Milliseconds() }

// dueOrders returns the actions whose orders are to be sent now, as many as the platform accepts: first
// those that bring a pool what it needs, then maintenance, and last what only takes instances out.
func (m *Manager) dueOrders() []*action {
	m.view.countReported()
	var due []*action
	for name, a := range m.view.actions {
		if a.stage != settling && m.view.instances[name].Condition == port.Up && m.mayOrder(a) && !m.mustWait(a) {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b *action) int {
		return cmp.Or(cmp.Compare(m.view.rank(a), m.view.rank(b)), cmp.Compare(a.instance, b.instance))
	})
	return due[:m.limiter.Take(len(due))]
}

// rank returns the order in which the orders of actions are sent.
func (v *view) rank(a *action) int {
	switch a.to {
	case "":
		return 1
	case v.headroom:
		return 2
	}
	return 0
}

// act sends the orders that may be sent, after their intents are persisted.
func (m *Manager) act(ctx context.Context) error {
	var records []port.Record
	ahead := intentTimes * m.Journal.LastDuration()
	due := m.dueOrders()
	for _, a := range due {
		r, err := m.intent(a, false, ahead)
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	if len(due) == 0 {
		return nil
	}
	written := m.Clock.Now()
	if err := m.append(ctx, records); err != nil {
		return err
	}
	if age := m.Clock.Now().Sub(written); age > intentAge+ahead {
		m.Logger.Info().Str("event", "order").Int("instances", len(due)).Dur("age", age).Str("outcome", "put off").
			Msg("intents took too long to be persisted and are written again")
		return nil
	}
	var orders sync.WaitGroup
	for _, a := range due {
		a.stage, a.sent = ordered, m.Clock.Now()
		orders.Go(func() { m.sendOrder(ctx, a) })
	}
	orders.Wait()
	return m.persistDone(ctx, due)
}

// intentTimes is how many times the duration of the last append an intent may take to be persisted,
// in addition to intentAge: on a slow store it waits for an append in progress and then for its
// own.
const intentTimes = 3

// intent returns the record of an order. Its time limits start at the given time ahead of now,
// which the append of the record may take, and the order is sent within intentAge after that.
func (m *Manager) intent(a *action, known bool, ahead time.Duration) (port.Record, error) {
	at := m.Clock.Now().Add(ahead)
	value, err := codec.Marshal(intent{
		Instance: a.instance, Worker: a.worker, To: a.to, Wave: a.wave, At: m.Clock.WallTime(at).UnixMilli(), OutcomeKnown: known, From: a.from,
		StartedAt: a.startedAt, Epoch: m.Epoch(), Since: m.sinceClaim(at), Unsettled: a.unsettledAt(at).Milliseconds(),
	})
	return port.Record{Key: keyIntent + a.instance, Value: value}, err
}

// sendOrder sends one order.
func (m *Manager) sendOrder(ctx context.Context, a *action) {
	issuer := port.Issuer{Holder: m.Node, Token: m.Epoch()}
	var err error
	if a.to != "" {
		err = m.Instances.Move(ctx, issuer, a.instance, a.to)
	} else {
		err = m.Instances.Maintain(ctx, issuer, a.instance, a.wave)
	}
	m.Logger.Info().Str("event", "order").Str("instance", a.instance).Str("worker", string(a.worker)).Str("from", a.from).
		Str("to", a.to).Int("wave", a.wave).Uint64("token", issuer.Token).AnErr("err", err).
		Dur("after", m.Clock.Now().Sub(a.began)).Msg("response to an order to an instance received")
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		a.stage, a.settledAt = settling, m.Clock.Now()
	case errkind.Is(err, errkind.OutcomeUnknown):
		a.unknown = m.Clock.Now() // the next plan sends it again; an order that is already done gets a response that reports it as done
	case errkind.Is(err, errkind.Overloaded):
		// The next plan sends it again.
	case errkind.Is(err, errkind.NotFound):
		if a.to != "" {
			m.view.barred[barredMove{kind(m.view.instances[a.instance]), a.to}] = a.instance
		}
		delete(m.view.actions, a.instance)
		a.stage = emptying
	case m.Clock.Now().Sub(a.unknown) < unsettled:
		// This attempt was refused; an earlier one may still be carried out.
	default:
		delete(m.view.actions, a.instance)
		a.stage = emptying
	}
}

// persistDone persists which orders have a known outcome, and which instances of waves have begun
// their maintenance.
func (m *Manager) persistDone(ctx context.Context, due []*action) error {
	var records []port.Record
	for _, a := range due {
		if a.stage == ordered {
			continue
		}
		r, err := m.intent(a, true, 0)
		if err != nil {
			return err
		}
		records = append(records, r)
		if a.stage != settling || a.to != "" {
			continue
		}
		records = append(records, port.Record{Key: keyDone + strconv.Itoa(a.wave) + "/" + a.instance, Value: []byte{1}})
		for _, w := range m.view.waves {
			if w.Number == a.wave {
				w.done[a.instance] = true
			}
		}
	}
	if len(records) == 0 {
		return nil
	}
	return m.append(ctx, records)
}
