// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/services/scheduler"
)

// exchangeView returns a fleet all of whose instances are in use: pool "a" needs one instance more than its
// five, of which three are idle and two run long-running tasks, and pool "b" needs its number of instances.
func exchangeView(ofB int) *view {
	v := &view{
		now: time.Unix(1000, 0), instances: make(map[string]port.Instance), pools: map[string]*poolState{"a": {}, "b": {}}, headroom: "off",
		actions: make(map[string]*action), barred: make(map[barredMove]string), maintenanceTime: 2 * time.Second,
	}
	for pool, n := range map[string]int{"a": 5, "b": ofB} {
		r := &v.pools[pool].report
		r.MinWorkers, r.Slack = ofB, patientSlack
		if pool == "a" {
			r.MinWorkers = n + 1
		}
		for k := range n {
			i := port.Instance{Name: fmt.Sprint(pool, k), Pool: pool, Condition: port.Up, Capacity: fleetSize, Worker: worker.ID(fmt.Sprint("w-", pool, k))}
			w := scheduler.WorkerReport{ID: i.Worker, Instance: i.Name, Open: true}
			if pool == "b" || k < 2 {
				w.Runs, w.Lasting = 1, 1
			} else {
				w.Unsuited = true
			}
			v.instances[i.Name] = i
			r.Workers = append(r.Workers, w)
		}
	}
	return v
}

// TestUnsuitedInstancesAreExchanged guards against a task that waits for ever (LOST) while its pool has idle
// instances: the advice service permits its step on none of them, and all instances are in pools. They go to
// the pool that lacks some, or are switched off, one at a time, and one that serves is never among them.
func TestUnsuitedInstancesAreExchanged(t *testing.T) {
	for name, c := range map[string]struct {
		lackOfB int
		to      string
	}{"the other pool lacks one": {1, "b"}, "no other pool lacks any": {0, "off"}} {
		t.Run(name, func(t *testing.T) {
			const ofB = 3
			v := exchangeView(ofB)
			v.pools["b"].report.MinWorkers = ofB + c.lackOfB
			v.pools["b"].kept.unknown = true
			began := v.plan()
			assert.Equal(t, len(began), 1, "%+v", began)
			a := began[0]
			assert.Assert(t, a.exchange && a.from == "a" && a.to == c.to, "%+v", a)
			assert.Assert(t, v.worker(v.instances[a.instance]).Unsuited)
			assert.Equal(t, len(v.plan()), 0, "a second one leaves before the first one is replaced")
		})
	}
}

// TestInstancesThatSuitStay guards against exchanges that help nothing: the pool has what it needs, an instance
// is on its way to it or is off, or its idle instances are permitted.
func TestInstancesThatSuitStay(t *testing.T) {
	for name, change := range map[string]func(v *view){
		"needs none": func(v *view) { v.pools["a"].report.MinWorkers = 5 },
		"one is off": func(v *view) {
			v.instances["off0"] = port.Instance{Name: "off0", Pool: "off", Condition: port.Up, Capacity: fleetSize}
		},
		"suit": func(v *view) {
			for i := range v.pools["a"].report.Workers {
				v.pools["a"].report.Workers[i].Unsuited = false
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := exchangeView(3)
			change(v)
			for range 2 {
				for _, a := range v.plan() {
					assert.Assert(t, !a.exchange, "%+v", a)
				}
			}
		})
	}
}
