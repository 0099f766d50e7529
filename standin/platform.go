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

// Platform is the fake of instance list and workers; its zero value is empty.
type Platform struct {
	Clock    clock.Clock
	Lag      time.Duration       // how far the instance list is behind
	BootTime time.Duration       // how long a reboot takes
	OnReboot func(worker string) // told of each reboot as it begins, may be nil

	mu       sync.Mutex
	workers  map[string]*machine
	entries  map[string]bool
	revision uint64
	history  []shownList // oldest first
	reboots  int
	loseNext int // reboots and starts that take effect and report an error
	starts   map[string]int
	reported uint64 // revision of the reports
}

// machine is one worker with what it runs.
type machine struct {
	worker    fleet.Worker
	tasks     map[string]*task
	bootingTo time.Time // end of the reboot under way, zero for none
	stuck     bool      // never comes back from a reboot
	broken    bool      // fails every task
}

type task struct {
	spec  platform.Task
	state platform.TaskState
	until time.Time // end of the lease
	ends  time.Time
	cores int // used, at most as many as it is throttled to
	wants int // used if it were not throttled

	changed uint64 // revision of the reports at which it changed
}

// shownList is the list as it stood at a time.
type shownList struct {
	at      time.Time
	listing platform.Listing
}

// Fleet returns the instance list as the core sees it.
func (p *Platform) Fleet() platform.Fleet {
	return platform.Fleet{List: p.list, Reboot: p.reboot}
}

// SetWorker adds a worker or changes what the list says of it.
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
	p.changed()
}

// SetCondition changes the condition of a worker.
func (p *Platform) SetCondition(worker string, c fleet.Condition) error {
	p.mu.Lock()
	m, ok := p.workers[worker]
	p.mu.Unlock()
	if !ok {
		return errkind.New(errkind.NotFound, "worker %s is not known", worker)
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

// LoseResponses makes the next actions take effect and report an error.
func (p *Platform) LoseResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseNext = n
}

// SetEntry puts an instance of the system on the list or takes it off.
func (p *Platform) SetEntry(name string, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	if p.entries[name] == listed {
		return
	}
	p.entries[name] = listed
	p.changed()
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

// changed notes a new list; p.mu is held.
func (p *Platform) changed() {
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
	p.history = append(p.history, shownList{at: p.Clock.Now(), listing: l})
}

// list returns the newest list that is as old as the lag.
func (p *Platform) list(_ context.Context, known uint64) (platform.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.advance()
	bound := p.Clock.Now().Add(-p.Lag)
	shown := 0
	for shown+1 < len(p.history) && !p.history[shown+1].at.After(bound) {
		shown++
	}
	p.history = p.history[shown:]
	if len(p.history) == 0 || p.history[0].at.After(bound) {
		return platform.Listing{}, nil
	}
	if l := p.history[0].listing; l.Revision > known {
		return l, nil
	}
	return platform.Listing{Revision: p.history[0].listing.Revision}, nil
}

// reboot begins a restart of a worker.
func (p *Platform) reboot(_ context.Context, worker string) error {
	p.mu.Lock()
	m, ok := p.workers[worker]
	if !ok {
		p.mu.Unlock()
		return errkind.New(errkind.NotFound, "worker %s is not known", worker)
	}
	p.reboots++
	m.worker.Condition = fleet.Leaving
	m.bootingTo = p.Clock.Now().Add(p.BootTime)
	m.tasks = make(map[string]*task)
	p.changed()
	err := p.loseAnswer()
	p.mu.Unlock()
	if p.OnReboot != nil {
		p.OnReboot(worker)
	}
	return err
}

// loseAnswer returns an error for an action that took effect, if one is due.
func (p *Platform) loseAnswer() error {
	if p.loseNext == 0 {
		return nil
	}
	p.loseNext--
	return errkind.New(errkind.OutcomeUnknown, "the answer of the platform was lost")
}

// advance ends reboots, tasks and leases that are due; p.mu is held.
func (p *Platform) advance() {
	now := p.Clock.Now()
	for _, m := range p.workers {
		if !m.bootingTo.IsZero() && !m.stuck && !now.Before(m.bootingTo) {
			m.bootingTo = time.Time{}
			m.worker.BootCount++
			m.worker.Condition = fleet.Live
			p.changed()
		}
		for _, t := range m.tasks {
			was := t.state
			t.advance(now)
			if t.state != was {
				p.touch(t)
			}
		}
	}
}
