// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/platform"
)

// Platform fakes the instance list and the workers; its zero value is empty.
type Platform struct {
	Clock    clock.Clock
	Lag      time.Duration       // delay of the instance list
	BootTime time.Duration       // how long a reboot takes
	OnReboot func(worker string) // called when a reboot begins, may be nil

	mu              sync.Mutex
	workers         map[string]*machine
	entries         map[string]bool
	revision        uint64
	history         []publishedList // oldest first
	reboots         int
	loseResponses   int // reboots and starts that take effect and report an error
	starts          map[string]int
	reportsRevision uint64
}

// machine is one worker and its tasks.
type machine struct {
	worker     fleet.Worker
	tasks      map[string]*task
	rebootEnds time.Time // end of the reboot in progress, zero for none
	stuck      bool      // never completes a reboot
	broken     bool      // fails every task
}

type task struct {
	spec        platform.Task
	state       platform.TaskState
	leaseEnds   time.Time
	ends        time.Time
	usedCores   int // at most the throttle limit
	wantedCores int // that it would use without a throttle limit

	changed uint64 // revision of the reports at which it changed
}

// publishedList is the instance list as of a time.
type publishedList struct {
	at      time.Time
	listing platform.Listing
}

// Fleet returns the instance list as the services use it.
func (p *Platform) Fleet() platform.Fleet {
	return platform.Fleet{List: p.list, Reboot: p.reboot}
}

// SetWorker adds a worker or changes its entry in the list.
func (p *Platform) SetWorker(w fleet.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	m, ok := p.workers[w.ID]
	if !ok {
		m = &machine{tasks: make(map[string]*task)}
		p.workers[w.ID] = m
	}
	m.worker = w
	if w.Condition == fleet.Gone {
		m.tasks = make(map[string]*task)
	}
	p.publish()
}

// SetCondition changes the condition of a worker.
func (p *Platform) SetCondition(worker string, c fleet.Condition) error {
	p.mu.Lock()
	m, ok := p.workers[worker]
	p.mu.Unlock()
	if !ok {
		return errkind.New(errkind.NotFound, "unknown worker %s", worker)
	}
	p.SetWorker(m.worker.WithCondition(c))
	return nil
}

// SetStuck makes the next reboots of a worker never end.
func (p *Platform) SetStuck(worker string, stuck bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.workers[worker]; ok {
		m.stuck = stuck
	}
}

// SetBroken makes a worker fail every task that it starts.
func (p *Platform) SetBroken(worker string, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.workers[worker]; ok {
		m.broken = broken
	}
}

// LoseResponses makes the next n actions take effect and report an error.
func (p *Platform) LoseResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseResponses = n
}

// SetEntry adds an entry to the instance list or removes it.
func (p *Platform) SetEntry(name string, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	if p.entries[name] == listed {
		return
	}
	p.entries[name] = listed
	p.publish()
}

// Reboots returns how many reboots have begun.
func (p *Platform) Reboots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reboots
}

func (p *Platform) init() {
	if p.workers == nil {
		p.workers = make(map[string]*machine)
		p.entries = make(map[string]bool)
		p.starts = make(map[string]int)
	}
}

// publish adds the current list to the history. The caller holds p.mu.
func (p *Platform) publish() {
	p.revision++
	l := platform.Listing{Revision: p.revision}
	for _, id := range slices.Sorted(maps.Keys(p.workers)) {
		if w := p.workers[id].worker; w.Condition != fleet.Gone {
			l.Workers = append(l.Workers, w)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.entries)) {
		if p.entries[name] {
			l.Entries = append(l.Entries, name)
		}
	}
	p.history = append(p.history, publishedList{at: p.Clock.Now(), listing: l})
}

// list returns the newest list that is at least as old as the lag.
func (p *Platform) list(_ context.Context, known uint64) (platform.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.advance()
	bound := p.Clock.Now().Add(-p.Lag)
	current := 0
	for current+1 < len(p.history) && !p.history[current+1].at.After(bound) {
		current++
	}
	p.history = p.history[current:]
	if len(p.history) == 0 || p.history[0].at.After(bound) {
		return platform.Listing{}, nil
	}
	if l := p.history[0].listing; l.Revision > known {
		return l, nil
	}
	return platform.Listing{Revision: p.history[0].listing.Revision}, nil
}

// reboot begins a reboot of a worker.
func (p *Platform) reboot(_ context.Context, worker string) error {
	p.mu.Lock()
	m, ok := p.workers[worker]
	if !ok {
		p.mu.Unlock()
		return errkind.New(errkind.NotFound, "unknown worker %s", worker)
	}
	p.reboots++
	m.worker.Condition = fleet.Leaving
	m.rebootEnds = p.Clock.Now().Add(p.BootTime)
	m.tasks = make(map[string]*task)
	p.publish()
	err := p.loseResponse()
	p.mu.Unlock()
	if p.OnReboot != nil {
		p.OnReboot(worker)
	}
	return err
}

// loseResponse returns an error for an action that took effect, if one is due.
func (p *Platform) loseResponse() error {
	if p.loseResponses == 0 {
		return nil
	}
	p.loseResponses--
	return errkind.New(errkind.OutcomeUnknown, "the response of the platform was lost")
}

// advance completes the reboots, tasks and leases that are due. The caller holds p.mu.
func (p *Platform) advance() {
	now := p.Clock.Now()
	for _, m := range p.workers {
		if !m.rebootEnds.IsZero() && !m.stuck && !now.Before(m.rebootEnds) {
			m.rebootEnds = time.Time{}
			m.worker.BootCount++
			m.worker.Condition = fleet.Live
			p.publish()
		}
		for _, t := range m.tasks {
			was := t.state
			t.advance(now)
			if t.state != was {
				p.recordChange(t)
			}
		}
	}
}
