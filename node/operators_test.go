// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/config"
	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/directory"
	"github.com/yardbridge/yardbridge/services/gateway"
	"github.com/yardbridge/yardbridge/services/port"
	"github.com/yardbridge/yardbridge/standin/world"
)

// newOperatorsNode returns a node that runs no process, and its log.
func newOperatorsNode(t *testing.T) (*Node, *strings.Builder) {
	var lines strings.Builder
	logger, err := log.New(&lines, "info", "n1")
	assert.NilError(t, err)
	n := &Node{Logger: logger, Directory: &directory.Directory{}, Gateway: &gateway.Gateway{Logger: logger}}
	n.Ports.Feeds = world.New(1).Feeds()
	return n, &lines
}

func evacuationRecord(offset uint64, dataCenter string, on bool) port.Record {
	r := port.Record{Key: "evacuate/" + dataCenter, Offset: offset}
	if on {
		r.Value = []byte("{}")
	}
	return r
}

// evacuated returns the data centres under evacuation, as one text.
func (n *Node) evacuated() string { return strings.Join(n.operators.evacuations().DataCenters, " ") }

// TestEvacuationsFollowTheRecords guards against an evacuation that is forgotten or never ends: it may
// be repeated, overlap with others, be taken back, and vanish from the complete list.
func TestEvacuationsFollowTheRecords(t *testing.T) {
	n, lines := newOperatorsNode(t)
	n.applyOperators([]port.Record{evacuationRecord(1, "x", true)}, 5, true)
	assert.Equal(t, n.evacuated(), "x")
	n.applyOperators([]port.Record{evacuationRecord(5, "x", true), evacuationRecord(6, "y", true)}, 7, false)
	assert.Equal(t, n.evacuated(), "x y")
	assert.Assert(t, strings.Contains(lines.String(), "under evacuation already"))
	n.applyOperators([]port.Record{evacuationRecord(7, "x", false)}, 8, false)
	assert.Equal(t, n.evacuated(), "y")
	n.applyOperators([]port.Record{evacuationRecord(8, "x", true), evacuationRecord(9, "x", false), evacuationRecord(10, "x", true)}, 11, false)
	assert.Equal(t, n.evacuated(), "x y")
	n.applyOperators([]port.Record{evacuationRecord(10, "x", true)}, 20, true)
	assert.Equal(t, n.evacuated(), "x")
}

// TestOutdatedEvacuationsOfAnotherNode guards against an evacuation that comes back: a node that could
// not read the store learns of its end from another node, and then reads the older records, or gets
// them from a third node.
func TestOutdatedEvacuationsOfAnotherNode(t *testing.T) {
	n, _ := newOperatorsNode(t)
	n.applyOperators(nil, 1, true)
	n.applyOperators([]port.Record{evacuationRecord(1, "x", true)}, 2, true) // by another node
	assert.Equal(t, n.evacuated(), "x")
	n.applyOperators(nil, 9, true) // by another node, which has read its end
	assert.Equal(t, n.evacuated(), "")
	n.applyOperators([]port.Record{evacuationRecord(1, "x", true)}, 4, true) // by a third node
	n.applyOperators([]port.Record{evacuationRecord(1, "x", true)}, 2, false)
	assert.Equal(t, n.evacuated(), "")
	n.applyOperators([]port.Record{evacuationRecord(8, "x", false), evacuationRecord(9, "y", true)}, 10, false)
	assert.Equal(t, n.evacuated(), "y")
}

// TestEvacuationAppliesBeforeTheFirstConfiguration guards against tasks that a node which starts
// places in a data centre under evacuation: it claims pools as soon as it has a configuration.
func TestEvacuationAppliesBeforeTheFirstConfiguration(t *testing.T) {
	n, _ := newOperatorsNode(t)
	decode := n.Ports.Feeds.DecodeEvacuation
	n.Ports.Feeds.DecodeEvacuation = func(r port.Record) (string, error) {
		assert.Assert(t, n.Gateway.Config() == nil, "the configuration is in force before the evacuation")
		return decode(r)
	}
	n.Ports.Feeds.DecodeConfig = func(r port.Record) (*config.Config, error) {
		if r.Key != "config" {
			return nil, nil
		}
		return config.New(1, nil, nil, config.Limits{}), nil
	}
	n.applyOperators([]port.Record{{Key: "config", Value: []byte("{}")}, evacuationRecord(1, "x", true)}, 2, true)
	assert.Equal(t, n.evacuated(), "x")
	assert.Assert(t, n.Gateway.Config() != nil)
}

// TestUnknownDataCenterIsLogged guards against a misspelled evacuation that nobody notices.
func TestUnknownDataCenterIsLogged(t *testing.T) {
	n, lines := newOperatorsNode(t)
	n.workers = map[worker.ID]worker.Worker{"a": {DataCenter: "x"}}
	n.applyOperators([]port.Record{evacuationRecord(1, "z", true)}, 2, true)
	assert.Assert(t, strings.Contains(lines.String(), "unknown data centre"), lines.String())
}
