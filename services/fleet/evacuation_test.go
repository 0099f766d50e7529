// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/evacuation"
)

// TestInstancesOfAnEvacuatedDataCenter guards against pools that get, or count on, instances where
// nothing may start: a third of the fleet is in a data centre under evacuation. Its idle instances
// leave their pools, those with runs stay, and those of a wave are maintained although the pools need all others.
func TestInstancesOfAnEvacuatedDataCenter(t *testing.T) {
	v := fleetView(rand.New(rand.NewPCG(1, 1)), true, 500)
	n := 0
	for name, i := range v.instances {
		var number int
		_, err := fmt.Sscanf(name, "m-%d", &number)
		assert.NilError(t, err)
		i.DataCenter = fmt.Sprint("dc-", number%3)
		v.instances[name] = i
		n += btoi(i.DataCenter == "dc-1")
	}
	v.evacuated = evacuation.List{DataCenters: []string{"dc-1"}}
	idle := make(map[string]bool)
	for _, p := range v.pools {
		for _, w := range p.report.Workers {
			idle[w.Instance] = w.Runs == 0
		}
	}
	left, maintained := 0, 0
	for _, a := range v.plan() {
		i := v.instances[a.instance]
		if i.DataCenter != "dc-1" {
			continue
		}
		switch a.to {
		case "":
			maintained++
		case v.headroom:
			left++
			assert.Assert(t, idle[a.instance], "%s leaves its pool while tasks run there", a.instance)
		default:
			t.Errorf("%s moves to %s", a.instance, a.to)
		}
	}
	assert.Assert(t, left > 10, "%d of %d instances leave their pools", left, n)
	assert.Assert(t, maintained > 50, "%d instances are maintained", maintained)
	for pool := range v.pools {
		for name, i := range v.instances {
			of, counts := v.serves(i, v.actions[name])
			assert.Assert(t, !counts || of != pool || i.DataCenter != "dc-1", "%s counts as supply of %s", name, pool)
		}
	}
}
