// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"maps"
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
	Ahead        int64     `cbor:"9,keyasint,omitempty"` // by how much At is later than the time of writing, in milliseconds
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
// owner has just reported the worker as empty.
func (m *Manager) mayOrder(a *action) bool {
	if a.worker == "" {
		return true
	}
	p := m.view.pools[a.from]
	if p == nil || m.Clock.Now().Sub(p.reportedAt) > fresh {
		return false
	}
	for _, w := range p.report.Workers {
		if w.ID == a.worker {
			a.startedAt = w.StartedAt
			return w.Empty
		}
	}
	return false
}

// wait returns how long the order to an instance must wait because an earlier holder may have sent
// it one. The earlier holder sent it soon after its intent was persisted, and nothing of it was
// persisted after the claim of this holder. So the time since the claim decides: times of day of
// other nodes only show which intents are much older.
func (m *Manager) wait(name string) time.Duration {
	i, has := m.orders[name]
	if !has {
		return 0
	}
	least := m.Limits.HolderLease + orderTransit + intentAge
	if !i.OutcomeKnown {
		least = max(least, unsettled)
	}
	now := m.Clock.Now()
	if m.intentAge(i, now) >= least+maxClockError {
		return 0
	}
	return least + time.Duration(i.Ahead)*time.Millisecond - now.Sub(m.claimedAt)
}

// intentAge returns the time since the start of an intent's time limits by the times of day of its
// writer and of this node.
func (m *Manager) intentAge(i intent, now time.Time) time.Duration {
	return now.Sub(m.Clock.FromWallTime(time.UnixMilli(i.At)))
}

// logWaits logs the restored intents for which orders have to wait.
func (m *Manager) logWaits() {
	for _, name := range slices.Sorted(maps.Keys(m.orders)) {
		wait := m.wait(name)
		if wait <= 0 {
			continue
		}
		i := m.orders[name]
		m.Logger.Info().Str("event", "order").Str("instance", name).Str("to", i.To).Int("wave", i.Wave).Bool("known", i.OutcomeKnown).
			Dur("age", m.intentAge(i, m.Clock.Now())).Dur("wait", wait).Str("outcome", "put off").
			Msg("an earlier holder may have sent an order to the instance")
	}
}

// act sends the orders that may be sent, after their intents are persisted.
func (m *Manager) act(ctx context.Context) error {
	var due []*action
	var records []port.Record
	ahead := intentTimes * m.Journal.LastDuration()
	for _, name := range slices.Sorted(maps.Keys(m.view.actions)) {
		a := m.view.actions[name]
		if a.stage == settling || !m.mayOrder(a) || m.wait(name) > 0 {
			continue
		}
		if i := m.view.instances[name]; i.Condition != port.Up {
			continue
		}
		r, err := m.intent(a, false, ahead)
		if err != nil {
			return err
		}
		due = append(due, a)
		records = append(records, r)
	}
	if len(due) == 0 {
		return nil
	}
	written := m.Clock.Now()
	if err := m.Journal.Append(ctx, records); err != nil {
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
	value, err := codec.Marshal(intent{
		Instance: a.instance, Worker: a.worker, To: a.to, Wave: a.wave, At: m.Clock.WallTime(m.Clock.Now().Add(ahead)).UnixMilli(), OutcomeKnown: known, From: a.from, StartedAt: a.startedAt,
		Ahead: ahead.Milliseconds(),
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
		a.stage = settling
	case errkind.Is(err, errkind.OutcomeUnknown):
		a.unknown = m.Clock.Now() // the next plan sends it again; an order that is already done gets a response that reports it as done
	case errkind.Is(err, errkind.Overloaded):
		// The next plan sends it again.
	case errkind.Is(err, errkind.NotFound):
		if a.to != "" {
			m.view.barred[barredMove{kind(m.view.instances[a.instance]), a.to}] = true
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
	return m.Journal.Append(ctx, records)
}
