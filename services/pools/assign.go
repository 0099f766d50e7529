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

// MissingGracePeriod is how long a pool waits for an instance that left the platform's
// list, while its budget holds without it: most come back, at no move.
const MissingGracePeriod = 2 * time.Minute

// Shortage is what a pool lacks and nothing can fill.
type Shortage struct {
	Pool    string `json:"pool"`
	Wanted  int    `json:"wanted"`
	Present int    `json:"present"`
	Reason  string `json:"reason"`
}

// planner works out records on a state that it changes as it goes, so that
// each record is decided on what the ones before it lead to.
type planner struct {
	s         state.State
	name      string // of the entry that plans
	inc       uint64
	now       time.Time
	records   []record.Record
	shortages []Shortage
	blocked   []BlockedInstance

	spare     []state.Instance // by worker, those that have found no pool yet
	spareIn   map[rack]int     // of them, by rack
	incoming  map[string]int   // instances being moved, by the pool that they go to
	lendTries map[string]int   // looks for an instance to lend, by pool
	later     []int            // instances that each pool will still lack after this one, most first
}

// survey gathers what every pool's share is worked out from.
func (p *planner) survey() {
	p.spare = p.s.PoolInstances(manifest.SparePool)
	p.spareIn = make(map[rack]int)
	p.incoming = make(map[string]int)
	p.lendTries = make(map[string]int)
	for _, i := range p.spare {
		p.spareIn[rackOf(i)]++
	}
	for _, i := range p.s.OutOfService() {
		if i.Purpose == record.ForMove {
			p.incoming[i.MoveTo]++
		}
	}
}

// propose adds a record if the fold would accept it, and reports whether.
func (p *planner) propose(r record.Record) bool {
	next, verdict := p.s.DryRun(p.name, p.inc, r)
	if verdict != nil {
		return false
	}
	p.s = next
	p.records = append(p.records, r)
	return true
}

// assign fills the pools that are short with the fewest moves.
func (p *planner) assign() {
	p.emptyUndeclared()
	p.survey()
	needs := p.needs()
	for at, n := range needs {
		for n.missing > 0 {
			p.later = laterNeeds(n.missing-1, needs[at+1:])
			if !p.fill(n.pool, nil) {
				break
			}
			n.missing--
		}
		if n.missing > 0 {
			p.shortages = append(p.shortages, Shortage{
				Pool: n.pool.Name, Wanted: n.pool.Size, Present: n.pool.Size - n.missing,
				Reason: "no worker of an allowed kind is spare, and no pool holds more than it asks for",
			})
		}
	}
	p.later = nil
}

// emptyUndeclared puts the instances of pools that are no longer declared
// among the spare ones.
func (p *planner) emptyUndeclared() {
	for id, i := range p.s.Instances.All() {
		if i.Pool != manifest.SparePool && p.s.Catalog.Pool(i.Pool) == nil {
			p.propose(record.Record{Move: &record.Move{Worker: id, Version: i.Version, To: manifest.SparePool}})
		}
	}
}

// need is a pool that is short.
type need struct {
	pool    *manifest.Pool
	missing int
	broken  bool // its budget does not hold
	choice  int  // spare workers that it could take
}

