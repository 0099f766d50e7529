// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/quota"
)

// allowanceLoop decides on the allowances of all pools whenever they have reported. It runs beside
// the instance planner because it waits for the store and for the pools to persist their
// allowances, which the planner does not.
type allowanceLoop struct {
	m     *Manager
	ended chan error // receives the reason for the end
}

// run decides on allowances until the context ends or another node holds the role.
func (l allowanceLoop) run(ctx context.Context) {
	for {
		select {
		case <-l.m.reported:
		case <-ctx.Done():
			l.ended <- nil
			return
		}
		if err := l.m.updateAllowances(ctx); err != nil {
			l.ended <- err
			return
		}
	}
}

// lendRounds is how many rounds of allowance decisions follow each other. Capacity passes from one
// pool to another in three rounds of about 30 ms each: collecting the demand, returning and
// lending.
const lendRounds = 3

// updateAllowances decides on the allowances of all pools, persists them and sends them to the
// pools.
func (m *Manager) updateAllowances(ctx context.Context) error {
	c := m.Config()
	if c == nil {
		return nil
	}
	for range lendRounds {
		m.mu.Lock()
		records, err := m.lender.Plan(c, m.Clock.Now())
		m.mu.Unlock()
		if err != nil {
			return err
		}
		if len(records) > 0 {
			if err := m.append(ctx, records); err != nil {
				return err
			}
		}
		if !m.sendAllowances(ctx) {
			return nil
		}
	}
	return nil
}

// Bounds of allowance queries.
const (
	// allowTimeout bounds one query. Lowered allowances are persisted in one or two appends, each
	// of which takes a quarter of a second while the store is slow.
	allowTimeout = time.Second
	// roundWait is how long a round waits for responses: an overloaded owner must not keep capacity
	// from the other pools.
	roundWait = 150 * time.Millisecond
)

// sendAllowances queries the pools that have not confirmed their allowances yet or whose accounts
// are requested, and reports whether there were any.
func (m *Manager) sendAllowances(ctx context.Context) bool {
	m.mu.Lock()
	var queries []allowanceQuery
	for _, pool := range m.lender.DuePools() {
		if !m.querying[pool] {
			m.querying[pool] = true
			queries = append(queries, allowanceQuery{m, pool, m.lender.Query(pool)})
		}
	}
	m.mu.Unlock()
	responses := make(chan struct{}, len(queries))
	for _, q := range queries {
		go q.run(ctx, responses)
	}
	late := m.Clock.After(roundWait)
	for range queries {
		select {
		case <-responses:
		case <-late:
			return true
		}
	}
	return len(queries) > 0
}

// allowanceQuery is one allowance query to a pool's owner.
type allowanceQuery struct {
	m     *Manager
	pool  string
	query quota.Query
}

// run sends the query and applies the response.
func (q allowanceQuery) run(ctx context.Context, responses chan<- struct{}) {
	bounded, cancel := context.WithTimeout(ctx, allowTimeout)
	defer cancel()
	defer func() { responses <- struct{}{} }()
	m, pool := q.m, q.pool
	s, err := m.UpdateAllowances(bounded, pool, q.query)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.querying, pool)
	if err != nil {
		m.Logger.Debug().Str("event", "allowance").Str("pool", pool).Err(err).Msg("no response from the pool's owner to an allowance query")
		return
	}
	m.lender.ApplyReport(pool, s, m.Clock.Now())
}
