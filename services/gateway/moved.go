// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// moveTTL is how long after a queue was moved to another pool the previous pool is still queried
// whether it has accepted a job. A job is submitted again at most some seconds after it was
// accepted; the limit allows ten times that.
const moveTTL = 30 * time.Second

// poolMoves records the previous pools of queues; its zero value records none.
type poolMoves struct {
	mu       sync.Mutex
	previous map[string][]previousPool // by the queue's key
}

// previousPool is a pool that a queue used until a time.
type previousPool struct {
	pool  string
	until time.Time
}

// record records the queues of a configuration that the next one moves to another pool or removes.
func (m *poolMoves) record(last, next *config.Config, now time.Time) {
	if last == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	for i := range last.Queues {
		q := &last.Queues[i]
		if n := next.Queue(q.Key()); n != nil && n.Pool == q.Pool {
			continue
		}
		if m.previous == nil {
			m.previous = make(map[string][]previousPool)
		}
		list := slices.DeleteFunc(m.previous[q.Key()], func(p previousPool) bool { return p.pool == q.Pool })
		m.previous[q.Key()] = append(list, previousPool{q.Pool, now})
	}
}

// expire drops moves older than moveTTL. The lock is held.
func (m *poolMoves) expire(now time.Time) {
	for key, list := range m.previous {
		list = slices.DeleteFunc(list, func(p previousPool) bool { return now.Sub(p.until) > moveTTL })
		if len(list) == 0 {
			delete(m.previous, key)
			continue
		}
		m.previous[key] = list
	}
}

// earlierPools returns the pools that a queue used within moveTTL.
func (m *poolMoves) earlierPools(q *config.Queue, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var pools []string
	for _, p := range m.previous[q.Key()] {
		if p.pool != q.Pool && now.Sub(p.until) <= moveTTL {
			pools = append(pools, p.pool)
		}
	}
	return pools
}

// acceptedEarlier reports whether a pool that the queue used within moveTTL has accepted a job. If
// the query to such a pool fails, the outcome is unknown, since the job may exist there.
func (g *Gateway) acceptedEarlier(ctx context.Context, q *config.Queue, id job.ID, customer string) (bool, error) {
	for _, pool := range g.moves.earlierPools(q, g.Clock.Now()) {
		state, err := call(ctx, g, pool, func(ctx context.Context, h *PoolHandler) (job.State, error) { return h.State(ctx, id, customer) })
		switch {
		case err == nil:
			g.Logger.Info().Str("event", "submit").Str("job", string(id)).Str("queue", q.Key()).Str("pool", pool).Str("now", q.Pool).
				Str("state", string(state)).Str("outcome", "known").Msg("a job was submitted again after its queue had moved to another pool")
			return true, nil
		case errkind.Is(err, errkind.Forbidden):
			return false, err
		case !errkind.Is(err, errkind.Gone):
			return false, errkind.New(errkind.OutcomeUnknown, "it is unknown whether pool %s, which the queue used before, has accepted the job: %v", pool, err)
		}
	}
	return false, nil
}
