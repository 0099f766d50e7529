// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/platform"
)

// defaultRun is how long a task runs whose command states no duration.
const defaultRun = time.Second

// Tasks returns the workers' tasks as the services use them.
func (p *Platform) Tasks() platform.Tasks {
	return platform.Tasks{
		Start:    p.startTask,
		Renew:    p.renewTasks,
		Stop:     p.stopTask,
		Throttle: p.throttleTask,
		Reports:  p.reports,
	}
}

// StartCount returns how often tasks of a job run were started, over all attempts.
func (p *Platform) StartCount(run string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for id, count := range p.starts {
		if strings.HasPrefix(id, run+"#") {
			n += count
		}
	}
	return n
}

// WantedCores returns how many cores the running tasks of each worker want.
func (p *Platform) WantedCores() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	wanted := make(map[string]int)
	for id, m := range p.workers {
		for _, t := range m.tasks {
			if t.state == platform.TaskRunning {
				wanted[id] += t.wantedCores
			}
		}
	}
	return wanted
}

// startTask starts a task; the command "sleep 2s use 4" runs for two seconds and uses four
// cores, "fail" fails immediately, "forever" runs until stopped.
func (p *Platform) startTask(_ context.Context, t platform.Task) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.workers[t.Worker]
	if !ok || m.worker.Condition == fleet.Gone {
		return errkind.New(errkind.NotFound, "unknown worker %s", t.Worker)
	}
	now := p.Clock.Now()
	p.starts[t.ID]++
	started := &task{spec: t, state: platform.TaskRunning, leaseEnds: now.Add(t.LeaseTTL), usedCores: t.Cores, wantedCores: t.Cores}
	started.plan(now)
	if m.broken {
		started.state = platform.TaskFailed
	}
	m.tasks[t.ID] = started
	p.recordChange(started)
	return p.loseResponse()
}

// plan derives from the command when the task ends and how many cores it uses.
func (t *task) plan(now time.Time) {
	t.ends = now.Add(defaultRun)
	words := strings.Fields(t.spec.Command)
	for i, w := range words {
		switch {
		case w == "forever":
			t.ends = time.Time{}
		case w == "fail":
			t.state = platform.TaskFailed
		case w == "sleep" && i+1 < len(words):
			if d, err := time.ParseDuration(words[i+1]); err == nil {
				t.ends = now.Add(d)
			}
		case w == "use" && i+1 < len(words):
			if n, err := strconv.Atoi(words[i+1]); err == nil {
				t.usedCores, t.wantedCores = n, n
			}
		}
	}
}

// advance ends the task when its time or its lease is over.
func (t *task) advance(now time.Time) {
	if t.state != platform.TaskRunning {
		return
	}
	if !t.ends.IsZero() && !now.Before(t.ends) && !t.ends.After(t.leaseEnds) {
		t.state = platform.TaskDone
		return
	}
	if now.After(t.leaseEnds) {
		t.state = platform.TaskStopped
	}
}

func (p *Platform) renewTasks(_ context.Context, worker string, ids []string, lease time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	m, ok := p.workers[worker]
	if !ok {
		return errkind.New(errkind.NotFound, "unknown worker %s", worker)
	}
	for _, id := range ids {
		if t, ok := m.tasks[id]; ok && t.state == platform.TaskRunning {
			t.leaseEnds = p.Clock.Now().Add(lease)
		}
	}
	return nil
}

func (p *Platform) stopTask(_ context.Context, worker, id string, _ bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	if m, ok := p.workers[worker]; ok {
		if t, ok := m.tasks[id]; ok && t.state == platform.TaskRunning {
			t.state = platform.TaskStopped
			p.recordChange(t)
		}
	}
	return p.loseResponse()
}

func (p *Platform) throttleTask(_ context.Context, worker, id string, cores int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.workers[worker]; ok {
		if t, ok := m.tasks[id]; ok {
			t.usedCores = min(t.usedCores, cores)
			p.recordChange(t)
		}
	}
	return nil
}

// recordChange records that a task's report has changed. The caller holds p.mu.
func (p *Platform) recordChange(t *task) {
	p.reportsRevision++
	t.changed = p.reportsRevision
}

func (p *Platform) reports(_ context.Context, known uint64) (platform.Reports, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	r := platform.Reports{Revision: p.reportsRevision, Complete: known == 0 || known > p.reportsRevision}
	for _, id := range slices.Sorted(maps.Keys(p.workers)) {
		m := p.workers[id]
		for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
			t := m.tasks[name]
			if r.Complete || t.changed > known {
				r.Tasks = append(r.Tasks, platform.TaskStatus{ID: name, Worker: id, State: t.state, Cores: t.usedCores})
			}
		}
	}
	return r, nil
}
