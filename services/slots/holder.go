// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
)

// Holder holds the slots that this entry has borrowed and queues the requests that wait for one.
type Holder struct {
	Clock      clock.Clock
	Name       string // of this entry
	DataCenter string // of this entry
	// RequestExchange schedules an exchange with an owner; it must not block.
	RequestExchange func(owner string)
	// MayUse reports whether new requests may be sent to a target, in addition to what the state
	// allows; nil allows all.
	MayUse func(worker string) bool
	// Cost orders targets, the smallest first; if nil, they are ordered by the requests in flight.
	Cost func(worker string, inUse int) float64

	mu      sync.Mutex
	state   state.State
	targets map[string]*targetState // by worker; all targets of which slots are held or can be borrowed
	pools   map[string]*poolState
	leaving map[string]*notice // by worker, learned before the log reports it

	unresponsive map[string]bool // owners without a response for a while; others are asked first

	takeovers    map[string]uint64 // by owner, the newest ownership that it took over from another entry
	reportedUpTo map[string]uint64 // by owner, the ownership up to which the held slots were reported to it
}

// targetState is what this entry holds of one target.
type targetState struct {
	worker     string
	address    string
	dataCenter string
	pool       string
	owner      string
	epoch      uint64
	held       int
	inUse      int
	serving    bool
	dirty      bool // the newest count has not been reported to the owner
}

func (t *targetState) idle() int { return t.held - t.inUse }

// poolState is the targets of one pool and the requests that wait for it.
type poolState struct {
	name        string
	targets     []*targetState
	queue       queue
	recalled    map[string]int  // slots in use that owners have recalled, by owner
	refusedBy   map[string]bool // owners that refused a request and have sent no notification since
	emptyAt     time.Time       // last time at which the queue was empty
	typical     time.Duration   // typical time in a slot, from the newest request
	requestTime time.Duration   // total time of the newest request
}

// Update applies a newer state: the targets of each pool and their owners.
func (h *Holder) Update(s state.State) {
	h.mu.Lock()
	h.init()
	known := h.state.Offset > 0 && s.TopologyChangedAt() == h.state.TopologyChangedAt()
	if s.Offset >= h.state.Offset {
		h.state = s
	}
	if known || s.Offset < h.state.Offset {
		h.mu.Unlock()
		return
	}
	for worker, t := range h.targets {
		if !s.Instances.Has(worker) {
			t.serving = false
		}
	}
	for _, p := range h.pools {
		p.targets = p.targets[:0]
	}
	clear(h.takeovers)
	for _, i := range s.Instances.All() {
		h.updateTarget(i)
		if !i.FirstOwner {
			h.takeovers[i.Owner] = max(h.takeovers[i.Owner], i.Epoch)
		}
	}
	for worker, t := range h.targets {
		if t.held == 0 && !t.dirty && !s.Instances.Has(worker) {
			delete(h.targets, worker)
		}
	}
	owners := h.returnIdle()
	for owner := range h.takeovers {
		if h.mustReport(owner) {
			owners = append(owners, owner)
		}
	}
	for _, p := range h.pools {
		owners = append(owners, h.ownersToRequest(p)...)
	}
	h.mu.Unlock()
	h.requestExchanges(owners)
}

func (h *Holder) init() {
	if h.targets == nil {
		h.targets = make(map[string]*targetState)
		h.pools = make(map[string]*poolState)
		h.leaving = make(map[string]*notice)
		h.unresponsive = make(map[string]bool)
		h.takeovers = make(map[string]uint64)
		h.reportedUpTo = make(map[string]uint64)
	}
}

// mustReport reports whether an owner can't lend slots until this entry has reported what it holds,
// even if that is nothing; h.mu is held.
func (h *Holder) mustReport(owner string) bool {
	return owner != "" && h.takeovers[owner] > h.reportedUpTo[owner]
}

func (h *Holder) pool(name string) *poolState {
	p, ok := h.pools[name]
	if !ok {
		p = &poolState{name: name, recalled: make(map[string]int), refusedBy: make(map[string]bool)}
		h.pools[name] = p
	}
	return p
}

func (h *Holder) updateTarget(i state.Instance) {
	t, ok := h.targets[i.Worker.ID]
	if !ok {
		if i.Owner == "" {
			return
		}
		t = &targetState{worker: i.Worker.ID}
		h.targets[i.Worker.ID] = t
	}
	if i.Epoch != t.epoch {
		t.dirty = t.held > 0
	}
	t.address, t.dataCenter, t.pool = i.Worker.Address, i.Worker.DataCenter, i.Pool
	t.owner, t.epoch = i.Owner, i.Epoch
	h.expireNotice(i.Worker)
	t.serving = i.Serving() && h.leaving[t.worker] == nil
	if i.Serving() {
		// The notice that the target leaves may still turn out to be wrong.
		p := h.pool(i.Pool)
		p.targets = append(p.targets, t)
	}
}

func (h *Holder) requestExchanges(owners []string) {
	for _, o := range owners {
		h.RequestExchange(o)
	}
}

// held returns the number of slots of a pool that this entry holds; h.mu is held.
func (h *Holder) held(p *poolState) int {
	n := 0
	for _, t := range p.targets {
		n += t.held
	}
	return n
}

// Target is one row of a holder's dump.
type Target struct {
	Worker  string `json:"worker"`
	Pool    string `json:"pool"`
	Owner   string `json:"owner"`
	Held    int    `json:"held"`
	InUse   int    `json:"in_use"`
	Serving bool   `json:"serving"`
}

// Dump returns the slots held of each target and the number of waiting requests by pool.
func (h *Holder) Dump() (targets []Target, waiting map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	waiting = make(map[string]int)
	for _, t := range h.targets {
		targets = append(targets, Target{t.worker, t.pool, t.owner, t.held, t.inUse, t.serving})
	}
	for name, p := range h.pools {
		waiting[name] = p.queue.all()
	}
	return targets, waiting
}
