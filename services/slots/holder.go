// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
)

// Holder holds the slots that this entry has borrowed, and queues the requests
// that wait for one.
type Holder struct {
	Clock      clock.Clock
	Name       string // of this entry
	DataCenter string // of this entry
	// RequestExchange asks the exchange with an owner to run soon; it must not block.
	RequestExchange func(owner string)
	// MayUse reports whether a target is fit for new requests, beside what the
	// state says; nil for always.
	MayUse func(worker string) bool
	// Cost orders targets, the smallest first; nil for all alike.
	Cost func(worker string, inUse int) float64

	mu      sync.Mutex
	state   state.State
	targets map[string]*holding // by worker, all that are held or could be
	pools   map[string]*poolHoldings
	leaving map[string]*notice // by worker, learned before the log says so

	silent map[string]bool // owners that have not answered for a while, asked last

	mustHear map[string]uint64 // newest ownership that an owner took over from another
	told     map[string]uint64 // ownership up to which an owner was told what is held
}

// holding is what this entry holds of one target.
type holding struct {
	worker  string
	address string
	hall    string
	pool    string
	owner   string
	epoch   uint64
	held    int
	inUse   int
	serving bool
	dirty   bool // the owner has not been told the newest count
}

func (h *holding) idle() int { return h.held - h.inUse }

// poolHoldings is what this entry holds and wants of one pool.
type poolHoldings struct {
	name    string
	targets []*holding
	queue   queue
	owed    map[string]int  // slots in use that owners have recalled, by owner
	askedAt map[string]bool // owners that refused and have not poked since
	emptyAt time.Time       // last time at which nobody waited
	typical time.Duration   // usual time in a slot, as the newest request told
	limit   time.Duration   // time that the newest request has in all
}

// Update takes a newer state: the targets of each pool and their owners.
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
	clear(h.mustHear)
	for _, i := range s.Instances.All() {
		h.updateTarget(i)
		if !i.FirstOwner {
			h.mustHear[i.Owner] = max(h.mustHear[i.Owner], i.Epoch)
		}
	}
	for worker, t := range h.targets {
		if t.held == 0 && !t.dirty && !s.Instances.Has(worker) {
			delete(h.targets, worker)
		}
	}
	kicks := h.returnIdle()
	for owner := range h.mustHear {
		if h.mustTell(owner) {
			kicks = append(kicks, owner)
		}
	}
	for _, p := range h.pools {
		kicks = append(kicks, h.wantMore(p)...)
	}
	h.mu.Unlock()
	h.kickAll(kicks)
}

func (h *Holder) init() {
	if h.targets == nil {
		h.targets = make(map[string]*holding)
		h.pools = make(map[string]*poolHoldings)
		h.leaving = make(map[string]*notice)
		h.silent = make(map[string]bool)
		h.mustHear = make(map[string]uint64)
		h.told = make(map[string]uint64)
	}
}

// mustTell reports whether an owner can't lend before it has heard from this
// entry what it holds, be it nothing; h.mu is held.
func (h *Holder) mustTell(owner string) bool {
	return owner != "" && h.mustHear[owner] > h.told[owner]
}

func (h *Holder) pool(name string) *poolHoldings {
	p, ok := h.pools[name]
	if !ok {
		p = &poolHoldings{name: name, owed: make(map[string]int), askedAt: make(map[string]bool)}
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
		t = &holding{worker: i.Worker.ID}
		h.targets[i.Worker.ID] = t
	}
	if i.Epoch != t.epoch {
		t.dirty = t.held > 0
	}
	t.address, t.hall, t.pool = i.Worker.Address, i.Worker.DataCenter, i.Pool
	t.owner, t.epoch = i.Owner, i.Epoch
	h.checkNotice(i.Worker)
	t.serving = i.Serving() && h.leaving[t.worker] == nil
	if i.Serving() {
		// Early news that it leaves may yet prove wrong.
		p := h.pool(i.Pool)
		p.targets = append(p.targets, t)
	}
}

func (h *Holder) kickAll(owners []string) {
	for _, o := range owners {
		h.RequestExchange(o)
	}
}

// held returns how many slots of a pool this entry holds; h.mu is held.
func (h *Holder) held(p *poolHoldings) int {
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

// Dump returns what is held of each target, and how many requests wait.
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
