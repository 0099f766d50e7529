// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/modules/table"
)

// index holds data derived from the tables, so that the cost of a record does not depend on the
// size of the fleet; it is rebuilt, never stored.
type index struct {
	poolWorkers   table.Groups[struct{}] // workers by pool
	owned         table.Table[int]       // instances by entry and pool
	ownedAll      table.Table[int]       // instances by entry
	gone          table.Table[struct{}]  // workers that the platform no longer lists
	outOfService  table.Table[struct{}]  // workers that are not in service
	poolChangedAt table.Table[uint64]    // offset after the newest change of a pool's instances or runs
	runs          runIndex
}

// Reindex rebuilds the indexes after a snapshot was read.
func (s State) Reindex() State {
	instances, runs := s.Instances, s.Runs
	s.index = index{}
	s.topology = s.Offset
	s.Instances = table.Table[Instance]{}
	s.Runs = table.Table[Run]{}
	for _, i := range instances.All() {
		s = s.withInstance(i)
	}
	for id, r := range runs.All() {
		s = s.withRun(id, r)
	}
	return s
}

// TopologyChangedAt returns the offset after the newest change of instances, owners of slots or
// membership, so that data derived from them needs to be updated only when it grows.
func (s State) TopologyChangedAt() uint64 { return s.topology }

// withEntry stores an entry of the membership.
func (s State) withEntry(name string, e Entry) State {
	s.Entries = s.Entries.With(name, e)
	s.topology = s.Offset
	return s
}

// withInstance stores an instance and updates the indexes.
func (s State) withInstance(i Instance) State {
	s = s.withoutInstance(i.Worker.ID)
	s.OwnersChangedAt = max(s.OwnersChangedAt, i.Epoch)
	s.topology = s.Offset
	s.Instances = s.Instances.With(i.Worker.ID, i)
	s.index.poolWorkers = s.index.poolWorkers.With(i.Pool, i.Worker.ID, struct{}{})
	s.index.poolChangedAt = s.index.poolChangedAt.With(i.Pool, s.Offset)
	if i.Worker.Condition == fleet.Gone {
		s.index.gone = s.index.gone.With(i.Worker.ID, struct{}{})
	}
	if i.Phase != InService {
		s.index.outOfService = s.index.outOfService.With(i.Worker.ID, struct{}{})
	}
	return s.countOwned(i, 1)
}

func (s State) withoutInstance(worker string) State {
	i, ok := s.Instances.Get(worker)
	if !ok {
		return s
	}
	s.Instances = s.Instances.Without(worker)
	s.topology = s.Offset
	s.index.poolWorkers = s.index.poolWorkers.Without(i.Pool, worker)
	s.index.poolChangedAt = s.index.poolChangedAt.With(i.Pool, s.Offset)
	s.index.gone = s.index.gone.Without(worker)
	s.index.outOfService = s.index.outOfService.Without(worker)
	return s.countOwned(i, -1)
}

func (s State) countOwned(i Instance, by int) State {
	if i.Owner == "" {
		return s
	}
	key := ownedKey(i.Owner, i.Pool)
	inPool, _ := s.index.owned.Get(key)
	inAll, _ := s.index.ownedAll.Get(i.Owner)
	s.index.owned = s.index.owned.With(key, inPool+by)
	s.index.ownedAll = s.index.ownedAll.With(i.Owner, inAll+by)
	return s
}

func ownedKey(entry, pool string) string { return entry + " " + pool }

// OwnedCount returns the number of instances of a pool whose slots an entry owns.
func (s State) OwnedCount(entry, pool string) int {
	n, _ := s.index.owned.Get(ownedKey(entry, pool))
	return n
}

// PoolInstances returns the instances that belong to a pool, in order.
func (s State) PoolInstances(pool string) []Instance {
	members := s.index.poolWorkers.Of(pool)
	found := make([]Instance, 0, members.Len())
	for worker := range members.All() {
		i, _ := s.Instances.Get(worker)
		found = append(found, i)
	}
	return found
}

// OutOfService yields the instances that are not in service, by worker.
func (s State) OutOfService() func(yield func(string, Instance) bool) {
	return func(yield func(string, Instance) bool) {
		for worker := range s.index.outOfService.All() {
			i, _ := s.Instances.Get(worker)
			if !yield(worker, i) {
				return
			}
		}
	}
}

// PoolChangedAt returns the offset after the newest change of a pool's instances or runs, 0 for
// none.
func (s State) PoolChangedAt(pool string) uint64 {
	at, _ := s.index.poolChangedAt.Get(pool)
	return at
}
