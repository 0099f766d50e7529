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

// intent is the record of an order that is about to be given.
type intent struct {
	Instance string    `cbor:"1,keyasint"`
	Worker   worker.ID `cbor:"2,keyasint"`
	To       string    `cbor:"3,keyasint"`
	Wave     int       `cbor:"4,keyasint"`
	At       int64     `cbor:"5,keyasint"` // from which its time counts, in milliseconds since 1970
	Known    bool      `cbor:"6,keyasint"` // its outcome is
	From     string    `cbor:"7,keyasint"`
	Born     int64     `cbor:"8,keyasint,omitempty"`
}

// ended reports whether the list shows that the life which an order was given for
// is over. The answer does not tell: an order that was done before, when the
// instance had another life, is answered as done too.
func (m *Manager) ended(a *action) bool {
	i, there := m.view.instances[a.instance]
	return there && (i.Condition != port.Up || i.Worker != a.worker)
}

// fresh is how old a report may be that says that a worker is empty.
const fresh = period

// granted reports whether an action's order may be given: its instance has no
// worker, or its pool's owner has just said that the worker is empty.
func (m *Manager) granted(a *action) bool {
	if a.worker == "" {
		return true
	}
	p := m.view.pools[a.from]
	if p == nil || m.Clock.Now().Sub(p.at) > fresh {
		return false
	}
	for _, w := range p.report.Workers {
		if w.ID == a.worker {
			a.born = w.StartedAt
			return w.Empty
		}
	}
	return false
}

// wait returns how long the order to an instance must wait, since an earlier
// holder has given it one.
func (m *Manager) wait(name string) time.Duration {
	i, has := m.past[name]
	if !has {
		return 0
	}
	least := m.Limits.HolderLease + clocks + intentAge
	if !i.Known {
		least = max(least, unsettled)
	}
	return least - m.Clock.Now().Sub(m.Clock.FromWallTime(time.UnixMilli(i.At)))
}

// act gives the orders that may be given, after their intents are kept.
func (m *Manager) act(ctx context.Context) error {
	var due []*action
	var records []port.Record
	ahead := intentTimes * m.Journal.LastDuration()
	for _, name := range slices.Sorted(maps.Keys(m.view.actions)) {
		a := m.view.actions[name]
		if a.stage == settling || !m.granted(a) || m.wait(name) > 0 {
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
			Msg("intents took too long to be kept and are made anew")
		return nil
	}
	var orders sync.WaitGroup
	for _, a := range due {
		a.stage, a.sent = ordered, m.Clock.Now()
		orders.Go(func() { m.give(ctx, a) })
	}
	orders.Wait()
	return m.keepDone(ctx, due)
}

// intentTimes is how many times as long as the last append an intent may take to be kept, beside
// intentAge: on a slow store it waits for an append that is under way, and then for its own.
const intentTimes = 3

// intent returns the record of an order that is given so much later than now at the most, and
// within intentAge.
func (m *Manager) intent(a *action, known bool, ahead time.Duration) (port.Record, error) {
	value, err := codec.Marshal(intent{
		Instance: a.instance, Worker: a.worker, To: a.to, Wave: a.wave, At: m.Clock.WallTime(m.Clock.Now().Add(ahead)).UnixMilli(), Known: known, From: a.from, Born: a.born,
	})
	return port.Record{Key: keyIntent + a.instance, Value: value}, err
}

// give gives one order.
func (m *Manager) give(ctx context.Context, a *action) {
	permit := port.Issuer{Holder: m.Node, Token: m.Epoch()}
	var err error
	if a.to != "" {
		err = m.Instances.Move(ctx, permit, a.instance, a.to)
	} else {
		err = m.Instances.Maintain(ctx, permit, a.instance, a.wave)
	}
	m.Logger.Info().Str("event", "order").Str("instance", a.instance).Str("worker", string(a.worker)).Str("from", a.from).
		Str("to", a.to).Int("wave", a.wave).Uint64("token", permit.Token).AnErr("err", err).
		Dur("after", m.Clock.Now().Sub(a.began)).Msg("an order to an instance was answered")
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		a.stage = settling
	case errkind.Is(err, errkind.OutcomeUnknown):
		a.unknown = m.Clock.Now() // it is given again with the next plan; one that is done already is answered as done
	case errkind.Is(err, errkind.Overloaded):
		// It is given again with the next plan.
	case errkind.Is(err, errkind.NotFound):
		if a.to != "" {
			m.view.barred[bar{kind(m.view.instances[a.instance]), a.to}] = true
		}
		delete(m.view.actions, a.instance)
		a.stage = emptying
	case m.Clock.Now().Sub(a.unknown) < unsettled:
		// This try was refused; an earlier one may be carried out yet.
	default:
		delete(m.view.actions, a.instance)
		a.stage = emptying
	}
}

// keepDone keeps which orders have been done, and what of waves.
func (m *Manager) keepDone(ctx context.Context, due []*action) error {
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
