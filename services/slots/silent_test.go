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

// TestSilentOwnerKeepsNobodyFromAskingOthers: an entry gets nothing from the
// owner that it would ask first, as behind a cut in one direction; its requests
// get slots of another owner in time, the first one and those after it.
func TestSilentOwnerKeepsNobodyFromAskingOthers(t *testing.T) {
	for name, silent := range map[string]func(context.Context) (ExchangeResponse, error){
		"it does not answer": func(ctx context.Context) (ExchangeResponse, error) {
			<-ctx.Done()
			return ExchangeResponse{}, ctx.Err()
		},
		"it can't be reached":      func(context.Context) (ExchangeResponse, error) { return ExchangeResponse{}, errLost },
		"it knows less of the log": func(context.Context) (ExchangeResponse, error) { return ExchangeResponse{Behind: true}, nil },
	} {
		synctest.Test(t, func(t *testing.T) { askBeside(t, name, silent) })
	}
}

// askBeside has an entry whose own slots are lent ask for others, while the
// nearest owner of some does as it is told.
func askBeside(t *testing.T, name string, silent func(context.Context) (ExchangeResponse, error)) {
	n := newNetwork(3) // each entry owns the slots of one target
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, d := range n.nodes {
		d.holder.Clock, d.lender.Clock = clock.Clock{}, clock.Clock{} // of the bubble
		n.catchUp(d, len(n.log))
	}
	asking := n.nodes["e0"]
	asking.lender.owned[asking.owns()].lent[holderKey{"e2", 1}] = testSlots
	links := &Exchanger{Holder: asking.holder, Incarnation: 1, Logger: log.Nop(), Call: func(ctx context.Context, owner string, x Exchange) (ExchangeResponse, error) {
		if owner == "e1" {
			return silent(ctx)
		}
		return n.nodes[owner].lender.Exchange(x), nil
	}}
	asking.holder.RequestExchange = links.RequestExchange
	go links.Run(ctx)
	synctest.Wait()
	for range testSlots {
		begun := time.Now()
		s, err := asking.holder.Acquire(ctx, AcquireRequest{
			Pool: "p", Class: manifest.Interactive, Deadline: begun.Add(testDeadline), Limit: 1000,
		})
		assert.NilError(t, err, name)
		assert.Equal(t, s.Worker(), n.nodes["e2"].owns(), name)
		assert.Assert(t, time.Since(begun) <= askPatience, "%s: after %s", name, time.Since(begun))
	}
}

// owns returns the worker whose slots a node owns.
func (d *node) owns() string {
	for worker := range d.lender.owned {
		return worker
	}
	return ""
}
