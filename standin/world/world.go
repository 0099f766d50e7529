// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package world

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

// World is the model; New makes it. Lock order: mu is the only lock.
type World struct {
	mu         sync.Mutex
	random     *rand.Rand
	partitions map[port.Partition]*partition
	workers    map[worker.ID]*Worker
	instances  map[string]*instance
	waves      map[int]*waveWork
	jobs       map[job.ID]*submitted
	faults     map[string]*Faults        // by node
	absent     map[port.Partition]Outage // partitions that are away
	policies   map[string]time.Duration  // how long a ticket holds, by pool
	ordersLost float64                   // share of the orders to instances that get no answer
	lives      int
	reborn     bool                  // workers that crash come back under their id
	past       []*Worker             // lives that are over and whose id another has
	alone      int                   // runs that have waited for the others of their gang in vain
	limits     map[string][]setLimit // of customers, the oldest first
	unread     time.Time             // until when a node could not read the store
	violations []string
	networks   network
}

// Faults are what is wrong for one node; the zero value is nothing.
type Faults struct {
	StoreUnresponsive  bool          // calls to the store get no answer and do nothing
	StoreUnavailable   bool          // calls to the store are refused
	StoreLostResponses float64       // share of appends that are done and not answered
	StoreLatency       time.Duration // added to each answer
	PeersCut           bool          // nothing passes between this node and others
	WorkersCut         bool          // nothing passes between this node and workers
	IsolatedUntil      time.Time     // until when the node is out of touch, for the rules with a time bound
	OrdersDelayedUntil time.Time     // until when its orders may be held up on their way
}

// apart reports whether the rules with a time bound do not apply to a node now.
func (f *Faults) apart() bool {
	return time.Now().Before(f.IsolatedUntil) || time.Now().Before(f.OrdersDelayedUntil)
}

// New returns an empty world whose luck is drawn from a seed.
func New(seed uint64) *World {
	return &World{
		random:     rand.New(rand.NewPCG(seed, seed)),
		partitions: make(map[port.Partition]*partition),
		workers:    make(map[worker.ID]*Worker),
		instances:  make(map[string]*instance),
		waves:      make(map[int]*waveWork),
		jobs:       make(map[job.ID]*submitted),
		faults:     make(map[string]*Faults),
		policies:   make(map[string]time.Duration),
	}
}

// SetFaults changes what is wrong for a node.
func (w *World) SetFaults(node string, change func(f *Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.fault(node)
	if f.storeless() {
		w.unread = time.Now()
	}
	change(f)
}

// fault returns what is wrong for a node. The lock is held.
func (w *World) fault(node string) *Faults {
	if w.faults[node] == nil {
		w.faults[node] = &Faults{}
	}
	return w.faults[node]
}

// broken notes something that must not happen. The lock is held.
func (w *World) broken(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// Violations returns what has happened that must not.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// callTimeout is how long a call waits for an answer that does not come.
const callTimeout = 400 * time.Millisecond

// silence waits as a call does that gets no answer.
func silence(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	return errkind.New(errkind.OutcomeUnknown, "no answer")
}
