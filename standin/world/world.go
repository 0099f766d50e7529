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

// World is the model; use New to create one. mu guards everything except the network, which
// has its own lock.
type World struct {
	mu             sync.Mutex
	random         *rand.Rand
	partitions     map[port.Partition]*partition
	workers        map[worker.ID]*Worker
	instances      map[string]*instance
	waves          map[int]*waveState
	jobs           map[job.ID]*jobRecord
	faults         map[string]*Faults        // by node
	groups         []*nodeGroup              // nodes that are cut off together
	outages        map[port.Partition]Outage // partitions that are unavailable
	ticketValidity map[string]time.Duration  // how long a ticket is valid, by pool
	lostOrderShare float64                   // share of the orders to instances that get no response
	incarnations   int
	connections    uint64
	sameIDRestarts bool                       // crashed workers restart under their id
	pastWorkers    []*Worker                  // ended incarnations whose id another one has
	gangTimeouts   int                        // runs that timed out waiting for other members of their gang
	longRunEnds    int                        // runs of long-running tasks that have ended, for any reason
	limits         map[string][]customerLimit // of customers, the oldest first
	evacuations    map[string]time.Time       // since when data centres have been under evacuation
	appendTime     time.Duration              // that a partition takes for an append, 0 for none
	disturbedUntil time.Time                  // until when jobs may wait
	unreadUntil    time.Time                  // the last time a node could not read the store
	violations     []string
	network        network
}

// Faults are the faults injected for one node; the zero value is none.
type Faults struct {
	StoreUnresponsive  bool          // calls to the store get no response and do nothing
	StoreUnavailable   bool          // calls to the store are refused
	StoreLostResponses float64       // share of appends that are applied but get no response
	StoreLatency       time.Duration // added to each response
	PeersCut           bool          // nothing passes between this node and others
	WorkersCut         bool          // nothing passes between this node and workers
	HalvesCut          [2]bool       // nothing passes between this node and the workers with an even number, or an odd one
	IsolatedUntil      time.Time     // until when the node may be out of contact, so that rules with a time bound do not apply to it
	OrdersDelayedUntil time.Time     // until when its orders may be delayed in transit
}

// isolated reports whether the rules with a time bound do not apply to a node now.
func (f *Faults) isolated() bool {
	return time.Now().Before(f.IsolatedUntil) || time.Now().Before(f.OrdersDelayedUntil)
}

// New returns an empty world with a random source of the given seed.
func New(seed uint64) *World {
	return &World{
		random:         rand.New(rand.NewPCG(seed, seed)),
		partitions:     make(map[port.Partition]*partition),
		workers:        make(map[worker.ID]*Worker),
		instances:      make(map[string]*instance),
		waves:          make(map[int]*waveState),
		jobs:           make(map[job.ID]*jobRecord),
		faults:         make(map[string]*Faults),
		ticketValidity: make(map[string]time.Duration),
		evacuations:    make(map[string]time.Time),
	}
}

// SetFaults changes the faults of a node.
func (w *World) SetFaults(node string, change func(f *Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.fault(node)
	if f.withoutStore() {
		w.unreadUntil = time.Now()
	}
	change(f)
}

// fault returns the faults of a node. The caller holds w.mu.
func (w *World) fault(node string) *Faults {
	if w.faults[node] == nil {
		w.faults[node] = &Faults{}
	}
	return w.faults[node]
}

// violation records a violation of a rule and its time. The caller holds w.mu.
func (w *World) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...)+time.Now().Format(" (at 15:04:05.000)"))
}

// Violations returns the recorded violations.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// callTimeout is how long a call waits for a response before it times out.
const callTimeout = 400 * time.Millisecond

// noResponse waits like a call that gets no response, and returns its error.
func noResponse(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	return errkind.New(errkind.OutcomeUnknown, "no response")
}
