// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/yardbridge/yardbridge/services/directory"
)

// Where all processes of a large fleet are killed together, their registrations wait for each other at
// the store for seconds, and no node can tell who is to own which pool before that. The directory still
// names the owners from before, whose addresses callers' nodes use, so these nodes claim their pools
// again at once.

const (
	// reclaimWithin bounds how long a node that starts claims its pools before it registers.
	reclaimWithin = 1500 * time.Millisecond
	// reclaimAfter is how long the earlier incarnation must have lived: a pool that kills its owner
	// again and again has to move.
	reclaimAfter = 10 * time.Second
	// reclaimPoll is how often a node that starts checks whether it has a configuration.
	reclaimPoll = 10 * time.Millisecond
)

// Reclaim claims the roles that an earlier incarnation of this node owned by the directory.
func (s *Manager) Reclaim(ctx context.Context, v *directory.View) {
	roles := s.ownedBefore(v)
	if len(roles) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reclaimWithin)
	defer cancel()
	for !s.isReady() {
		select {
		case <-s.Clock.After(reclaimPoll):
		case <-ctx.Done():
			return
		}
	}
	wanted := s.Roles(s.Config())
	var claims sync.WaitGroup
	for _, role := range roles {
		if !slices.Contains(wanted, role) {
			continue
		}
		claims.Go(func() {
			_, err := s.TakeOver(ctx, role, 0)
			outcome := "reclaimed"
			if err != nil {
				outcome = "not owner"
			}
			s.Logger.Info().Str("event", "claim").Str("pool", role).Uint64("epoch_before", v.Pools[role].Epoch).AnErr("err", err).
				Str("outcome", outcome).Msg("this node owned the pool before it started, and has tried to claim it again")
		})
	}
	claims.Wait()
}

// ownedBefore returns the roles that an earlier incarnation of this node, which has lived for long
// enough, owns by the directory.
func (s *Manager) ownedBefore(v *directory.View) []string {
	var roles []string
	self, now := s.Directory.Self, s.Clock.WallTime(s.Clock.Now())
	for role, o := range v.Pools {
		lived := now.Sub(time.Unix(0, int64(o.Incarnation))) //nolint:gosec // a time
		if o.Node == self.Name && o.Incarnation < self.Incarnation && v.Nodes[o.Node].Incarnation == o.Incarnation && lived >= reclaimAfter {
			roles = append(roles, role)
		}
	}
	return roles
}

// isReady reports whether this node can claim roles.
func (s *Manager) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running != nil && s.Config() != nil
}
