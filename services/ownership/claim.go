// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/journal"
)

// claim starts to claim a pool unless that is in progress, from its owner at an epoch, or from any if that is 0.
func (s *Manager) claim(pool string, from uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.running == nil || s.running.Err() != nil || s.Config() == nil || s.owned[pool] != nil || s.claiming[pool] {
		return
	}
	if s.claiming == nil {
		s.claiming = make(map[string]bool)
		s.refused = make(map[string]error)
		s.owned = make(map[string]*RoleRunner)
	}
	s.claiming[pool] = true
	s.tasks.Add(1)
	go claimTask{s, pool, from}.run(s.running)
}

// claimTask claims one pool and runs its role until the ownership ends.
type claimTask struct {
	s    *Manager
	pool string
	from uint64 // epoch of the owner to replace, 0 for any
}

// run claims the pool and serves it until it is no longer owned.
func (t claimTask) run(ctx context.Context) {
	defer t.s.tasks.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o, err := t.claim(ctx)
	t.s.mu.Lock()
	delete(t.s.claiming, t.pool)
	t.s.refused[t.pool] = err
	if err == nil {
		o.cancel, o.claimedAt = cancel, t.s.Clock.Now()
		t.s.owned[t.pool] = o
	}
	t.s.mu.Unlock()
	if err != nil {
		t.s.Logger.Info().Str("event", "claim").Str("pool", t.pool).Err(err).Str("outcome", "not owner").Msg("pool not claimed")
		return
	}
	err = o.Run(ctx)
	t.s.mu.Lock()
	delete(t.s.owned, t.pool)
	t.s.mu.Unlock()
	t.s.Logger.Info().Str("event", "ownership-end").Str("pool", t.pool).Uint64("epoch", o.Epoch()).AnErr("why", err).
		Msg("pool ownership ended")
}

// claim claims the pool and publishes the ownership to all nodes.
func (t claimTask) claim(ctx context.Context) (*RoleRunner, error) {
	self := t.s.Directory.Self
	c := t.s.Config()
	slot, err := t.s.Directory.AssignSlot(ctx, t.pool, t.s.Roles(c), c.PoolsOfQueues())
	if err != nil {
		return nil, err
	}
	o := t.s.Open(t.pool, slot)
	if o.Terms != nil {
		*o.Terms = t.terms(o)
	}
	if err := o.Claim(ctx, self.Name); err != nil {
		return nil, err
	}
	claimed := directory.Ownership{Pool: t.pool, Slot: slot, Epoch: o.Epoch(), Node: self.Name, Incarnation: self.Incarnation}
	if v, _ := t.s.Directory.View(); v != nil {
		claimed.Size = v.Pools[t.pool].Size
	}
	if o.Terms != nil {
		claimed.From, claimed.Read = o.Terms.From, o.Terms.Read
	}
	t.s.Directory.Observe(claimed) // from now on this node states that the pool has a later owner
	go publication{t.s, claimed, o}.run(ctx)
	return o, nil
}

// terms returns what the claim of a role states, and its check: an owner that hands its pool over must be the last one,
// and any other one must know this node or have ended.
func (t claimTask) terms(o *RoleRunner) journal.Terms {
	read := t.s.Directory.Reading()
	c := journal.Terms{Incarnation: read.Incarnation, Read: read.Read, From: read.From}
	c.Check = func(last journal.Claim) error {
		if t.from > 0 && last.Epoch != t.from {
			return errkind.New(errkind.Fenced, "pool %s was to be taken over from epoch %d, and node %s has claimed it at epoch %d", t.pool, t.from, last.Node, last.Epoch)
		}
		if t.from > 0 || o.Confirmed == nil {
			return nil
		}
		err := t.s.mayReplace(t.pool, last)
		if err != nil {
			t.s.putOffClaim(t.pool)
		}
		return err
	}
	return c
}

// putOffClaim keeps this node from claiming a pool for a while.
func (s *Manager) putOffClaim(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.putOff == nil {
		s.putOff = make(map[string]time.Time)
	}
	s.putOff[pool] = s.Clock.Now().Add(claimRetry)
}

// isPutOff reports whether this node does not claim a pool now.
func (s *Manager) isPutOff(pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock.Now().Before(s.putOff[pool])
}

// publication publishes an ownership until that succeeds.
type publication struct {
	s         *Manager
	ownership directory.Ownership
	runner    *RoleRunner
}

// run publishes the ownership.
func (t publication) run(ctx context.Context) {
	for {
		err := t.s.Directory.Publish(ctx, t.ownership)
		if err == nil {
			if t.runner.Published != nil {
				t.runner.Published()
			}
			return
		}
		t.s.Logger.Warn().Str("event", "publish").Str("pool", t.ownership.Pool).Err(err).Msg("ownership could not be published")
		select {
		case <-t.s.Clock.After(checkPeriod):
		case <-t.runner.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// TakeOver claims a pool at the request of its owner at an epoch, and returns the ownership once the pool is owned
// here. A request of an owner that was replaced is refused; epoch 0 stands for any owner.
func (s *Manager) TakeOver(ctx context.Context, pool string, epoch uint64) (directory.Ownership, error) {
	s.claim(pool, epoch)
	for {
		s.mu.Lock()
		t, claiming, refused := s.owned[pool], s.claiming[pool], s.refused[pool]
		s.mu.Unlock()
		if t != nil {
			return s.ownership(pool, t), nil
		}
		if !claiming && errkind.Is(refused, errkind.LogUnavailable) {
			return directory.Ownership{}, errkind.New(errkind.LogUnavailable, "pool %s was not claimed: %v", pool, refused)
		}
		if !claiming {
			return directory.Ownership{}, errkind.New(errkind.Fenced, "pool %s was not claimed", pool)
		}
		select {
		case <-s.Clock.After(takeOverPoll):
		case <-ctx.Done():
			return directory.Ownership{}, errkind.New(errkind.OutcomeUnknown, "pool %s is being claimed", pool)
		}
	}
}

// ownership returns the directory entry of a role that this node owns.
func (s *Manager) ownership(role string, t *RoleRunner) directory.Ownership {
	self := s.Directory.Self
	o := directory.Ownership{Pool: role, Epoch: t.Epoch(), Node: self.Name, Incarnation: self.Incarnation}
	if v, _ := s.Directory.View(); v != nil {
		o.Slot, o.Size = v.Pools[role].Slot, v.Pools[role].Size
	}
	return o
}

// takeOverPoll is how often a node that was asked to take a pool over checks whether it has.
const takeOverPoll = 5 * time.Millisecond
