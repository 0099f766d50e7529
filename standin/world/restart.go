// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// The luck of a worker that starts again.
const (
	listedLate = 2 * time.Second // the longest until it has written its entry, half of the times
	clockJump  = time.Minute     // the furthest back that its machine's time of day has jumped, a quarter of the times
)

// RestartWithSameID has workers that crash come back under the id that they had, from now on,
// and all workers tell when they have started.
func (w *World) RestartWithSameID() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reborn = true
	for _, o := range w.workers {
		o.info.StartedAt = o.began.UnixMilli()
		w.list(o)
	}
}

// startAgain brings a worker that has crashed up under its id, and reports whether it does.
func (w *World) startAgain(before *Worker) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.instances[before.info.Instance]
	if !w.reborn || i == nil || i.pool != before.info.Pool || i.condition != port.Down {
		return false
	}
	w.past = append(w.past, before)
	o := w.begin(i, i.pool, before.info.ID)
	o.unheard, o.DefersOrders = before.unheard, before.DefersOrders
	if w.random.IntN(4) == 0 {
		o.info.StartedAt -= w.random.Int64N(clockJump.Milliseconds())
	}
	if o.info.StartedAt == before.info.StartedAt {
		o.info.StartedAt++
	}
	late := time.Duration(0)
	if w.random.IntN(2) == 0 {
		late = time.Duration(w.random.Int64N(int64(listedLate)))
	}
	time.AfterFunc(late, func() { w.relistLiving(o.info.ID) })
	return true
}

// relistLiving has a worker write its entry again, or removes that of one that is gone.
func (w *World) relistLiving(id worker.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.workers[id]; !o.over {
		w.list(o)
		return
	}
	w.partition(workersAt).add([]port.Record{{Key: string(id)}})
}
