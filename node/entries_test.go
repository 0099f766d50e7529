// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"maps"
	"slices"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/log"
	"github.com/yardbridge/yardbridge/services/port"
)

// TestListOfWorkers: of what one reading brings of a worker the newest counts. An entry
// that can't be read takes away what an earlier one said, and the others hold.
func TestListOfWorkers(t *testing.T) {
	n := &Node{Logger: log.Nop(), workers: make(map[worker.ID]worker.Worker), starts: make(map[worker.ID]bool)}
	n.Ports.Feeds.DecodeWorker = func(r port.Record) (worker.Worker, error) {
		if string(r.Value) != "good" {
			return worker.Worker{}, errors.New("unreadable")
		}
		return worker.Worker{ID: worker.ID(r.Key), StartedAt: int64(r.Offset)}, nil
	}
	good, bad := []byte("good"), []byte("bad")
	listed := func() []worker.ID { return slices.Sorted(maps.Keys(n.workers)) }
	n.list(t.Context(), []port.Record{{Key: "a", Value: good}, {Key: "b", Value: good}, {Key: "c", Value: bad}}, true)
	assert.DeepEqual(t, listed(), []worker.ID{"a", "b"})
	n.list(t.Context(), []port.Record{{Key: "a"}, {Key: "a", Value: good}, {Key: "b", Value: bad}}, false)
	assert.DeepEqual(t, listed(), []worker.ID{"a"})
	n.list(t.Context(), []port.Record{{Key: "b", Value: good}, {Key: "a", Value: good}, {Key: "a"}}, false)
	assert.DeepEqual(t, listed(), []worker.ID{"b"})
	// An entry without a start is another writer's where the worker has told one.
	n.list(t.Context(), []port.Record{{Key: "b", Value: good, Offset: 7}, {Key: "c", Value: good}}, false)
	assert.DeepEqual(t, listed(), []worker.ID{"b", "c"})
	for _, whole := range []bool{true, false, true} {
		n.list(t.Context(), []port.Record{{Key: "b", Value: good}, {Key: "c", Value: good}}, whole)
		assert.DeepEqual(t, listed(), []worker.ID{"c"})
	}
	n.list(t.Context(), []port.Record{{Key: "b"}}, false)
	n.list(t.Context(), []port.Record{{Key: "b", Value: good}}, false)
	assert.DeepEqual(t, listed(), []worker.ID{"b", "c"}) // its entry was removed meanwhile
}
