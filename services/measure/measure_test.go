// Copyright 2026 The yardbridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package measure

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/yardbridge/yardbridge/models/worker"
	"github.com/yardbridge/yardbridge/modules/errkind"
	"github.com/yardbridge/yardbridge/services/port"
)

func TestCallsAreCountedByOutcome(t *testing.T) {
	m := New()
	failing := m.Store(port.Store{Put: func(context.Context, port.Partition, []port.Record) error {
		return errkind.New(errkind.LogUnavailable, "no response")
	}})
	err := failing.Put(t.Context(), port.Partition{}, nil)
	assert.Equal(t, errkind.Of(err).Kind, errkind.LogUnavailable)
	workers := m.Workers(port.Workers{Open: func(worker.Worker) *port.Link {
		return &port.Link{Start: func(context.Context, port.Start) port.Response { return port.Response{Result: port.NoCapacity} }}
	}})
	workers.Open(worker.Worker{}).Start(t.Context(), port.Start{})
	assert.Equal(t, m.CounterValue("store.put."+errkind.LogUnavailable.String()), int64(1))
	assert.Equal(t, m.CounterValue("worker.start.no-room"), int64(1))
	m.Observe("call.submit", 1500*time.Microsecond, "ok")
	var text strings.Builder
	m.Write(&text)
	for _, part := range []string{"call.submit.us", "call.submit.ok", "store.put.us", "1500"} {
		assert.Assert(t, strings.Contains(text.String(), part), part)
	}
}

func TestNilMeterCountsNothing(_ *testing.T) {
	var m *Meter
	m.Observe("call.submit", time.Second, "ok")
	m.Gauge("pools", func() int64 { return 1 })
}
