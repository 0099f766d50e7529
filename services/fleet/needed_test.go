// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/evacuation"
	"github.com/yardbridge/yardbridge/modules/log"
)

// TestMoveOfANeededInstanceIsGivenUp guards against a job that waits for as long as a worker takes to become empty (LOST): it
// may run nowhere else, and the worker's instance is to move. An instance that is maintained, one whose order was sent and
// one in a data centre under evacuation go on.
func TestMoveOfANeededInstanceIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(v *view, a *action)
		kept   bool
	}{
		{name: "it is being emptied", change: func(*view, *action) {}, kept: true},
		{name: "another worker of its instance was reported", change: func(_ *view, a *action) { a.worker = "w-other" }},
		{name: "it is maintained", change: func(_ *view, a *action) { a.to, a.wave = "", 1 }},
		{name: "its order was sent", change: func(_ *view, a *action) { a.stage = ordered }},
		{name: "its data centre is under evacuation", change: func(v *view, _ *action) {
			i := v.instances["a2"]
			i.DataCenter = "x"
			v.instances["a2"] = i
			v.evacuated = evacuation.List{DataCenters: []string{"x"}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := Manager{Logger: log.Nop(), view: *exchangeView(3)}
			v := &m.view
			v.count()
			a := v.begin(v.instances["a2"], "b", 0)
			v.actions["a2"] = a
			c.change(v, a)
			for n := range v.pools["a"].report.Workers {
				w := &v.pools["a"].report.Workers[n]
				w.Needed = w.Instance == "a2"
			}
			m.dropMoves()
			assert.Equal(t, v.actions["a2"] == nil, c.kept)
			assert.Equal(t, !v.canSpare("a", v.instances["a2"]), c.kept, "it would be moved again")
			v.now = v.now.Add(neededFor)
			assert.Assert(t, v.canSpare("a", v.instances["a2"]))
		})
	}
}

// TestNeededInstanceIsMovedLater guards against instances that are kept for ever: what is remembered of them is dropped.
func TestNeededInstanceIsMovedLater(t *testing.T) {
	m := Manager{Logger: log.Nop(), view: *exchangeView(3)}
	m.view.needed = map[string]time.Time{"a2": m.view.now.Add(neededFor)}
	m.view.now = m.view.now.Add(neededFor)
	m.dropMoves()
	assert.Equal(t, len(m.view.needed), 0)
}
