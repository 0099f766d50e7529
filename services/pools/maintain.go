// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pools

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/errkind"
)

// nearlyOverdueShare is the part of the period after which a due instance takes precedence over
// others, whatever that costs.
const nearlyOverdueShare = 0.95

// BlockedInstance is an instance that is due for maintenance and can't be drained.
type BlockedInstance struct {
	Worker string `json:"worker"`
	Pool   string `json:"pool"`
	Reason string `json:"reason"`
}

// maintain drains due instances, complete racks as far as budgets allow, and one rack at a time
// unless the period is about to end.
func (p *planner) maintain() {
	m := p.s.Catalog.Maintenance()
	if m == nil || !inWindow(m, p.now) {
		return
	}
	due := p.due(m)
	racks := p.racksInMaintenance()
	for _, at := range racks {
		p.drainRack(m, at)
	}
	if len(racks) >= p.racksAtOnce(m, due) {
		return
	}
	if at, ok := p.nextRack(m, due, racks); ok {
		p.drainRack(m, at)
	}
}

// drainRack drains the instances of a rack that are to be rebooted together.
func (p *planner) drainRack(m *manifest.Maintenance, at rack) {
	for _, i := range p.inRack(at) {
		if i.Phase == state.InService && i.Worker.Condition == fleet.Live && p.shouldReboot(m, i) {
			p.drainOne(i)
		}
	}
}

// inWindow reports whether drains may begin at a time.
func inWindow(m *manifest.Maintenance, now time.Time) bool {
	if m.From == "" {
		return true
	}
	clock := now.UTC().Format("15:04")
	if m.From <= m.Until {
		return m.From <= clock && clock < m.Until
	}
	return clock >= m.From || clock < m.Until // the window spans midnight
}

// rebootLimit is how long a rebooting worker keeps other racks from maintenance; a worker that takes
// longer may never return.
const rebootLimit = time.Hour

// racksInMaintenance returns the racks with an instance in maintenance that can still return, in
// the order of their workers.
func (p *planner) racksInMaintenance() []rack {
	var racks []rack
	for _, i := range p.s.OutOfService() {
		hung := i.Phase == state.Rebooting && p.now.Sub(i.PhaseAt) > rebootLimit
		if i.Purpose != record.ForMaintenance || i.Worker.Condition == fleet.Gone || hung {
			continue
		}
		if at := rackOf(i); !slices.Contains(racks, at) {
			racks = append(racks, at)
		}
	}
	return racks
}

// urgentShares are parts of the period. Each of them that the oldest due instance has passed doubles
// the number of racks in maintenance at once.
var urgentShares = []float64{0.85, 0.9, 0.95, 1}

// racksAtOnce returns how many racks may be in maintenance: one, and more as the due instances get
// closer to the end of their period.
func (p *planner) racksAtOnce(m *manifest.Maintenance, due []state.Instance) int {
	racks := 1
	for _, share := range urgentShares {
		if len(due) > 0 && p.age(due[0]) >= m.PeriodFraction(share) {
			racks *= 2
		}
	}
	return racks
}

// shouldReboot reports whether an instance should be rebooted with its rack: if it is due, or has
// reached half of that age. An instance with a job run waits until it is nearly overdue.
func (p *planner) shouldReboot(m *manifest.Maintenance, i state.Instance) bool {
	if p.runsOn(i) > 0 {
		return p.age(i) >= m.PeriodFraction(nearlyOverdueShare)
	}
	return p.age(i) >= m.PeriodFraction(manifest.DueFraction/2)
}

func (p *planner) age(i state.Instance) time.Duration { return p.now.Sub(i.MaintainedAt) }

// due returns the instances that are due, the most overdue first.
func (p *planner) due(m *manifest.Maintenance) []state.Instance {
	var due []state.Instance
	for _, i := range p.s.Instances.All() {
		if i.Phase == state.InService && i.Worker.Condition == fleet.Live && p.age(i) >= m.PeriodFraction(manifest.DueFraction) {
			due = append(due, i)
		}
	}
	slices.SortStableFunc(due, func(a, b state.Instance) int {
		return cmp.Or(a.MaintainedAt.Compare(b.MaintainedAt), cmp.Compare(a.Worker.ID, b.Worker.ID))
	})
	return due
}

