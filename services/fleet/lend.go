// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"sync"
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

// allowTimeout bounds a question about allowances: what they lower is kept in one or two
// appends, each of which takes a quarter of a second on the store's slow days.
const allowTimeout = time.Second

// tellAllowances asks the pools that have not said yet that they have their allowances, or
// what is wanted of them, and reports whether there were any.
func (m *Manager) tellAllowances(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, allowTimeout)
	defer cancel()
	m.mu.Lock()
	due := m.lends.Due()
	questions := make([]quota.Question, len(due))
	for i, pool := range due {
		questions[i] = m.lends.Ask(pool)
	}
	m.mu.Unlock()
	var asks sync.WaitGroup
	for i, pool := range due {
		asks.Go(func() { m.askAllowances(bounded, pool, questions[i]) })
	}
	asks.Wait()
	return len(due) > 0
}

// askAllowances asks one pool.
func (m *Manager) askAllowances(ctx context.Context, pool string, q quota.Question) {
	s, err := m.Allow(ctx, pool, q)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.Logger.Debug().Str("event", "allowance").Str("pool", pool).Err(err).Msg("a pool's owner does not answer")
		return
	}
	m.lends.Take(pool, s, m.Clock.Now())
}
