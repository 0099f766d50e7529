// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pools

import (
	"context"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/platform"
)

// The times of the decider.
const (
	planPeriod    = time.Second
	planPatience  = 5 * time.Second // between plans while nothing that they rest on changes
	planTimeout   = 10 * time.Second
	rebootTimeout = 5 * time.Second
	rebootPatient = 5 * time.Minute // then a reboot of which nothing came is asked for again
)

// Decider proposes plans while its entry holds the role, and reboots what the
// log has accepted.
type Decider struct {
	Clock       clock.Clock
	Logger      log.Logger
	Name        string
	Incarnation uint64
	Fleet       platform.Fleet
	Changed     func() (state.State, <-chan struct{})
	Propose     func(ctx context.Context, records []record.Record) ([]state.Verdict, error)

	basis   planBasis // of the last plan; only the loop uses it
	planned time.Time

	mu       sync.Mutex
	last     Plan
	rebooted map[string]asked // by worker
}

// asked is a reboot that this process asked the platform for.
type asked struct {
	version uint64 // of the instance, which the intent set
	at      time.Time
}

// Run acts on every change and from time to time until the context ends.
func (d *Decider) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s, changed := d.Changed()
		if d.due(s) {
			d.RunOnce(ctx, s)
		}
		select {
		case <-changed:
		case <-d.Clock.After(planPeriod):
		case <-ctx.Done():
		}
	}
}

// due reports whether the role, instances, roster or configuration have changed
// since the last time, or so long has passed that something may have become due.
func (d *Decider) due(s state.State) bool {
	now := d.Clock.Now()
	basis := planBasis{topology: s.TopologyChangedAt(), version: s.Catalog.Version, holds: d.holds(s)}
	if basis == d.basis && now.Sub(d.planned) < planPatience {
		return false
	}
	d.basis, d.planned = basis, now
	return true
}

func (d *Decider) holds(s state.State) bool {
	return s.HoldsRole(record.RolePools, d.Name, d.Incarnation)
}

// planBasis is what a plan rests on.
type planBasis struct {
	topology uint64
	version  uint64
	holds    bool // the role
}

// RunOnce carries out the accepted reboots of this process, which nobody else may,
// and proposes the plan for a state if it holds the role.
func (d *Decider) RunOnce(ctx context.Context, s state.State) {
	d.reboot(ctx, s)
	if d.holds(s) {
		d.propose(ctx, s)
	}
}

func (d *Decider) propose(ctx context.Context, s state.State) {
	plan := MakePlan(s, d.Name, d.Incarnation, d.Clock.Now())
	d.mu.Lock()
	d.last = plan
	d.mu.Unlock()
	if len(plan.Records) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	verdicts, err := d.Propose(bounded, plan.Records)
	if err != nil {
		d.Logger.Warn().Err(err).Msg("plan not proposed")
		return
	}
	for i, v := range verdicts {
		if v != nil {
			d.Logger.Info().Err(v).Int("record", i).Msg("part of the plan was overtaken")
		}
	}
}

// reboot asks the platform for each reboot whose intent this process wrote, and
// again where nothing came of it for long.
func (d *Decider) reboot(ctx context.Context, s state.State) {
	now := d.Clock.Now()
	for id, i := range s.OutOfService() {
		if i.Phase != state.Rebooting || i.Worker.BootCount > i.BootCountAtReboot || i.Worker.Condition != fleet.Live {
			continue
		}
		if i.Rebooter != d.Name || i.RebooterIncarnation != d.Incarnation {
			continue
		}
		if !d.rebootDue(id, i.Version, now) {
			continue
		}
		d.askReboot(ctx, id)
	}
}

// askReboot asks the platform for a reboot; one that it surely refused is asked
// for again at the next occasion.
func (d *Decider) askReboot(ctx context.Context, worker string) {
	bounded, cancel := context.WithTimeout(ctx, rebootTimeout)
	defer cancel()
	err := d.Fleet.Reboot(bounded, worker)
	if err == nil {
		return
	}
	d.Logger.Warn().Err(err).Str("worker", worker).Msg("reboot not confirmed")
	if platform.Refused(err) {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.rebooted, worker)
	}
}

// rebootDue notes that a reboot is asked for, unless it was lately.
func (d *Decider) rebootDue(worker string, version uint64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rebooted == nil {
		d.rebooted = make(map[string]asked)
	}
	a, known := d.rebooted[worker]
	if known && a.version == version && now.Sub(a.at) < rebootPatient {
		return false
	}
	d.rebooted[worker] = asked{version, now}
	return true
}

// LatestPlan returns the newest plan of this process.
func (d *Decider) LatestPlan() Plan {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}
