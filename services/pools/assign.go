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
)

// MissingGracePeriod is how long a pool waits for an instance that has left the platform's list, as
// long as its budget holds without it. Most such instances return, and then no move is needed.
const MissingGracePeriod = 2 * time.Minute

// Shortage describes a pool that is short of instances and can't be filled.
type Shortage struct {
	Pool    string `json:"pool"`
	Wanted  int    `json:"wanted"`
	Present int    `json:"present"`
	Reason  string `json:"reason"`
}

// planner builds records on a copy of the state that it updates with each of them, so that each
// record takes the earlier ones into account.
type planner struct {
	s         state.State
	name      string // of the entry that plans
	inc       uint64
	now       time.Time
	records   []record.Record
	shortages []Shortage
	blocked   []BlockedInstance

	spare        []state.Instance // spare instances not yet assigned, ordered by worker
	spareByRack  map[rack]int     // number of spare instances by rack
	incoming     map[string]int   // instances being moved, by destination pool
	lendAttempts map[string]int   // searches for an instance to lend, by pool
	laterMissing []int            // instances that each pool will still be short of after this one, largest number first
}

// countInstances collects the spare and incoming instances before instances are assigned.
func (p *planner) countInstances() {
	p.spare = p.s.PoolInstances(manifest.SparePool)
	p.spareByRack = make(map[rack]int)
	p.incoming = make(map[string]int)
	p.lendAttempts = make(map[string]int)
	for _, i := range p.spare {
		p.spareByRack[rackOf(i)]++
	}
	for _, i := range p.s.OutOfService() {
		if i.Purpose == record.ForMove {
			p.incoming[i.MoveTo]++
		}
	}
}

// propose adds a record if the fold would accept it, and reports whether it did.
func (p *planner) propose(r record.Record) bool {
	next, verdict := p.s.DryRun(p.name, p.inc, r)
	if verdict != nil {
		return false
	}
	p.s = next
	p.records = append(p.records, r)
	return true
}

// assign fills the pools that are short, with as few moves as possible.
func (p *planner) assign() {
	p.freeUndeclaredPools()
	p.countInstances()
	needs := p.needs()
	for at, n := range needs {
		for n.missing > 0 {
			p.laterMissing = missingPerPool(n.missing-1, needs[at+1:])
			if !p.fill(n.pool, nil) {
				break
			}
			n.missing--
		}
		if n.missing > 0 {
			p.shortages = append(p.shortages, Shortage{
				Pool: n.pool.Name, Wanted: n.pool.Size, Present: n.pool.Size - n.missing,
				Reason: "no spare worker is of an allowed kind, and no pool holds more than its size",
			})
		}
	}
	p.laterMissing = nil
}

// freeUndeclaredPools makes the instances of pools that are no longer declared spare.
func (p *planner) freeUndeclaredPools() {
	for id, i := range p.s.Instances.All() {
		if i.Pool != manifest.SparePool && p.s.Catalog.Pool(i.Pool) == nil {
			p.propose(record.Record{Move: &record.Move{Worker: id, Version: i.Version, To: manifest.SparePool}})
		}
	}
}

// poolNeed describes a pool that is short of instances.
type poolNeed struct {
	pool         *manifest.Pool
	missing      int
	budgetBroken bool // its budget does not hold
	candidates   int  // number of spare workers that it could take
}

