// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/quota"
)

// loan is what runs beside the plans for instances: it decides on the allowances of all pools
// whenever they have reported. It waits for the store and for what pools keep, which plans for
// instances do not.
type loan struct {
	m     *Manager
	ended chan error // gets why it has ended
}

// run decides on allowances until the context ends or another node holds the duty.
func (l loan) run(ctx context.Context) {
	for {
		select {
		case <-l.m.reported:
		case <-ctx.Done():
			l.ended <- nil
			return
		}
		if err := l.m.lend(ctx); err != nil {
			l.ended <- err
			return
		}
	}
}

// lendTurns is how often one after the other allowances are decided on: room that another
// pool has passes in three turns (what all want, giving back, lending), some 30 ms each.
const lendTurns = 3

// lend decides on the allowances of all pools, keeps them and tells the pools.
func (m *Manager) lend(ctx context.Context) error {
	c := m.Config()
	if c == nil {
		return nil
	}
	for range lendTurns {
		m.mu.Lock()
		records, err := m.lends.Plan(c, m.Clock.Now())
		m.mu.Unlock()
		if err != nil {
			return err
		}
		if len(records) > 0 {
			if err := m.Journal.Append(ctx, records); err != nil {
				return err
			}
		}
		if !m.tellAllowances(ctx) {
			return nil
		}
	}
	return nil
}

// The bounds of questions about allowances.
const (
	// allowTimeout bounds one: what it lowers is kept in one or two appends, each of which
	// takes a quarter of a second on the store's slow days.
	allowTimeout = time.Second
	// turnWait is how long a turn waits for answers: an owner that is swamped must not keep
	// room from the other pools.
	turnWait = 150 * time.Millisecond
)

// tellAllowances asks the pools that have not said yet that they have their allowances, or
// what is wanted of them, and reports whether there were any.
func (m *Manager) tellAllowances(ctx context.Context) bool {
	m.mu.Lock()
	var due []question
	for _, pool := range m.lends.DuePools() {
		if !m.asking[pool] {
			m.asking[pool] = true
			due = append(due, question{m, pool, m.lends.Query(pool)})
		}
	}
	m.mu.Unlock()
	answers := make(chan struct{}, len(due))
	for _, q := range due {
		go q.run(ctx, answers)
	}
	late := m.Clock.After(turnWait)
	for range due {
		select {
		case <-answers:
		case <-late:
			return true
		}
	}
	return len(due) > 0
}

// question is a question to a pool's owner about its allowances.
type question struct {
	m    *Manager
	pool string
	ask  quota.Query
}

// run asks the pool's owner.
func (q question) run(ctx context.Context, answers chan<- struct{}) {
	bounded, cancel := context.WithTimeout(ctx, allowTimeout)
	defer cancel()
	defer func() { answers <- struct{}{} }()
	m, pool := q.m, q.pool
	s, err := m.UpdateAllowances(bounded, pool, q.ask)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.asking, pool)
	if err != nil {
		m.Logger.Debug().Str("event", "allowance").Str("pool", pool).Err(err).Msg("a pool's owner does not answer")
		return
	}
	m.lends.ApplyReport(pool, s, m.Clock.Now())
}
