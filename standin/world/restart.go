// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"time"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
)

// Random behaviour of a worker that restarts.
const (
	listedLate = 2 * time.Second // the longest delay until it has written its entry, in half of the cases
	clockJump  = time.Minute     // the furthest that the machine's wall clock is set back, in a quarter of the cases
)

// RestartWithSameID makes workers that crash restart under the id that they had, from now
// on, and makes all workers report their start time.
func (w *World) RestartWithSameID() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sameIDRestarts = true
	for _, o := range w.workers {
		o.info.StartedAt = o.startedAt.UnixMilli()
		w.writeEntry(o)
	}
}

// restartWithSameID restarts a crashed worker under its id, and reports whether it did.
func (w *World) restartWithSameID(previous *Worker) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.instances[previous.info.Instance]
	if !w.sameIDRestarts || i == nil || i.pool != previous.info.Pool || i.condition != port.Down {
		return false
	}
	w.pastWorkers = append(w.pastWorkers, previous)
	o := w.startIncarnation(i, i.pool, previous.info.ID)
	o.deferred, o.DefersOrders = previous.deferred, previous.DefersOrders
	if w.random.IntN(4) == 0 {
		o.info.StartedAt -= w.random.Int64N(clockJump.Milliseconds())
	}
	late := time.Duration(0)
	if w.random.IntN(2) == 0 {
		late = time.Duration(w.random.Int64N(int64(listedLate)))
	}
	time.AfterFunc(late, func() { w.refreshEntry(o.info.ID) })
	return true
}

// refreshEntry makes a worker write its entry again, or removes the entry of one that is
// gone.
func (w *World) refreshEntry(id worker.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.workers[id]; !o.gone {
		w.writeEntry(o)
		return
	}
	w.partition(workersPartition).add([]port.Record{{Key: string(id)}})
}