// needs returns the pools that are short: those whose budget does not hold first, then those with
// the fewest candidates, then those that are short of the most instances.
func (p *planner) needs() []poolNeed {
	var needs []poolNeed
	for _, q := range p.s.Catalog.Pools() {
		missing := q.Size - p.present(q)
		if missing <= 0 {
			continue
		}
		needs = append(needs, poolNeed{
			pool:         q,
			missing:      missing,
			budgetBroken: p.s.Headroom(q).Spare() < 0,
			candidates:   p.countCandidates(q),
		})
	}
	slices.SortStableFunc(needs, func(a, b poolNeed) int {
		if a.budgetBroken != b.budgetBroken {
			if a.budgetBroken {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(a.candidates, b.candidates),
			cmp.Compare(b.missing, a.missing),
			cmp.Compare(a.pool.Name, b.pool.Name),
		)
	})
	return needs
}

// countCandidates counts the spare workers that a pool may take.
func (p *planner) countCandidates(q *manifest.Pool) int {
	n := 0
	for _, i := range p.spare {
		if i.Serving() && q.AcceptsKind(i.Worker.Kind) {
			n++
		}
	}
	return n
}

// present counts the instances that a pool has or will have again.
func (p *planner) present(q *manifest.Pool) int {
	budgetHolds := p.s.Headroom(q).Spare() >= 0
	n := 0
	for _, i := range p.s.PoolInstances(q.Name) {
		switch {
		case i.Purpose == record.ForMove:
		case i.Worker.Condition != fleet.Gone || i.Phase == state.Rebooting && budgetHolds:
			n++
		case budgetHolds && p.now.Sub(i.GoneAt) < MissingGracePeriod:
			n++
		}
	}
	return n + p.incoming[q.Name]
}

// fill adds one instance to a pool and reports whether it could: a spare one immediately, or one
// that another pool holds beyond its size, after a drain. Only instances for which accepts returns
// true are used; nil accepts all.
func (p *planner) fill(q *manifest.Pool, accepts func(state.Instance) bool) bool {
	spread := p.spreadOf(q)
	refused := make(map[string]bool)
	spare := suitable(p.spare, accepts)
	for {
		i, ok := p.best(q, spread, spare, refused)
		if !ok {
			break
		}
		if p.propose(record.Record{Move: &record.Move{Worker: i.Worker.ID, Version: i.Version, To: q.Name}}) {
			p.takeSpare(i)
			return true
		}
		refused[i.Worker.ID] = true
	}
	surplus := suitable(p.surplus(q), accepts)
	for {
		i, ok := p.best(q, spread, surplus, refused)
		if !ok {
			return false
		}
		if p.propose(record.Record{Drain: &record.Drain{Worker: i.Worker.ID, Version: i.Version, Purpose: record.ForMove, To: q.Name}}) {
			p.incoming[q.Name]++
			return true
		}
		refused[i.Worker.ID] = true
	}
}

// suitable returns the accepted instances, all of them if accepts is nil.
func suitable(instances []state.Instance, accepts func(state.Instance) bool) []state.Instance {
	if accepts == nil {
		return instances
	}
	var found []state.Instance
	for _, i := range instances {
		if accepts(i) {
			found = append(found, i)
		}
	}
	return found
}

// surplus returns the instances that a pool may take from pools that hold more than their size.
func (p *planner) surplus(q *manifest.Pool) []state.Instance {
	var found []state.Instance
	for _, o := range p.s.Catalog.Pools() {
		if o.Name == q.Name || p.present(o) <= o.Size {
			continue
		}
		for _, i := range p.s.PoolInstances(o.Name) {
			if i.Serving() && q.AcceptsKind(i.Worker.Kind) {
				found = append(found, i)
			}
		}
	}
	return found
}

// rack identifies a rack in a data centre.
type rack struct{ dataCenter, name string }

func rackOf(i state.Instance) rack { return rack{i.Worker.DataCenter, i.Worker.Rack} }

// spread counts the instances of a pool by rack and by data centre.
type spread struct {
	racks       map[rack]int
	dataCenters map[string]int
}

func (p *planner) spreadOf(q *manifest.Pool) spread {
	c := spread{racks: make(map[rack]int), dataCenters: make(map[string]int)}
	for _, i := range p.s.PoolInstances(q.Name) {
		c.racks[rackOf(i)]++
		c.dataCenters[i.Worker.DataCenter]++
	}
	return c
}

// best returns the candidate that leaves the pool the most instances when a failure domain is lost:
// first from the domain that the pool must survive with the fewest of its instances, then from the
// rack with the fewest. Among equals it prefers the candidate with the fewest job runs, then the
// one in the data centre with the fewest instances of the pool. If that would leave too few racks
// for the pools that are filled later, it takes one from the rack with the most spare workers
// instead.
func (p *planner) best(q *manifest.Pool, c spread, candidates []state.Instance, refused map[string]bool) (best state.Instance, ok bool) {
	fits := func(i *state.Instance) bool {
		return i.Serving() && q.AcceptsKind(i.Worker.Kind) && !refused[i.Worker.ID]
	}
	survive := func(inDataCenter int) int {
		if q.FailureDomain == manifest.DomainDataCenter {
			return inDataCenter
		}
		return 0
	}
	even, ok := lowestRank(candidates, fits, func(i *state.Instance) [5]int {
		at, inDataCenter := rackOf(*i), c.dataCenters[i.Worker.DataCenter]
		return [5]int{survive(inDataCenter), c.racks[at], p.runsOn(*i), inDataCenter, -p.spareByRack[at]}
	})
	if !ok || p.leavesEnoughRacks(rackOf(even)) {
		return even, ok
	}
	return lowestRank(candidates, fits, func(i *state.Instance) [5]int {
		at, inDataCenter := rackOf(*i), c.dataCenters[i.Worker.DataCenter]
		return [5]int{survive(inDataCenter), c.racks[at], p.runsOn(*i), -p.spareByRack[at], inDataCenter}
	})
}

// lowestRank returns the first candidate with the lowest rank among those that fit, and false if
// none fits.
func lowestRank(candidates []state.Instance, fits func(*state.Instance) bool, rank func(*state.Instance) [5]int) (best state.Instance, ok bool) {
	var bestRank [5]int
	at := -1
	for n := range candidates {
		if !fits(&candidates[n]) {
			continue
		}
		r := rank(&candidates[n])
		if at < 0 || slices.Compare(r[:], bestRank[:]) < 0 {
			at, bestRank = n, r
		}
	}
	if at < 0 {
		return best, false
	}
	return candidates[at], true
}

// missingPerPool returns the number of missing instances of each pool after one more instance is
// assigned, largest first.
func missingPerPool(remaining int, later []poolNeed) []int {
	missing := []int{remaining}
	for _, n := range later {
		missing = append(missing, n.missing)
	}
	slices.SortFunc(missing, func(a, b int) int { return cmp.Compare(b, a) })
	return missing
}

// leavesEnoughRacks reports whether the pools that are still short could each get instances in
// distinct racks if a spare worker of a rack is taken: for every k, any k pools must need no more
// than the sum over all racks of their spare workers, counting at most k for each rack.
func (p *planner) leavesEnoughRacks(taken rack) bool {
	racks := make(map[int]int) // by how many spare workers they have
	for at, spare := range p.spareByRack {
		if at == taken {
			spare--
		}
		racks[spare]++
	}
	needed := 0
	for k, missing := range p.laterMissing {
		needed += missing
		available := 0
		for spare, n := range racks {
			available += n * min(spare, k+1)
		}
		if needed > available {
			return false
		}
	}
	return true
}

// runsOn counts the job runs that use capacity of an instance's worker.
func (p *planner) runsOn(i state.Instance) int { return p.s.WorkerUsage(i.Worker.ID).Runs }

// takeSpare removes an instance from the spare ones.
func (p *planner) takeSpare(i state.Instance) {
	p.spareByRack[rackOf(i)]--
	at, _ := slices.BinarySearchFunc(p.spare, i.Worker.ID, func(o state.Instance, id string) int {
		return cmp.Compare(o.Worker.ID, id)
	})
	p.spare = slices.Delete(p.spare, at, at+1)
}
