// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/modules/setting"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestListOfWorkers checks that the newest record of a worker within one reading counts. An entry
// that can't be read invalidates what an earlier one stated, and the other entries stay valid.
func TestListOfWorkers(t *testing.T) {
	n := &Node{Logger: log.Nop(), workers: make(map[worker.ID]worker.Worker), knownStarts: make(map[worker.ID]bool)}
	n.Ports.Feeds.DecodeWorker = func(r port.Record) (worker.Worker, error) {
		if string(r.Value) != "good" {
			return worker.Worker{}, errors.New("unreadable")
		}
		return worker.Worker{ID: worker.ID(r.Key), StartedAt: int64(r.Offset)}, nil
	}
	good, bad := []byte("good"), []byte("bad")
	listed := func() []worker.ID { return slices.Sorted(maps.Keys(n.workers)) }
	n.applyWorkers(t.Context(), []port.Record{{Key: "a", Value: good}, {Key: "b", Value: good}, {Key: "c", Value: bad}}, true)
	assert.DeepEqual(t, listed(), []worker.ID{"a", "b"})
	n.applyWorkers(t.Context(), []port.Record{{Key: "a"}, {Key: "a", Value: good}, {Key: "b", Value: bad}}, false)
	assert.DeepEqual(t, listed(), []worker.ID{"a"})
	n.applyWorkers(t.Context(), []port.Record{{Key: "b", Value: good}, {Key: "a", Value: good}, {Key: "a"}}, false)
	assert.DeepEqual(t, listed(), []worker.ID{"b"})
	// An entry without a start time is another writer's if the worker has stated one before.
	n.applyWorkers(t.Context(), []port.Record{{Key: "b", Value: good, Offset: 7}, {Key: "c", Value: good}}, false)
	assert.DeepEqual(t, listed(), []worker.ID{"b", "c"})
	for _, complete := range []bool{true, false, true} {
		n.applyWorkers(t.Context(), []port.Record{{Key: "b", Value: good}, {Key: "c", Value: good}}, complete)
		assert.DeepEqual(t, listed(), []worker.ID{"c"})
	}
	n.applyWorkers(t.Context(), []port.Record{{Key: "b"}}, false)
	n.applyWorkers(t.Context(), []port.Record{{Key: "b", Value: good}}, false)
	assert.DeepEqual(t, listed(), []worker.ID{"b", "c"}) // its entry was removed in between
}

// TestEntryWithThisNodesAddress guards against a node that polls itself: it would answer each poll as a call of an
// unknown queue. Such an entry is not used and has one log line, and the entries beside it count.
func TestEntryWithThisNodesAddress(t *testing.T) {
	var lines strings.Builder
	logger, err := log.New(&lines, "info", "n1")
	assert.NilError(t, err)
	n := &Node{Logger: logger, workers: make(map[worker.ID]worker.Worker), knownStarts: make(map[worker.ID]bool)}
	n.Setting.Node.Address = "10.1.0.9"
	n.Setting.Listen = setting.NodeListen{Callers: "10.1.0.9:8624", Ready: "10.1.0.9:8622", NodePort: 7060, MetricsPort: 9102}
	n.Ports.Feeds.DecodeWorker = func(r port.Record) (worker.Worker, error) {
		return worker.Worker{ID: worker.ID(r.Key), Address: string(r.Value)}, nil
	}
	records := []port.Record{{Key: "good", Value: []byte("10.1.0.10:8624")}}
	for i, own := range []string{"8624", "8622", "7060", "9102"} {
		records = append(records, port.Record{Key: own, Value: []byte("10.1.0.9:" + own), Offset: uint64(i)})
	}
	for range 3 {
		n.applyWorkers(t.Context(), records, true)
	}
	assert.DeepEqual(t, slices.Collect(maps.Keys(n.workers)), []worker.ID{"good"})
	assert.Equal(t, strings.Count(lines.String(), "is this node's own"), 4, lines.String())
}
