// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/fleet"
	"github.com/yardbridge/yardbridge/models/record"
)

// serving counts the targets to which a holder would send requests.
func serving(h *Holder) int {
	targets, _ := h.Dump()
	n := 0
	for _, t := range targets {
		if t.Serving {
			n++
		}
	}
	return n
}

// TestLeavingNoticeExpires checks that a target is used again after a notice that it leaves: once the
// log shows that it is back, or if the log does not confirm the notice in time. Otherwise a withdrawn
// notice would keep the target out of use for as long as the process runs.
func TestLeavingNoticeExpires(t *testing.T) {
	n := newNetwork(1)
	d := n.nodes["e0"]
	see := func(change func(*fleet.Worker)) {
		i, _ := n.newest.Instances.Get("w0")
		change(&i.Worker)
		n.put("e0", record.Record{ListUpdate: &record.ListUpdate{Revision: n.newest.ListRevision + 1, Workers: []fleet.Worker{i.Worker}}})
		n.catchUp(d, len(n.log))
	}
	n.catchUp(d, len(n.log))
	assert.Assert(t, d.holder.MarkLeaving([]string{"w0"}))
	assert.Assert(t, !d.holder.MarkLeaving([]string{"w0"}), "a known notice must not be passed on")
	assert.Equal(t, serving(d.holder), testWorkers-1)
	// The log confirms the notice, and then shows that the worker is back.
	see(func(w *fleet.Worker) { w.Condition = fleet.Leaving })
	assert.Equal(t, serving(d.holder), testWorkers-1)
	see(func(w *fleet.Worker) { w.Condition = fleet.Live; w.BootCount++ })
	assert.Equal(t, serving(d.holder), testWorkers)
	// A notice that the log does not confirm is dropped in time, even without new records.
	d.holder.MarkLeaving([]string{"w0"})
	n.catchUp(d, len(n.log))
	n.clock.Advance(2 * noticeTTL)
	d.holder.retryRefused()
	assert.Equal(t, serving(d.holder), testWorkers)
}
