// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/capacity"
	"github.com/yardbridge/yardbridge/models/job"
	"github.com/yardbridge/yardbridge/services/admission"
)

// backlog is the work of waiting tasks whose jobs can still be in time.
type backlog struct {
	at      time.Time
	counted int // jobs that were counted
	loads   map[backlogKey]admission.Load
}

// slot returns the number of the step in which a latest start lies.
func (b *backlog) slot(latestStart time.Time) int64 {
	return int64(latestStart.Sub(b.at) / backlogStep)
}

// backlogKey is what the order of work depends on: the customer, the priority, and the latest start in
// steps of backlogStep.
type backlogKey struct {
	customer    string
	priority    int
	latestStart int64
}

// How finely the backlog is kept.
const (
	// backlogStep is the step of the latest starts.
	backlogStep = 100 * time.Millisecond
	// backlogSpacing is the least time between two counts for each job that was counted: they take some
	// hundredths of a core at most. What arrives in between is added.
	backlogSpacing = 10 * time.Microsecond
	// minBacklogSpacing is the least time between two counts.
	minBacklogSpacing = 20 * time.Millisecond
)

// currentBacklog returns the backlog.
func (p *Pool) currentBacklog(now time.Time) *backlog {
	b := &p.backlog
	if b.loads != nil && now.Sub(b.at) < max(minBacklogSpacing, time.Duration(b.counted)*backlogSpacing) {
		return b
	}
	*b = backlog{at: now, loads: make(map[backlogKey]admission.Load)}
	for _, j := range p.active {
		p.addBacklog(j, now)
	}
	return b
}

// addBacklog adds a job's waiting tasks to the backlog. Work that cannot be in time any more comes after
// all that can.
func (p *Pool) addBacklog(j *jobState, now time.Time) {
	if p.backlog.loads == nil || j.state.Final() || now.After(j.latestStart) {
		return
	}
	p.backlog.counted++
	if load := p.waitingLoad(j, now); load != (admission.Load{}) {
		key := backlogKey{j.sub.Customer, j.queue.Priority, p.backlog.slot(j.latestStart)}
		p.backlog.loads[key] = p.backlog.loads[key].Plus(load)
	}
}

// waitingLoad returns the load of a job's waiting tasks, in the rounds that are due.
func (p *Pool) waitingLoad(j *jobState, now time.Time) admission.Load {
	var load admission.Load
	add := func(spec *job.Step, waiting int, each time.Duration) {
		size := spec.Reservation().Times(waiting)
		load = load.Plus(admission.Load{Work: capacity.WorkOf(size, each+p.runOverhead()), Size: size})
	}
	for n, r := range j.openRounds() {
		if j.sub.RepeatCount > 0 && now.Before(p.due(j, n)) {
			break
		}
		for i := range r.steps {
			s := &r.steps[i]
			if waiting := s.waiting + s.held; waiting > 0 && !s.spec.LongRunning && !p.outOfReach(s, now) {
				add(s.spec, waiting, p.expectedStepTime(j, s))
			}
		}
	}
	unopened := p.unopened(j, now)
	for i := range j.sub.Steps {
		if spec := &j.sub.Steps[i]; unopened > 0 && !spec.LongRunning {
			add(spec, unopened*spec.Count, p.expectedRunTime(j.sub.Queue, spec))
		}
	}
	return load
}

// endDelay is the time from the end of a run until its capacity is used by another one, beside what
// the start of that one takes.
const endDelay = 30 * time.Millisecond

// runOverhead returns how much longer than it runs a task occupies its capacity: its start is persisted
// and sent first, which takes long on a slow store.
func (p *Pool) runOverhead() time.Duration { return seconds(p.startDelay.value) + endDelay }

// customerLoad is the part of the backlog of one customer, or of all.
type customerLoad struct {
	ahead  admission.Load
	behind map[int64]admission.Load // by the latest start
}

// add adds a load that comes before a job or after it.
func (c *customerLoad) add(l admission.Load, slot int64, before bool) {
	if before {
		c.ahead = c.ahead.Plus(l)
		return
	}
	if c.behind == nil {
		c.behind = make(map[int64]admission.Load)
	}
	c.behind[slot] = c.behind[slot].Plus(l)
}

// concerning returns the parts of the backlog that concern a job: of its customer, and of all customers.
// Work of a lower priority gives way.
func (p *Pool) concerning(j *jobState, now time.Time) (own, all customerLoad) {
	b := p.currentBacklog(now)
	slot, priority := b.slot(j.latestStart), j.queue.Priority
	for key, load := range b.loads {
		if key.priority > priority {
			continue
		}
		before := key.priority < priority || key.latestStart <= slot
		all.add(load, key.latestStart, before)
		if key.customer == j.sub.Customer {
			own.add(load, key.latestStart, before)
		}
	}
	return own, all
}

// due returns the load behind, in order of the waits after which it is in time. The backlog has the given
// age.
func (c *customerLoad) due(age time.Duration) []admission.Due {
	var list []admission.Due
	for slot, load := range c.behind {
		list = append(list, admission.Due{Latest: time.Duration(slot+1)*backlogStep - age, Load: load})
	}
	slices.SortFunc(list, func(a, b admission.Due) int { return cmp.Compare(a.Latest, b.Latest) })
	return list
}
