// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/manifest"
	"github.com/yardbridge/yardbridge/modules/clock"
	"github.com/yardbridge/yardbridge/modules/log"
)

// TestUnresponsiveOwnerDoesNotDelayRequests checks that an entry which gets nothing from the owner
// that it would ask first, as with a network failure in one direction, gets slots of another owner
// in time, for the first request and for later ones.
func TestUnresponsiveOwnerDoesNotDelayRequests(t *testing.T) {
	for name, behave := range map[string]func(context.Context) (ExchangeResponse, error){
		"it does not respond": func(ctx context.Context) (ExchangeResponse, error) {
			<-ctx.Done()
			return ExchangeResponse{}, ctx.Err()
		},
		"it can't be reached":      func(context.Context) (ExchangeResponse, error) { return ExchangeResponse{}, errLost },
		"it knows less of the log": func(context.Context) (ExchangeResponse, error) { return ExchangeResponse{Behind: true}, nil },
	} {
		synctest.Test(t, func(t *testing.T) { acquireBesideUnresponsive(t, name, behave) })
	}
}

// acquireBesideUnresponsive has an entry whose own slots are lent request slots of others, while
// the nearest owner behaves as given.
func acquireBesideUnresponsive(t *testing.T, name string, behave func(context.Context) (ExchangeResponse, error)) {
	n := newNetwork(3) // each entry owns the slots of one target
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, d := range n.nodes {
		d.holder.Clock, d.lender.Clock = clock.Clock{}, clock.Clock{} // of the synctest bubble
		n.catchUp(d, len(n.log))
	}
	requester := n.nodes["e0"]
	requester.lender.owned[requester.owns()].lent[holderKey{"e2", 1}] = testSlots
	links := &Exchanger{Holder: requester.holder, Incarnation: 1, Logger: log.Nop(), Call: func(ctx context.Context, owner string, x Exchange) (ExchangeResponse, error) {
		if owner == "e1" {
			return behave(ctx)
		}
		return n.nodes[owner].lender.Exchange(x), nil
	}}
	requester.holder.RequestExchange = links.RequestExchange
	go links.Run(ctx)
	synctest.Wait()
	for range testSlots {
		startedAt := time.Now()
		s, err := requester.holder.Acquire(ctx, AcquireRequest{
			Pool: "p", Class: manifest.Interactive, Deadline: startedAt.Add(testDeadline), Limit: 1000,
		})
		assert.NilError(t, err, name)
		assert.Equal(t, s.Worker(), n.nodes["e2"].owns(), name)
		assert.Assert(t, time.Since(startedAt) <= unresponsiveAfter, "%s: after %s", name, time.Since(startedAt))
	}
}

// owns returns a worker whose slots a node owns.
func (d *node) owns() string {
	for worker := range d.lender.owned {
		return worker
	}
	return ""
}