// nextRack returns the rack to begin with: that of the oldest due instance that can be drained now.
// An instance with a job run waits until it is nearly overdue; until then it gets new jobs only if
// no other worker has enough free capacity.
//
// A spare instance is lent to a pool only if there is no such rack, or if an instance is nearly
// overdue. A pool keeps a lent instance until all of its own are done, so that a maintenance cycle
// costs one move for each pool that needs one and not one for each rack.
func (p *planner) nextRack(m *manifest.Maintenance, due []state.Instance, inProgress []rack) (at rack, ok bool) {
	var blocked []state.Instance
	for _, i := range due {
		nearlyOverdue := p.age(i) >= m.PeriodFraction(nearlyOverdueShare)
		err := p.mayDrain(i)
		switch {
		case slices.Contains(inProgress, rackOf(i)):
		case err == nil && (nearlyOverdue || p.runsOn(i) == 0):
			return rackOf(i), true
		case err == nil: // its job may end in time
		default:
			p.block(i, err)
			if nearlyOverdue && p.lendInstance(i) {
				return rackOf(i), true
			}
			blocked = append(blocked, i)
		}
	}
	for _, i := range blocked {
		if p.lendInstance(i) {
			return rackOf(i), true
		}
	}
	return rack{}, false
}

// mayDrain checks the budget and, in addition, that no run which must not be repeated is
// interrupted.
func (p *planner) mayDrain(i state.Instance) error {
	for id, r := range p.s.RunsOn(i.Worker.ID) {
		if !r.Job.Repeatable {
			return errkind.New(errkind.Conflict, "job run %s is not repeatable and is left to finish", id)
		}
	}
	return p.s.CheckDrain(i)
}

// maxLent is the largest number of instances lent to a pool: a second one is needed if the first is
// now in the same rack as another instance of the pool.
const maxLent = 2

// maxLendAttempts is the number of due instances of a pool for which a plan searches for an
// instance to lend; each search examines all instances that could be lent.
const maxLendAttempts = 2

// lendInstance lends the pool of a due instance one shared spare instance that allows the due one
// to be drained, and reports whether there is one. An instance in an unsuitable rack would not
// help.
func (p *planner) lendInstance(due state.Instance) bool {
	q := p.s.Catalog.Pool(due.Pool)
	if q == nil || p.lendAttempts[q.Name] >= maxLendAttempts || p.incoming[q.Name] > 0 || p.present(q) >= q.Size+maxLent {
		return false
	}
	p.lendAttempts[q.Name]++
	return p.fill(q, func(i state.Instance) bool {
		return p.s.HeadroomWith(q, []state.Instance{i}, due.Worker.ID).Spare() >= 0
	})
}

func (p *planner) inRack(at rack) []state.Instance {
	var found []state.Instance
	for _, i := range p.s.Instances.All() {
		if rackOf(i) == at {
			found = append(found, i)
		}
	}
	return found
}

// block records why an instance can't be drained.
func (p *planner) block(i state.Instance, reason error) {
	p.blocked = append(p.blocked, BlockedInstance{i.Worker.ID, i.Pool, errkind.Of(reason).Message})
}

func (p *planner) drainOne(i state.Instance) {
	if err := p.mayDrain(i); err != nil {
		p.block(i, err)
		return
	}
	p.propose(record.Record{Drain: &record.Drain{Worker: i.Worker.ID, Version: i.Version, Purpose: record.ForMaintenance}})
}

// advance moves instances in maintenance to the next phase: to the reboot once they are idle, and
// back into service once they are up again.
func (p *planner) advance() {
	for id, i := range p.s.OutOfService() {
		switch {
		case i.Phase == state.Drained && i.Purpose == record.ForMaintenance:
			p.propose(record.Record{Reboot: &record.Reboot{Worker: id, Version: i.Version}})
		case i.Phase == state.Rebooting:
			p.propose(record.Record{Return: &record.Return{Worker: id, Version: i.Version}})
			p.propose(record.Record{Reboot: &record.Reboot{Worker: id, Version: i.Version}})
		}
	}
}
