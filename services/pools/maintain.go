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

// lateShare is the part of the period after which a due instance goes before
// others, whatever that costs.
const lateShare = 0.95

// BlockedInstance is an instance that is due for maintenance and can't be drained.
type BlockedInstance struct {
	Worker string `json:"worker"`
	Pool   string `json:"pool"`
	Reason string `json:"reason"`
}

// maintain drains what is due, whole racks as far as budgets allow, and one
// rack at a time unless time runs out.
func (p *planner) maintain() {
	m := p.s.Catalog.Maintenance()
	if m == nil || !inWindow(m, p.now) {
		return
	}
	due := p.due(m)
	racks := p.racksUnderWork()
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

// drainRack drains the instances of a rack that are to be rebooted along.
func (p *planner) drainRack(m *manifest.Maintenance, at rack) {
	for _, i := range p.inRack(at) {
		if i.Phase == state.InService && i.Worker.Condition == fleet.Live && p.wants(m, i) {
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
	return clock >= m.From || clock < m.Until // past midnight
}

// rebootLimit is how long a reboot keeps other racks waiting; one that takes
// longer may never come back.
const rebootLimit = time.Hour

// racksUnderWork returns the racks in which an instance is under maintenance
// and can still come back, in the order of their workers.
func (p *planner) racksUnderWork() []rack {
	var racks []rack
	for _, i := range p.s.OutOfService() {
		late := i.Phase == state.Rebooting && p.now.Sub(i.PhaseAt) > rebootLimit
		if i.Purpose != record.ForMaintenance || i.Worker.Condition == fleet.Gone || late {
			continue
		}
		if at := rackOf(i); !slices.Contains(racks, at) {
			racks = append(racks, at)
		}
	}
	return racks
}

// Each of these parts of the period that the oldest due instance has passed
// doubles the racks under work at once.
var hurryShares = []float64{0.85, 0.9, 0.95, 1}

// racksAtOnce returns how many racks may be under work: one, and more the
// nearer the end of the period is for what is due.
func (p *planner) racksAtOnce(m *manifest.Maintenance, due []state.Instance) int {
	racks := 1
	for _, share := range hurryShares {
		if len(due) > 0 && p.age(due[0]) >= m.PeriodFraction(share) {
			racks *= 2
		}
	}
	return racks
}

// wants reports whether an instance should be rebooted along with its rack: it
// is due, or halfway there. One on which a job runs waits until it is nearly
// overdue.
func (p *planner) wants(m *manifest.Maintenance, i state.Instance) bool {
	if p.runsOn(i) > 0 {
		return p.age(i) >= m.PeriodFraction(lateShare)
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

// nextRack returns the rack to begin with: that of the oldest due instance that
// can be drained as things are. One on which a job runs waits until it is nearly
// overdue; meanwhile it gets new jobs only where no other worker has room.
//
// A spare instance is lent to a pool only where there is no such rack, or where
// an instance is nearly overdue: a pool that has one keeps it until all of its
// own are done, so that a cycle costs one move for each pool that needs one, and
// not one for each rack.
func (p *planner) nextRack(m *manifest.Maintenance, due []state.Instance, taken []rack) (at rack, ok bool) {
	var blocked []state.Instance
	for _, i := range due {
		late := p.age(i) >= m.PeriodFraction(lateShare)
		err := p.mayDrain(i)
		switch {
		case slices.Contains(taken, rackOf(i)):
		case err == nil && (late || p.runsOn(i) == 0):
			return rackOf(i), true
		case err == nil: // its job may end in time
		default:
			p.block(i, err)
			if late && p.strengthen(i) {
				return rackOf(i), true
			}
			blocked = append(blocked, i)
		}
	}
	for _, i := range blocked {
		if p.strengthen(i) {
			return rackOf(i), true
		}
	}
	return rack{}, false
}

// mayDrain adds to the budget the rule that work which may not be repeated is
// left to finish.
func (p *planner) mayDrain(i state.Instance) error {
	for id, r := range p.s.RunsOn(i.Worker.ID) {
		if !r.Job.Repeatable {
			return errkind.New(errkind.Conflict, "job run %s may not be repeated and is left to finish", id)
		}
	}
	return p.s.CheckDrain(i)
}

// maxLent is how many instances a pool is lent at most: a second one where the
// first has come to stand in a rack with another one of the pool.
const maxLent = 2

// maxLendTries bounds for how many due instances of a pool a plan looks for one
// to lend; each look goes through all that could be lent.
const maxLendTries = 2

// strengthen lends the pool of a due instance one shared spare instance with
// which the instance can be drained, and reports whether there is one. An
// instance in the wrong rack would help nobody.
func (p *planner) strengthen(due state.Instance) bool {
	q := p.s.Catalog.Pool(due.Pool)
	if q == nil || p.lendTries[q.Name] >= maxLendTries || p.incoming[q.Name] > 0 || p.present(q) >= q.Size+maxLent {
		return false
	}
	p.lendTries[q.Name]++
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

// block notes why an instance can't be drained.
func (p *planner) block(i state.Instance, why error) {
	p.blocked = append(p.blocked, BlockedInstance{i.Worker.ID, i.Pool, errkind.Of(why).Message})
}

func (p *planner) drainOne(i state.Instance) {
	if err := p.mayDrain(i); err != nil {
		p.block(i, err)
		return
	}
	p.propose(record.Record{Drain: &record.Drain{Worker: i.Worker.ID, Version: i.Version, Purpose: record.ForMaintenance}})
}

// advance moves instances under maintenance on: to the reboot once they are
// idle, and back into service once they are up again.
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
