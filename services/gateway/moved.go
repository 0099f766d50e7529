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

// movedFor is for how long after a queue has come to lead to another pool the earlier
// one is asked whether it has taken a job before. A job comes again some seconds after
// it was accepted at the latest; ten times that is spared.
const movedFor = 30 * time.Second

// moves remembers where queues led before; its zero value remembers nothing.
type moves struct {
	mu   sync.Mutex
	left map[string][]departure // by the queue's key
}

// departure says that a queue led to a pool until a time.
type departure struct {
	pool  string
	until time.Time
}

// note remembers the queues of a configuration that lead elsewhere, or nowhere, by
// the next one.
func (m *moves) note(last, next *config.Config, now time.Time) {
	if last == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(now)
	for i := range last.Queues {
		q := &last.Queues[i]
		if n := next.Queue(q.Key()); n != nil && n.Pool == q.Pool {
			continue
		}
		if m.left == nil {
			m.left = make(map[string][]departure)
		}
		list := slices.DeleteFunc(m.left[q.Key()], func(d departure) bool { return d.pool == q.Pool })
		m.left[q.Key()] = append(list, departure{q.Pool, now})
	}
}

// forget drops what is too long ago. The lock is held.
func (m *moves) forget(now time.Time) {
	for key, list := range m.left {
		list = slices.DeleteFunc(list, func(d departure) bool { return now.Sub(d.until) > movedFor })
		if len(list) == 0 {
			delete(m.left, key)
			continue
		}
		m.left[key] = list
	}
}

// earlier returns the pools that a queue led to a little while ago.
func (m *moves) earlier(q *config.Queue, now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var pools []string
	for _, d := range m.left[q.Key()] {
		if d.pool != q.Pool && now.Sub(d.until) <= movedFor {
			pools = append(pools, d.pool)
		}
	}
	return pools
}

// takenBefore reports whether a pool that the queue led to a little while ago has
// taken a job. Where one can't say, the outcome is unknown: the job may be there.
func (g *Gateway) takenBefore(ctx context.Context, q *config.Queue, id job.ID, by string) (bool, error) {
	for _, pool := range g.moves.earlier(q, g.Clock.Now()) {
		state, err := call(ctx, g, pool, func(ctx context.Context, d *PoolHandler) (job.State, error) { return d.State(ctx, id, by) })
		switch {
		case err == nil:
			g.Logger.Info().Str("event", "submit").Str("job", string(id)).Str("queue", q.Key()).Str("pool", pool).Str("now", q.Pool).
				Str("state", string(state)).Str("outcome", "known").Msg("a job came again after its queue had come to lead to another pool")
			return true, nil
		case errkind.Is(err, errkind.Forbidden):
			return false, err
		case !errkind.Is(err, errkind.Gone):
			return false, errkind.New(errkind.OutcomeUnknown, "whether pool %s, where the queue led before, has taken the job: %v", pool, err)
		}
	}
	return false, nil
}
