// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package leases

import (
	"context"
	"time"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/models/state"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/rendezvous"
)

// Times of the leases.
const (
	// TTL is the duration of a lease.
	TTL = 6 * time.Second
	// RenewPeriod is the time between two renewals of a lease.
	RenewPeriod = 2 * time.Second
)

// Renewer renews the roles that this entry holds, and claims free ones that rendezvous hashing over
// the live entries assigns to it.
type Renewer struct {
	Clock       clock.Clock
	Name        string
	Incarnation uint64
	State       func() state.State
	Alive       func() []string
	Propose     func(ctx context.Context, records []record.Record) ([]state.Verdict, error)
}

// Run renews and claims roles until the context ends.
func (k *Renewer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.RenewDue(ctx)
		select {
		case <-k.Clock.After(RenewPeriod):
		case <-ctx.Done():
		}
	}
}

// RenewDue proposes the leases that are due, in one append. Refusals are normal: another entry was
// first.
func (k *Renewer) RenewDue(ctx context.Context) {
	due := k.due()
	if len(due) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, RenewPeriod)
	defer cancel()
	_, _ = k.Propose(bounded, due)
}

func (k *Renewer) due() []record.Record {
	s := k.State()
	alive := k.Alive()
	var due []record.Record
	for _, role := range record.Roles() {
		l, _ := s.Leases.Get(string(role))
		held := l.Holder == k.Name && l.Incarnation == k.Incarnation
		// The log's time does not advance without appends, so the expiry of a lease that is not
		// renewed is checked against this process's clock as well.
		free := !l.Until.After(k.Clock.Now())
		if held || free && rendezvous.Owner(string(role), alive) == k.Name {
			due = append(due, record.Record{Lease: &record.Lease{Role: role, TTL: TTL}})
		}
	}
	return due
}
