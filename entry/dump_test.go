// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/record"
	"github.com/yardbridge/yardbridge/services/pools"
)

// TestDumpKeepsItsNames guards against a Go name that changes a key of the dump: settings and planned
// records are written under their Go names where no tag states another one.
func TestDumpKeepsItsNames(t *testing.T) {
	d := Dump{Plan: pools.Plan{Records: []record.Record{{
		Join: &record.Join{}, Lease: &record.Lease{}, ListUpdate: &record.ListUpdate{}, Eject: &record.Eject{},
	}}}}
	data, err := json.Marshal(d)
	assert.NilError(t, err)
	var dump struct {
		Setting struct{ Limits map[string]any } `json:"setting"`
		Plan    struct{ Records []map[string]map[string]any }
	}
	assert.NilError(t, json.Unmarshal(data, &dump))
	keys := func(m map[string]any) []string { return slices.Sorted(maps.Keys(m)) }
	assert.DeepEqual(t, keys(dump.Setting.Limits), []string{
		"BodyBytes", "Connections", "Entries", "HeaderBytes", "ReadTimeout", "Stale", "TargetConnections", "TargetSlots", "Withdraw",
	})
	r := dump.Plan.Records[0]
	for _, name := range []string{"Sighting", "SetAside"} {
		assert.Assert(t, r[name] != nil, "no %s among %v", name, slices.Sorted(maps.Keys(r)))
	}
	assert.DeepEqual(t, keys(r["Join"]), []string{"Address", "Hall"})
	assert.DeepEqual(t, keys(r["Lease"]), []string{"Life", "Role"})
}