// needs returns the pools that are short: those whose budget is broken first,
// then those with the least choice, then those that lack the most.
func (p *planner) needs() []need {
	var needs []need
	for _, q := range p.s.Catalog.Pools() {
		missing := q.Size - p.present(q)
		if missing <= 0 {
			continue
		}
		needs = append(needs, need{
			pool:    q,
			missing: missing,
			broken:  p.s.Headroom(q).Spare() < 0,
			choice:  p.choice(q),
		})
	}
	slices.SortStableFunc(needs, func(a, b need) int {
		if a.broken != b.broken {
			if a.broken {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(a.choice, b.choice),
			cmp.Compare(b.missing, a.missing),
			cmp.Compare(a.pool.Name, b.pool.Name),
		)
	})
	return needs
}

// choice counts the spare workers that a pool may take.
func (p *planner) choice(q *manifest.Pool) int {
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
	patient := p.s.Headroom(q).Spare() >= 0
	n := 0
	for _, i := range p.s.PoolInstances(q.Name) {
		switch {
		case i.Purpose == record.ForMove:
		case i.Worker.Condition != fleet.Gone || i.Phase == state.Rebooting && patient:
			n++
		case patient && p.now.Sub(i.GoneAt) < MissingGracePeriod:
			n++
		}
	}
	return n + p.incoming[q.Name]
}

// fill adds one instance to a pool and reports whether it could: a spare one
// at once, or one that another pool holds beyond its size after a drain. Of
// those only the ones that suit count; nil suits all.
func (p *planner) fill(q *manifest.Pool, suits func(state.Instance) bool) bool {
	spread := p.spreadOf(q)
	refused := make(map[string]bool)
	spare := suitable(p.spare, suits)
	for {
		i, ok := p.best(q, spread, spare, refused)
		if !ok {
			break
		}
		if p.propose(record.Record{Move: &record.Move{Worker: i.Worker.ID, Version: i.Version, To: q.Name}}) {
			p.took(i)
			return true
		}
		refused[i.Worker.ID] = true
	}
	surplus := suitable(p.surplus(q), suits)
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

// suitable returns the instances that suit, all of them for nil.
func suitable(instances []state.Instance, suits func(state.Instance) bool) []state.Instance {
	if suits == nil {
		return instances
	}
	var found []state.Instance
	for _, i := range instances {
		if suits(i) {
			found = append(found, i)
		}
	}
	return found
}

// surplus returns the instances of other pools that hold more than they ask
// for, as far as a pool may take them.
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

// rack names a rack of a hall.
type rack struct{ hall, name string }

func rackOf(i state.Instance) rack { return rack{i.Worker.DataCenter, i.Worker.Rack} }

// spread counts the instances of a pool by rack and hall.
type spread struct {
	racks map[rack]int
	halls map[string]int
}

func (p *planner) spreadOf(q *manifest.Pool) spread {
	c := spread{racks: make(map[rack]int), halls: make(map[string]int)}
	for _, i := range p.s.PoolInstances(q.Name) {
		c.racks[rackOf(i)]++
		c.halls[i.Worker.DataCenter]++
	}
	return c
}

// best returns the candidate that leaves the pool the most when a domain is
// lost: where the fewest of it stand in the domain that it must survive, then
// in the rack; of alike ones one on which the fewest jobs run, then one in the
// hall with the fewest of the pool. Where that would leave the pools that are
// filled later too few racks, one from the rack with the most spare workers is
// taken instead.
func (p *planner) best(q *manifest.Pool, c spread, candidates []state.Instance, refused map[string]bool) (best state.Instance, ok bool) {
	fits := func(i *state.Instance) bool {
		return i.Serving() && q.AcceptsKind(i.Worker.Kind) && !refused[i.Worker.ID]
	}
	survive := func(hall int) int {
		if q.FailureDomain == manifest.DomainDataCenter {
			return hall
		}
		return 0
	}
	even, ok := least(candidates, fits, func(i *state.Instance) [5]int {
		at, hall := rackOf(*i), c.halls[i.Worker.DataCenter]
		return [5]int{survive(hall), c.racks[at], p.runsOn(*i), hall, -p.spareIn[at]}
	})
	if !ok || p.leavesRoom(rackOf(even)) {
		return even, ok
	}
	return least(candidates, fits, func(i *state.Instance) [5]int {
		at, hall := rackOf(*i), c.halls[i.Worker.DataCenter]
		return [5]int{survive(hall), c.racks[at], p.runsOn(*i), -p.spareIn[at], hall}
	})
}

// least returns the first of the candidates that fit whose rank is the
// smallest, and false where none fits.
func least(candidates []state.Instance, fits func(*state.Instance) bool, rank func(*state.Instance) [5]int) (best state.Instance, ok bool) {
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

// laterNeeds returns what is lacking after one more instance, most first.
func laterNeeds(rest int, later []need) []int {
	lacks := []int{rest}
	for _, n := range later {
		lacks = append(lacks, n.missing)
	}
	slices.SortFunc(lacks, func(a, b int) int { return cmp.Compare(b, a) })
	return lacks
}

// leavesRoom reports whether the pools that are still short could each get
// their instances in racks of their own if a spare worker of a rack is taken:
// any k of them need no more than k of each rack's spare workers.
func (p *planner) leavesRoom(taken rack) bool {
	racks := make(map[int]int) // by how many spare workers they have
	for at, spare := range p.spareIn {
		if at == taken {
			spare--
		}
		racks[spare]++
	}
	need := 0
	for k, lack := range p.later {
		need += lack
		room := 0
		for spare, n := range racks {
			room += n * min(spare, k+1)
		}
		if need > room {
			return false
		}
	}
	return true
}

// runsOn counts the job runs that hold room on an instance's worker.
func (p *planner) runsOn(i state.Instance) int { return p.s.WorkerUsage(i.Worker.ID).Runs }

// took notes that a spare instance has found a pool.
func (p *planner) took(i state.Instance) {
	p.spareIn[rackOf(i)]--
	at, _ := slices.BinarySearchFunc(p.spare, i.Worker.ID, func(o state.Instance, id string) int {
		return cmp.Compare(o.Worker.ID, id)
	})
	p.spare = slices.Delete(p.spare, at, at+1)
}
