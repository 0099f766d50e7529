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

// Intervals and timeouts of the decider.
const (
	planPeriod       = time.Second
	idlePlanPeriod   = 5 * time.Second // between plans while nothing that they depend on changes
	planTimeout      = 10 * time.Second
	rebootTimeout    = 5 * time.Second
	rebootRetryAfter = 5 * time.Minute // after which a reboot without effect is requested again
)

// Decider proposes plans while its entry holds the role, and requests the reboots that the log has
// accepted.
type Decider struct {
	Clock       clock.Clock
	Logger      log.Logger
	Name        string
	Incarnation uint64
	Fleet       platform.Fleet
	Changed     func() (state.State, <-chan struct{})
	Propose     func(ctx context.Context, records []record.Record) ([]state.Verdict, error)

	lastBasis planBasis // of the latest plan; used by the loop only
	plannedAt time.Time

	mu       sync.Mutex
	last     Plan
	rebooted map[string]rebootRequest // by worker
}

// rebootRequest is a reboot that this process requested from the platform.
type rebootRequest struct {
	version uint64 // of the instance, as set by the intent
	at      time.Time
}

// Run acts on every change of the state and periodically until the context ends.
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

// due reports whether the role, the instances, the members or the configuration have changed since
// the latest plan, or so much time has passed that something may have become due.
func (d *Decider) due(s state.State) bool {
	now := d.Clock.Now()
	basis := planBasis{topology: s.TopologyChangedAt(), version: s.Catalog.Version, holds: d.holds(s)}
	if basis == d.lastBasis && now.Sub(d.plannedAt) < idlePlanPeriod {
		return false
	}
	d.lastBasis, d.plannedAt = basis, now
	return true
}

func (d *Decider) holds(s state.State) bool {
	return s.HoldsRole(record.RolePools, d.Name, d.Incarnation)
}

// planBasis is what a plan depends on.
type planBasis struct {
	topology uint64
	version  uint64
	holds    bool // whether the role is held
}

// RunOnce requests the accepted reboots of this process, which no other process may request, and
// proposes the plan for a state if it holds the role.
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
			d.Logger.Info().Err(v).Int("record", i).Msg("a record of the plan was rejected, since the state has changed")
		}
	}
}

// reboot requests each reboot whose intent this process wrote, and requests it again if it has had
// no effect for a long time.
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
		d.requestReboot(ctx, id)
	}
}

// requestReboot requests a reboot from the platform. One that was definitely refused is requested
// again the next time.
func (d *Decider) requestReboot(ctx context.Context, worker string) {
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

// rebootDue records that a reboot is requested, and reports false if it was requested recently.
func (d *Decider) rebootDue(worker string, version uint64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rebooted == nil {
		d.rebooted = make(map[string]rebootRequest)
	}
	a, known := d.rebooted[worker]
	if known && a.version == version && now.Sub(a.at) < rebootRetryAfter {
		return false
	}
	d.rebooted[worker] = rebootRequest{version, now}
	return true
}

// LatestPlan returns the latest plan of this process.
func (d *Decider) LatestPlan() Plan {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}
